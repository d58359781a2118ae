"""Silent connections, unreachable workers and workers that fail tasks."""

import datetime
import time

import pytest

from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _outliers
from tests import scripted
from tests import serving

LIMITS = _limits.ServingLimits(
    response_timeout=datetime.timedelta(seconds=0.3),
    probe_timeout=datetime.timedelta(seconds=0.3),
    connect_timeout=datetime.timedelta(seconds=0.3),
    min_ejection_time=datetime.timedelta(seconds=0.4),
)
# Response timeout, probe with grace time, one retry delay, test overhead.
MAX_REPLY_SECONDS = 1.0


def measure_seconds(function):
    start = time.monotonic()
    function()
    return time.monotonic() - start


@pytest.fixture(params=['product', 'naive'])
def cell(request):
    with serving.Cell(limits=LIMITS, naive=request.param == 'naive') as cell:
        yield cell


def fall_silent(worker, connection, request):
    """Keep the first connection silent; new ones work."""
    if worker.silenced:
        return True
    worker.silenced = True
    _loop.sleep(5)
    return False


def test_silent_connection_is_replaced(cell):
    """Guards against failed requests, or an ejection, for one connection.

    The first connection to the worker goes silent after the request.
    """
    worker = cell.add_scripted(script=fall_silent)
    worker.silenced = False

    def check():
        for token in ('t1', 't2', 't3'):
            path = f'/v1/pools/desk/jobs/report/{token}'
            replies = []
            seconds = measure_seconds(
                lambda path=path, replies=replies: replies.append(
                    cell.call('GET', path)
                )
            )
            assert replies[0].status == 200
            scripted.check_body(replies[0].body, token, 1000)
            assert seconds < MAX_REPLY_SECONDS

    cell.expect_failure_if_naive(check)
    if not cell.naive:
        observed = cell.routers[0].pipeline.observe()['workers']['w1']
        assert not observed['ejected']
        assert observed['failures'] == 0


def test_long_task_is_not_taken_for_silence():
    """Guards against a second run of a task that outlasts the timeout."""
    with serving.Cell(limits=LIMITS) as cell:
        worker = cell.add_worker()
        path = '/v1/pools/desk/jobs/report/work?seconds=1.0&bytes=10'
        reply = cell.call('GET', path)
        assert (reply.status, len(reply.body)) == (200, 10)
        assert len(worker.runs) == 1


def test_dead_worker_is_ejected_and_comes_back():
    """Guards against a stopped worker that is treated as a silent connection.

    It must be ejected, and used again once it responds to probes.
    """
    with serving.Cell(limits=LIMITS) as cell:
        cell.add_worker()
        cell.add_worker()
        router = cell.add_router()
        path = '/v1/pools/desk/jobs/report/a'
        address = cell.workers[0].server.address
        cell.workers[0].stop()
        assert {x.status for x in cell.burst(6, path)} == {200}
        records = router.pipeline.observe()['workers']
        assert records['w1']['ejected'] and not records['w2']['ejected']
        cell.workers[0].server = serving.Server(
            cell.workers[0].worker.application, address=address
        )
        _loop.sleep(1.5)
        assert {x.status for x in cell.burst(6, path)} == {200}
        assert len(cell.workers[0].worker.runs) > 0


def test_failing_worker_attracts_no_traffic(cell):
    """Guards against a worker that attracts requests by failing them fast."""
    workers = [cell.add_worker() for _ in range(4)]
    workers[0].faults = {'fail_ratio': 1.0}
    path = '/v1/pools/desk/jobs/report/work?seconds=0.005&bytes=1'

    def check():
        replies = [x for _ in range(40) for x in cell.burst(5, path)]
        failed = sum(x.status != 200 for x in replies)
        assert failed == 0
        # 5 consecutive failures before the ejection, then one trial after
        # each ejection of at least 0.4 s.
        assert len(workers[0].runs) <= 5 + 6

    cell.expect_failure_if_naive(check)
    if cell.naive:
        return
    workers[0].faults = {}
    before = len(workers[0].runs)
    _loop.sleep(1.0)
    for _ in range(20):
        cell.burst(5, path)
    assert len(workers[0].runs) - before > 5


@pytest.mark.parametrize('size, max_ejected', [(1, 0), (2, 1), (5, 2), (8, 4)])
def test_at_most_half_of_a_pool_is_ejected(size, max_ejected):
    """Guards against ejections that leave a pool without workers."""
    clock = serving.ManualClock()
    outliers = _outliers.OutlierDetector(clock, _limits.ServingLimits())
    names = {f'w{i}' for i in range(size)}
    outliers.track(names)
    for _ in range(10):
        for name in sorted(names):
            outliers.note_failure(name, unreachable=True)
    ejected = [
        x
        for x in outliers.records.values()
        if x.health is _outliers.Health.EJECTED
    ]
    assert len(ejected) == max_ejected


def test_one_failure_ends_a_trial():
    """Guards against a worker that returns and fails task after task."""
    clock = serving.ManualClock()
    outliers = _outliers.OutlierDetector(clock, _limits.ServingLimits())
    outliers.track({'w1', 'w2'})
    outliers.note_failure('w1', unreachable=True)
    clock.advance(1)
    outliers.note_probe('w1', answered=True)
    outliers.note_failure('w1')
    assert outliers.records['w1'].health is _outliers.Health.EJECTED


def test_ejection_grows_and_ends_by_probe():
    """Guards against a failing worker that is tried at a constant rate.

    The ejection time doubles up to 30 s, and a probe ends it.
    """
    clock = serving.ManualClock()
    outliers = _outliers.OutlierDetector(clock, _limits.ServingLimits())
    outliers.track({'w1', 'w2'})
    record = outliers.records['w1']
    durations = []
    for _ in range(5):
        outliers.note_failure('w1')
    for _ in range(7):
        durations.append(
            (record.ejected_until - clock.monotonic()).total_seconds()
        )
        assert outliers.list_due_probes() == []
        clock.advance(durations[-1])
        assert outliers.list_due_probes() == ['w1']
        outliers.note_probe('w1', answered=True)
        assert record.health is _outliers.Health.TRIAL
        # One failed task in the trial is enough.
        outliers.note_failure('w1')
    assert durations == [1, 2, 4, 8, 16, 30, 30]
    clock.advance(30)
    outliers.note_probe('w1', answered=False)
    assert record.health is _outliers.Health.EJECTED
    clock.advance(30)
    outliers.note_probe('w1', answered=True)
    outliers.note_success('w1')
    assert record.health is _outliers.Health.GOOD
