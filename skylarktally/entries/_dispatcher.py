"""Forwards the requests of callers to the owner of the pool."""

import datetime
import logging
from typing import Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _claims
from skylarktally.entries import _directory
from skylarktally.entries import _former_pools
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Failure = _errors.Failure
Reply = result.Result[_calls.JobReply, Failure]

# An attempt without an answer by then is retried, with the owner looked up
# again. With a slow store an owner may need a second, and after an attempt
# without an answer no refusal can be passed on.
_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=1.2)
# Of an isolated entry instance; an owner in its zone answers within this time.
_ISOLATED_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=0.3)
_RETRY_DELAY = datetime.timedelta(seconds=0.1)
# A request for a pool without a known owner is refused after this long, unless
# a new owner is expected.
_OWNER_WAIT = datetime.timedelta(seconds=0.6)
_RETRY_AFTER = datetime.timedelta(seconds=2)

_RETRIED_KINDS = frozenset(
    {
        ErrorKind.LEASE_LOST,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)
# A caller that gets one of these assumes that the job will not run.
_REFUSAL_KINDS = frozenset(
    {
        ErrorKind.QUEUE_FULL,
        ErrorKind.PLATFORM_UNAVAILABLE,
        ErrorKind.CONFLICT,
    }
)


class LocalOwners(Protocol):
    """The pools that this entry instance owns."""

    def find_owner(self, pool: str) -> _owner.PoolOwner | None:
        """Return the owner of a pool; None if it is not in this process."""


class Reachability(Protocol):
    """Whether this entry instance is isolated."""

    @property
    def is_isolated(self) -> bool:
        """Whether neither the store nor a peer that reaches it answers."""

    def estimate_diversion(self) -> datetime.timedelta | None:
        """Return how long until callers are sent to other entry instances.

        None if that is not expected.
        """


class JobDispatcher:
    """Sends each request to the owner of its pool, with retries."""

    def __init__(
        self,
        owners: LocalOwners,
        directory: _directory.Directory,
        calls: _calls.EntryCalls,
        reachability: Reachability,
        clock: _clock.Clock,
    ) -> None:
        self._owners = owners
        self._directory = directory
        self._calls = calls
        self._reachability = reachability
        self._clock = clock
        self._former_pools = _former_pools.FormerPools(
            self._dispatch, directory
        )

    def submit(
        self,
        queue: _work.Queue,
        job: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> result.Result[None, Failure]:
        """Submit a job; a success means that it is stored."""
        call = _calls.JobCall('submit', queue.pool, queue.name, job, body)
        return self._dispatch(call, timeout).map(lambda reply: None)

    def show(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Return the state of a job."""
        return self._query_state('show', queue, job, timeout)

    def cancel(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Cancel a job; a success means that this is stored."""
        return self._query_state('cancel', queue, job, timeout)

    def count(
        self, queue: _work.Queue, timeout: datetime.timedelta
    ) -> result.Result[int, Failure]:
        """Return the number of jobs that have not started."""
        call = _calls.JobCall('count', queue.pool, queue.name, '')
        return self._dispatch(call, timeout).bind(_decode_count)

    def _query_state(
        self,
        operation: str,
        queue: _work.Queue,
        job: str,
        timeout: datetime.timedelta,
    ) -> result.Result[_work.JobState, Failure]:
        """Ask the pool of the queue, then all others that the job may be in.

        A job stays in the pool that accepted it when its queue is later
        configured to use another pool.
        """
        started_at = self._clock.monotonic()
        found: result.Result[_work.JobState, Failure]
        for pool in (queue.pool, *self._list_other_pools(queue)):
            remaining = timeout - (self._clock.monotonic() - started_at)
            call = _calls.JobCall(operation, pool, queue.name, job)
            found = self._dispatch(call, remaining).bind(_decode_state)
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
        """Retry until there is an answer or the timeout has passed."""
        started_at = self._clock.monotonic()
        may_arrive = False
        while True:
            elapsed = self._clock.monotonic() - started_at
            remaining = min(timeout - elapsed, self._limit_attempt())
            call.timeout_ms = max(int(remaining.total_seconds() * 1000), 1)
            call.age_ms = int(elapsed.total_seconds() * 1000)
            outcome = self._attempt(call)
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
            if failure.kind not in _RETRIED_KINDS:
                return result.Failure(_adjust_refusal(failure, may_arrive))
            may_arrive = (
                may_arrive or failure.kind is ErrorKind.OUTCOME_UNKNOWN
            )
            if self._reachability.is_isolated:
                # Further attempts would keep the caller from an entry
                # instance that can serve it.
                diversion = self._reachability.estimate_diversion()
                return result.Failure(
                    _create_final_failure(failure, may_arrive, diversion)
                )
            elapsed = self._clock.monotonic() - started_at + _RETRY_DELAY
            takeover = self._estimate_takeover(call.pool)
            if elapsed >= (
                timeout
                if may_arrive
                else _limit_wait(timeout, elapsed, takeover)
            ):
                return result.Failure(
                    _create_final_failure(failure, may_arrive, takeover)
                )
            self._directory.request_terms()
            self._clock.sleep(_RETRY_DELAY)

    def _limit_attempt(self) -> datetime.timedelta:
        """Return how long an attempt may take."""
        if self._reachability.is_isolated:
            return _ISOLATED_ATTEMPT_TIMEOUT
        return _ATTEMPT_TIMEOUT

    def _estimate_takeover(self, pool: str) -> datetime.timedelta | None:
        """Return how long until a pool without a live owner has a new one."""
        directory = self._directory
        if directory.terms_read_at is None:
            return None
        return _claims.estimate_takeover(
            directory.observed_terms.get(pool),
            _claims.ReadTimes(
                directory.terms_gapless_since,
                directory.terms_gapless_since,
                directory.terms_read_at,
            ),
            self._clock.monotonic(),
        )

    def _attempt(self, call: _calls.JobCall) -> Reply:
        owner = self._owners.find_owner(call.pool)
        if owner is not None:
            return decode_reply(self.handle(call))
        address = self._directory.find_address(call.pool)
        if address is None:
            message = f'pool {call.pool} has no owner'
            return result.Failure(Failure(ErrorKind.LEASE_LOST, message))
        return self._calls.handle(address, call).bind(decode_reply)

    def handle(self, call: _calls.JobCall) -> _calls.JobReply:
        """Execute a call as the owner of the pool."""
        owner = self._owners.find_owner(call.pool)
        if owner is None or not owner.is_ready:
            message = f'pool {call.pool} is not owned by this entry instance'
            return _encode_failure(Failure(ErrorKind.LEASE_LOST, message))
        if call.operation == 'count':
            counted = self._count(owner, call)
            if isinstance(counted, result.Success):
                return _calls.JobReply('', '', 0, '', counted.unwrap())
            return _encode_failure(counted.failure())
        if call.operation == 'submit':
            accepted = self._submit(owner, call)
            if isinstance(accepted, result.Success):
                return _encode_state('')
            return _encode_failure(accepted.failure())
        shown = (
            _former_pools.show(owner, call)
            if call.operation == 'show'
            else owner.cancel(call.job, _calls.find_waiting_time(call))
        )
        if isinstance(shown, result.Success):
            return _encode_state(shown.unwrap().value)
        return _encode_failure(shown.failure())

    def _submit(
        self, owner: _owner.PoolOwner, call: _calls.JobCall
    ) -> result.Result[None, Failure]:
        started_at = self._clock.monotonic()
        timeout = datetime.timedelta(milliseconds=call.timeout_ms)
        sent_at = None
        if call.age_ms is not None:
            sent_at = started_at - datetime.timedelta(milliseconds=call.age_ms)
        configuration = self._directory.configuration
        queue = configuration and configuration.find_queue(call.queue)
        if not configuration or not queue or queue.pool != call.pool:
            # One of both entry instances has not read the latest one.
            message = f'no queue {call.queue} of pool {call.pool} is known'
            return result.Failure(Failure(ErrorKind.LEASE_LOST, message))
        if owner.is_known(call.job):
            return result.Success(None)
        accepted = self._former_pools.find_job(
            owner, queue, configuration, call.job, timeout
        )
        if not isinstance(accepted, result.Success):
            return result.Failure(accepted.failure())
        if accepted.unwrap():
            return result.Success(None)
        remaining = timeout - (self._clock.monotonic() - started_at)
        if remaining <= datetime.timedelta():
            message = 'no time is left to store the job'
            return result.Failure(Failure(ErrorKind.LEASE_LOST, message))
        return owner.submit(
            _owner.Submission(
                call.job,
                queue,
                call.body,
                remaining,
                configuration.version,
                sent_at,
            )
        )

    def _count(
        self, owner: _owner.PoolOwner, call: _calls.JobCall
    ) -> result.Result[int, Failure]:
        """Count the jobs of a queue that wait, also in its former pools."""
        configuration = self._directory.configuration
        queue = configuration and configuration.find_queue(call.queue)
        counted = owner.count_queued(call.queue)
        if not configuration or not queue or call.body:
            return result.Success(counted)
        timeout = datetime.timedelta(milliseconds=call.timeout_ms)
        return self._former_pools.count(
            owner, queue, configuration, timeout
        ).map(lambda others: counted + others)


def decode_reply(reply: _calls.JobReply) -> Reply:
    """Return the reply, or the failure that it stands for.

    A reply that cannot be read says nothing about the outcome of the call.
    """
    if not reply.error:
        return result.Success(reply)
    try:
        kind = ErrorKind(reply.error)
    except ValueError:
        message = 'the reply has an unknown kind of error'
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, message))
    delay = None
    if reply.retry_after_ms:
        delay = datetime.timedelta(milliseconds=reply.retry_after_ms)
    return result.Failure(Failure(kind, reply.message or '', delay))


def _decode_state(
    reply: _calls.JobReply,
) -> result.Result[_work.JobState, Failure]:
    try:
        return result.Success(_work.JobState(reply.state))
    except ValueError:
        message = 'the reply has an unknown state'
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, message))


