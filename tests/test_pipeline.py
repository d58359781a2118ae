import json

import pytest

from tests import serving


@pytest.fixture
def cell():
    with serving.Cell() as cell:
        yield cell


@pytest.mark.parametrize(
    'method, path, headers, status, outcome',
    [
        ('GET', '/v1/pools/desk/jobs/report/a', {}, 200, 'complete'),
        ('POST', '/v1/pools/desk/jobs/report/a?b=1', {}, 200, 'complete'),
        ('POST', '/v1/pools/desk/jobs/lien/a', {}, 400, 'not-run'),
        (
            'POST',
            '/v1/pools/desk/jobs/lien/a',
            {'Idempotency-Key': 'k1'},
            200,
            'complete',
        ),
        ('GET', '/v1/pools/desk/jobs/none/a', {}, 404, 'not-run'),
        ('GET', '/v1/pools/other/jobs/report/a', {}, 404, 'not-run'),
        ('GET', '/v1/pools/desk/jobs/report/../x', {}, 400, 'not-run'),
        ('GET', '/v1/pools/desk/jobs/report/%2e%2e/x', {}, 400, 'not-run'),
        ('GET', '/elsewhere', {}, 404, 'not-run'),
    ],
)
def test_request_end_to_end(cell, method, path, headers, status, outcome):
    """Guards against a wrong status or outcome, and against wrong runs.

    A refused request must not reach a worker, and a served one must run
    exactly once with its method and body.
    """
    cell.add_worker()
    reply = cell.call(method, path, b'hello', headers)
    assert (reply.status, reply.outcome) == (status, outcome)
    runs = cell.workers[0].worker.runs
    assert len(runs) == (status == 200)
    if status == 200:
        echo = json.loads(reply.body)
        assert (echo['method'], echo['body']) == (method, 'hello')
        assert reply.headers['Skylarktally-Instance'] == 'w1'
