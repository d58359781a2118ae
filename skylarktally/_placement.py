"""Placement of jobs on the instances of their pools.

Urgent runs are placed first and may preempt deferrable ones, which are
checkpointed, throttled or stopped. Deferrable runs get the remaining
capacity. In a pool with urgent work, half of the instances accept no
deferrable run that must not be interrupted, so that their capacity can be
freed for urgent runs. An urgent run must start within 5.5 s. This covers a
planning pass (1 s), a checkpoint (stopped after 3 s) and the start of the
run.
"""

import collections
import datetime
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _capacity
from skylarktally import _preemption
from skylarktally import _resources
from skylarktally import _sizes

_RunState = _sizes.RunState
# An idempotent run in one of these states is placed again.
_RESTARTABLE_STATES = (
    _RunState.CHECKPOINTED,
    _RunState.STOPPED,
    _RunState.LOST,
)


class Assignment(NamedTuple):
    """A run to start, or to resume from its checkpoint."""

    job: str
    run: int
    instance: str
    resumes: bool = False
    # Number of preemptions on the instance that must complete first.
    preemptions: int = 0


class Preemption(NamedTuple):
    """A deferrable run whose capacity is given to an urgent one."""

    job: str
    run: int
    instance: str
    method: _preemption.PreemptionMethod
    urgent_job: str


class Restoration(NamedTuple):
    """A throttled run that gets all of its cores back."""

    job: str
    run: int
    instance: str


class Unschedulable(NamedTuple):
    """A job whose runs do not fit on any empty instance of its pool."""

    job: str
    resource: str
    needed: float
    # Largest amount on one instance, as `find_insufficient_resource` says.
    available: float


class Placements(NamedTuple):
    """Changes to make now, and why the remaining runs wait."""

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    restorations: tuple[Restoration, ...] = ()
    unschedulable: tuple[Unschedulable, ...] = ()
    # Number of waiting runs and why the first of them waits, by job name.
    waiting: dict[str, tuple[int, str]] = {}
    sizes: dict[str, _sizes.Size] = {}


class Cancellation(NamedTuple):
    """A run to stop without a restart because its job was cancelled."""

    job: str
    run: int
    instance: str


# Runs between two pauses; takes some 50 ms in a pool of 3,200 workers.
_RUNS_BETWEEN_PAUSES = 100

# Yields to the other green threads of the process.
Pause = Callable[[], None]
Reports = Mapping[str, Mapping[int, _sizes.RunReport]]


def place_jobs(
    jobs: Iterable[_resources.Job],
    instances: Iterable[_resources.Instance],
    usage: Iterable[_sizes.RunReport],
    now: datetime.datetime,
    pause: Pause = lambda: None,
) -> Placements:
    """Place the declared runs that have not started yet.

    Idempotent runs that were checkpointed, stopped or lost are placed again.

    :param usage: the last report on every run that was started
    :param pause: called several times a second during a long pass
    """
    reports = index_reports(usage)
    by_instance: dict[str, list[_sizes.RunReport]] = collections.defaultdict(
        list
    )
    for runs in reports.values():
        for report in runs.values():
            by_instance[report.instance].append(report)
    instances_by_pool: dict[str, list[_resources.Instance]] = {}
    for instance in instances:
        instances_by_pool.setdefault(instance.pool, []).append(instance)
    jobs_by_pool: dict[str, dict[str, _resources.Job]] = {}
    for job in jobs:
        jobs_by_pool.setdefault(job.pool, {})[job.name] = job
    placements_by_pool = [
        _PlacementPass(
            instances_by_pool.get(pool, []),
            jobs_by_pool[pool],
            reports,
            now,
            pause,
        ).place(by_instance)
        for pool in sorted(jobs_by_pool)
    ]
    return _merge(placements_by_pool)