def _decode_count(reply: _calls.JobReply) -> result.Result[int, Failure]:
    if reply.queued is None:
        message = 'the reply has no number of jobs'
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, message))
    return result.Success(reply.queued)


def _encode_state(state: str) -> _calls.JobReply:
    return _calls.JobReply('', '', 0, state, 0)


def _encode_failure(failure: Failure) -> _calls.JobReply:
    delay = failure.retry_after or datetime.timedelta()
    milliseconds = int(delay.total_seconds() * 1000)
    return _calls.JobReply(
        failure.kind.value, failure.message, milliseconds, '', 0
    )


def _adjust_refusal(failure: Failure, may_arrive: bool) -> Failure:
    """Return a refusal as unknown outcome if an earlier attempt may arrive.

    :param may_arrive: whether an earlier attempt was sent and had no answer
    """
    if may_arrive and failure.kind in _REFUSAL_KINDS:
        return failure._replace(kind=ErrorKind.OUTCOME_UNKNOWN)
    return failure


def _limit_wait(
    timeout: datetime.timedelta,
    elapsed: datetime.timedelta,
    takeover: datetime.timedelta | None,
) -> datetime.timedelta:
    """Return how long a request waits for an owner of its pool.

    It waits for an expected takeover that leaves time for the call, since the
    caller would come back later than that, and not at all for one that comes
    after its timeout.

    :param elapsed: how long it has waited
    :param takeover: how long until a new owner is expected, if one is
    """
    if takeover is None:
        return min(timeout, _OWNER_WAIT)
    return timeout if elapsed + takeover < timeout else elapsed


def _create_final_failure(
    failure: Failure,
    may_arrive: bool,
    served_after: datetime.timedelta | None,
) -> Failure:
    """Return the failure that the caller gets after the last attempt.

    :param served_after: how long until another attempt can succeed, if that
        is known
    """
    if may_arrive:
        return failure._replace(kind=ErrorKind.OUTCOME_UNKNOWN)
    message = f'no owner of the pool answers: {failure.message}'
    retry_after = _RETRY_AFTER if served_after is None else served_after
    return Failure(
        ErrorKind.LEASE_LOST, message, max(retry_after, _RETRY_DELAY)
    )
