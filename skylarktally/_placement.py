"""Placement of jobs on the instances of their pools.

Urgent runs go first and may have deferrable ones checkpointed, throttled
or stopped. Deferrable runs fill what is left. Half of a pool's instances
are kept free of deferrable work that cannot be stopped, so that urgent
work finds an instance that can be cleared for it. The 5.5 s in which an
urgent run must start hold a planning pass (1 s), a checkpoint (stopped
after 3 s) and the start of the run.
"""

import collections
import datetime
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _boards
from skylarktally import _preemption
from skylarktally import _resources
from skylarktally import _sizes

_RunState = _sizes.RunState
# An idempotent run in one of these states starts again.
_REPEATABLE = (_RunState.CHECKPOINTED, _RunState.STOPPED, _RunState.LOST)


class Assignment(NamedTuple):
    """A run to start, or to resume from its checkpoint."""

    job: str
    run: int
    instance: str
    resumes: bool = False
    # Number of preemptions on the instance that must end first.
    preemptions: int = 0


class Preemption(NamedTuple):
    """A deferrable run that makes room for an urgent one."""

    job: str
    run: int
    instance: str
    relief: _preemption.Relief
    urgent_job: str


class Restoration(NamedTuple):
    """A throttled run that gets its processors back."""

    job: str
    run: int
    instance: str


class Unschedulable(NamedTuple):
    """A job that fits no instance of its pool even when it is empty."""

    job: str
    resource: str
    needed: float
    # The most that any instance of the pool has.
    available: float


class Placements(NamedTuple):
    """The changes to make now, and why the other runs wait."""

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    restorations: tuple[Restoration, ...] = ()
    unschedulable: tuple[Unschedulable, ...] = ()
    # Number of waiting runs and the cause, by job.
    waiting: dict[str, tuple[int, str]] = {}
    sizes: dict[str, _sizes.Size] = {}


class Cancellation(NamedTuple):
    """A run to end for good because its job was cancelled."""

    job: str
    run: int
    instance: str


# Runs to place between two pauses, some 50 ms in a pool of 3,200 workers.
_RUNS_BETWEEN_PAUSES = 100

# Lets the other green threads of the process run.
Pause = Callable[[], None]
Reports = Mapping[str, Mapping[int, _sizes.RunReport]]


def place_jobs(
    jobs: Iterable[_resources.Job],
    instances: Iterable[_resources.Instance],
    usage: Iterable[_sizes.RunReport],
    now: datetime.datetime,
    pause: Pause = lambda: None,
) -> Placements:
    """Place the runs that the jobs declare and that have no report yet.

    :param usage: the last report on every run that was ever started
    :param pause: called several times a second during a long pass
    """
    reports = index_usage(usage)
    by_instance: dict[str, list[_sizes.RunReport]] = collections.defaultdict(
        list
    )
    for runs in reports.values():
        for report in runs.values():
            by_instance[report.instance].append(report)
    members: dict[str, list[_resources.Instance]] = {}
    for instance in instances:
        members.setdefault(instance.pool, []).append(instance)
    jobs_of: dict[str, dict[str, _resources.Job]] = {}
    for job in jobs:
        jobs_of.setdefault(job.pool, {})[job.name] = job
    parts = [
        _Pass(members.get(pool, []), jobs_of[pool], reports, now, pause).place(
            by_instance
        )
        for pool in sorted(jobs_of)
    ]
    return _join(parts)


def index_usage(usage: Iterable[_sizes.RunReport]) -> Reports:
    """Index reports by job and run; the last one of a run counts."""
    reports: dict[str, dict[int, _sizes.RunReport]] = {}
    for report in usage:
        reports.setdefault(report.job, {})[report.run] = report
    return reports


def plan_cancellations(
    cancelled: Iterable[str], reports: Reports
) -> list[Cancellation]:
    """List the runs to end, at a cost in proportion to their number."""
    return [
        Cancellation(job, report.run, report.instance)
        for job in cancelled
        for report in reports.get(job, {}).values()
        if report.holds_capacity
    ]


def _join(parts: Collection[Placements]) -> Placements:
    waiting: dict[str, tuple[int, str]] = {}
    sizes: dict[str, _sizes.Size] = {}
    for part in parts:
        waiting.update(part.waiting)
        sizes.update(part.sizes)
    return Placements(
        tuple(a for part in parts for a in part.assignments),
        tuple(p for part in parts for p in part.preemptions),
        tuple(r for part in parts for r in part.restorations),
        tuple(u for part in parts for u in part.unschedulable),
        waiting,
        sizes,
    )


