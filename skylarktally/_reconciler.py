"""One pass of a controller: read the log, then take every step it can."""

import collections
from collections.abc import Callable, Iterable
import datetime
import json
import logging
from typing import Any

from returns import result

from skylarktally import _batch
from skylarktally import _controller_metrics
from skylarktally import _departures
from skylarktally import _fleet
from skylarktally import _job_statuses
from skylarktally import _journal
from skylarktally import _maintenance
from skylarktally import _moves
from skylarktally import _objects
from skylarktally import _observations
from skylarktally import _planning
from skylarktally import _repairs
from skylarktally import _resources
from skylarktally import _snapshots
from skylarktally import _steps

log = logging.getLogger(__name__)

Kind = _resources.Kind
Phase = _resources.Phase

# Applies a function to each item, perhaps to several at a time.
ParallelMap = Callable[[Callable[[Any], Any], Iterable[Any]], Iterable[Any]]


class Reconciler:
    """Carries out what the log declares, for the shards that are held."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        journal: _journal.Journal,
        worker_monitor: _observations.WorkerMonitor,
        demand: _observations.DemandTracker,
        metrics: _controller_metrics.ControllerMetrics,
        batch: _batch.BatchRunner,
        parallel_map: ParallelMap = map,
        policy: _moves.Policy = _moves.DEFAULT_POLICY,
        cordon_time: datetime.timedelta = _repairs.MIN_CORDON_TIME,
    ) -> None:
        self._dependencies = dependencies
        self._journal = journal
        self._worker_monitor = worker_monitor
        self._demand = demand
        self._metrics = metrics
        self._parallel_map = parallel_map
        self._stepper = _steps.Stepper(dependencies, worker_monitor)
        self._parts: tuple[Callable[[], None], ...] = (
            self._plan_repairs,
            _departures.DepartureTracker(dependencies, metrics).step,
            _maintenance.WaveRunner(dependencies, metrics).step,
            self._plan_moves,
            _job_statuses.JobStatusUpdater(dependencies).step,
            batch.step,
        )
        self._planner = _planning.Planner(
            dependencies, worker_monitor, demand, metrics, policy, cordon_time
        )
        # Whether the table has ever been read.
        self.has_read_table = False

    def step(self) -> bool:
        """Make one pass; returns whether an instance is being drained.

        While the table is down, drains that are in the log are still
        enforced at the workers; nothing else is done.
        """
        started = self._dependencies.clock.monotonic()
        fresh = isinstance(self._journal.refresh(), result.Success)
        self.has_read_table = self.has_read_table or fresh
        if not fresh:
            self._metrics.refresh_failures.inc()
        instances = self._dependencies.fleet.find_instances(
            zone=self._dependencies.zone
        )
        due = self._list_due(instances)
        for _ in self._parallel_map(
            lambda instance: self._step_one(instance, fresh), due
        ):
            pass
        if fresh:
            for part in self._parts:
                self._guard(part)
        self._worker_monitor.retain(instance.name for instance in instances)
        self._report(instances)
        elapsed = self._dependencies.clock.monotonic() - started
        self._metrics.reconcile_seconds.observe(elapsed.total_seconds())
        return any(i.phase is Phase.DRAINING for i in instances)

    def _list_due(
        self, instances: list[_resources.Instance]
    ) -> list[_resources.Instance]:
        shards = set(
            filter(self._dependencies.leases.holds, range(_steps.SHARDS))
        )
        held = [i for i in instances if _steps.find_shard(i) in shards]
        away = {i.pool for i in instances if i.phase is not Phase.SERVING}
        self._worker_monitor.set_probe_interval(len(held), away)
        return [i for i in held if self._stepper.is_due(i)]

    def _step_one(self, instance: _resources.Instance, fresh: bool) -> None:
        self._guard(lambda: self._stepper.step(instance, fresh))

    def _guard(self, act: Callable[[], None]) -> None:
        # A fault with one instance or plan must not stop the others.
        try:
            act()
        except Exception:
            log.exception('a step of the reconciler failed')

    def _plan_repairs(self) -> None:
        self._planner.plan_repairs()

    def _plan_moves(self) -> None:
        self._planner.plan_moves()

    def _report(self, instances: list[_resources.Instance]) -> None:
        now = self._dependencies.clock.now()
        counts = collections.Counter(i.phase for i in instances)
        for phase in Phase:
            self._metrics.instances_by_phase.labels(phase.value).set(
                counts[phase]
            )
            if phase is Phase.SERVING:
                continue
            oldest = max(
                (
                    now - datetime.datetime.fromisoformat(i.since)
                    for i in instances
                    if i.phase is phase and i.since
                ),
                default=datetime.timedelta(0),
            )
            self._metrics.oldest_phase_seconds.labels(phase.value).set(
                oldest.total_seconds()
            )
        self._report_buffer(instances)
        fleet = self._dependencies.fleet
        halted = [
            wave
            for wave in fleet.list(Kind.WAVE)
            if wave['status'].get('phase') == 'halted'
        ]
        self._metrics.halted_waves.set(len(halted))
        self._metrics.log_version.set(fleet.version)
        held = filter(self._dependencies.leases.holds, range(_steps.SHARDS))
        self._metrics.shards_held.set(len(list(held)))

    def _report_buffer(self, instances: list[_resources.Instance]) -> None:
        sums = self._demand.sum_by_pool()
        slots: collections.Counter[str] = collections.Counter()
        for instance in instances:
            if instance.phase is Phase.SERVING:
                slots[instance.pool] += instance.slots
        for pool in self._dependencies.fleet.list(Kind.POOL):
            running = sums.get(pool['name'], {}).get('running', 0)
            self._metrics.buffer_slots.labels(pool['name']).set(
                max(slots[pool['name']] - running, 0)
            )


class SnapshotWriter:
    """Stores a snapshot in the object store every so many versions."""

    def __init__(
        self, fleet: _fleet.Fleet, objects: _objects.ObjectStore, versions: int
    ) -> None:
        self._fleet = fleet
        self._objects = objects
        self._versions = versions
        self._stored = 0

    def step(self) -> None:
        """Store the present state when it is far enough ahead.

        A controller that is behind must not overwrite a newer snapshot, so
        the write is conditioned on the object that was read, or on its
        absence.
        """
        if self._fleet.version < self._stored + self._versions:
            return
        read = self._objects.read(_snapshots.KEY)
        if not isinstance(read, result.Success):
            return
        found = read.unwrap()
        stored = _read_version(found.data) if found else 0
        if self._fleet.version < stored + self._versions:
            self._stored = stored
            return
        version = self._fleet.version
        written = self._objects.write(
            _snapshots.KEY,
            _snapshots.encode_object(self._fleet),
            found.etag if found else None,
            if_absent=found is None,
        )
        if isinstance(written, result.Success):
            self._stored = version
            log.info('stored a snapshot of version %d', version)


def _read_version(data: bytes) -> int:
    try:
        return int(json.loads(data)['version'])
    except (ValueError, TypeError, KeyError):
        # Whatever is there is no snapshot and may be replaced.
        return 0
