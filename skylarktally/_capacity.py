"""Free capacity of a pool's instances during a placement pass."""

import collections
import heapq
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _resources
from skylarktally import _sizes

# Runs of the job in the rack and on the instance, the negative number of free
# slots, and the name of the instance. The lowest score is the best.
_Score = tuple[int, int, float, str]


class PendingRun(NamedTuple):
    """One run to place, with the size estimated for it."""

    job: _resources.Job
    number: int
    size: _sizes.Size


def is_uninterruptible(job: _resources.Job) -> bool:
    """Tell whether runs of a job must not be checkpointed or stopped.

    This holds for urgent runs, and for runs that are not idempotent, which
    could not be started again. A deferrable one can still be throttled.
    """
    return job.urgency == 'urgent' or not job.idempotent


class PoolCapacity:
    """Tracks free capacity and finds the best instance for a run."""

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
        # Counts the changes of the free capacity and runs of each instance.
        self.versions = dict.fromkeys(self.free, 0)
        # Instances in the order of their changes, one item for each change.
        self.changes: list[str] = []
        # Runs that were running before this pass, by instance.
        self.running: dict[str, list[_sizes.RunReport]] = {
            n: [] for n in self.free
        }
        self._runs_by_zone: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._runs_by_rack: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._runs_by_instance: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._score_heaps: dict[str, dict[str, list[_Score]]] = {}
        # Sorted deferrable runs by instance, and the version they belong to.
        self._deferrable_cache: dict[
            str, tuple[int, list[_sizes.RunReport]]
        ] = {}
        for report in reports:
            if report.holds_capacity and report.instance in self.free:
                self._add_running(report)
        self.open_to_uninterruptible = self._choose_open()

    def get_run_size(self, report: _sizes.RunReport) -> _sizes.Size:
        """Return the amounts that a run holds in its present state."""
        size = self._sizes.get(report.job)
        if size is None:
            return _sizes.measure_undeclared_run(report)
        if report.state is _sizes.RunState.THROTTLED:
            return size._replace(cores=size.cores * _sizes.THROTTLED_SHARE)
        return size

    def _add_running(self, report: _sizes.RunReport) -> None:
        name = report.instance
        self.free[name] = self.free[name].minus(self.get_run_size(report))
        if report.job in self.jobs:
            self.running[name].append(report)
            self._change_run_counts(report.job, self.serving[name], 1)

    def _change_run_counts(
        self, job: str, instance: _resources.Instance, change: int
    ) -> None:
        self._runs_by_zone[job, instance.zone] += change
        self._runs_by_rack[job, instance.zone, instance.rack] += change
        self._runs_by_instance[job, instance.name] += change

    def _choose_open(self) -> set[str]:
        """Return the instances that accept uninterruptible deferrable runs.

        These are all instances in a pool without urgent jobs. Otherwise they
        are half of the pool, so that the other half can be freed for urgent
        runs: first those that already have such runs, then one instance of
        each rack in turn.
        """
        if all(job.urgency != 'urgent' for job in self.jobs.values()):
            return set(self.serving)
        counts_by_rack: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        ranked = []
        for name, instance in self.serving.items():
            rack = (instance.zone, instance.rack)
            counts_by_rack[rack] += 1
            ranked.append(
                (
                    not self._holds_uninterruptible(name),
                    counts_by_rack[rack],
                    name,
                )
            )
        ranked.sort()
        return {name for *_, name in ranked[: (len(ranked) + 1) // 2]}

    def _holds_uninterruptible(self, name: str) -> bool:
        jobs = (self.jobs[report.job] for report in self.running[name])
        return any(
            j.urgency != 'urgent' and is_uninterruptible(j) for j in jobs
        )

    def reserve(self, run: PendingRun, name: str) -> None:
        """Reserve the capacity for a run on an instance."""
        self._subtract_free(name, run.size)
        self._change_run_counts(run.job.name, self.serving[name], 1)

    def throttle(self, report: _sizes.RunReport) -> None:
        """Mark a run as throttled and release a part of its cores."""
        gain = self.compute_throttling_gain(report)
        runs = self.running[report.instance]
        runs.remove(report)
        runs.append(report._replace(state=_sizes.RunState.THROTTLED))
        self._add_free(report.instance, gain)

    def remove_run(self, report: _sizes.RunReport) -> None:
        """Remove a run that is ended and release its capacity."""
        self.running[report.instance].remove(report)
        self._change_run_counts(report.job, self.serving[report.instance], -1)
        self._add_free(report.instance, self.get_run_size(report))

    def compute_throttling_gain(self, report: _sizes.RunReport) -> _sizes.Size:
        """Return the cores that throttling a run releases, as a size."""
        cores = self.get_run_size(report).cores
        return _sizes.Size(cores * (1 - _sizes.THROTTLED_SHARE), 0, 0, 0)

    def _add_free(self, name: str, gain: _sizes.Size) -> None:
        self._set_free(name, self.free[name].plus(gain))
        # The score of this instance fell, or a heap has dropped the instance
        # because it had too little free: push it again.
        instance = self.serving[name]
        free = self.free[name]
        for job, heaps in self._score_heaps.items():
            if self._sizes[job].fits(free):
                score = self._score(job, instance)
                heapq.heappush(heaps.setdefault(instance.zone, []), score)

    def restore_cores(self, report: _sizes.RunReport) -> bool:
        """Restore a throttled run if its instance has enough free cores."""
        withheld = self._sizes[report.job].minus(self.get_run_size(report))
        if not withheld.fits(self.free[report.instance]):
            return False
        self._subtract_free(report.instance, withheld)
        return True

    def _subtract_free(self, name: str, size: _sizes.Size) -> None:
        self._set_free(name, self.free[name].minus(size))

    def _set_free(self, name: str, free: _sizes.Size) -> None:
        self.free[name] = free
        self.versions[name] += 1
        self.changes.append(name)

    def find_instance(self, run: PendingRun) -> str | None:
        """Return the best instance for a run, None if it fits on none.

        The runs of a job are spread: the zone with the fewest of them is
        preferred, then the rack, then the instance, then the instance with
        the most free slots.
        """
        job = run.job.name
        if job not in self._score_heaps:
            self._score_heaps[job] = self._build_heaps(run)
        best: tuple[int, _Score] | None = None
        for zone, heap in self._score_heaps[job].items():
            self._refresh_top(heap, run)
            if heap:
                score = (self._runs_by_zone[job, zone], heap[0])
                best = score if best is None else min(best, score)
        return None if best is None else best[1][-1]

    def _build_heaps(self, run: PendingRun) -> dict[str, list[_Score]]:
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
            job.urgency == 'urgent'
            or not is_uninterruptible(job)
            or name in self.open_to_uninterruptible
        )

    def _score(self, job: str, instance: _resources.Instance) -> _Score:
        return (
            self._runs_by_rack[job, instance.zone, instance.rack],
            self._runs_by_instance[job, instance.name],
            -self.free[instance.name].slots,
            instance.name,
        )

    def _refresh_top(self, heap: list[_Score], run: PendingRun) -> None:
        """Drop or rescore instances until the top of a heap is current.

        Placing runs only raises scores, so that an outdated score is too low
        and comes to the top. _add_free() pushes the scores that fell.
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

    def list_deferrable(self, name: str) -> list[_sizes.RunReport]:
        """List the deferrable runs of an instance, the latest start first.

        Stopping the run that started last loses the least work.
        """
        cached = self._deferrable_cache.get(name)
        if cached is None or cached[0] != self.versions[name]:
            runs = [
                report
                for report in self.running[name]
                if self.jobs[report.job].urgency != 'urgent'
            ]
            runs.sort(key=lambda r: (r.started_at, r.job, r.run), reverse=True)
            cached = self._deferrable_cache[name] = (self.versions[name], runs)
        return cached[1]


def find_scarce_resource(
    size: _sizes.Size, free_sizes: Collection[_sizes.Size]
) -> tuple[str, float, float] | None:
    """Return a resource of which no instance has enough free.

    The answer is the resource, the amount needed and the largest amount free
    on one instance; None if each resource suffices on some instance.
    """
    for field in _sizes.Size._fields:
        largest_free = max(getattr(free, field) for free in free_sizes)
        if getattr(size, field) > largest_free:
            return (field, getattr(size, field), largest_free)
    return None
