"""What probes and the routers' counters tell of workers and of demand."""

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

# Three probes fit into the silence after which a worker counts as lost.
PROBE_INTERVAL = datetime.timedelta(seconds=4)
# A probe costs about 1.5 ms and 360 bytes. Above 16 workers, those that
# give no cause for doubt share this rate, down to one probe in 30 s each.
_PROBES_PER_SECOND = 4
_LONGEST_INTERVAL = datetime.timedelta(seconds=30)
_RESTART_WINDOW = datetime.timedelta(minutes=10)
_HISTORY = datetime.timedelta(minutes=1)
_IN_REBOOT = (_resources.Phase.STOPPING, _resources.Phase.MAINTENANCE)


@dataclasses.dataclass
class _Worker:
    """What is known of one worker; times are monotonic."""

    answered_at: datetime.timedelta
    probed_at: datetime.timedelta | None = None
    # When the first probe since the last answer failed.
    missed_at: datetime.timedelta | None = None
    # Part of the wait beyond PROBE_INTERVAL, drawn anew for each probe so
    # that the probes of a zone do not stay in step.
    spread: float = 1.0
    boot_id: str = ''
    epoch: int = 0
    restarts: list[datetime.timedelta] = dataclasses.field(
        default_factory=list
    )
    passed: int = 0
    # Tasks since the last one that succeeded.
    failures: int = 0
    successes: int = 0
    # Counters of each router at the last reading.
    counters: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


