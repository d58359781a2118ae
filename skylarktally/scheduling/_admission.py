"""Admission control: accepts a job or refuses it with a retry delay.

Under overload a job is refused if the backlog is so long that it would
expire before it is completed.
"""

import datetime
from typing import NamedTuple

from skylarktally.scheduling import _ordering
from skylarktally.scheduling import _placing
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_MICROSECOND = datetime.timedelta(microseconds=1)
# Bounds the estimate for a backlog of jobs with very large estimates.
_MAX_DELAY = datetime.timedelta(days=366)
_MIN_RETRY_DELAY = datetime.timedelta(seconds=1)


class Refusal(NamedTuple):
    """Reason why a job is not accepted, and when to try again."""

    # Whether no worker of the pool could run the job, even when empty.
    is_permanent: bool
    retry_after: datetime.timedelta
    reason: str


def review(
    pool_state: _pool_state.PoolState, queue: _work.Queue, spec: _work.JobSpec
) -> Refusal | None:
    """Return why the job is refused; None if it is accepted."""
    worker_states = list(pool_state.worker_states.values())
    if not worker_states:
        # The workers of the pool may not be listed yet.
        return None
    for step in spec.steps:
        if not _placing.can_run(step, worker_states):
            reason = 'no worker of the pool could run a task of the job'
            return Refusal(True, _MIN_RETRY_DELAY, reason)
    if spec.first_run is not None or any(
        step.is_long_running for step in spec.steps
    ):
        return None
    if pool_state.lendable_millicores is None:
        # Without the lendable capacity the delay cannot be estimated.
        return None
    critical_path = _states.find_critical_path(spec)
    allowed = queue.stretch * critical_path + queue.target_latency
    delay = estimate_delay(pool_state, pool_state.lendable_millicores)
    latest = _ordering.LATE_FACTOR * allowed
    if delay + critical_path <= latest:
        return None
    wait = max(delay + critical_path - allowed, _MIN_RETRY_DELAY)
    return Refusal(False, wait, 'the backlog of the pool is too long')


def estimate_delay(
    pool_state: _pool_state.PoolState, lendable_millicores: int
) -> datetime.timedelta:
    """Return how long the pool needs to work off the accepted jobs.

    :param lendable_millicores: capacity that the pool could borrow
    """
    capacity = lendable_millicores
    for worker_state in pool_state.worker_states.values():
        # Unresponsive workers and those in maintenance count as well: they
        # return or are replaced before a backlog is worked off.
        if not worker_state.record.is_draining:
            capacity += worker_state.record.capacity.cpu_millicores
        for run in worker_state.runs.values():
            step = run.task.group.step
            if step.is_long_running:
                capacity -= _states.find_reserved_resources(
                    step
                ).cpu_millicores
    microseconds = pool_state.remaining_work // max(capacity, 1)
    return min(microseconds, _MAX_DELAY // _MICROSECOND) * _MICROSECOND
