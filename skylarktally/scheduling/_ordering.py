"""Order in which waiting groups of tasks are placed.

Under overload, when a queue asks for several times the capacity of its pool,
jobs that can still meet their deadline go before jobs that cannot.
Otherwise a backlog of late jobs would make all following jobs late too.
"""

import datetime
import enum
from typing import NamedTuple

from skylarktally.scheduling import _states

# A job has expired, and its result is useless, once it has taken this many
# times the duration that its deadline allows.
LATE_FACTOR = 3


class Timeliness(enum.IntEnum):
    """Whether a job can still meet its deadline."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class SortKey(NamedTuple):
    """Sort key of a group; the smallest comes first.

    Long-running steps precede batch steps. At the same timeliness and
    priority, jobs with a finished step precede new ones.
    """

    is_batch: bool
    timeliness: Timeliness
    priority: int
    is_new: bool
    deadline: datetime.timedelta


def find_timeliness(
    group: _states.TaskGroup, now: datetime.timedelta
) -> Timeliness:
    """Return the timeliness of the job if the group starts now."""
    if now <= group.start_limits.on_time:
        return Timeliness.ON_TIME
    if now <= group.start_limits.late:
        return Timeliness.LATE
    return Timeliness.EXPIRED


def list_start_limits(job: _states.Job) -> list[_states.StartLimits]:
    """Return the latest useful starts of each step of the job."""
    deadline = job.deadline
    latest_end = job.accepted_at + LATE_FACTOR * (deadline - job.accepted_at)
    return [
        _states.StartLimits(deadline - remaining, latest_end - remaining)
        for remaining in list_remaining_paths(job)
    ]


def list_remaining_paths(job: _states.Job) -> list[datetime.timedelta]:
    """Return the estimated duration of the critical path from each step on."""
    steps = job.spec.steps
    path_lengths = [datetime.timedelta()] * len(steps)
    for index in range(len(steps) - 1, -1, -1):
        path_lengths[index] += steps[index].estimate
        for predecessor in steps[index].after:
            path_lengths[predecessor] = max(
                path_lengths[predecessor], path_lengths[index]
            )
    return path_lengths


def rank(group: _states.TaskGroup, now: datetime.timedelta) -> SortKey:
    """Return the sort key of a ready group."""
    job = group.job
    return SortKey(
        is_batch=not group.step.is_long_running,
        timeliness=find_timeliness(group, now),
        priority=job.queue.priority,
        is_new=job.unfinished_groups == len(job.groups),
        deadline=job.deadline,
    )
