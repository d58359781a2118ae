"""Estimates of the demand of pools from the samples of the last minute."""

import datetime
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from skylarktally import _sharing


class Sample(NamedTuple):
    """Slots that each pool could have used at one moment."""

    at: datetime.datetime
    # For urgent work that arrives or runs.
    slots: Mapping[str, float]
    # For deferrable work.
    deferrable: Mapping[str, float] = {}


class PastMove(NamedTuple):
    """A move of an instance between pools that was started earlier."""

    at: datetime.datetime
    instance: str
    source: str
    target: str


class History(NamedTuple):
    """Demand samples and moves of the last minute, oldest first."""

    samples: tuple[Sample, ...] = ()
    moves: tuple[PastMove, ...] = ()

    def covers(self, start: datetime.datetime) -> bool:
        """Tell whether the samples reach back to the given time."""
        return bool(self.samples) and self.samples[0].at <= start


def find_lowest_demand(
    history: History,
    demands: Mapping[str, _sharing.Demand],
    start: datetime.datetime,
) -> dict[str, float]:
    """Return the least urgent demand of each pool since the start, in slots.

    Empty when the samples do not reach back to the start.
    """
    if not history.covers(start):
        return {}
    lowest = {name: demand.slots for name, demand in demands.items()}
    for sample in reversed(history.samples):
        if sample.at < start:
            break
        for name in lowest:
            lowest[name] = min(lowest[name], sample.slots.get(name, 0.0))
    return lowest


def find_lowest_deferrable_demand(
    history: History,
    demands: Mapping[str, _sharing.Demand],
    start: datetime.datetime,
) -> dict[str, float]:
    """Return the least deferrable demand since the start, in slots.

    Holds only pools that have deferrable demand now.
    """
    lowest = {n: d.deferrable for n, d in demands.items() if d.deferrable}
    for sample in reversed(history.samples):
        if sample.at < start:
            break
        for name in lowest:
            slots = sample.deferrable.get(name, 0.0)
            lowest[name] = min(lowest[name], slots)
    return lowest


def find_highest_demand(
    history: History,
    demands: Mapping[str, _sharing.Demand],
    start: datetime.datetime,
) -> dict[str, float]:
    """Return the peak urgent demand of each pool since the start, in slots."""
    highest = {name: demand.slots for name, demand in demands.items()}
    for sample in reversed(history.samples):
        if sample.at < start:
            break
        for name, slots in sample.slots.items():
            highest[name] = max(highest.get(name, 0.0), slots)
    return highest


def find_needed_slots(
    loads: Sequence[tuple[datetime.datetime, float]], max_wait_seconds: float
) -> float:
    """Return the fewest slots that would have kept waits within the limit.

    Replays the loads through a simulated queue whose wait is its backlog
    divided by the slots, and bisects the number of slots to a precision of
    half a slot.

    :param loads: time of each sample and its demand in slots
    """
    low, high = 0.0, max((slots for _, slots in loads), default=0.0)
    while high - low > 0.5:
        middle = (low + high) / 2
        if _find_worst_wait(loads, middle) <= max_wait_seconds:
            high = middle
        else:
            low = middle
    return high


def _find_worst_wait(
    loads: Sequence[tuple[datetime.datetime, float]], slots: float
) -> float:
    backlog = worst = 0.0
    for (at, load), (next_at, _) in zip(loads, loads[1:], strict=False):
        seconds = (next_at - at).total_seconds()
        backlog = max(backlog + (load - slots) * seconds, 0.0)
        worst = max(worst, backlog)
    return worst / slots
