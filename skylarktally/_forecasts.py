"""What the demand of the last minute says about the demand to come."""

import datetime
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from skylarktally import _sharing


class Sample(NamedTuple):
    """Slots that each pool could use at one moment."""

    at: datetime.datetime
    # Urgent work that arrives or runs.
    slots: Mapping[str, float]
    deferrable: Mapping[str, float] = {}


class PastMove(NamedTuple):
    """A move that was started."""

    at: datetime.datetime
    instance: str
    source: str
    target: str


class History(NamedTuple):
    """Samples and moves of the last minute, oldest first."""

    samples: tuple[Sample, ...] = ()
    moves: tuple[PastMove, ...] = ()

    def covers(self, start: datetime.datetime) -> bool:
        """Tell whether the samples reach back to the start."""
        return bool(self.samples) and self.samples[0].at <= start


def find_lowest_demand(
    history: History,
    demands: Mapping[str, _sharing.Demand],
    start: datetime.datetime,
) -> dict[str, float]:
    """Return the urgent slots that were wanted all the time since then."""
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
    """Return the deferrable slots that were wanted all the time."""
    lowest = {n: d.deferrable for n, d in demands.items() if d.deferrable}
    for sample in reversed(history.samples):
        if sample.at < start:
            break
        for name in lowest:
            found = sample.deferrable.get(name, 0.0)
            lowest[name] = min(lowest[name], found)
    return lowest


def find_highest_demand(
    history: History,
    demands: Mapping[str, _sharing.Demand],
    start: datetime.datetime,
) -> dict[str, float]:
    """Return the most urgent slots that were wanted since then."""
    highest = {name: demand.slots for name, demand in demands.items()}
    for sample in reversed(history.samples):
        if sample.at < start:
            break
        for name, slots in sample.slots.items():
            highest[name] = max(highest.get(name, 0.0), slots)
    return highest


def find_needed_slots(
    loads: Sequence[tuple[datetime.datetime, float]], wait_seconds: float
) -> float:
    """Return the fewest slots that would have kept waits within the limit.

    The loads are run through a queue again; the wait is the backlog over
    the slots. The answer is exact to half a slot.
    """
    low, high = 0.0, max((slots for _, slots in loads), default=0.0)
    while high - low > 0.5:
        middle = (low + high) / 2
        if _find_worst_wait(loads, middle) <= wait_seconds:
            high = middle
        else:
            low = middle
    return high


def _find_worst_wait(
    loads: Sequence[tuple[datetime.datetime, float]], slots: float
) -> float:
    backlog = worst = 0.0
    for (at, load), (after, _) in zip(loads, loads[1:], strict=False):
        seconds = (after - at).total_seconds()
        backlog = max(backlog + (load - slots) * seconds, 0.0)
        worst = max(worst, backlog)
    return worst / slots
