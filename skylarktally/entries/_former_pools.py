"""Calls to the pools that a queue used before, which may hold its jobs."""

from collections.abc import Callable
import datetime
import logging

from returns import result

from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _directory
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _queue_pools
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Failure = _errors.Failure
Dispatch = Callable[
    [_calls.JobCall, datetime.timedelta],
    result.Result[_calls.JobReply, Failure],
]

# Body of a call that counts the jobs of one pool only.
_ONE_POOL = b'one pool'


class FormerPools:
    """Asks the other pools that may hold jobs of a queue."""

    def __init__(
        self, dispatch: Dispatch, directory: _directory.Directory
    ) -> None:
        """Create a client of the owners of all pools.

        :param dispatch: sends a call to the owner of its pool
        """
        self._dispatch = dispatch
        self._directory = directory

    def find_job(
        self,
        owner: _owner.PoolOwner,
        queue: _work.Queue,
        configuration: _work.Configuration,
        job: str,
        timeout: datetime.timedelta,
    ) -> result.Result[bool, Failure]:
        """Tell whether a former pool has accepted a job.

        Fails with OUTCOME_UNKNOWN while one of them does not say so, and with
        LEASE_LOST if the owner may not accept jobs of the queue.
        """
        version = configuration.version
        pools = owner.queue_registry.claim(
            queue, version, _list_pools(configuration)
        )
        if not isinstance(pools, result.Success):
            return result.Failure(pools.failure())
        queue_id = _queue_pools.make_queue_id(queue)
        for pool in _select_configured(pools.unwrap(), configuration):
            call = _calls.JobCall(
                'show', pool, queue_id, job, str(version).encode()
            )
            found = self._dispatch(call, timeout)
            if isinstance(found, result.Success):
                _LOG.info(
                    'job found in a former pool of its queue',
                    extra={'job': job, 'queue': queue.name, 'pool': pool},
                )
                return result.Success(True)
            failure = found.failure()
            if failure.kind is not ErrorKind.NOT_FOUND:
                message = f'pool {pool} may have accepted the job'
                return result.Failure(
                    Failure(ErrorKind.OUTCOME_UNKNOWN, message)
                )
        return result.Success(False)

    def count(
        self,
        owner: _owner.PoolOwner,
        queue: _work.Queue,
        configuration: _work.Configuration,
        timeout: datetime.timedelta,
    ) -> result.Result[int, Failure]:
        """Return the number of waiting jobs of a queue in other pools."""
        pools = owner.queue_registry.list_others(
            queue, _list_pools(configuration)
        )
        if not isinstance(pools, result.Success):
            return result.Failure(pools.failure())
        total = 0
        for pool in _select_configured(pools.unwrap(), configuration):
            call = _calls.JobCall('count', pool, queue.name, '', _ONE_POOL)
            counted = self._dispatch(call, timeout)
            if not isinstance(counted, result.Success):
                return result.Failure(counted.failure())
            total += counted.unwrap().queued or 0
        return result.Success(total)


def show(
    owner: _owner.PoolOwner, call: _calls.JobCall
) -> result.Result[_work.JobState, Failure]:
    """Return the state of a job to a caller, or to another pool."""
    timeout = _calls.find_waiting_time(call)
    if not call.body:
        return owner.show(call.job, timeout)
    if not call.body.isdigit():
        message = 'the version of the configuration is not a number'
        return result.Failure(Failure(ErrorKind.INVALID_REQUEST, message))
    return owner.answer_inquiry(call.job, call.queue, int(call.body), timeout)


def _list_pools(configuration: _work.Configuration) -> list[str]:
    return [pool.name for pool in configuration.pools if not pool.is_standby]


def _select_configured(
    pools: tuple[str, ...], configuration: _work.Configuration
) -> list[str]:
    """Return the pools that have an owner."""
    configured = set(_list_pools(configuration))
    return [pool for pool in pools if pool in configured]
