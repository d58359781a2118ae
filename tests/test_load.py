"""Tests of the watch on the event loop of an entry instance."""

import logging

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _metrics
from skylarktally.entries import _load
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _work
from tests import pools

TASK = _work.TaskId('a', 0, 0, 0)


class Work:
    def describe_work(self):
        return {'shards': ['desk']}


@pytest.mark.parametrize(
    'lags, changes',
    [
        ([0.0, 0.05, 0.1], []),
        # A single long pause is reported once, until the loop is calm.
        ([0.0, 0.5, 0.5, 0.1], [1]),
        ([0.5, 0.0, 0.0, 0.0, 0.0], [0, 4]),
        # Not calm for long enough.
        ([0.5, 0.0, 0.0, 0.06, 0.0, 0.0, 0.0], [0]),
    ],
)
def test_only_changes_of_the_loop_are_reported(lags, changes):
    """Guards against a log line for each interval of a busy process."""
    tracker = _load.LagTracker()
    found = [
        position
        for position, lag in enumerate(lags)
        if tracker.record(pools.seconds(lag))
    ]
    assert found == changes


def test_a_late_loop_is_logged_with_the_work_done(caplog):
    """Guards against starvation that neither logs nor metrics show."""
    caplog.set_level(logging.INFO)
    metrics = _metrics.EntryMetrics(_metrics.create_registry())
    watch = _load.LoopWatch(pools.ManualClock(), metrics, Work())
    watch.record(pools.seconds(0.7))
    (line,) = caplog.records
    assert line.message == 'event loop is late'
    assert (line.lag_ms, line.shards) == (700, ['desk'])
    name = 'skylarktally_entry_loop_lag_seconds_sum'
    assert metrics.registry.get_sample_value(name) == 0.7


class Client:
    """Answers each second call."""

    def __init__(self):
        self.calls = 0

    def _answer(self, *arguments):
        self.calls += 1
        if self.calls % 2:
            return result.Success(_orders.OrderResult(None))
        kind = _errors.ErrorKind.OUTCOME_UNKNOWN
        return result.Failure(_errors.Failure(kind, 'no response'))

    start = stop = pace = renew_leases = _answer


def test_calls_to_workers_are_counted_by_kind():
    metrics = _metrics.EntryMetrics(_metrics.create_registry())
    client = _load.CountedWorkerClient(Client(), metrics)
    worker = pools.make_worker('w')
    for _ in range(3):
        client.stop(worker, 1, TASK, 1)
    client.start(worker, 1, None)
    client.renew_leases(worker, 1, None)
    metrics.plan_seconds.observe(0.25)
    assert metrics.summarise_work() == {
        'plans': 1,
        'planning_seconds': 0.25,
        'unanswered_calls': 2,
        'start_calls': 1,
        'stop_calls': 3,
        'renew_calls': 1,
    }
