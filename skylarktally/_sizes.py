"""Sizes of runs and instances; estimates from declarations and reports."""

import datetime
import enum
import statistics
from collections.abc import Collection, Iterable
from typing import NamedTuple

from skylarktally import _resources

# Reports correct a declared size at most by this factor, up or down.
CORRECTION_LIMIT = 4.0
# A run that is younger may not have reached its full size yet. Its report may
# raise the estimate but not lower it.
WARM_UP = datetime.timedelta(seconds=5)
# Older reports are ignored: they say little about future runs.
REPORT_AGE_LIMIT = datetime.timedelta(minutes=10)
# Share of its cores that a throttled run keeps.
THROTTLED_SHARE = 0.25


class RunState(enum.Enum):
    """State of one run of a job, as last recorded."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'
    FINISHED = 'finished'
    # Unknown outcome, or an attempt that failed and may be repeated.
    LOST = 'lost'


class RunReport(NamedTuple):
    """Last report on one run; amounts not yet reported are None."""

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
            # Sums of fractional cores have rounding errors.
            and self.cores <= free.cores + 1e-9
            and self.memory_bytes <= free.memory_bytes
            and self.accelerators <= free.accelerators
        )


def get_instance_size(instance: _resources.Instance) -> Size:
    """Return the capacity of an instance without runs."""
    return Size(
        instance.cores,
        instance.memory_bytes,
        instance.accelerators,
        instance.slots,
    )


def measure_undeclared_run(report: RunReport) -> Size:
    """Return the size of a run whose job is not declared in this pool.

    Without a declaration, the report and one slot have to do.
    """
    return Size(report.cores or 0, report.memory_bytes or 0, 0, 1)


def estimate_size(
    job: _resources.Job, reports: Iterable[RunReport], now: datetime.datetime
) -> Size:
    """Estimate the size of a job's runs from its declaration and reports.

    Cores are the median of the reports. Memory is the largest report,
    because a run with too little memory fails. Accelerators and slots are
    as declared.
    """
    recent = [
        report
        for report in reports
        if report.reported_at is not None
        and now - report.reported_at <= REPORT_AGE_LIMIT
        # A throttled run uses what it is allowed, not what it needs.
        and report.state is not RunState.THROTTLED
    ]
    mature = [r for r in recent if _is_mature(r)]
    cores = _correct_amount(
        job.cores,
        [r.cores for r in mature if r.cores is not None],
        [r.cores for r in recent if r.cores is not None],
    )
    memory = _correct_amount(
        job.memory_bytes,
        [max(_list_memory_sizes(mature))]
        if _list_memory_sizes(mature)
        else [],
        [max(_list_memory_sizes(recent))]
        if _list_memory_sizes(recent)
        else [],
    )
    return Size(cores, memory, job.accelerators, job.slots)


def _list_memory_sizes(reports: Iterable[RunReport]) -> list[float]:
    return [r.memory_bytes for r in reports if r.memory_bytes is not None]


def _is_mature(report: RunReport) -> bool:
    reported_at = report.reported_at or report.started_at
    return reported_at - report.started_at >= WARM_UP


def _correct_amount(
    declared: float, mature: list[float], recent: list[float]
) -> float:
    amounts = mature or [a for a in recent if a > declared]
    if not amounts:
        return declared
    lower_limit = declared / CORRECTION_LIMIT
    upper_limit = declared * CORRECTION_LIMIT
    return min(max(statistics.median(amounts), lower_limit), upper_limit)


def find_insufficient_resource(
    size: Size, instances: Collection[_resources.Instance]
) -> tuple[str, float, float] | None:
    """Return a resource that is too small for a run on empty instances.

    The answer is the name of the resource, the amount needed and the amount
    available; None if some instance is large enough. Without instances the
    resource is 'instances'.
    """
    if not instances:
        return ('instances', 1, 0)
    instance_sizes = {get_instance_size(i) for i in instances}
    if any(size.fits(instance_size) for instance_size in instance_sizes):
        return None
    for field in Size._fields:
        most = max(
            getattr(instance_size, field) for instance_size in instance_sizes
        )
        if getattr(size, field) > most:
            return (field, getattr(size, field), most)
    # Each resource suffices on some instance, but no instance has enough of
    # all. Report the instance with the fewest that are too small.
    instance_size = min(
        instance_sizes, key=lambda s: (_count_insufficient(size, s), s)
    )
    field = next(
        f for f in Size._fields if getattr(size, f) > getattr(instance_size, f)
    )
    return (field, getattr(size, field), getattr(instance_size, field))


def _count_insufficient(size: Size, free: Size) -> int:
    return sum(n > f for n, f in zip(size, free, strict=True))
