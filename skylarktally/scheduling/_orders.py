"""Orders to workers and to the platform, and their outcomes."""

import datetime
import enum
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _work


class Rejection(enum.Enum):
    """Why a worker or the platform did nothing."""

    # Another holder has used a higher fencing token.
    FENCED = 'fenced'
    # The run is not newer than one that ended or was stopped there.
    STALE = 'old'
    # The order arrived after the end of the lease it carries.
    EXPIRED = 'late'
    NO_CAPACITY = 'room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    # The address belongs to another life of the worker.
    OTHER_INCARNATION = 'other-life'
    BUSY = 'busy'
    WAVE = 'wave'
    INVALID = 'invalid'


class OrderResult(NamedTuple):
    """What an order came to; no rejection means that it was carried out."""

    rejection: Rejection | None
    # Clock of the worker, if its answer says it.
    clock: datetime.timedelta | None = None


class StartOrder(NamedTuple):
    """Order to start a run."""

    task: _work.TaskId
    number: int
    task_spec: str
    # End of the lease on the clock of the worker.
    until: datetime.timedelta
    checkpoint: str
    # Proves that the worker may run the step, where advice is asked for.
    ticket: str = ''


class RenewOrder(NamedTuple):
    """Order to extend the lease of all runs and to report."""

    until: datetime.timedelta | None
    # Ends up to this sequence number need not be reported again.
    acknowledged: int
    wait: datetime.timedelta


OrderOutcome = result.Result[OrderResult, _errors.Failure]


class WorkerClient(Protocol):
    """Calls to workers; OUTCOME_UNKNOWN means it may be done later."""

    def start(
        self, worker: _work.WorkerRecord, token: int, order: StartOrder
    ) -> OrderOutcome:
        """Start a run."""

    def stop(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
    ) -> OrderOutcome:
        """Stop a run, and bar it if it has not arrived yet."""

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> OrderOutcome:
        """Let a run work at a share of its full speed."""

    def renew_leases(
        self, worker: _work.WorkerRecord, token: int, order: RenewOrder
    ) -> result.Result[_work.WorkerReport | OrderResult, _errors.Failure]:
        """Extend the leases and return the report, or a rejection."""


class InstanceClient(Protocol):
    """The platform's interface for instances."""

    def list_instances(
        self,
    ) -> result.Result[tuple[_work.InstanceRecord, ...], _errors.Failure]:
        """Return all instances."""

    def maintain(
        self, instance: str, wave: int, holder: str, token: int
    ) -> OrderOutcome:
        """Take an instance down for maintenance."""

    def move(
        self, instance: str, pool: str, holder: str, token: int
    ) -> OrderOutcome:
        """Move an instance to another pool."""
