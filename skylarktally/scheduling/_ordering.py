"""Order in which waiting work is placed.

The load it answers: a queue asks for several times what its pool holds.
Work that can still be on time goes before work that cannot, so that a
backlog of late jobs does not make the next ones late too.
"""

import datetime
import enum
from typing import NamedTuple

from skylarktally.scheduling import _states

# A job that takes this many times its objective is of no use any more.
LATE_FACTOR = 3


class Timeliness(enum.IntEnum):
    """How useful a job can still become."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class SortKey(NamedTuple):
    """Sort key of a group; the smallest comes first."""

    is_batch: bool
    timeliness: Timeliness
    priority: int
    is_new: bool
    deadline: datetime.timedelta


def find_timeliness(
    group: _states.TaskGroup, now: datetime.timedelta
) -> Timeliness:
    """Tell how useful the job can become if the group starts now."""
    job = group.job
    end = now + find_remaining_path(group)
    if end <= job.deadline:
        return Timeliness.ON_TIME
    allowed = job.deadline - job.accepted_at
    if end <= job.accepted_at + LATE_FACTOR * allowed:
        return Timeliness.LATE
    return Timeliness.EXPIRED


def find_remaining_path(group: _states.TaskGroup) -> datetime.timedelta:
    """Return the longest chain of estimated work from the group on."""
    steps = group.job.spec.steps
    path_lengths = [datetime.timedelta()] * len(steps)
    for position in range(len(steps) - 1, group.position - 1, -1):
        path_lengths[position] += steps[position].estimate
        for predecessor in steps[position].after:
            path_lengths[predecessor] = max(
                path_lengths[predecessor], path_lengths[position]
            )
    return path_lengths[group.position]


def rank(group: _states.TaskGroup, now: datetime.timedelta) -> SortKey:
    """Return the sort key of a group that may be started."""
    job = group.job
    return SortKey(
        is_batch=not group.step.is_long_running,
        timeliness=find_timeliness(group, now),
        priority=job.queue.priority,
        is_new=job.unfinished_groups == len(job.groups),
        deadline=job.deadline,
    )