def index_reports(usage: Iterable[_sizes.RunReport]) -> Reports:
    """Index reports by job and run, keeping the last report of each run."""
    reports: dict[str, dict[int, _sizes.RunReport]] = {}
    for report in usage:
        reports.setdefault(report.job, {})[report.run] = report
    return reports


def plan_cancellations(
    cancelled: Iterable[str], reports: Reports
) -> list[Cancellation]:
    """List the runs of cancelled jobs that still hold capacity.

    The cost is proportional to the number of cancelled jobs and their runs.
    """
    return [
        Cancellation(job, report.run, report.instance)
        for job in cancelled
        for report in reports.get(job, {}).values()
        if report.holds_capacity
    ]


def _merge(placements_by_pool: Collection[Placements]) -> Placements:
    waiting: dict[str, tuple[int, str]] = {}
    sizes: dict[str, _sizes.Size] = {}
    for placements in placements_by_pool:
        waiting.update(placements.waiting)
        sizes.update(placements.sizes)
    return Placements(
        tuple(
            a
            for placements in placements_by_pool
            for a in placements.assignments
        ),
        tuple(
            p
            for placements in placements_by_pool
            for p in placements.preemptions
        ),
        tuple(
            r
            for placements in placements_by_pool
            for r in placements.restorations
        ),
        tuple(
            u
            for placements in placements_by_pool
            for u in placements.unschedulable
        ),
        waiting,
        sizes,
    )