class _Pass:
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
        self._tries = 0
        self._tried: set[str] = set()
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
        # By job and run: a run that was throttled for one urgent run may end
        # for a later one in the same pass, and only the end counts then.
        self._preemptions: dict[tuple[str, int], Preemption] = {}
        self._restorations: list[Restoration] = []
        self._waiting: dict[str, tuple[int, str]] = {}

    def place(
        self, by_instance: Mapping[str, list[_sizes.RunReport]]
    ) -> Placements:
        """Place every pending run that there is room for."""
        self._board = _boards.Board(
            self._instances,
            self._jobs,
            self._sizes,
            (r for i in self._instances for r in by_instance.get(i.name, ())),
        )
        self._rooms = _preemption.Rooms(self._board)
        self._pause()
        unschedulable = self._find_unschedulable()
        skipped = {job.job for job in unschedulable}
        for run in self._list_pending('urgent', skipped):
            self._try(run, lambda r: self._place(r) or self._make_room(r))
        self._restore()
        for run in self._list_pending('deferrable', skipped):
            self._try(run, self._place)
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
    ) -> list[_boards.Run]:
        """List the runs to place, in their order.

        The n-th runs of all jobs come before the next ones, so that a job
        with many runs does not hold the others back. Large ones go first,
        because they fit fewer gaps.
        """
        pending = []
        for name, job in self._jobs.items():
            if job.urgency == urgency and name not in skipped:
                size = self._sizes[name]
                order = tuple(-amount for amount in size)
                for turn, number in enumerate(self._list_numbers(job)):
                    run = _boards.Run(job, number, size)
                    pending.append((turn, order, name, run))
        pending.sort(key=lambda entry: entry[:3])
        return [run for *_, run in pending]

    def _list_numbers(self, job: _resources.Job) -> list[int]:
        reports = self._reports.get(job.name, {})
        numbers = []
        for number in range(job.runs):
            report = reports.get(number)
            if report is None:
                numbers.append(number)
            elif job.idempotent and report.state in _REPEATABLE:
                numbers.append(number)
        return numbers

    def _try(
        self, run: _boards.Run, place: Callable[[_boards.Run], bool]
    ) -> None:
        """Place a run, or count it as waiting.

        What can be cleared for a job only shrinks during its phase of the
        pass: once one of its runs found no room, the others find none.
        """
        name = run.job.name
        self._tries += 1
        # The first run of a job ranks every instance of the pool.
        if name not in self._tried or not self._tries % _RUNS_BETWEEN_PAUSES:
            self._tried.add(name)
            self._pause()
        if name in self._waiting:
            count, cause = self._waiting[name]
            self._waiting[name] = (count + 1, cause)
        elif not place(run):
            self._waiting[name] = (1, self._explain_wait(run))

    def _place(self, run: _boards.Run) -> bool:
        name = self._board.find(run)
        if name is None:
            return False
        self._assign(run, name, 0)
        return True

    def _assign(self, run: _boards.Run, name: str, preemptions: int) -> None:
        self._board.take(run, name)
        report = self._reports.get(run.job.name, {}).get(run.number)
        resumes = report is not None and (
            report.state is _RunState.CHECKPOINTED
        )
        self._assignments.append(
            Assignment(run.job.name, run.number, name, resumes, preemptions)
        )

    def _make_room(self, run: _boards.Run) -> bool:
        chosen = self._rooms.choose(run)
        if chosen is None:
            return False
        name, plan = chosen
        for report, relief in plan:
            self._rooms.apply(report, relief)
            self._preemptions[report.job, report.run] = Preemption(
                report.job, report.run, name, relief, run.job.name
            )
        self._assign(run, name, len(plan))
        return True

    def _restore(self) -> None:
        """Give processors back to throttled runs where they are free."""
        touched = {p.instance for p in self._preemptions.values()}
        for name, runs in self._board.running.items():
            if name in touched:
                continue
            for report in runs:
                slowed = report.state is _RunState.THROTTLED
                if slowed and self._board.restore(report):
                    self._restorations.append(
                        Restoration(report.job, report.run, name)
                    )

    def _explain_wait(self, run: _boards.Run) -> str:
        frees = self._board.free
        if not frees:
            return 'no instance of the pool serves'
        scarce = _boards.find_scarce(run.size, frees.values())
        if scarce is not None:
            resource, needed, most = scarce
            return f'{resource}: {needed:g} needed, {most:g} free'
        if any(run.size.fits(free) for free in frees.values()):
            return 'half of the instances are kept for urgent work'
        return 'no instance has all resources free at once'