class WorkerMonitor:
    """The workers that one controller watches."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._workers: dict[str, _Worker] = {}
        self._interval = PROBE_INTERVAL
        self._unsettled: frozenset[str] = frozenset()
        # Workers in the last reading of each router.
        self._listed: dict[str, frozenset[str]] = {}

    def set_probe_interval(
        self, watched: int, unsettled: Iterable[str]
    ) -> None:
        """Choose how often workers are probed.

        :param watched: number of workers that this controller probes
        :param unsettled: pools with instances out of service, where one
            more loss has to be known soon for the budget
        """
        rest = datetime.timedelta(seconds=watched / _PROBES_PER_SECOND)
        self._interval = min(max(rest, PROBE_INTERVAL), _LONGEST_INTERVAL)
        self._unsettled = frozenset(unsettled)

    def _find(self, name: str) -> _Worker:
        known = self._workers.get(name)
        if known is None:
            # Silence counts from the time when someone began to listen.
            known = _Worker(self._clock.monotonic())
            self._workers[name] = known
        return known

    def is_probe_due(self, instance: _resources.Instance) -> bool:
        """Tell whether the worker should be probed now.

        Traffic through routers is as good as a probe while the worker is
        fenced as the log says. A worker that missed a probe or failed its
        last tasks, or whose pool has lost others, is probed at the
        shortest interval.
        """
        worker = self._find(instance.name)
        if worker.probed_at is None or worker.epoch != instance.epoch:
            return True
        interval = PROBE_INTERVAL
        if (
            worker.missed_at is None
            and not worker.failures
            and instance.pool not in self._unsettled
        ):
            interval += (self._interval - PROBE_INTERVAL) * worker.spread
        last = max(worker.answered_at, worker.probed_at)
        return self._clock.monotonic() - last >= interval

    def record_probe(
        self,
        instance: _resources.Instance,
        seen: result.Result[_workers.FenceStatus, _errors.Failure],
    ) -> None:
        """Take in the answer to a probe, or its absence."""
        worker = self._find(instance.name)
        now = worker.probed_at = self._clock.monotonic()
        worker.spread = random.uniform(0.5, 1)
        if isinstance(seen, result.Success):
            self._note_answer(worker, instance, seen.unwrap(), now)
        elif seen.failure().kind is not _errors.ErrorKind.CONFLICT:
            worker.passed = 0
            worker.missed_at = worker.missed_at or now

    def _note_answer(
        self,
        worker: _Worker,
        instance: _resources.Instance,
        fence: _workers.FenceStatus,
        now: datetime.timedelta,
    ) -> None:
        worker.answered_at = now
        worker.missed_at = None
        worker.passed += 1
        worker.epoch = fence.epoch
        if worker.boot_id and worker.boot_id != fence.boot_id:
            worker.passed = 1
            if instance.phase not in _IN_REBOOT:
                worker.restarts.append(now)
        worker.boot_id = fence.boot_id

    def record_counters(self, router: str, workers: dict[str, Any]) -> None:
        """Take in the successes and failures that a router has counted.

        The first reading of a router may be of long ago. A worker that is
        new in a later one has come to all its counts since the last one.
        """
        before = self._listed.get(router)
        self._listed[router] = frozenset(workers)
        for name, counts in workers.items():
            if name not in self._workers:
                continue
            worker = self._workers[name]
            new = (int(counts['successes']), int(counts['failures']))
            is_new = before is not None and name not in before
            first = (0, 0) if is_new else new
            old = worker.counters.get(router, first)
            worker.counters[router] = new
            if new[0] < old[0] or new[1] < old[1]:
                # The router has restarted its counters.
                old = (0, 0)
            self._count(worker, new[0] - old[0], new[1] - old[1])

    def _count(self, worker: _Worker, successes: int, failures: int) -> None:
        if successes:
            worker.answered_at = self._clock.monotonic()
            worker.missed_at = None
            worker.successes, worker.failures = successes, 0
        elif failures:
            worker.successes = 0
            worker.failures += failures

    def observe(
        self, instance: _resources.Instance, cordons: int
    ) -> _repairs.WorkerObservation | None:
        """Return what the repairs read, None for a worker never probed.

        :param cordons: times that the instance has been cordoned; a worker
            that fails its tasks answers probes all the same, so each
            return from a cordon must take longer
        """
        worker = self._find(instance.name)
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
            # A long wait before the first miss is not silence.
            first = worker.missed_at - PROBE_INTERVAL
            silent = now - max(worker.answered_at, first)
        return _repairs.WorkerObservation(
            instance.name,
            worker.successes,
            worker.failures,
            silent,
            restarts,
            worker.passed,
        )

    def reset_task_counts(self, name: str) -> None:
        """Start the count of tasks anew, after a return to service."""
        worker = self._find(name)
        worker.failures = worker.successes = 0

    def retain(self, names: Iterable[str]) -> None:
        """Forget every worker but these."""
        kept = set(names)
        for name in self._workers.keys() - kept:
            del self._workers[name]


class DemandTracker:
    """Demand by pool in the zone, over the last minute."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[datetime.timedelta, Any]] = {}
        self._samples: collections.deque[_moves.Sample] = collections.deque()
        self._moves: collections.deque[_moves.PastMove] = collections.deque()

    def record_report(self, router: str, report: dict[str, Any]) -> None:
        """Keep the last observations of a router."""
        self._reports[router] = (self._clock.monotonic(), report)

    def sum_by_pool(self) -> dict[str, dict[str, float]]:
        """Return the sums over routers of each pool's observations."""
        # A router that has not reported for a while serves nobody here.
        limit = self._clock.monotonic() - datetime.timedelta(seconds=5)
        sums: dict[str, dict[str, float]] = {}
        for name, (at, report) in list(self._reports.items()):
            if at < limit:
                del self._reports[name]
                continue
            for pool, values in report.get('pools', {}).items():
                into = sums.setdefault(pool, {})
                for key, value in values.items():
                    into[key] = into.get(key, 0) + value
        return sums

    def measure(self, jobs: Iterable[_resources.Job]) -> list[_sharing.Demand]:
        """Return the present demands and add them to the history.

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
        while self._samples[0].at < now - _HISTORY:
            self._samples.popleft()
        return demands

    def record_move(self, move: _moves.Move) -> None:
        """Remember a move that was started."""
        self._moves.append(
            _moves.PastMove(
                self._clock.now(), move.instance, move.source, move.target
            )
        )

    def get_history(self) -> _moves.History:
        """Return the samples and moves of the last minute."""
        start = self._clock.now() - _HISTORY
        while self._moves and self._moves[0].at < start:
            self._moves.popleft()
        return _moves.History(tuple(self._samples), tuple(self._moves))


def _measure_pool(
    pool: str, sums: dict[str, float], jobs: list[_resources.Job]
) -> _sharing.Demand:
    """Build the demand of a pool from the sums over its routers.

    Work counts as urgent where a router does not tell its urgency.
    """
    later = {
        key: sums.get(f'deferrable_{key}', 0.0)
        for key in ('queue_length', 'arrival_rate', 'running', 'load')
    }
    now = {key: sums.get(key, 0.0) - part for key, part in later.items()}
    waiting = max(
        later['queue_length'] + later['running'],
        later['arrival_rate'] * _find_seconds(jobs, 'deferrable', later),
    )
    return _sharing.measure_demand(
        pool,
        int(now['queue_length']),
        int(now['running']),
        now['arrival_rate'],
        _find_seconds(jobs, 'urgent', now),
        waiting,
    )


def _find_seconds(
    jobs: list[_resources.Job], urgency: str, sums: dict[str, float]
) -> float:
    """Return the mean run time that routers measured for an urgency.

    Before they have any, it is the longest one that its jobs declare.
    """
    if sums['load'] > 0 and sums['arrival_rate'] > 0:
        return sums['load'] / sums['arrival_rate']
    return max(
        (job.expected_seconds for job in jobs if job.urgency == urgency),
        default=1.0,
    )