class _PlacementPass:
    """One planning pass over one pool."""

    def __init__(
        self,
        instances: Collection[_resources.Instance],
        jobs: Mapping[str, _resources.Job],
        reports: Reports,
        now: datetime.datetime,
        pause: Pause,
    ) -> None:
        self._pause = pause
        self._attempts = 0
        self._tried_jobs: set[str] = set()
        self._instances = instances
        self._jobs = jobs
        self._reports = reports
        self._sizes = {
            name: _sizes.estimate_size(
                job, reports.get(name, {}).values(), now
            )
            for name, job in jobs.items()
        }
        self._assignments: list[Assignment] = []
        # Keyed by job and run: a run that was throttled for one urgent run
        # may be ended for a later one in the same pass. Only the end is kept.
        self._preemptions: dict[tuple[str, int], Preemption] = {}
        self._restorations: list[Restoration] = []
        self._waiting: dict[str, tuple[int, str]] = {}

    def place(
        self, by_instance: Mapping[str, list[_sizes.RunReport]]
    ) -> Placements:
        """Place every pending run that fits."""
        self._pool_capacity = _capacity.PoolCapacity(
            self._instances,
            self._jobs,
            self._sizes,
            (r for i in self._instances for r in by_instance.get(i.name, ())),
        )
        self._preemption_planner = _preemption.PreemptionPlanner(
            self._pool_capacity
        )
        self._pause()
        unschedulable = self._find_unschedulable()
        skipped = {job.job for job in unschedulable}
        for run in self._list_pending('urgent', skipped):
            self._place_or_wait(
                run,
                lambda r: (
                    self._place_in_free_capacity(r)
                    or self._place_with_preemptions(r)
                ),
            )
        self._restore_throttled()
        for run in self._list_pending('deferrable', skipped):
            self._place_or_wait(run, self._place_in_free_capacity)
        return Placements(
            tuple(self._assignments),
            tuple(self._preemptions.values()),
            tuple(self._restorations),
            tuple(unschedulable),
            self._waiting,
            self._sizes,
        )

    def _find_unschedulable(self) -> list[Unschedulable]:
        found = []
        for name in sorted(self._jobs):
            missing = _sizes.find_insufficient_resource(
                self._sizes[name], self._instances
            )
            if missing is not None:
                found.append(Unschedulable(name, *missing))
        return found

    def _list_pending(
        self, urgency: str, skipped: Collection[str]
    ) -> list[_capacity.PendingRun]:
        """List the runs to place, in the order of placement.

        The jobs take turns, one run each, so that a job with many runs does
        not delay the others. Within a turn larger runs come first, because
        they fit on fewer instances.
        """
        pending = []
        for name, job in self._jobs.items():
            if job.urgency == urgency and name not in skipped:
                size = self._sizes[name]
                order = tuple(-amount for amount in size)
                for round_number, number in enumerate(self._list_numbers(job)):
                    run = _capacity.PendingRun(job, number, size)
                    pending.append((round_number, order, name, run))
        pending.sort(key=lambda item: item[:3])
        return [run for *_, run in pending]

    def _list_numbers(self, job: _resources.Job) -> list[int]:
        reports = self._reports.get(job.name, {})
        numbers = []
        for number in range(job.runs):
            report = reports.get(number)
            if report is None:
                numbers.append(number)
            elif job.idempotent and report.state in _RESTARTABLE_STATES:
                numbers.append(number)
        return numbers

    def _place_or_wait(
        self,
        run: _capacity.PendingRun,
        place: Callable[[_capacity.PendingRun], bool],
    ) -> None:
        """Place a run, or count it as waiting.

        The pass places all urgent runs, then all deferrable ones. Within each
        of these steps the capacity that a job can get, with preemptions in
        the first one, only shrinks. After one run of a job did not fit, its
        others therefore need no search.
        """
        name = run.job.name
        self._attempts += 1
        # The first run of a job takes longer: it ranks all instances.
        if (
            name not in self._tried_jobs
            or not self._attempts % _RUNS_BETWEEN_PAUSES
        ):
            self._tried_jobs.add(name)
            self._pause()
        if name in self._waiting:
            count, cause = self._waiting[name]
            self._waiting[name] = (count + 1, cause)
        elif not place(run):
            self._waiting[name] = (1, self._explain_wait(run))

    def _place_in_free_capacity(self, run: _capacity.PendingRun) -> bool:
        name = self._pool_capacity.find_instance(run)
        if name is None:
            return False
        self._assign(run, name, 0)
        return True

    def _assign(
        self, run: _capacity.PendingRun, name: str, preemptions: int
    ) -> None:
        self._pool_capacity.reserve(run, name)
        report = self._reports.get(run.job.name, {}).get(run.number)
        resumes = report is not None and (
            report.state is _RunState.CHECKPOINTED
        )
        self._assignments.append(
            Assignment(run.job.name, run.number, name, resumes, preemptions)
        )

    def _place_with_preemptions(self, run: _capacity.PendingRun) -> bool:
        chosen = self._preemption_planner.choose_instance(run)
        if chosen is None:
            return False
        name, plan = chosen
        for report, method in plan:
            self._preemption_planner.apply(report, method)
            self._preemptions[report.job, report.run] = Preemption(
                report.job, report.run, name, method, run.job.name
            )
        self._assign(run, name, len(plan))
        return True

    def _restore_throttled(self) -> None:
        """Restore throttled runs on instances with enough free cores."""
        changed_instances = {p.instance for p in self._preemptions.values()}
        for name, runs in self._pool_capacity.running.items():
            if name in changed_instances:
                continue
            for report in runs:
                is_throttled = report.state is _RunState.THROTTLED
                if is_throttled and self._pool_capacity.restore_cores(report):
                    self._restorations.append(
                        Restoration(report.job, report.run, name)
                    )

    def _explain_wait(self, run: _capacity.PendingRun) -> str:
        free_sizes = self._pool_capacity.free
        if not free_sizes:
            return 'no instance of the pool is in service'
        scarce = _capacity.find_scarce_resource(run.size, free_sizes.values())
        if scarce is not None:
            resource, needed, most = scarce
            return f'{resource}: {needed:g} needed, {most:g} free'
        if any(run.size.fits(free) for free in free_sizes.values()):
            return (
                'the instances with enough capacity are kept for urgent work'
            )
        return 'no single instance has enough of every resource free'
