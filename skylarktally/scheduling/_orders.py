"""Orders to workers and to the platform, and their results."""

from collections.abc import Callable
import datetime
import enum
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _work


class Rejection(enum.Enum):
    """Why a worker or the platform did not execute an order."""

    # A higher fencing token has been used by another holder.
    FENCED = 'fenced'
    # The run number is not higher than that of a run of the task that ended
    # or was stopped there.
    STALE = 'old'
    # The order arrived after the lease in it had expired.
    EXPIRED = 'late'
    NO_CAPACITY = 'room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    # The address belongs to another incarnation of the worker.
    OTHER_INCARNATION = 'other-life'
    BUSY = 'busy'
    WAVE = 'wave'
    INVALID = 'invalid'


class OrderResult(NamedTuple):
    """Answer to an order; without a rejection, the order was executed."""

    rejection: Rejection | None
    # Clock of the worker, if the answer has it.
    clock: datetime.timedelta | None = None


class StartOrder(NamedTuple):
    """Order to start a run."""

    task: _work.TaskId
    number: int
    task_spec: str
    # End of the lease in the worker's clock.
    until: datetime.timedelta
    checkpoint: str
    # Proves that the worker may run the step, if the queue requires advice.
    ticket: str = ''


class RenewOrder(NamedTuple):
    """Order to renew the leases of all runs and to report."""

    until: datetime.timedelta | None
    # Sequence number up to which ended runs need not be reported again.
    acknowledged: int
    wait: datetime.timedelta
    # How much longer than ``wait`` the answer may take.
    answer_time: datetime.timedelta


OrderOutcome = result.Result[OrderResult, _errors.Failure]


class WorkerClient(Protocol):
    """Calls to workers.

    OUTCOME_UNKNOWN means that the order may have been executed or may be
    executed later.
    """

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
        """Stop a run; if its start arrives later, the worker rejects it."""

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> OrderOutcome:
        """Set the pace of a run, in per cent of its full speed."""

    def renew_leases(
        self, worker: _work.WorkerRecord, token: int, order: RenewOrder
    ) -> result.Result[_work.WorkerReport | OrderResult, _errors.Failure]:
        """Renew the leases and return the report, or a rejection."""


class Permit(NamedTuple):
    """Permission to order instances, for as long as a term lasts.

    The platform may accept any token, so that an order must not be under way
    when a successor can give orders.
    """

    holder: str
    token: int
    find_time_left: Callable[[], datetime.timedelta]


class InstanceClient(Protocol):
    """The platform's interface for instances.

    An order is sent only while its permit lasts, and given up when it ends.
    """

    def list_instances(
        self,
    ) -> result.Result[tuple[_work.InstanceRecord, ...], _errors.Failure]:
        """Return all instances."""

    def maintain(
        self, instance: str, wave: int, permit: Permit
    ) -> OrderOutcome:
        """Order the maintenance of an instance, which takes it down."""

    def move(self, instance: str, pool: str, permit: Permit) -> OrderOutcome:
        """Move an instance to another pool."""
