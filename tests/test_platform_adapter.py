"""Tests of the translation of wire formats, including malformed input."""

import datetime
import io
import json
import time

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _metrics
from skylarktally import platform
from skylarktally.platform import _decoding
from skylarktally.platform import _http
from skylarktally.platform import _ingress
from skylarktally.platform import _workers
from skylarktally.scheduling import _work
from tests import pools

ErrorKind = _errors.ErrorKind

ROUTE = {
    'name': 'q',
    'host': 'h.example',
    'prefix': '/p/',
    'kind': 'non_idempotent',
    'timeout_ms': 3000,
    'target_latency_ms': 600,
    'priority': 1,
    'service': 'pool',
    'max_attempts': 2,
    'deadline_stretch': 1.6,
}
LONGER = {**ROUTE, 'name': 'longer', 'prefix': '/p/more/'}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE, LONGER],
    'services': [
        {'name': 'pool', 'standby': False},
        {'name': 'spare', 'standby': True},
    ],
    'limits': {'max_body_bytes': 1000},
}


def encode(data):
    return json.dumps(data).encode()


def test_the_row_of_a_worker_is_decoded():
    record = _decoding.decode_worker('i-1', encode(pools.WORKER_FIELDS))
    assert record == _work.WorkerRecord(
        'i-1',
        'pool',
        '10.0.0.1:80',
        'z1',
        False,
        _work.Resources(16000, 32768, 0),
        frozenset({'a', 'r1-3'}),
        'r1-3',
        1700000000000,
        None,
        'm-1',
    )


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'other'},
        {'service': None},
        {'address': 'nowhere'},
        {'address': 7},
        {'capacity': {'cpu': '16'}},
        {'capacity': {'cpu': -1}},
        {'capacity': None},
        {'labels': [1]},
        {'born': 'x'},
        {'born': None},
        {'born': 1.5},
        {'zone': 3},
    ],
)
def test_a_malformed_row_of_a_worker_is_rejected(change):
    with pytest.raises((ValueError, KeyError, TypeError, AttributeError)):
        _decoding.decode_worker(
            'i-1', encode({**pools.WORKER_FIELDS, **change})
        )


@pytest.mark.parametrize(
    'value', [b'', b'\xff\xfe', b'[]', b'null', b'{', b'{}', b'[' * 100000]
)
@pytest.mark.parametrize(
    'decode',
    [
        lambda value: _decoding.decode_worker('i-1', value),
        _decoding.decode_configuration,
        _decoding.decode_wave,
        _decoding.decode_job,
    ],
)
def test_unreadable_content_raises_value_error_or_key_error(decode, value):
    with pytest.raises((ValueError, KeyError)):
        decode(value)


@pytest.mark.parametrize(
    'job',
    [
        {},
        {'steps': []},
        {'steps': [1]},
        {'steps': [{'task_count': 0}]},
        {'steps': [{'task_count': True}]},
        {'steps': [{'task_count': 1, 'after': [0]}]},
        {'steps': [{'task_count': 1, 'cpu': -5}]},
        {'steps': [{'task_count': 1, 'estimate_ms': 'long'}]},
        {'steps': [{'task_count': 100000}]},
        {'task_spec': 'x' * 4001, 'steps': [{'task_count': 1}]},
    ],
)
def test_a_malformed_job_is_refused(job):
    with pytest.raises(ValueError):
        platform.decode_job(encode(job))


@pytest.mark.parametrize(
    'change',
    [
        {'active_runs': [[5, 1, '', 0]]},
        {'active_runs': [['j.0.0.0']]},
        {'active_runs': [['j.0.0', 1, '', 0]]},
        {'ended_runs': [[1, 'j.0.0.0', 1, 'other', '']]},
        {'ended_runs': [[1, None, 1, 'done', '']]},
        {'ended_runs': 4},
        {'clock_ms': 1e308},
        {'clock_ms': None},
    ],
)
def test_a_malformed_report_is_an_unknown_outcome(change):
    """Guards against a worker that is never asked again after one report.

    Some reports raised an error that ended the green thread of its session.
    """
    report = {'clock_ms': 5, 'born': 1, 'active_runs': [], 'ended_runs': []}
    read = _workers._read_report(_http.Response(200, {**report, **change}))
    assert read.failure().kind is ErrorKind.OUTCOME_UNKNOWN


def test_a_job_with_occurrences_is_decoded():
    job = {
        'task_spec': 's',
        'steps': [
            {'task_count': 2, 'cpu': 500, 'estimate_ms': 900},
            {'task_count': 1, 'after': [0], 'fill_count': 1, 'may_miss': 1},
        ],
        'repeat_count': 3,
        'first_run_ms': 1000,
        'interval_ms': 250,
    }
    spec = platform.decode_job(encode(job))
    assert spec.occurrences == 3
    assert spec.interval == datetime.timedelta(milliseconds=250)
    assert spec.first_run == datetime.datetime.fromtimestamp(1, datetime.UTC)
    assert spec.steps[0].estimate == pools.seconds(0.9)
    assert spec.steps[1].is_filler
    assert spec.steps[1].after == (0,)


def test_a_report_of_a_worker_is_decoded():
    report = _decoding.decode_report(
        {
            'clock_ms': 1500,
            'born': 9,
            'active_runs': [['ab.0.1.2', 3, 'c', 40, 12]],
            'ended_runs': [[5, 'ab.0.1.3', 1, 'done', '']],
        }
    )
    assert report.clock == pools.seconds(1.5)
    assert report.active == (
        _work.ActiveRun(_work.TaskId('ab', 0, 1, 2), 3, 'c', 40, 12),
    )
    assert report.ended[0].kind is _work.EndKind.DONE
    assert _decoding.format_task(report.ended[0].task) == 'ab.0.1.3'


