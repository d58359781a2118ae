"""Sizes of runs and of instances, and their correction by usage reports."""

import datetime
import enum
import statistics
from collections.abc import Collection, Iterable
from typing import NamedTuple

from skylarktally import _resources

# Bounds of the factor by which usage reports correct a declared size.
CORRECTION_LIMIT = 4.0
# A younger run has not shown its whole size yet; its report may raise the
# estimate but not lower it.
WARM_UP = datetime.timedelta(seconds=5)


class RunState(enum.Enum):
    """What is known of one run of a job."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    CHECKPOINTED = 'checkpointed'
    FINISHED = 'finished'
    # Its worker was lost; whether it ended is unknown.
    LOST = 'lost'


class Usage(NamedTuple):
    """Last report on one run; a size of None has not been reported yet."""

    job: str
    run: int
    instance: str
    started_at: datetime.datetime
    state: RunState = RunState.RUNNING
    cores: float | None = None
    memory_bytes: int | None = None
    reported_at: datetime.datetime | None = None


class Size(NamedTuple):
    """Amounts of each resource, of a run or of an instance."""

    cores: float
    memory_bytes: float
    accelerators: float
    slots: float


def estimate_size(job: _resources.Job, reports: Iterable[Usage]) -> Size:
    """Correct the declared size of one run by reports on its runs."""
    reports = [r for r in reports if r.reported_at is not None]
    cores = _correct(
        job.cores, [(r, r.cores) for r in reports if r.cores is not None]
    )
    memory = _correct(
        job.memory_bytes,
        [(r, r.memory_bytes) for r in reports if r.memory_bytes is not None],
    )
    return Size(cores, memory, job.accelerators, job.slots)


def _correct(
    declared: float, reported: Collection[tuple[Usage, float]]
) -> float:
    """Return the median report, within the limits of the declared size."""
    mature = [
        amount
        for report, amount in reported
        if report.reported_at is not None
        and report.reported_at - report.started_at >= WARM_UP
    ]
    young = [amount for _, amount in reported if amount > declared]
    amounts = mature or young
    if not amounts:
        return declared
    return min(
        max(statistics.median(amounts), declared / CORRECTION_LIMIT),
        declared * CORRECTION_LIMIT,
    )


def measure(instance: _resources.Instance) -> Size:
    """Return what an empty instance has."""
    return Size(
        instance.cores,
        instance.memory_bytes,
        instance.accelerators,
        instance.slots,
    )


def find_missing(
    size: Size, instances: Collection[_resources.Instance]
) -> tuple[str, float, float] | None:
    """Return the resource that keeps a run off every empty instance.

    The answer is the resource, the amount needed and the amount there is;
    None when some instance is large enough.
    """
    if not instances:
        return ('instances', 1, 0)
    largest = [measure(i) for i in instances]
    if any(fits(size, whole) for whole in largest):
        return None
    for field in Size._fields:
        most = max(getattr(whole, field) for whole in largest)
        if getattr(size, field) > most:
            return (field, getattr(size, field), most)
    # Each resource suffices on some instance, but not all on the same one.
    whole = min(largest, key=lambda w: (_count_short(size, w), w))
    field = next(
        f for f in Size._fields if getattr(size, f) > getattr(whole, f)
    )
    return (field, getattr(size, field), getattr(whole, field))


def fits(size: Size, free: Size) -> bool:
    """Tell whether a run fits into what is free."""
    return (
        size.slots <= free.slots
        and size.cores <= free.cores
        and size.memory_bytes <= free.memory_bytes
        and size.accelerators <= free.accelerators
    )


def _count_short(size: Size, free: Size) -> int:
    return sum(n > f for n, f in zip(size, free, strict=True))


def add(free: Size, size: Size, sign: int = 1) -> Size:
    """Return the sum, or with a sign of -1 the difference."""
    return Size(*(f + sign * s for f, s in zip(free, size, strict=True)))
