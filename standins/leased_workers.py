"""In-process stand-in of the platform's workers, which run tasks under leases.

All time is read from the clock that is passed in. A run ends when the test
or an order ends it, or when the lease of its worker expires. Tests can inject
these faults: a worker that does not respond, an order or a response that is
lost, and an order that is executed late.
"""

import dataclasses
import datetime
import enum
from typing import Any

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _work

ErrorKind = _errors.ErrorKind
Rejection = _orders.Rejection

_MAX_LEASE = datetime.timedelta(seconds=10)
_LISTED_ENDS = 500
_POLL_INTERVAL = datetime.timedelta(seconds=0.01)


class Fault(enum.Enum):
    """Fault to inject into an order; the caller never gets a response."""

    # The order is lost, so that it is never executed.
    DROP_REQUEST = 'drop'
    # It is executed, but the response is lost.
    LOSE_RESPONSE = 'lose'
    # It is executed when the test calls ``deliver``.
    DELAY = 'delay'


@dataclasses.dataclass
class RunState:
    """State of a run that is active on a worker."""

    number: int
    # Pace of the run, in per cent of its full speed.
    percent: int = 100
    checkpoint: str = ''


class LeasedWorker:
    """One incarnation of a worker, from its start to its restart."""

    def __init__(
        self, record: _work.WorkerRecord, clock: _clock.Clock
    ) -> None:
        self.record = record
        self.token = 0
        self.active: dict[_work.TaskId, RunState] = {}
        self.ended: list[_work.EndedRun] = []
        # Task and run number of every executed start, for checks in tests.
        self.starts: list[tuple[_work.TaskId, int]] = []
        self.lease_expiry = datetime.timedelta()
        self._clock = clock
        self._started_at = clock.monotonic()
        # Highest number of the runs of each task that ended or were stopped.
        # Starts up to it are rejected.
        self._highest_ended: dict[_work.TaskId, int] = {}
        self._sequence = 0

    def read_clock(self) -> datetime.timedelta:
        """Return the time on the worker's own clock, which starts at 0."""
        return self._clock.monotonic() - self._started_at

    def end_expired_runs(self) -> None:
        """End all runs if the lease has expired."""
        if self.active and self.read_clock() >= self.lease_expiry:
            for task in list(self.active):
                self.end(task, _work.EndKind.LEASE_EXPIRED)

    def end(self, task: _work.TaskId, kind: _work.EndKind) -> None:
        """End the active run of a task and add it to the ended runs."""
        run = self.active.pop(task)
        self._highest_ended[task] = run.number
        self._sequence += 1
        self.ended.append(
            _work.EndedRun(
                self._sequence,
                task,
                run.number,
                kind,
                run.checkpoint,
            )
        )

    def accept_token(self, token: int) -> bool:
        """Record a fencing token; return False if it is outdated."""
        self.end_expired_runs()
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_lease(self, until: datetime.timedelta | None) -> None:
        """Extend the lease that all runs share.

        It never gets shorter, and ends at most ``_MAX_LEASE`` from now.
        """
        if until is not None:
            latest = self.read_clock() + _MAX_LEASE
            self.lease_expiry = max(self.lease_expiry, min(until, latest))

    def start(self, order: _orders.StartOrder) -> Rejection | None:
        """Start a run, or return why it is rejected.

        A repeated start of the active run succeeds without effect.
        """
        if order.until <= self.read_clock():
            return Rejection.EXPIRED
        self.extend_lease(order.until)
        run = self.active.get(order.task)
        if run is not None and run.number == order.number:
            return None
        if order.number <= self._highest_ended.get(order.task, 0):
            return Rejection.STALE
        self.active[order.task] = RunState(order.number)
        self.starts.append((order.task, order.number))
        return None

    def stop(self, task: _work.TaskId, number: int) -> None:
        """Stop a run; if its start arrives later, it is rejected."""
        run = self.active.get(task)
        if run is not None and run.number == number:
            self.end(task, _work.EndKind.STOPPED)
        self._highest_ended[task] = max(
            self._highest_ended.get(task, 0), number
        )

    def report(self, acknowledged: int) -> _work.WorkerReport:
        """Return the active runs and the ended runs not yet acknowledged.

        It lists the first ``_LISTED_ENDS`` ended runs.

        :param acknowledged: sequence number of the last ended run that the
            caller has received; runs up to it are discarded
        """
        self.ended = [
            item for item in self.ended if item.sequence > acknowledged
        ]
        active = tuple(
            _work.ActiveRun(task, run.number, run.checkpoint, run.percent, 0)
            for task, run in self.active.items()
        )
        return _work.WorkerReport(
            self.read_clock(),
            self.record.started_ms,
            active,
            tuple(self.ended[:_LISTED_ENDS]),
            is_complete=len(self.ended) < _LISTED_ENDS,
        )


