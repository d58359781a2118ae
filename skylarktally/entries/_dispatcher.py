"""Takes the calls of callers to the owner of the pool they concern."""

import datetime
import logging
from typing import Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _directory
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Failure = _errors.Failure
Reply = result.Result[_calls.JobReply, Failure]

# A call that is not answered by then is sent again, to the owner of then.
_TRY_TIMEOUT = datetime.timedelta(seconds=1.2)
_RETRY_DELAY = datetime.timedelta(seconds=0.1)
# Without an owner in sight a job is refused after this long.
_OWNER_WAIT = datetime.timedelta(seconds=0.6)
_OWNER_DELAY = datetime.timedelta(seconds=2)

_RETRIED = frozenset(
    {
        ErrorKind.LEASE_LOST,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)
# A caller that gets one of these takes the job for not run.
_REFUSALS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.PLATFORM_UNAVAILABLE})


class Owners(Protocol):
    """The pools that this entry owns."""

    def find_owner(self, pool: str) -> _owner.PoolOwner | None:
        """Return the owner of a pool if it is in this process."""


class JobDispatcher:
    """Sends each call to the owner of its pool, and again if need be."""

    def __init__(
        self,
        owners: Owners,
        directory: _directory.Directory,
        calls: _calls.EntryCalls,
        clock: _clock.Clock,
    ) -> None:
        self._owners = owners
        self._directory = directory
        self._calls = calls
        self._clock = clock

    def submit(
        self,
        queue: _work.Queue,
        job: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> result.Result[None, Failure]:
        """Hand in a job; on success it is stored."""
        call = _calls.JobCall('submit', queue.pool, queue.name, job, body)
        return self._dispatch(call, timeout).map(lambda reply: None)

    def show(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Return the state of a job."""
        return self._find_state('show', queue, job, timeout)

    def cancel(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Cancel a job; on success that is stored."""
        return self._find_state('cancel', queue, job, timeout)

    def count(
        self, queue: _work.Queue, timeout: datetime.timedelta
    ) -> result.Result[int, Failure]:
        """Return the number of jobs that have not started."""
        call = _calls.JobCall('count', queue.pool, queue.name, '')
        return self._dispatch(call, timeout).map(lambda reply: reply.queued)

    def _find_state(
        self,
        operation: str,
        queue: _work.Queue,
        job: str,
        timeout: datetime.timedelta,
    ) -> result.Result[_work.JobState, Failure]:
        """Ask the pool of the queue, and then those that it may have had.

        A job stays in the pool in which it was accepted when its queue is
        configured to use another one.
        """
        begin = self._clock.monotonic()
        found: result.Result[_work.JobState, Failure]
        for pool in (queue.pool, *self._list_other_pools(queue)):
            left = timeout - (self._clock.monotonic() - begin)
            call = _calls.JobCall(operation, pool, queue.name, job)
            found = self._dispatch(call, left).map(_read_state)
            if isinstance(found, result.Success):
                return found
            if found.failure().kind is not ErrorKind.NOT_FOUND:
                return found
        return found

    def _list_other_pools(self, queue: _work.Queue) -> list[str]:
        configuration = self._directory.configuration
        if configuration is None:
            return []
        return [
            pool.name
            for pool in configuration.pools
            if pool.name != queue.pool and not pool.is_standby
        ]

    def _dispatch(
        self, call: _calls.JobCall, timeout: datetime.timedelta
    ) -> Reply:
        """Try until there is an answer or the time is up."""
        begin = self._clock.monotonic()
        is_sent = False
        while True:
            spent = self._clock.monotonic() - begin
            left = min(timeout - spent, _TRY_TIMEOUT)
            call.timeout_ms = max(int(left.total_seconds() * 1000), 1)
            outcome = self._try(call)
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
            if failure.kind not in _RETRIED:
                return result.Failure(_qualify(failure, is_sent))
            is_sent = is_sent or failure.kind is ErrorKind.OUTCOME_UNKNOWN
            spent = self._clock.monotonic() - begin + _RETRY_DELAY
            if spent >= (timeout if is_sent else min(timeout, _OWNER_WAIT)):
                return result.Failure(_conclude(failure, is_sent))
            self._clock.sleep(_RETRY_DELAY)
            self._directory.refresh_terms()

    def _try(self, call: _calls.JobCall) -> Reply:
        owner = self._owners.find_owner(call.pool)
        if owner is not None:
            return read_reply(self.handle(call))
        address = self._directory.find_address(call.pool)
        if address is None:
            message = f'pool {call.pool} has no owner'
            return result.Failure(Failure(ErrorKind.LEASE_LOST, message))
        return self._calls.handle(address, call).bind(read_reply)

    def handle(self, call: _calls.JobCall) -> _calls.JobReply:
        """Carry out a call as the owner of the pool."""
        owner = self._owners.find_owner(call.pool)
        if owner is None or not owner.is_ready:
            message = f'pool {call.pool} is not owned here'
            return _write_failure(Failure(ErrorKind.LEASE_LOST, message))
        if call.operation == 'count':
            queued = owner.count_queued(call.queue)
            return _calls.JobReply('', '', 0, '', queued)
        if call.operation == 'submit':
            accepted = self._submit(owner, call)
            if isinstance(accepted, result.Success):
                return _write_state('')
            return _write_failure(accepted.failure())
        shown = (
            owner.show(call.job)
            if call.operation == 'show'
            else owner.cancel(call.job)
        )
        if isinstance(shown, result.Success):
            return _write_state(shown.unwrap().value)
        return _write_failure(shown.failure())

    def _submit(
        self, owner: _owner.PoolOwner, call: _calls.JobCall
    ) -> result.Result[None, Failure]:
        queue = self._find_queue(call.queue)
        if queue is None:
            message = f'queue {call.queue} is not known here yet'
            return result.Failure(Failure(ErrorKind.LEASE_LOST, message))
        timeout = datetime.timedelta(milliseconds=call.timeout_ms)
        return owner.submit(
            _owner.Submission(call.job, queue, call.body, timeout)
        )

    def _find_queue(self, name: str) -> _work.Queue | None:
        configuration = self._directory.configuration
        if configuration is None:
            return None
        return next(
            (item for item in configuration.queues if item.name == name),
            None,
        )


def read_reply(reply: _calls.JobReply) -> Reply:
    """Return the failure that a reply carries, or the reply."""
    if not reply.error:
        return result.Success(reply)
    delay = None
    if reply.retry_after_ms:
        delay = datetime.timedelta(milliseconds=reply.retry_after_ms)
    kind = ErrorKind(reply.error)
    return result.Failure(Failure(kind, reply.message, delay))


def _read_state(reply: _calls.JobReply) -> _work.JobState:
    return _work.JobState(reply.state)


def _write_state(state: str) -> _calls.JobReply:
    return _calls.JobReply('', '', 0, state, 0)


def _write_failure(failure: Failure) -> _calls.JobReply:
    delay = failure.retry_after or datetime.timedelta()
    milliseconds = int(delay.total_seconds() * 1000)
    return _calls.JobReply(
        failure.kind.value, failure.message, milliseconds, '', 0
    )


def _qualify(failure: Failure, is_sent: bool) -> Failure:
    """Return a refusal as it is true of all tries.

    :param is_sent: whether an earlier try had no answer and may arrive yet
    """
    if is_sent and failure.kind in _REFUSALS:
        return failure._replace(kind=ErrorKind.OUTCOME_UNKNOWN)
    return failure


def _conclude(failure: Failure, is_sent: bool) -> Failure:
    """Return what the caller is told once the time is up."""
    if is_sent:
        return failure._replace(kind=ErrorKind.OUTCOME_UNKNOWN)
    message = f'the pool has no owner that answers: {failure.message}'
    return Failure(ErrorKind.LEASE_LOST, message, _OWNER_DELAY)
