"""Watches whether the event loop of an entry instance keeps up."""

from collections.abc import Mapping
import datetime
import logging
from typing import Any, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _metrics
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

_INTERVAL = datetime.timedelta(seconds=0.25)
# Every ready green thread of a saturated process has its turn within about
# this time. It is a quarter of the timeout of an order.
_LATE_ABOVE = datetime.timedelta(seconds=0.1)
# The loop keeps up again once it was this punctual for _CALM_INTERVALS.
_PUNCTUAL_BELOW = datetime.timedelta(seconds=0.05)
_CALM_INTERVALS = 4
# A loop that was late in this many more intervals than not, at least 1.4 s,
# has lasting work or a slow processor, and not just one long step.
_OVERLOAD_INTERVALS = 4


class LagTracker:
    """Decides from successive lags of the loop whether it keeps up."""

    def __init__(self) -> None:
        self.is_late = False
        self._calm_intervals = 0
        # Counted up when the loop is late and down when it is not, between 0
        # and _OVERLOAD_INTERVALS.
        self._late_intervals = 0

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop has been late for some time."""
        return self._late_intervals == _OVERLOAD_INTERVALS

    def record(self, lag: datetime.timedelta) -> bool:
        """Record a lag; True if the loop has fallen behind or caught up."""
        was_late = self.is_late
        step = -1
        if lag > _LATE_ABOVE:
            self.is_late = True
            step = 1
        self._late_intervals = min(
            max(self._late_intervals + step, 0), _OVERLOAD_INTERVALS
        )
        if lag < _PUNCTUAL_BELOW:
            self._calm_intervals += 1
        else:
            self._calm_intervals = 0
        if self._calm_intervals >= _CALM_INTERVALS:
            self.is_late = False
        return self.is_late != was_late


class Work(Protocol):
    """Describes what the entry instance does at present."""

    def describe_work(self) -> Mapping[str, Any]:
        """Return fields for a log line: shards, and work done so far."""


class LoopWatch:
    """Measures how late the event loop wakes a green thread."""

    def __init__(
        self,
        clock: _clock.Clock,
        metrics: _metrics.EntryMetrics,
        work: Work,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._work = work
        self._tracker = LagTracker()

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop has been late for some time."""
        return self._tracker.is_overloaded

    def run(self) -> None:
        """Measure until the process ends."""
        guard = _guards.Guard('loop watch', self._clock)
        while True:
            started_at = self._clock.monotonic()
            self._clock.sleep(_INTERVAL)
            elapsed = self._clock.monotonic() - started_at
            lag = max(elapsed - _INTERVAL, datetime.timedelta())
            guard.attempt(self.record, lag)

    def record(self, lag: datetime.timedelta) -> None:
        """Record a lag, and log when the loop falls behind or catches up."""
        self._metrics.loop_lag_seconds.observe(lag.total_seconds())
        if not self._tracker.record(lag):
            return
        message = 'event loop keeps up again'
        if self._tracker.is_late:
            message = 'event loop is late'
        _LOG.info(
            message,
            extra={
                'lag_ms': round(lag.total_seconds() * 1000),
                **self._work.describe_work(),
            },
        )


class CountedWorkerClient:
    """Counts the calls to workers by kind, and those without an answer."""

    def __init__(
        self, client: _orders.WorkerClient, metrics: _metrics.EntryMetrics
    ) -> None:
        self._client = client
        calls = metrics.worker_calls
        self._starts = calls.labels('start')
        self._stops = calls.labels('stop')
        self._paces = calls.labels('pace')
        self._renewals = calls.labels('renew')
        self._unanswered = metrics.unanswered_worker_calls

    def start(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.StartOrder,
    ) -> _orders.OrderOutcome:
        """Start a run."""
        self._starts.inc()
        return self._check(self._client.start(worker, token, order))

    def stop(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
    ) -> _orders.OrderOutcome:
        """Stop a run; if its start arrives later, the worker rejects it."""
        self._stops.inc()
        return self._check(self._client.stop(worker, token, task, number))

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> _orders.OrderOutcome:
        """Set the pace of a run, in per cent of its full speed."""
        self._paces.inc()
        return self._check(
            self._client.pace(worker, token, task, number, percent)
        )

    def renew_leases(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.RenewOrder,
    ) -> result.Result[
        _work.WorkerReport | _orders.OrderResult, _errors.Failure
    ]:
        """Renew the leases and return the report, or a rejection."""
        self._renewals.inc()
        return self._check(self._client.renew_leases(worker, token, order))

    def _check(
        self, outcome: result.Result[Any, _errors.Failure]
    ) -> result.Result[Any, _errors.Failure]:
        if not isinstance(outcome, result.Success):
            self._unanswered.inc()
        return outcome
