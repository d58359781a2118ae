"""One pass of a controller: read the log, then take every step it can."""

import collections
from collections.abc import Callable, Iterable
import datetime
import json
import logging
from typing import Any

from returns import result

from skylarktally import _batch
from skylarktally import _departures
from skylarktally import _fleet
from skylarktally import _jobs
from skylarktally import _journal
from skylarktally import _maintenance
from skylarktally import _measures
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
Spread = Callable[[Callable[[Any], Any], Iterable[Any]], Iterable[Any]]


class Reconciler:
    """Carries out what the log declares, for the shards that are held."""

    def __init__(
        self,
        tools: _steps.Tools,
        journal: _journal.Journal,
        probes: _observations.Probes,
        demand: _observations.DemandTracker,
        measures: _measures.Measures,
        batch: _batch.Batch,
        spread: Spread = map,
        policy: _moves.Policy = _moves.DEFAULT_POLICY,
        cordon_time: datetime.timedelta = _repairs.MIN_CORDON_TIME,
    ) -> None:
        self._tools = tools
        self._journal = journal
        self._probes = probes
        self._demand = demand
        self._measures = measures
        self._spread = spread
        self._stepper = _steps.Stepper(tools, probes)
        self._parts: tuple[Callable[[], None], ...] = (
            self._plan_repairs,
            _departures.Departures(tools, measures).step,
            _maintenance.Maintenance(tools, measures).step,
            self._plan_moves,
            _jobs.JobStatuses(tools).step,
            batch.step,
        )
        self._planner = _planning.Planner(
            tools, probes, demand, measures, policy, cordon_time
        )
        # Whether the table has ever been read.
        self.has_read = False

    def step(self) -> bool:
        """Make one pass; returns whether an instance is being drained.

        While the table is down, drains that are in the log are still
        enforced at the workers; nothing else is done.
        """
        started = self._tools.clock.monotonic()
        fresh = isinstance(self._journal.refresh(), result.Success)
        self.has_read = self.has_read or fresh
        if not fresh:
            self._measures.table_failures.inc()
        instances = self._tools.fleet.find_instances(zone=self._tools.zone)
        due = self._list_due(instances)
        for _ in self._spread(
            lambda instance: self._step_one(instance, fresh), due
        ):
            pass
        if fresh:
            for part in self._parts:
                self._guard(part)
        self._probes.retain(instance.name for instance in instances)
        self._report(instances)
        elapsed = self._tools.clock.monotonic() - started
        self._measures.pass_seconds.observe(elapsed.total_seconds())
        return any(i.phase is Phase.DRAINING for i in instances)

    def _list_due(
        self, instances: list[_resources.Instance]
    ) -> list[_resources.Instance]:
        shards = set(filter(self._tools.leases.holds, range(_steps.SHARDS)))
        held = [i for i in instances if _steps.find_shard(i) in shards]
        away = {i.pool for i in instances if i.phase is not Phase.SERVING}
        self._probes.set_pace(len(held), away)
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
        now = self._tools.clock.now()
        counts = collections.Counter(i.phase for i in instances)
        for phase in Phase:
            self._measures.phases.labels(phase.value).set(counts[phase])
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
            self._measures.oldest_seconds.labels(phase.value).set(
                oldest.total_seconds()
            )
        self._report_buffer(instances)
        fleet = self._tools.fleet
        halted = [
            wave
            for wave in fleet.list(Kind.WAVE)
            if wave['status'].get('phase') == 'halted'
        ]
        self._measures.halted_waves.set(len(halted))
        self._measures.version.set(fleet.version)
        held = filter(self._tools.leases.holds, range(_steps.SHARDS))
        self._measures.shards.set(len(list(held)))

    def _report_buffer(self, instances: list[_resources.Instance]) -> None:
        sums = self._demand.sum_pools()
        slots: collections.Counter[str] = collections.Counter()
        for instance in instances:
            if instance.phase is Phase.SERVING:
                slots[instance.pool] += instance.slots
        for pool in self._tools.fleet.list(Kind.POOL):
            running = sums.get(pool['name'], {}).get('running', 0)
            self._measures.buffer_slots.labels(pool['name']).set(
                max(slots[pool['name']] - running, 0)
            )


class SnapshotWriter:
    """Stores a snapshot in the object store every so many versions."""

    def __init__(
        self, fleet: _fleet.Fleet, objects: _objects.Objects, versions: int
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