class FakeJobService:
    """Returns a given outcome for every call and records the calls."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = []

    def __getattr__(self, name):
        def call(queue, *arguments):
            self.calls.append((name, queue.name, *arguments[:-1]))
            return self.outcome

        return call


JOB = '5c0e7a21d94b36f8'


def request(
    outcome, method='GET', path=f'/p/{JOB}', body=b'', configured=True, **extra
):
    configuration = _decoding.decode_configuration(encode(CONFIGURATION))
    jobs = FakeJobService(outcome)
    metrics = _metrics.EntryMetrics(_metrics.create_registry())
    application = _ingress.Ingress(
        jobs,
        lambda: configuration if configured else None,
        lambda: False,
        metrics,
        pools.ManualClock(),
    )
    answers = []
    environment = {
        'HTTP_HOST': 'h.example',
        'PATH_INFO': path,
        'REQUEST_METHOD': method,
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
        **extra,
    }
    content = b''.join(
        application(environment, lambda *answer: answers.append(answer))
    )
    status = int(answers[0][0].split()[0])
    labels = {'method': method, 'status': str(status)}
    if method != 'PUT':
        name = 'skylarktally_entry_requests_total'
        assert metrics.registry.get_sample_value(name, labels) == 1
    return status, dict(answers[0][1]), json.loads(content), jobs.calls


def fail(kind, seconds=None):
    delay = None if seconds is None else pools.seconds(seconds)
    return result.Failure(_errors.Failure(kind, 'message', delay))


@pytest.mark.parametrize(
    'outcome, method, path, status',
    [
        (result.Success(None), 'POST', f'/p/{JOB}', 200),
        (fail(ErrorKind.QUEUE_FULL, 4), 'POST', f'/p/{JOB}', 429),
        (fail(ErrorKind.PLATFORM_UNAVAILABLE), 'POST', f'/p/{JOB}', 503),
        (fail(ErrorKind.LEASE_LOST, 2), 'POST', f'/p/{JOB}', 503),
        (fail(ErrorKind.OUTCOME_UNKNOWN), 'POST', f'/p/{JOB}', 502),
        (fail(ErrorKind.INVALID_REQUEST), 'POST', f'/p/{JOB}', 400),
        (fail(ErrorKind.NOT_FOUND), 'GET', f'/p/{JOB}', 410),
        (fail(ErrorKind.NOT_FOUND), 'DELETE', f'/p/{JOB}', 410),
        (result.Success(3), 'GET', '/p/', 200),
        (result.Success(None), 'GET', '/other/', 404),
        (result.Success(None), 'GET', '/p/short', 400),
        (result.Success(None), 'PUT', f'/p/{JOB}', 400),
    ],
)
def test_outcomes_map_to_statuses(outcome, method, path, status):
    assert request(outcome, method, path, b'{}')[0] == status


def test_a_refusal_has_a_retry_after_header():
    refusal = fail(ErrorKind.QUEUE_FULL, 3.2)
    _, headers, _, _ = request(refusal, 'POST', body=b'{}')
    assert headers['Retry-After'] == '4'


def test_the_longest_prefix_selects_the_queue():
    shown = result.Success(_work.JobState.RUNNING)
    _, _, body, calls = request(shown, path=f'/p/more/{JOB}')
    assert calls == [('show', 'longer', JOB)]
    assert body == {'state': 'running'}


def test_requests_are_refused_before_a_configuration_is_read():
    status, _, _, calls = request(result.Success(None), configured=False)
    assert (status, calls) == (503, [])


def test_a_body_above_the_limit_is_refused_unread():
    status, _, _, calls = request(
        result.Success(None), 'POST', body=b'x' * 1001
    )
    assert (status, calls) == (413, [])


@pytest.mark.parametrize(
    'text, status',
    [
        ('3000', 200),
        ('9' * 20, 200),
        ('9' * 21, 400),
        ('-1', 400),
        ('1e3', 400),
        ('\u00b2', 400),
        ('x', 400),
    ],
)
def test_a_deadline_is_read_or_refused(text, status):
    """Guards against a caller that is told of an internal error instead."""
    found, _, _, _ = request(
        result.Success(None),
        'POST',
        body=b'{}',
        HTTP_X_SKYLARKTALLY_DEADLINE_MS=text,
    )
    assert found == status


@pytest.mark.parametrize('length', ['\u00b2', '-1', '9' * 5000, 'x'])
def test_an_odd_content_length_is_refused(length):
    found, _, _, calls = request(
        result.Success(None), 'POST', CONTENT_LENGTH=length
    )
    assert (found, calls) == (400, [])


def test_an_unexpected_error_is_an_unknown_outcome():
    """Guards against a caller that takes a stored job for refused."""

    class Faulty:
        def __getattr__(self, name):
            raise RuntimeError('a fault of the program')

    status, _, body, _ = request(Faulty(), 'POST', body=b'{}')
    assert status == 502
    assert body['error']['kind'] == ErrorKind.OUTCOME_UNKNOWN.value


def test_the_clock_counts_the_time_of_a_suspended_machine(monkeypatch):
    """Guards against a permission that outlives the sleep of its machine.

    The steady clock of the system stands still while it is suspended.
    """
    clock = _clock.SystemClock()
    before = clock.monotonic()
    read = time.clock_gettime
    suspended = {time.CLOCK_BOOTTIME: 5.0}
    monkeypatch.setattr(
        time,
        'clock_gettime',
        lambda number: read(number) + suspended.get(number, 0.0),
    )
    assert clock.monotonic() - before >= pools.seconds(5)
