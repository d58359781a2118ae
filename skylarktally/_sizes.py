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
# Reports that are older say little about the runs to come.
REPORT_AGE_LIMIT = datetime.timedelta(minutes=10)
# Share of its cores that a throttled run keeps.
THROTTLED_SHARE = 0.25


class RunState(enum.Enum):
    """What is known of one run of a job."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'
    FINISHED = 'finished'
    # Its worker was lost; whether it ended is unknown.
    LOST = 'lost'


class RunReport(NamedTuple):
    """Last report on one run; a size of None has not been reported yet."""

    job: str
    run: int
    instance: str
    started_at: datetime.datetime
    state: RunState = RunState.RUNNING
    cores: float | None = None
    memory_bytes: int | None = None
    reported_at: datetime.datetime | None = None

    @property
    def holds_capacity(self) -> bool:
        """Tell whether the run holds capacity of its instance."""
        return self.state in (RunState.RUNNING, RunState.THROTTLED)


class Size(NamedTuple):
    """Amounts of each resource, of a run or of an instance."""

    cores: float
    memory_bytes: float
    accelerators: float
    slots: float

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum."""
        return Size(
            self.cores + other.cores,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return the difference, which may be negative."""
        return Size(
            self.cores - other.cores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits(self, free: 'Size') -> bool:
        """Tell whether a run of this size fits into what is free."""
        return (
            self.slots <= free.slots
            # Sums of fractional processors carry rounding errors.
            and self.cores <= free.cores + 1e-9
            and self.memory_bytes <= free.memory_bytes
            and self.accelerators <= free.accelerators
        )


def get_instance_size(instance: _resources.Instance) -> Size:
    """Return what an empty instance has."""
    return Size(
        instance.cores,
        instance.memory_bytes,
        instance.accelerators,
        instance.slots,
    )


def measure_undeclared_run(report: RunReport) -> Size:
    """Return the size of a run whose job is no longer declared here."""
    return Size(report.cores or 0, report.memory_bytes or 0, 0, 1)


def estimate_size(
    job: _resources.Job, reports: Iterable[RunReport], now: datetime.datetime
) -> Size:
    """Correct the declared size of a job's runs by reports on them.

    Processors take the median report. Memory takes the largest, since too
    little of it fails the run.
    """
    recent = [
        report
        for report in reports
        if report.reported_at is not None
        and now - report.reported_at <= REPORT_AGE_LIMIT
        # A throttled run shows what it is allowed, not what it needs.
        and report.state is not RunState.THROTTLED
    ]
    mature = [r for r in recent if _is_mature(r)]
    cores = _correct(
        job.cores,
        [r.cores for r in mature if r.cores is not None],
        [r.cores for r in recent if r.cores is not None],
    )
    memory = _correct(
        job.memory_bytes,
        [max(_list_memory(mature))] if _list_memory(mature) else [],
        [max(_list_memory(recent))] if _list_memory(recent) else [],
    )
    return Size(cores, memory, job.accelerators, job.slots)


def _list_memory(reports: Iterable[RunReport]) -> list[float]:
    return [r.memory_bytes for r in reports if r.memory_bytes is not None]


def _is_mature(report: RunReport) -> bool:
    reported_at = report.reported_at or report.started_at
    return reported_at - report.started_at >= WARM_UP


def _correct(
    declared: float, mature: list[float], recent: list[float]
) -> float:
    amounts = mature or [a for a in recent if a > declared]
    if not amounts:
        return declared
    least = declared / CORRECTION_LIMIT
    most = declared * CORRECTION_LIMIT
    return min(max(statistics.median(amounts), least), most)


def find_insufficient_resource(
    size: Size, instances: Collection[_resources.Instance]
) -> tuple[str, float, float] | None:
    """Return the resource that keeps a run off every empty instance.

    The answer is the resource, the amount needed and the amount there is;
    None when some instance is large enough.
    """
    if not instances:
        return ('instances', 1, 0)
    wholes = {get_instance_size(i) for i in instances}
    if any(size.fits(whole) for whole in wholes):
        return None
    for field in Size._fields:
        most = max(getattr(whole, field) for whole in wholes)
        if getattr(size, field) > most:
            return (field, getattr(size, field), most)
    # Each resource suffices on some instance, but not all on the same one.
    whole = min(wholes, key=lambda w: (_count_short(size, w), w))
    field = next(
        f for f in Size._fields if getattr(size, f) > getattr(whole, f)
    )
    return (field, getattr(size, field), getattr(whole, field))


def _count_short(size: Size, free: Size) -> int:
    return sum(n > f for n, f in zip(size, free, strict=True))
