"""Placement of jobs on the instances of their pools.

Urgent runs go first and may have deferrable ones checkpointed, throttled
or stopped. Deferrable runs fill what is left. Half of a pool's instances
are kept free of work that can be neither stopped nor checkpointed, so that
urgent work always finds an instance that can be cleared for it.
"""

import collections
import datetime
import enum
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _resources
from skylarktally import _sizes

# Share of the declared cores that a throttled run keeps.
THROTTLED_SHARE = 0.25


class Assignment(NamedTuple):
    """A run to start, or to resume from its checkpoint."""

    job: str
    run: int
    instance: str
    resumes: bool = False


class Relief(enum.Enum):
    """Ways of making room."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Preemption(NamedTuple):
    """A deferrable run that makes room for an urgent one."""

    job: str
    run: int
    instance: str
    relief: Relief
    urgent_job: str


class Unschedulable(NamedTuple):
    """A job that fits no instance of its pool even when it is empty."""

    job: str
    resource: str
    needed: float
    # The most that any instance of the pool has.
    available: float


class Placements(NamedTuple):
    """The changes to make now, and why the other runs wait."""

    assignments: tuple[Assignment, ...]
    preemptions: tuple[Preemption, ...]
    unschedulable: tuple[Unschedulable, ...]
    # Number of waiting runs and the cause, by job.
    waiting: dict[str, tuple[int, str]]
    sizes: dict[str, _sizes.Size]


class _Run(NamedTuple):
    job: _resources.Job
    run: int
    size: _sizes.Size


def place_jobs(
    jobs: Iterable[_resources.Job],
    instances: Iterable[_resources.Instance],
    usage: Iterable[_sizes.Usage],
    now: datetime.datetime,
) -> Placements:
    """Place the runs that the jobs declare and that have no report yet.

    :param usage: the last report on every run that was ever started
    """
    reports: dict[str, dict[int, _sizes.Usage]] = collections.defaultdict(dict)
    for report in usage:
        reports[report.job][report.run] = report
    by_pool: dict[str, list[_resources.Instance]] = {}
    for instance in instances:
        by_pool.setdefault(instance.pool, []).append(instance)
    jobs_by_pool: dict[str, list[_resources.Job]] = {}
    for job in jobs:
        jobs_by_pool.setdefault(job.pool, []).append(job)
    result = Placements((), (), (), {}, {})
    for pool in sorted(jobs_by_pool):
        board = _Board(by_pool.get(pool, []), jobs_by_pool[pool], reports)
        part = board.place()
        result = Placements(
            result.assignments + part.assignments,
            result.preemptions + part.preemptions,
            result.unschedulable + part.unschedulable,
            result.waiting | part.waiting,
            result.sizes | part.sizes,
        )
    return result


class _Board:
    """Free capacity of one pool while its runs are placed."""

    def __init__(
        self,
        instances: Collection[_resources.Instance],
        jobs: Collection[_resources.Job],
        reports: Mapping[str, Mapping[int, _sizes.Usage]],
    ) -> None:
        self._all = instances
        self._jobs = {job.name: job for job in jobs}
        self._reports = reports
        self._sizes = {
            job.name: _sizes.estimate_size(
                job, reports.get(job.name, {}).values()
            )
            for job in jobs
        }
        self._serving = {
            i.name: i
            for i in sorted(instances)
            if i.phase is _resources.Phase.SERVING
        }
        self._free = {n: _sizes.measure(i) for n, i in self._serving.items()}
        self._running: dict[str, list[_sizes.Usage]] = {
            n: [] for n in self._free
        }
        # Runs of a job by zone, by rack and by instance.
        self._spread: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._assignments: list[Assignment] = []
        self._preemptions: list[Preemption] = []
        self._waiting: dict[str, tuple[int, str]] = {}
        for job in jobs:
            for report in reports.get(job.name, {}).values():
                self._load(job, report)
        self._open = self._choose_open()

    def _load(self, job: _resources.Job, report: _sizes.Usage) -> None:
        if report.state not in (
            _sizes.RunState.RUNNING,
            _sizes.RunState.THROTTLED,
        ):
            return
        instance = self._serving.get(report.instance)
        if instance is None:
            return
        size = self._sizes[job.name]
        if report.state is _sizes.RunState.THROTTLED:
            size = size._replace(cores=size.cores * THROTTLED_SHARE)
        self._free[instance.name] = _sizes.add(
            self._free[instance.name], size, -1
        )
        self._running[instance.name].append(report)
        self._count_spread(job.name, instance)

    def _count_spread(self, job: str, instance: _resources.Instance) -> None:
        self._spread[job, 'zone', instance.zone] += 1
        self._spread[job, 'rack', instance.rack] += 1
        self._spread[job, 'instance', instance.name] += 1

    def _choose_open(self) -> set[str]:
        """Return the instances that may hold uninterruptible runs.

        At most half of the pool when it has urgent work, those first that
        hold such runs already, then in turn over racks.
        """
        if all(j.urgency != 'urgent' for j in self._jobs.values()):
            return set(self._serving)
        holding = [
            name
            for name, runs in self._running.items()
            if any(_is_fixed(self._jobs[r.job]) for r in runs)
        ]
        others = [n for n in self._serving if n not in set(holding)]
        limit = (len(self._serving) + 1) // 2
        return set((holding + others)[: max(limit, 0)])

    def place(self) -> Placements:
        """Place every pending run that there is room for."""
        unschedulable = []
        pending: list[tuple[bool, int, _sizes.Size, _Run]] = []
        for job in self._jobs.values():
            size = self._sizes[job.name]
            missing = _sizes.find_missing(size, self._all)
            if missing is not None:
                unschedulable.append(Unschedulable(job.name, *missing))
                continue
            deferrable = job.urgency != 'urgent'
            for turn, run in enumerate(self._list_pending(job)):
                pending.append((deferrable, turn, size, _Run(job, run, size)))
        # The n-th runs of all jobs come before the next ones, so that a
        # job with many runs does not hold the others back; large ones
        # first, because they fit fewer gaps.
        pending.sort(
            key=lambda p: (p[0], p[1], [-x for x in p[2]], p[3].job.name)
        )
        for deferrable, _, _, waiting in pending:
            if self._place(waiting):
                continue
            if deferrable or not self._make_room(waiting):
                self._wait(waiting)
        return Placements(
            tuple(self._assignments),
            tuple(self._preemptions),
            tuple(unschedulable),
            self._waiting,
            self._sizes,
        )

    def _list_pending(self, job: _resources.Job) -> list[int]:
        reports = self._reports.get(job.name, {})
        pending = []
        for run in range(job.runs):
            report = reports.get(run)
            if report is None:
                pending.append(run)
            elif job.idempotent and report.state in (
                _sizes.RunState.CHECKPOINTED,
                _sizes.RunState.LOST,
            ):
                pending.append(run)
        return pending

    def _place(self, run: _Run) -> bool:
        fixed = _is_fixed(run.job)
        best = None
        for name, free in self._free.items():
            if not _sizes.fits(run.size, free):
                continue
            if fixed and name not in self._open:
                continue
            score = self._score(run.job, name)
            if best is None or score < best:
                best = score
        if best is None:
            return False
        self._assign(run, best[-1])
        return True

    def _score(
        self, job: _resources.Job, name: str
    ) -> tuple[int, int, int, float, str]:
        instance = self._serving[name]
        return (
            self._spread[job.name, 'zone', instance.zone],
            self._spread[job.name, 'rack', instance.rack],
            self._spread[job.name, 'instance', name],
            -self._free[name].slots,
            name,
        )

    def _assign(self, run: _Run, name: str) -> None:
        self._free[name] = _sizes.add(self._free[name], run.size, -1)
        self._count_spread(run.job.name, self._serving[name])
        report = self._reports.get(run.job.name, {}).get(run.run)
        resumes = (
            report is not None and report.state is _sizes.RunState.CHECKPOINTED
        )
        self._assignments.append(
            Assignment(run.job.name, run.run, name, resumes)
        )

    def _make_room(self, run: _Run) -> bool:
        """Preempt deferrable runs on the instance where fewest suffice."""
        best: tuple[int, int, str] | None = None
        chosen: list[Preemption] = []
        for name in self._free:
            plan = self._plan_room(run, name)
            if plan is None:
                continue
            stops = sum(p.relief is not Relief.THROTTLE for p in plan)
            score = (stops, len(plan), name)
            if best is None or score < best:
                best, chosen = score, plan
        if best is None:
            return False
        for preemption in chosen:
            self._apply(preemption)
        self._assign(run, best[-1])
        return True

    def _plan_room(self, run: _Run, name: str) -> list[Preemption] | None:
        free = self._free[name]
        plan: list[Preemption] = []
        ranked = sorted(
            (
                report
                for report in self._running[name]
                if self._jobs[report.job].urgency != 'urgent'
            ),
            # The youngest lose the least work.
            key=lambda r: (r.started_at, r.job, r.run),
            reverse=True,
        )
        only_cores = _sizes.fits(
            run.size._replace(cores=0), free._replace(cores=0)
        )
        for report in ranked:
            if _sizes.fits(run.size, free):
                break
            relief = self._find_relief(report, only_cores)
            if relief is None:
                continue
            free = _sizes.add(free, self._find_gain(report, relief))
            plan.append(
                Preemption(report.job, report.run, name, relief, run.job.name)
            )
        return plan if _sizes.fits(run.size, free) else None

    def _find_relief(
        self, report: _sizes.Usage, only_cores: bool
    ) -> Relief | None:
        job = self._jobs[report.job]
        if only_cores and report.state is _sizes.RunState.RUNNING:
            return Relief.THROTTLE
        if not job.idempotent:
            return None
        return Relief.CHECKPOINT if job.mode == 'batch' else Relief.STOP

    def _find_gain(self, report: _sizes.Usage, relief: Relief) -> _sizes.Size:
        size = self._sizes[report.job]
        if relief is Relief.THROTTLE:
            return _sizes.Size(size.cores * (1 - THROTTLED_SHARE), 0, 0, 0)
        if report.state is _sizes.RunState.THROTTLED:
            return size._replace(cores=size.cores * THROTTLED_SHARE)
        return size

    def _apply(self, preemption: Preemption) -> None:
        name = preemption.instance
        runs = self._running[name]
        report = next(
            r
            for r in runs
            if (r.job, r.run) == (preemption.job, preemption.run)
        )
        gain = self._find_gain(report, preemption.relief)
        self._free[name] = _sizes.add(self._free[name], gain)
        runs.remove(report)
        if preemption.relief is Relief.THROTTLE:
            runs.append(report._replace(state=_sizes.RunState.THROTTLED))
        self._preemptions.append(preemption)

    def _wait(self, run: _Run) -> None:
        count, _ = self._waiting.get(run.job.name, (0, ''))
        cause = self._explain_wait(run)
        self._waiting[run.job.name] = (count + 1, cause)

    def _explain_wait(self, run: _Run) -> str:
        if not self._serving:
            return 'no instance of the pool serves'
        frees = self._free.values()
        for field in _sizes.Size._fields:
            most = max(getattr(free, field) for free in frees)
            needed = getattr(run.size, field)
            if needed > most:
                return f'{field}: {needed:g} needed, {most:g} free'
        return 'no instance has all resources free at once'


def _is_fixed(job: _resources.Job) -> bool:
    """Tell whether a run can be neither stopped nor checkpointed."""
    return job.urgency != 'urgent' and not job.idempotent
