"""Complete responses, true outcomes and single runs with network faults."""

import datetime
from http import client

import pytest

from skylarktally import _limits
from skylarktally import _loop
from tests import scripted
from tests import serving

LIMITS = _limits.ServingLimits(
    response_timeout=datetime.timedelta(seconds=0.3),
    probe_timeout=datetime.timedelta(seconds=0.3),
    min_ejection_time=datetime.timedelta(seconds=0.1),
)


@pytest.fixture(params=['product', 'naive'])
def cell(request):
    """Return a cell of the product, and one of the baseline that must fail."""
    with serving.Cell(limits=LIMITS, naive=request.param == 'naive') as cell:
        yield cell


def send(cell, job, token, size=1000):
    """Return the reply, or None when the caller sees it as broken."""
    path = f'/v1/pools/desk/jobs/{job}/{token}'
    method = 'POST' if job == 'lien' else 'GET'
    try:
        reply = cell.call(
            method,
            path,
            b'',
            {'Idempotency-Key': token, 'Skylarktally-Timeout-Ms': '3000'},
        )
    except (OSError, client.HTTPException):
        return None
    return reply


def first_only(script):
    """Apply a script only to the first task that any worker gets."""
    done = []

    def apply(worker, connection, request):
        if done:
            return True
        done.append(request)
        return script(worker, connection, request)

    return apply


def send_bytes(build):
    """Return a script that sends build(body) for the right body, then ends."""

    def script(worker, connection, request):
        body = scripted.build_body(request.token, worker.size)
        connection.sendall(build(body))
        return False

    return script


def send_reset(worker, connection, request):
    body = scripted.build_body(request.token, worker.size)
    connection.sendall(scripted.build_answer(body, cut=len(body) // 2))
    _loop.sleep(0.02)
    scripted.reset(connection)
    return False


def send_second_answer(worker, connection, request):
    """Send a second response shortly after the first."""
    body = scripted.build_body(request.token, worker.size)
    other = scripted.build_body('other', worker.size)
    connection.sendall(scripted.build_answer(body))
    _loop.sleep(0.02)
    connection.sendall(scripted.build_answer(other))
    _loop.sleep(1)
    return False


def send_in_wrong_order(worker, connection, request):
    """Send the response of another request before the right one."""
    other = scripted.build_body('other', worker.size)
    connection.sendall(scripted.build_answer(other, Request_Key='other'))
    return True


def send_late(worker, connection, request):
    """Send the response after the router has given up waiting for it."""
    _loop.sleep(1.2)
    body = scripted.build_body(request.token, worker.size)
    connection.sendall(scripted.build_answer(body))
    return False


def half(body):
    return body[: len(body) // 2]


WIRE_FAULTS = {
    'short-length': send_bytes(
        lambda body: scripted.build_answer(body, cut=len(body) // 2)
    ),
    'short-chunks': send_bytes(
        lambda body: scripted.CHUNKED_HEAD + scripted.build_chunks(half(body))
    ),
    'short-chunk-size': send_bytes(
        lambda body: (
            scripted.CHUNKED_HEAD + scripted.build_chunks(half(body)) + b'0'
        )
    ),
    'no-length': send_bytes(
        lambda body: b'HTTP/1.1 200 X\r\n\r\n' + half(body)
    ),
    'short-head': send_bytes(
        lambda body: b'HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-A: '
    ),
    'reset': send_reset,
    'second-answer': send_second_answer,
    'wrong-order': send_in_wrong_order,
}


def check_answer(reply, token, size, arrivals):
    """Check that the response is right, or visibly broken to the caller.

    The outcome "not-run" must not be given for a task that has arrived.
    """
    if reply is None:
        return
    if reply.status == 200:
        scripted.check_body(reply.body, token, size)
    if reply.outcome == 'not-run':
        assert token not in arrivals


@pytest.mark.parametrize('size', [1000, 300000])
@pytest.mark.parametrize('fault', WIRE_FAULTS)
def test_answer_is_whole_and_own(cell, fault, size):
    """Guards against a wrong or truncated answer that looks complete."""
    script = first_only(WIRE_FAULTS[fault])
    workers = [cell.add_scripted(script=script, size=size) for _ in range(2)]

    def check():
        for token in ('t1', 't2', 't3', 't4', 't5'):
            reply = send(cell, 'report', token)
            arrivals = [x.token for w in workers for x in w.tasks]
            check_answer(reply, token, size, arrivals)
            _loop.sleep(0.03)

    cell.expect_failure_if_naive(check)


def test_cut_chunked_answer_is_sent_again(cell):
    """Guards against a broken response to a request that can be retried."""

    def cut(worker, connection, request):
        body = scripted.build_body(request.token, worker.size)
        connection.sendall(scripted.CHUNKED_HEAD)
        connection.sendall(scripted.build_chunks(half(body), 100))
        return False

    script = first_only(cut)
    workers = [cell.add_scripted(script=script) for _ in range(2)]

    def check():
        reply = send(cell, 'report', 't1')
        assert reply is not None
        assert (reply.status, reply.outcome) == (200, 'complete')
        scripted.check_body(reply.body, 't1', 1000)
        assert sum(len(x.tasks) for x in workers) == 2

    cell.expect_failure_if_naive(check)


def close_at_once(worker, connection, request):
    return False


def reset_at_once(worker, connection, request):
    scripted.reset(connection)
    return False


def stay_silent(worker, connection, request):
    _loop.sleep(3)
    return False


def answer_unavailable(worker, connection, request):
    connection.sendall(scripted.build_answer(b'', 503))
    return False


def refuse(worker, connection, request):
    # A worker that refuses a task has not run it.
    worker.tasks.remove(request)
    connection.sendall(scripted.build_answer(b'', 409, Task_Started='false'))
    return False


@pytest.mark.parametrize(
    'script, outcomes',
    [
        (close_at_once, {'unknown'}),
        (reset_at_once, {'unknown'}),
        (stay_silent, {'unknown'}),
        (send_late, {'unknown'}),
        (answer_unavailable, {'complete'}),
        (WIRE_FAULTS['short-length'], {'unknown'}),
        (WIRE_FAULTS['short-chunks'], {'unknown'}),
    ],
)
def test_single_run(cell, script, outcomes):
    """Guards against a retry of a request that must run at most once."""
    workers = [cell.add_scripted(script=script) for _ in range(3)]

    def check():
        reply = send(cell, 'lien', 't1')
        assert reply is not None
        assert reply.outcome in outcomes
        again = send(cell, 'lien', 't1')
        assert again is not None
        assert again.outcome in outcomes
        assert sum(len(x.tasks) for x in workers) == 1

    cell.expect_failure_if_naive(check)


@pytest.mark.parametrize('job', ['report', 'lien'])
@pytest.mark.parametrize(
    'script, outcome',
    [(refuse, 'not-run'), (close_at_once, 'unknown')],
)
def test_outcome_is_true(cell, job, script, outcome):
    """Guards against "not-run" for a request that may have run."""
    workers = [cell.add_scripted(script=script) for _ in range(2)]

    def check():
        reply = send(cell, job, 't1')
        assert reply.outcome == outcome
        if outcome == 'not-run':
            assert not any(x.tasks for x in workers)
            assert 'Retry-After' in reply.headers

    cell.expect_failure_if_naive(check)
