"""Finds the jobs and workers that make the plans of a pool fail.

Used only after plans have failed, so that the plans themselves need no
handlers. One job or worker must not keep all others of its pool waiting.
"""

from collections.abc import Iterable
import copy
import datetime
from typing import NamedTuple

from skylarktally.scheduling import _planning
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states


class Faults(NamedTuple):
    """What makes plans fail, with the reason by id."""

    jobs: dict[str, str]
    workers: dict[str, str]


def find_faults(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> Faults:
    """Plan each job alone, and a failing one with each worker alone.

    A job that fails with every worker is at fault itself; otherwise the
    workers are with which it fails.
    """
    faults = Faults({}, {})
    workers = list(pool_state.worker_states.values())
    for job in pool_state.jobs.values():
        groups = [
            group for group in pool_state.ready_groups if group.job is job
        ]
        reason = _probe(pool_state, groups, workers, now)
        if not reason:
            continue
        reasons = {
            worker_state.record.id: _probe(
                pool_state, groups, [worker_state], now
            )
            for worker_state in workers
        }
        if all(reasons.values()):
            faults.jobs[job.id] = reason
        else:
            faults.workers.update(
                {id_: found for id_, found in reasons.items() if found}
            )
    return faults


def _probe(
    pool_state: _pool_state.PoolState,
    groups: Iterable[_states.TaskGroup],
    workers: Iterable[_states.WorkerState],
    now: datetime.timedelta,
) -> str:
    """Plan only these groups and workers; return the error, if any."""
    part = copy.copy(pool_state)
    part.ready_groups = dict.fromkeys(groups)
    part.worker_states = {item.record.id: item for item in workers}
    try:
        _planning.plan_starts(part, now)
        _planning.measure_load(part, now)
    except Exception as error:
        return repr(error)
    return ''
