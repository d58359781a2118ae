"""Free capacity of one pool's instances while its runs are placed."""

import collections
import heapq
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _resources
from skylarktally import _sizes

# Runs of the same job in the rack and on the instance, slots taken, name.
_Score = tuple[int, int, float, str]


class Run(NamedTuple):
    """One run to place, with its corrected size."""

    job: _resources.Job
    number: int
    size: _sizes.Size


def is_fixed(job: _resources.Job) -> bool:
    """Tell whether a run can be neither stopped nor checkpointed for others.

    A non-idempotent run that was stopped must not start again.
    """
    return job.urgency == 'urgent' or not job.idempotent


class Board:
    """What is free where, and where the next run of a job fits best."""

    def __init__(
        self,
        instances: Iterable[_resources.Instance],
        jobs: Mapping[str, _resources.Job],
        sizes: Mapping[str, _sizes.Size],
        reports: Iterable[_sizes.RunReport],
    ) -> None:
        self.jobs = jobs
        self._sizes = sizes
        self.serving = {
            i.name: i
            for i in sorted(instances)
            if i.phase is _resources.Phase.SERVING
        }
        self.free = {
            n: _sizes.get_instance_size(i) for n, i in self.serving.items()
        }
        # Grow with each change of what is free or running.
        self.versions = dict.fromkeys(self.free, 0)
        # The instances whose versions grew, in that order.
        self.changes: list[str] = []
        # Runs that were there before this pass, by instance.
        self.running: dict[str, list[_sizes.RunReport]] = {
            n: [] for n in self.free
        }
        self._in_zone: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._in_rack: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._on_instance: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._heaps: dict[str, dict[str, list[_Score]]] = {}
        # Deferrable runs by instance, with the version that they are of.
        self._interruptible: dict[str, tuple[int, list[_sizes.RunReport]]] = {}
        for report in reports:
            if report.holds_capacity and report.instance in self.free:
                self._load(report)
        self.open = self._choose_open()

    def measure_run(self, report: _sizes.RunReport) -> _sizes.Size:
        """Return what a run takes in its present state."""
        size = self._sizes.get(report.job)
        if size is None:
            return _sizes.measure_undeclared_run(report)
        if report.state is _sizes.RunState.THROTTLED:
            return size._replace(cores=size.cores * _sizes.THROTTLED_SHARE)
        return size

    def _load(self, report: _sizes.RunReport) -> None:
        name = report.instance
        self.free[name] = self.free[name].minus(self.measure_run(report))
        if report.job in self.jobs:
            self.running[name].append(report)
            self._count(report.job, self.serving[name], 1)

    def _count(
        self, job: str, instance: _resources.Instance, change: int
    ) -> None:
        self._in_zone[job, instance.zone] += change
        self._in_rack[job, instance.zone, instance.rack] += change
        self._on_instance[job, instance.name] += change

    def _choose_open(self) -> set[str]:
        """Return the instances that may hold deferrable fixed runs.

        All of them in a pool without urgent work. Otherwise half of the
        pool, so that the other half can be cleared for urgent runs: first
        those that hold such runs, then one of each rack in turn.
        """
        if all(job.urgency != 'urgent' for job in self.jobs.values()):
            return set(self.serving)
        turns: collections.Counter[tuple[str, str]] = collections.Counter()
        ranked = []
        for name, instance in self.serving.items():
            rack = (instance.zone, instance.rack)
            turns[rack] += 1
            ranked.append((not self._holds_fixed(name), turns[rack], name))
        ranked.sort()
        return {name for *_, name in ranked[: (len(ranked) + 1) // 2]}

    def _holds_fixed(self, name: str) -> bool:
        jobs = (self.jobs[report.job] for report in self.running[name])
        return any(j.urgency != 'urgent' and is_fixed(j) for j in jobs)

    def take(self, run: Run, name: str) -> None:
        """Give a run its room on an instance."""
        self._use(name, run.size)
        self._count(run.job.name, self.serving[name], 1)

    def throttle(self, report: _sizes.RunReport) -> None:
        """Slow a run down and give back processors."""
        gain = self.find_throttled_gain(report)
        runs = self.running[report.instance]
        runs.remove(report)
        runs.append(report._replace(state=_sizes.RunState.THROTTLED))
        self._release(report.instance, gain)

    def end(self, report: _sizes.RunReport) -> None:
        """Take a run off the board and give back its room."""
        self.running[report.instance].remove(report)
        self._count(report.job, self.serving[report.instance], -1)
        self._release(report.instance, self.measure_run(report))

    def find_throttled_gain(self, report: _sizes.RunReport) -> _sizes.Size:
        """Return what throttling a run gives back."""
        cores = self.measure_run(report).cores
        return _sizes.Size(cores * (1 - _sizes.THROTTLED_SHARE), 0, 0, 0)

    def _release(self, name: str, gain: _sizes.Size) -> None:
        self._set_free(name, self.free[name].plus(gain))
        # The scores of this instance fell: searches must see it anew.
        instance = self.serving[name]
        free = self.free[name]
        for job, heaps in self._heaps.items():
            if self._sizes[job].fits(free):
                score = self._score(job, instance)
                heapq.heappush(heaps.setdefault(instance.zone, []), score)

    def restore(self, report: _sizes.RunReport) -> bool:
        """Give a throttled run its processors back where they are free."""
        missing = self._sizes[report.job].minus(self.measure_run(report))
        if not missing.fits(self.free[report.instance]):
            return False
        self._use(report.instance, missing)
        return True

    def _use(self, name: str, size: _sizes.Size) -> None:
        self._set_free(name, self.free[name].minus(size))

    def _set_free(self, name: str, free: _sizes.Size) -> None:
        self.free[name] = free
        self.versions[name] += 1
        self.changes.append(name)

    def find(self, run: Run) -> str | None:
        """Return the instance for a run, None when none has room.

        The zone with the fewest runs of the job comes first, then the rack,
        then the instance, then the one with the most free slots.
        """
        job = run.job.name
        if job not in self._heaps:
            self._heaps[job] = self._build_heaps(run)
        best: tuple[int, _Score] | None = None
        for zone, heap in self._heaps[job].items():
            self._settle(heap, run)
            if heap:
                score = (self._in_zone[job, zone], heap[0])
                best = score if best is None else min(best, score)
        return None if best is None else best[1][-1]

    def _build_heaps(self, run: Run) -> dict[str, list[_Score]]:
        heaps: dict[str, list[_Score]] = {}
        for name, instance in self.serving.items():
            if self._admits(run.job, name):
                score = self._score(run.job.name, instance)
                heaps.setdefault(instance.zone, []).append(score)
        for heap in heaps.values():
            heapq.heapify(heap)
        return heaps

    def _admits(self, job: _resources.Job, name: str) -> bool:
        return (
            job.urgency == 'urgent' or not is_fixed(job) or name in self.open
        )

    def _score(self, job: str, instance: _resources.Instance) -> _Score:
        return (
            self._in_rack[job, instance.zone, instance.rack],
            self._on_instance[job, instance.name],
            -self.free[instance.name].slots,
            instance.name,
        )

    def _settle(self, heap: list[_Score], run: Run) -> None:
        """Bring the top of a heap up to date.

        Scores only grow while runs are placed, so that an outdated one is
        too low and shows itself at the top; release() adds lower ones.
        """
        while heap:
            name = heap[0][-1]
            if not run.size.fits(self.free[name]) or not self._admits(
                run.job, name
            ):
                heapq.heappop(heap)
                continue
            score = self._score(run.job.name, self.serving[name])
            if score == heap[0]:
                return
            heapq.heapreplace(heap, score)

    def list_interruptible(self, name: str) -> list[_sizes.RunReport]:
        """List the deferrable runs of an instance, the youngest first.

        The youngest lose the least work when they are stopped.
        """
        known = self._interruptible.get(name)
        if known is None or known[0] != self.versions[name]:
            runs = [
                report
                for report in self.running[name]
                if self.jobs[report.job].urgency != 'urgent'
            ]
            runs.sort(key=lambda r: (r.started_at, r.job, r.run), reverse=True)
            known = self._interruptible[name] = (self.versions[name], runs)
        return known[1]


def find_scarce(
    size: _sizes.Size, frees: Collection[_sizes.Size]
) -> tuple[str, float, float] | None:
    """Return a resource that is free in too small an amount everywhere."""
    for field in _sizes.Size._fields:
        most = max(getattr(free, field) for free in frees)
        if getattr(size, field) > most:
            return (field, getattr(size, field), most)
    return None
