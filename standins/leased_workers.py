"""Stand-in of the platform's workers, which run tasks under leases.

Time is that of the clock passed in. Runs end when the test says so or when
their lease lapses. Faults: a worker that does not answer, one whose answer
is lost, and one that carries an order out later.
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

_LONGEST_LEASE = datetime.timedelta(seconds=10)
_POLL = datetime.timedelta(seconds=0.01)


class Fault(enum.Enum):
    """What goes wrong with an order."""

    # It never arrives.
    DROP_REQUEST = 'drop'
    # It is carried out and its answer lost.
    LOSE_RESPONSE = 'lose'
    # It is carried out by ``deliver``.
    DELAY = 'delay'


@dataclasses.dataclass
class Running:
    """A run that is present on a worker."""

    number: int
    percent: int = 100
    checkpoint: str = ''


class LeasedWorker:
    """One life of a worker."""

    def __init__(
        self, record: _work.WorkerRecord, clock: _clock.Clock
    ) -> None:
        self.record = record
        self.token = 0
        self.active: dict[_work.TaskId, Running] = {}
        self.ended: list[_work.EndedRun] = []
        # Every start that was carried out, for the checks of tests.
        self.starts: list[tuple[_work.TaskId, int]] = []
        self.lease_expiry = datetime.timedelta()
        self._clock = clock
        self._born = clock.monotonic()
        self._barred: dict[_work.TaskId, int] = {}
        self._sequence = 0

    def read_clock(self) -> datetime.timedelta:
        """Return the time on the worker's own clock."""
        return self._clock.monotonic() - self._born

    def end_expired_runs(self) -> None:
        """End all runs if the lease is over."""
        if self.active and self.read_clock() >= self.lease_expiry:
            for task in list(self.active):
                self.end(task, _work.EndKind.LEASE_EXPIRED)

    def end(self, task: _work.TaskId, kind: _work.EndKind) -> None:
        """End a run."""
        running = self.active.pop(task)
        self._barred[task] = running.number
        self._sequence += 1
        self.ended.append(
            _work.EndedRun(
                self._sequence,
                task,
                running.number,
                kind,
                running.checkpoint,
            )
        )

    def raise_token(self, token: int) -> bool:
        """Tell whether an order with the token may be carried out."""
        self.end_expired_runs()
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, until: datetime.timedelta | None) -> None:
        """Extend the lease of all runs."""
        if until is not None:
            latest = self.read_clock() + _LONGEST_LEASE
            self.lease_expiry = max(self.lease_expiry, min(until, latest))

    def start(self, order: _orders.StartOrder) -> Rejection | None:
        """Start a run."""
        if order.until <= self.read_clock():
            return Rejection.EXPIRED
        self.extend(order.until)
        running = self.active.get(order.task)
        if running is not None and running.number == order.number:
            return None
        if order.number <= self._barred.get(order.task, 0):
            return Rejection.STALE
        self.active[order.task] = Running(order.number)
        self.starts.append((order.task, order.number))
        return None

    def stop(self, task: _work.TaskId, number: int) -> None:
        """Stop a run, and bar it if it has not arrived yet."""
        running = self.active.get(task)
        if running is not None and running.number == number:
            self.end(task, _work.EndKind.STOPPED)
        self._barred[task] = max(self._barred.get(task, 0), number)

    def report(self, seen: int) -> _work.WorkerReport:
        """Return what is present and what has ended since."""
        self.ended = [end for end in self.ended if end.sequence > seen]
        active = tuple(
            _work.ActiveRun(
                task, running.number, running.checkpoint, running.percent, 0
            )
            for task, running in self.active.items()
        )
        return _work.WorkerReport(
            self.read_clock(),
            self.record.started_ms,
            active,
            tuple(self.ended),
        )


class WorkerFleet:
    """All workers; ``faults`` holds one entry for each coming order."""

    def __init__(self, clock: _clock.Clock, long_polls: bool = False) -> None:
        """Create an empty fleet.

        :param long_polls: whether reports wait for an end as asked;
            needs a clock that goes on by itself
        """
        self._long_polls = long_polls
        self.workers: dict[str, LeasedWorker] = {}
        self.faults: list[Fault | None] = []
        self.unresponsive: set[str] = set()
        self.delayed: list[Any] = []
        self._clock = clock

    def add(self, record: _work.WorkerRecord) -> LeasedWorker:
        """Add a worker."""
        worker = LeasedWorker(record, self._clock)
        self.workers[record.id] = worker
        return worker

    def _order(
        self, worker: _work.WorkerRecord, token: int, carry_out: Any
    ) -> Any:
        fault = self.faults.pop(0) if self.faults else None
        target = self.workers[worker.id]

        def apply() -> Any:
            if not target.raise_token(token):
                return _orders.OrderResult(Rejection.FENCED)
            return carry_out(target)

        if worker.id in self.unresponsive or fault is Fault.DROP_REQUEST:
            return _lose()
        if fault is Fault.DELAY:
            self.delayed.append(apply)
            return _lose()
        answer = apply()
        return (
            _lose() if fault is Fault.LOSE_RESPONSE else result.Success(answer)
        )

    def deliver(self) -> Any:
        """Carry out the oldest order that was delayed."""
        return self.delayed.pop(0)()

    def start(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.StartOrder,
    ) -> _orders.OrderOutcome:
        """Start a run."""
        outcome: _orders.OrderOutcome = self._order(
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
        """Stop a run."""

        def carry_out(target: LeasedWorker) -> _orders.OrderResult:
            target.stop(task, number)
            return _orders.OrderResult(None, target.read_clock())

        outcome: _orders.OrderOutcome = self._order(worker, token, carry_out)
        return outcome

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> _orders.OrderOutcome:
        """Let a run work at a share of its full speed."""

        def carry_out(target: LeasedWorker) -> _orders.OrderResult:
            running = target.active.get(task)
            if running is not None and running.number == number:
                running.percent = percent
            return _orders.OrderResult(None, target.read_clock())

        outcome: _orders.OrderOutcome = self._order(worker, token, carry_out)
        return outcome

    def renew_leases(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.RenewOrder,
    ) -> result.Result[
        _work.WorkerReport | _orders.OrderResult, _errors.Failure
    ]:
        """Extend the leases and report."""

        def carry_out(target: LeasedWorker) -> _work.WorkerReport:
            target.extend(order.until)
            return target.report(order.acknowledged)

        outcome: result.Result[
            _work.WorkerReport | _orders.OrderResult, _errors.Failure
        ] = self._order(worker, token, carry_out)
        target = self.workers[worker.id]
        end = self._clock.monotonic() + order.wait
        while self._long_polls and self._clock.monotonic() < end:
            if any(
                item.sequence > order.acknowledged for item in target.ended
            ):
                outcome = self._order(worker, token, carry_out)
                break
            self._clock.sleep(_POLL)
        return outcome


def _lose() -> result.Result[Any, _errors.Failure]:
    kind = ErrorKind.OUTCOME_UNKNOWN
    return result.Failure(_errors.Failure(kind, 'no answer'))