class WorkerFleet:
    """All workers, with fault injection.

    Each order takes the first item of ``faults``; None and an empty list mean
    no fault. Workers whose ids are in ``unresponsive`` receive no orders.
    """

    def __init__(self, clock: _clock.Clock, long_polls: bool = False) -> None:
        """Create an empty fleet.

        :param long_polls: whether ``renew_leases`` waits for a run to end, as
            the order asks; needs a clock that advances by itself
        """
        self._long_polls = long_polls
        self.workers: dict[str, LeasedWorker] = {}
        self.faults: list[Fault | None] = []
        self.unresponsive: set[str] = set()
        self.delayed: list[Any] = []
        # Orders that were sent, whether or not a worker got them.
        self.order_count = 0
        self._clock = clock

    def add(self, record: _work.WorkerRecord) -> LeasedWorker:
        """Add a worker; it replaces an earlier one with the same id."""
        worker = LeasedWorker(record, self._clock)
        self.workers[record.id] = worker
        return worker

    def _send(
        self, worker: _work.WorkerRecord, token: int, execute: Any
    ) -> Any:
        self.order_count += 1
        fault = self.faults.pop(0) if self.faults else None
        if worker.id not in self.workers:
            kind = ErrorKind.WORKER_UNREACHABLE
            return result.Failure(_errors.Failure(kind, 'no such worker'))
        target = self.workers[worker.id]

        def apply() -> Any:
            if not target.accept_token(token):
                return _orders.OrderResult(Rejection.FENCED)
            return execute(target)

        if worker.id in self.unresponsive or fault is Fault.DROP_REQUEST:
            return _fail_without_response()
        if fault is Fault.DELAY:
            self.delayed.append(apply)
            return _fail_without_response()
        response = apply()
        return (
            _fail_without_response()
            if fault is Fault.LOSE_RESPONSE
            else result.Success(response)
        )

    def deliver(self) -> Any:
        """Execute the oldest delayed order and return its response."""
        return self.delayed.pop(0)()

    def start(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.StartOrder,
    ) -> _orders.OrderOutcome:
        """Send an order to start a run."""
        outcome: _orders.OrderOutcome = self._send(
            worker,
            token,
            lambda target: _orders.OrderResult(
                target.start(order), target.read_clock()
            ),
        )
        return outcome

    def stop(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
    ) -> _orders.OrderOutcome:
        """Send an order to stop a run."""

        def execute(target: LeasedWorker) -> _orders.OrderResult:
            target.stop(task, number)
            return _orders.OrderResult(None, target.read_clock())

        outcome: _orders.OrderOutcome = self._send(worker, token, execute)
        return outcome

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> _orders.OrderOutcome:
        """Send an order that sets the pace of a run.

        :param percent: pace in per cent of the full speed
        """

        def execute(target: LeasedWorker) -> _orders.OrderResult:
            run = target.active.get(task)
            if run is not None and run.number == number:
                run.percent = percent
            return _orders.OrderResult(None, target.read_clock())

        outcome: _orders.OrderOutcome = self._send(worker, token, execute)
        return outcome

    def renew_leases(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.RenewOrder,
    ) -> result.Result[
        _work.WorkerReport | _orders.OrderResult, _errors.Failure
    ]:
        """Extend the lease of a worker and return its report.

        With long polls, wait up to ``order.wait`` until a run has ended that
        the caller has not acknowledged.
        """

        def execute(target: LeasedWorker) -> _work.WorkerReport:
            target.extend_lease(order.until)
            return target.report(order.acknowledged)

        outcome: result.Result[
            _work.WorkerReport | _orders.OrderResult, _errors.Failure
        ] = self._send(worker, token, execute)
        target = self.workers.get(worker.id)
        if target is None:
            return outcome
        deadline = self._clock.monotonic() + order.wait
        while self._long_polls and self._clock.monotonic() < deadline:
            if any(
                item.sequence > order.acknowledged for item in target.ended
            ):
                outcome = self._send(worker, token, execute)
                break
            self._clock.sleep(_POLL_INTERVAL)
        return outcome


def _fail_without_response() -> result.Result[Any, _errors.Failure]:
    kind = ErrorKind.OUTCOME_UNKNOWN
    return result.Failure(_errors.Failure(kind, 'no response'))
