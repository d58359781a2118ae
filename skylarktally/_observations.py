"""Observed state of workers and demand, from probes and routers."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import Any

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _moves
from skylarktally import _repairs
from skylarktally import _resources
from skylarktally import _sharing
from skylarktally import _workers

# Three probes fit into the time without a response after which a worker counts
# as lost.
MIN_PROBE_INTERVAL = datetime.timedelta(seconds=4)
# A probe costs about 1.5 ms and 360 bytes. With more than 16 workers, those
# without signs of a fault share this rate, with at least one probe in 30 s
# for each worker.
_MAX_PROBES_PER_SECOND = 4
_MAX_PROBE_INTERVAL = datetime.timedelta(seconds=30)
_RESTART_WINDOW = datetime.timedelta(minutes=10)
_HISTORY_LENGTH = datetime.timedelta(minutes=1)
_REBOOT_PHASES = (_resources.Phase.STOPPING, _resources.Phase.MAINTENANCE)


@dataclasses.dataclass
class _Worker:
    """Observations of one worker; times are monotonic."""

    responded_at: datetime.timedelta
    probed_at: datetime.timedelta | None = None
    # When the first probe since the last response failed.
    missed_at: datetime.timedelta | None = None
    # Jitter: share of the interval beyond MIN_PROBE_INTERVAL, drawn again for
    # each probe so that the probes of a zone are not synchronized.
    interval_factor: float = 1.0
    boot_id: str = ''
    epoch: int = 0
    restarts: list[datetime.timedelta] = dataclasses.field(
        default_factory=list
    )
    probes_passed: int = 0
    # Failed tasks since the last one that succeeded.
    failures: int = 0
    successes: int = 0
    # Last reported successes and failures, by router.
    counters: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


class WorkerMonitor:
    """Tracks probes, restarts and task outcomes of a controller's workers."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._workers: dict[str, _Worker] = {}
        self._probe_interval = MIN_PROBE_INTERVAL
        self._degraded_pools: frozenset[str] = frozenset()
        # Workers in the last report of each router.
        self._last_reported_workers: dict[str, frozenset[str]] = {}

    def set_probe_interval(
        self, watched: int, degraded_pools: Iterable[str]
    ) -> None:
        """Adapt the interval of probes to the number of workers.

        :param watched: number of workers that this controller probes
        :param degraded_pools: pools with instances out of service. Their
            workers are probed at the shortest interval, because one more
            loss can exhaust the budget.
        """
        fair_interval = datetime.timedelta(
            seconds=watched / _MAX_PROBES_PER_SECOND
        )
        self._probe_interval = min(
            max(fair_interval, MIN_PROBE_INTERVAL), _MAX_PROBE_INTERVAL
        )
        self._degraded_pools = frozenset(degraded_pools)

    def _get_worker(self, name: str) -> _Worker:
        worker = self._workers.get(name)
        if worker is None:
            # A worker counts as responsive when its observation starts.
            worker = _Worker(self._clock.monotonic())
            self._workers[name] = worker
        return worker

    def is_probe_due(self, instance: _resources.Instance) -> bool:
        """Tell whether the worker should be probed now.

        A task that succeeds through a router replaces a probe while the
        worker is fenced at the epoch in the log. A worker that missed a
        probe or failed its last tasks, or whose pool is degraded, is probed
        at the shortest interval.
        """
        worker = self._get_worker(instance.name)
        if worker.probed_at is None or worker.epoch != instance.epoch:
            return True
        interval = MIN_PROBE_INTERVAL
        if (
            worker.missed_at is None
            and not worker.failures
            and instance.pool not in self._degraded_pools
        ):
            interval += (
                self._probe_interval - MIN_PROBE_INTERVAL
            ) * worker.interval_factor
        last = max(worker.responded_at, worker.probed_at)
        return self._clock.monotonic() - last >= interval

    def record_probe(
        self,
        instance: _resources.Instance,
        probe_result: result.Result[_workers.FenceStatus, _errors.Failure],
    ) -> None:
        """Record the result of a probe.

        A conflict is neither a pass nor a miss.
        """
        worker = self._get_worker(instance.name)
        now = worker.probed_at = self._clock.monotonic()
        worker.interval_factor = random.uniform(0.5, 1)
        if isinstance(probe_result, result.Success):
            self._record_success(worker, instance, probe_result.unwrap(), now)
        elif probe_result.failure().kind is not _errors.ErrorKind.CONFLICT:
            worker.probes_passed = 0
            worker.missed_at = worker.missed_at or now

    def _record_success(
        self,
        worker: _Worker,
        instance: _resources.Instance,
        fence: _workers.FenceStatus,
        now: datetime.timedelta,
    ) -> None:
        worker.responded_at = now
        worker.missed_at = None
        worker.probes_passed += 1
        worker.epoch = fence.epoch
        if worker.boot_id and worker.boot_id != fence.boot_id:
            worker.probes_passed = 1
            if instance.phase not in _REBOOT_PHASES:
                worker.restarts.append(now)
        worker.boot_id = fence.boot_id

    def record_counters(self, router: str, workers: dict[str, Any]) -> None:
        """Record the successes and failures that a router has counted.

        The first report of a router is only a baseline, because its counts
        may be old. The counts of a worker that is new in a later report are
        all counted: they arose since the report before.
        """
        last_workers = self._last_reported_workers.get(router)
        self._last_reported_workers[router] = frozenset(workers)
        for name, counts in workers.items():
            if name not in self._workers:
                continue
            worker = self._workers[name]
            counts_now = (int(counts['successes']), int(counts['failures']))
            is_new = last_workers is not None and name not in last_workers
            initial_counts = (0, 0) if is_new else counts_now
            counts_before = worker.counters.get(router, initial_counts)
            worker.counters[router] = counts_now
            if (
                counts_now[0] < counts_before[0]
                or counts_now[1] < counts_before[1]
            ):
                # The router has restarted, and its counters with it.
                counts_before = (0, 0)
            self._add_outcomes(
                worker,
                counts_now[0] - counts_before[0],
                counts_now[1] - counts_before[1],
            )

    def _add_outcomes(
        self, worker: _Worker, successes: int, failures: int
    ) -> None:
        if successes:
            worker.responded_at = self._clock.monotonic()
            worker.missed_at = None
            worker.successes, worker.failures = successes, 0
        elif failures:
            worker.successes = 0
            worker.failures += failures

    def observe(
        self, instance: _resources.Instance, cordons: int
    ) -> _repairs.WorkerObservation | None:
        """Return the observation that repairs need, None before any probe.

        :param cordons: how often the instance has been cordoned. A worker
            that fails its tasks still passes its probes, so each further
            cordon must last longer.
        """
        worker = self._get_worker(instance.name)
        if worker.probed_at is None:
            return None
        now = self._clock.monotonic()
        worker.restarts = [
            at for at in worker.restarts if now - at < _RESTART_WINDOW
        ]
        restarts = len(worker.restarts)
        if instance.phase is _resources.Phase.CORDONED:
            restarts = max(restarts, cordons - 1)
        silent = datetime.timedelta(0)
        if worker.missed_at is not None:
            # Without a probe there was nothing to respond to: count one
            # interval at most before the first miss.
            earliest = worker.missed_at - MIN_PROBE_INTERVAL
            silent = now - max(worker.responded_at, earliest)
        return _repairs.WorkerObservation(
            instance.name,
            worker.successes,
            worker.failures,
            silent,
            restarts,
            worker.probes_passed,
        )

    def reset_task_counts(self, name: str) -> None:
        """Reset the counts of tasks after a return to service."""
        worker = self._get_worker(name)
        worker.failures = worker.successes = 0

    def retain(self, names: Iterable[str]) -> None:
        """Remove all workers except these."""
        kept = set(names)
        for name in self._workers.keys() - kept:
            del self._workers[name]


