"""The reconciliation cycle of a controller, and the writer of snapshots.

A cycle reads new log entries and then advances each instance, plan and job
as far as their state allows.
"""

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

# Like map(); may call the function for several items concurrently.
ParallelMap = Callable[[Callable[[Any], Any], Iterable[Any]], Iterable[Any]]


class Reconciler:
    """Brings instances and jobs to their declared state, cycle by cycle.

    Acts only for shards whose lease this controller holds.
    """

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
        self._stages: tuple[Callable[[], None], ...] = (
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
        # Whether the log has been read from the table at least once.
        self.has_read_table = False

    def step(self) -> bool:
        """Run one cycle; return whether an instance is being drained.

        While the table cannot be read, nothing is written. Drains that are
        in the log are still enforced at the workers, and a fence that is
        behind the log is raised; other unfenced workers stay unfenced.
        """
        started = self._dependencies.clock.monotonic()
        fresh = isinstance(self._journal.refresh(), result.Success)
        self.has_read_table = self.has_read_table or fresh
        if not fresh:
            self._metrics.refresh_failures.inc()
        instances = self._dependencies.fleet.find_instances(
            zone=self._dependencies.zone
        )
        due = self._list_due_instances(instances)
        for _ in self._parallel_map(
            lambda instance: self._step_instance(instance, fresh), due
        ):
            pass
        if fresh:
            for stage in self._stages:
                self._run_logging_errors(stage)
        self._worker_monitor.retain(instance.name for instance in instances)
        self._update_metrics(instances)
        elapsed = self._dependencies.clock.monotonic() - started
        self._metrics.reconcile_seconds.observe(elapsed.total_seconds())
        return any(i.phase is Phase.DRAINING for i in instances)

    def _list_due_instances(
        self, instances: list[_resources.Instance]
    ) -> list[_resources.Instance]:
        shards = set(
            filter(self._dependencies.leases.holds, range(_steps.SHARDS))
        )
        held = [i for i in instances if _steps.find_shard(i) in shards]
        unsettled_pools = {
            i.pool for i in instances if i.phase is not Phase.SERVING
        }
        self._worker_monitor.set_probe_interval(len(held), unsettled_pools)
        return [i for i in held if self._stepper.is_due(i)]

    def _step_instance(
        self, instance: _resources.Instance, fresh: bool
    ) -> None:
        self._run_logging_errors(lambda: self._stepper.step(instance, fresh))

    def _run_logging_errors(self, action: Callable[[], None]) -> None:
        # An error with one instance or stage must not stop the others.
        try:
            action()
        except Exception:
            log.exception('a step of the reconciler failed')

    def _plan_repairs(self) -> None:
        self._planner.plan_repairs()

    def _plan_moves(self) -> None:
        self._planner.plan_moves()

    def _update_metrics(self, instances: list[_resources.Instance]) -> None:
        now = self._dependencies.clock.now()
        count_by_phase = collections.Counter(i.phase for i in instances)
        for phase in Phase:
            self._metrics.instances_by_phase.labels(phase.value).set(
                count_by_phase[phase]
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
        self._update_buffer_slots(instances)
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

    def _update_buffer_slots(
        self, instances: list[_resources.Instance]
    ) -> None:
        demand_by_pool = self._demand.sum_by_pool()
        slots: collections.Counter[str] = collections.Counter()
        for instance in instances:
            if instance.phase is Phase.SERVING:
                slots[instance.pool] += instance.slots
        for pool in self._dependencies.fleet.list(Kind.POOL):
            running = demand_by_pool.get(pool['name'], {}).get('running', 0)
            self._metrics.buffer_slots.labels(pool['name']).set(
                max(slots[pool['name']] - running, 0)
            )


class SnapshotWriter:
    """Stores a snapshot of the fleet in the object store.

    Writes a new one once the log is ahead of the stored one by a number of
    versions.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        objects: _objects.ObjectStore,
        version_interval: int,
    ) -> None:
        self._fleet = fleet
        self._objects = objects
        self._version_interval = version_interval
        self._stored_version = 0

    def step(self) -> None:
        """Store the current state if it is far enough ahead.

        A controller that is behind must not overwrite a newer snapshot.
        The version of the stored object is therefore compared first, and
        the write is a compare-and-set on its entity tag or its absence.
        """
        if self._fleet.version < self._stored_version + self._version_interval:
            return
        read = self._objects.read(_snapshots.KEY)
        if not isinstance(read, result.Success):
            return
        found = read.unwrap()
        stored_version = _decode_version(found.data) if found else 0
        if self._fleet.version < stored_version + self._version_interval:
            self._stored_version = stored_version
            return
        version = self._fleet.version
        written = self._objects.write(
            _snapshots.KEY,
            _snapshots.encode_object(self._fleet),
            found.etag if found else None,
            if_absent=found is None,
        )
        if isinstance(written, result.Success):
            self._stored_version = version
            log.info('stored a snapshot of version %d', version)


def _decode_version(data: bytes) -> int:
    try:
        return int(json.loads(data)['version'])
    except (ValueError, TypeError, KeyError):
        # The object is not a valid snapshot and may be replaced.
        return 0
