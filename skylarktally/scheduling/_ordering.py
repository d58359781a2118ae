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


class Prospect(enum.IntEnum):
    """How useful a job can still become."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


class Order(NamedTuple):
    """Sort key of a group; the smallest comes first."""

    is_batch: bool
    prospect: Prospect
    priority: int
    is_new: bool
    objective: datetime.timedelta


def find_prospect(
    group: _states.TaskGroup, now: datetime.timedelta
) -> Prospect:
    """Tell how useful the job can become if the group starts now."""
    job = group.job
    end = now + find_remaining_chain(group)
    if end <= job.objective:
        return Prospect.ON_TIME
    allowed = job.objective - job.accepted_at
    if end <= job.accepted_at + LATE_FACTOR * allowed:
        return Prospect.LATE
    return Prospect.USELESS


def find_remaining_chain(group: _states.TaskGroup) -> datetime.timedelta:
    """Return the longest chain of estimated work from the group on."""
    steps = group.job.spec.steps
    chains = [datetime.timedelta()] * len(steps)
    for position in range(len(steps) - 1, group.position - 1, -1):
        chains[position] += steps[position].estimate
        for before in steps[position].after:
            chains[before] = max(chains[before], chains[position])
    return chains[group.position]


def rank(group: _states.TaskGroup, now: datetime.timedelta) -> Order:
    """Return the sort key of a group that may be started."""
    job = group.job
    return Order(
        is_batch=not group.step.is_long_running,
        prospect=find_prospect(group, now),
        priority=job.queue.priority,
        is_new=job.open_groups == len(job.groups),
        objective=job.objective,
    )