class DemandTracker:
    """Tracks the demand of each pool in the zone over the last minute."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[datetime.timedelta, Any]] = {}
        self._samples: collections.deque[_moves.Sample] = collections.deque()
        self._moves: collections.deque[_moves.PastMove] = collections.deque()

    def record_report(self, router: str, report: dict[str, Any]) -> None:
        """Store the latest report of a router."""
        self._reports[router] = (self._clock.monotonic(), report)

    def sum_by_pool(self) -> dict[str, dict[str, float]]:
        """Return the observations of each pool, summed over the routers."""
        # A router without a report for 5 s no longer serves the zone.
        limit = self._clock.monotonic() - datetime.timedelta(seconds=5)
        sums: dict[str, dict[str, float]] = {}
        for name, (at, report) in list(self._reports.items()):
            if at < limit:
                del self._reports[name]
                continue
            for pool, values in report.get('pools', {}).items():
                pool_sums = sums.setdefault(pool, {})
                for key, value in values.items():
                    pool_sums[key] = pool_sums.get(key, 0) + value
        return sums

    def measure(self, jobs: Iterable[_resources.Job]) -> list[_sharing.Demand]:
        """Return the current demands and add them to the history.

        :param jobs: the request jobs, for urgency and expected run times
        """
        by_pool: dict[str, list[_resources.Job]] = {}
        for job in jobs:
            by_pool.setdefault(job.pool, []).append(job)
        demands = [
            _measure_pool(pool, sums, by_pool.get(pool, []))
            for pool, sums in sorted(self.sum_by_pool().items())
        ]
        now = self._clock.now()
        slots = {demand.pool: demand.slots for demand in demands}
        deferrable = {demand.pool: demand.deferrable for demand in demands}
        self._samples.append(_moves.Sample(now, slots, deferrable))
        while self._samples[0].at < now - _HISTORY_LENGTH:
            self._samples.popleft()
        return demands

    def record_move(self, move: _moves.Move) -> None:
        """Add a started move to the history."""
        self._moves.append(
            _moves.PastMove(
                self._clock.now(), move.instance, move.source, move.target
            )
        )

    def get_history(self) -> _moves.History:
        """Return the samples and moves of the last minute."""
        start = self._clock.now() - _HISTORY_LENGTH
        while self._moves and self._moves[0].at < start:
            self._moves.popleft()
        return _moves.History(tuple(self._samples), tuple(self._moves))


def _measure_pool(
    pool: str, sums: dict[str, float], jobs: list[_resources.Job]
) -> _sharing.Demand:
    """Build the demand of a pool from its observations.

    Work counts as urgent if a router does not report its urgency.
    """
    deferrable = {
        key: sums.get(f'deferrable_{key}', 0.0)
        for key in ('queue_length', 'arrival_rate', 'running', 'load')
    }
    urgent = {
        key: sums.get(key, 0.0) - part for key, part in deferrable.items()
    }
    deferrable_slots = max(
        deferrable['queue_length'] + deferrable['running'],
        deferrable['arrival_rate']
        * _estimate_run_seconds(jobs, 'deferrable', deferrable),
    )
    return _sharing.measure_demand(
        pool,
        int(urgent['queue_length']),
        int(urgent['running']),
        urgent['arrival_rate'],
        _estimate_run_seconds(jobs, 'urgent', urgent),
        deferrable_slots,
    )


def _estimate_run_seconds(
    jobs: list[_resources.Job], urgency: str, sums: dict[str, float]
) -> float:
    """Return the mean run time of requests of one urgency, in seconds.

    Without measurements of routers, it is the longest run time that the jobs
    declare.
    """
    if sums['load'] > 0 and sums['arrival_rate'] > 0:
        return sums['load'] / sums['arrival_rate']
    return max(
        (job.expected_seconds for job in jobs if job.urgency == urgency),
        default=1.0,
    )
