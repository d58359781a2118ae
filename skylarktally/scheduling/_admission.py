"""Whether a job is accepted, or refused at once and until when.

The load it answers: a backlog so long that the job could not even be late.
"""

import datetime
from typing import NamedTuple

from skylarktally.scheduling import _ordering
from skylarktally.scheduling import _placing
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_SHORTEST_DELAY = datetime.timedelta(seconds=1)


class Refusal(NamedTuple):
    """A job is not accepted."""

    # Whether no worker of the pool could ever run it.
    is_permanent: bool
    retry_after: datetime.timedelta
    reason: str


def review(
    pool_state: _pool_state.PoolState, queue: _work.Queue, spec: _work.JobSpec
) -> Refusal | None:
    """Return why the job is refused; None if it is accepted."""
    worker_states = list(pool_state.worker_states.values())
    if not worker_states:
        # The pool may just not be known yet.
        return None
    for step in spec.steps:
        if not _placing.can_run(step, worker_states):
            reason = 'no worker of the pool could run a task of the job'
            return Refusal(True, _SHORTEST_DELAY, reason)
    if spec.first_run is not None or any(
        step.is_long_running for step in spec.steps
    ):
        return None
    if pool_state.lendable_millicores is None:
        # It is not known how long the backlog will take.
        return None
    chain = _states.find_chain(spec)
    allowed = queue.stretch * chain + queue.target_latency
    delay = estimate_delay(pool_state, pool_state.lendable_millicores)
    latest = _ordering.LATE_FACTOR * allowed
    if delay + chain <= latest:
        return None
    wait = max(delay + chain - allowed, _SHORTEST_DELAY)
    return Refusal(False, wait, 'the backlog of the pool is too long')


def estimate_delay(
    pool_state: _pool_state.PoolState, lendable_millicores: int
) -> datetime.timedelta:
    """Return how long the pool works on what it has accepted."""
    capacity = lendable_millicores
    for worker_state in pool_state.worker_states.values():
        # One that is silent or in maintenance is back, or replaced, sooner
        # than a backlog is worked off.
        if not worker_state.record.is_draining:
            capacity += worker_state.record.capacity.cpu_millicores
        for run in worker_state.runs.values():
            step = run.task.group.step
            if step.is_long_running:
                capacity -= _states.occupy(step).cpu_millicores
    work = datetime.timedelta()
    for job in pool_state.jobs.values():
        if not job.is_final:
            work += _measure_rest(job)
    return work / max(capacity, 1)


def _measure_rest(job: _states.Job) -> datetime.timedelta:
    """Return the work that is left, in time of one millicore."""
    work = datetime.timedelta()
    for group in job.groups.values():
        step = group.step
        if group.remaining and not step.is_long_running:
            cost = step.resources.cpu_millicores * group.remaining
            work += step.estimate * cost
    return work
