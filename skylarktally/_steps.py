"""Runs the steps of instances through their phases.

The steps are those of section 4 of the design. Each one commits its log
entry first and then raises the fence of the worker. A step depends only on
the log and on the worker, so any controller of the zone can run the next
one.
"""

from collections.abc import Callable, Iterable
import datetime
import logging
from typing import Any, NamedTuple, Protocol, TypeVar

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _explanations
from skylarktally import _fleet
from skylarktally import _instances
from skylarktally import _leases
from skylarktally import _observations
from skylarktally import _resources
from skylarktally import _table
from skylarktally import _transitions
from skylarktally import _workers

log = logging.getLogger(__name__)

Phase = _resources.Phase
Resource = _resources.Resource

SHARDS = _leases.SHARDS
# A move is undone if the instance still runs tasks after this time, because
# neither pool can use the instance while it drains.
MOVE_LIMIT = datetime.timedelta(seconds=60)


class Leases(Protocol):
    """The part of the shard leases that the steps use."""

    def holds(self, shard: int) -> bool:
        """Return whether this controller may act for a shard."""

    def find_fencing_condition(self, shard: int) -> _table.Condition | None:
        """Return the lease condition for the shard's transactions."""


class Journal(Protocol):
    """The part of the journal that the steps use."""

    def transact(
        self,
        decide: Callable[[_fleet.Fleet], _transitions.Changes],
        lease_conditions: Iterable[_table.Condition] = (),
    ) -> result.Result[int, _errors.Failure]:
        """Decide on the newest state and commit."""


class Dependencies(NamedTuple):
    """Objects that the parts of a controller share."""

    journal: Journal
    fleet: _fleet.Fleet
    leases: Leases
    workers: _workers.WorkerApi
    instances: _instances.InstanceApi
    clock: _clock.Clock
    explanations: _explanations.Explanations
    zone: str


def find_shard(instance: _resources.Instance) -> int:
    """Return the shard, within its zone, that an instance belongs to."""
    return _leases.find_shard(instance.pool)


def record_explanation(
    dependencies: Dependencies,
    kind: str,
    name: str,
    observed: str,
    rule: str,
    outcome: str,
    alternatives: tuple[str, ...] = (),
) -> None:
    """Record the explanation of a decision.

    :param kind: kind of the resource that the decision is about
    :param name: name of that resource
    """
    dependencies.explanations.add(
        _explanations.Record(
            dependencies.clock.now(),
            kind,
            name,
            observed,
            rule,
            alternatives,
            outcome,
        )
    )


def commit(
    dependencies: Dependencies,
    shard: int,
    decide: Callable[[_fleet.Fleet], _transitions.Changes],
) -> result.Result[int, _errors.Failure]:
    """Commit a decision under the fencing token of a shard.

    Fails with LEASE_LOST if this controller doesn't hold the shard.
    """
    lease_condition = dependencies.leases.find_fencing_condition(shard)
    if lease_condition is None:
        kind = _errors.ErrorKind.LEASE_LOST
        text = f'the lease on shard {shard} is not held'
        return result.Failure(_errors.Failure(kind, text))
    return dependencies.journal.transact(decide, [lease_condition])


class PlannedChange(Protocol):
    """One planned change of an instance."""

    @property
    def instance(self) -> str:
        """Return the name of the instance."""


P = TypeVar('P', bound=PlannedChange)


def commit_plan(
    dependencies: Dependencies,
    shard: int,
    plan: Callable[[_fleet.Fleet], list[P]],
    build: Callable[[P, Resource], _resources.Change],
) -> tuple[list[P], result.Result[int, _errors.Failure]]:
    """Commit a plan, made again from the state that it is committed on.

    :param plan: returns the planned changes for a state
    :param build: returns the change of an instance's resource
    :returns: the last plan and the outcome of its commit; an empty plan
        commits nothing
    """
    planned = plan(dependencies.fleet)
    if not planned:
        return [], result.Success(dependencies.fleet.version)

    def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
        planned[:] = plan(fleet)
        changes = []
        for item in planned:
            found = fleet.find(_resources.Kind.INSTANCE, item.instance)
            assert found is not None
            changes.append(build(item, found))
        return result.Success(changes)

    committed = commit(dependencies, shard, decide)
    return planned, committed


class Stepper:
    """Runs the steps of the instances whose shards are held."""

    def __init__(
        self,
        dependencies: Dependencies,
        worker_monitor: _observations.WorkerMonitor,
    ) -> None:
        self._dependencies = dependencies
        self._worker_monitor = worker_monitor
        # Boot ids, by name, that instances in maintenance reported at the
        # last pass.
        self._reported_boot_ids: dict[str, str] = {}

    def is_due(self, instance: _resources.Instance) -> bool:
        """Return whether a step is due for an instance of a held shard.

        Most instances only wait for their next probe; checking that first
        saves starting a green thread for each of them every second.
        """
        if instance.phase is not Phase.MAINTENANCE:
            self._reported_boot_ids.pop(instance.name, None)
        steady = (Phase.SERVING, Phase.FAILED, Phase.CORDONED)
        return (
            instance.phase not in steady
            or self._worker_monitor.is_probe_due(instance)
        )

    def step(self, instance: _resources.Instance, fresh: bool) -> None:
        """Run the next step of an instance if its conditions are met.

        :param fresh: whether the replica has just been updated from the
            table
        """
        if not self._dependencies.leases.holds(find_shard(instance)):
            return
        if instance.phase is not Phase.MAINTENANCE:
            self._reported_boot_ids.pop(instance.name, None)
        match instance.phase:
            case Phase.DRAINING:
                self._drain(instance, fresh)
            case Phase.STOPPING if fresh:
                self._reboot(instance)
            case Phase.MAINTENANCE if fresh:
                self._await_return(instance)
            case Phase.SERVING | Phase.FAILED | Phase.CORDONED:
                self._check(instance, fresh)

    def _check(self, instance: _resources.Instance, fresh: bool) -> None:
        """Probe a worker; raise its fence if that is missing or too low."""
        if not self._worker_monitor.is_probe_due(instance):
            return
        seen = self._dependencies.workers.read_fence(instance.address)
        self._worker_monitor.record_probe(instance, seen)
        if not isinstance(seen, result.Success):
            return
        fence = seen.unwrap()
        if (fence.epoch, fence.pool) == (instance.epoch, instance.pool):
            return
        # A worker without a fence accepts any, also one that is too low, so
        # it is set only from the newest state. A worker out of service may
        # stay without one.
        unfenced = fence.epoch == 0
        if unfenced and not (fresh and instance.phase is Phase.SERVING):
            return
        if fence.epoch < instance.epoch:
            self._raise_fence(instance, fence)

    def _ensure_fence(
        self, instance: _resources.Instance
    ) -> _workers.FenceStatus | None:
        """Raise the fence of a worker to that of its instance if it differs.

        Returns None if the worker's fence isn't known to be that.
        """
        seen = self._dependencies.workers.read_fence(instance.address)
        if isinstance(seen, result.Success):
            fence = seen.unwrap()
            if (fence.epoch, fence.pool) != (instance.epoch, instance.pool):
                return self._raise_fence(instance, fence)
        self._worker_monitor.record_probe(instance, seen)
        return seen.value_or(None)

    def _raise_fence(
        self, instance: _resources.Instance, seen: _workers.FenceStatus
    ) -> _workers.FenceStatus | None:
        # The lease is checked after the fence was read. If the controller is
        # paused between this check and the call, and meanwhile the worker
        # restarts or the next lease holder raises its fence, the entity tag
        # no longer matches and the call fails.
        if not self._dependencies.leases.holds(find_shard(instance)):
            return None
        raised = self._dependencies.workers.raise_fence(
            instance.address, seen, instance.epoch, instance.pool
        )
        self._worker_monitor.record_probe(instance, raised)
        if isinstance(raised, result.Success):
            return raised.unwrap()
        return None

    def _drain(self, instance: _resources.Instance, fresh: bool) -> None:
        fence = self._ensure_fence(instance)
        if fence is None or not fresh:
            return
        now = self._dependencies.clock.now()
        if fence.running == 0:
            self._advance(
                instance,
                lambda found: _transitions.finish_drain(
                    found, now, fence.boot_id
                ),
                'no task runs under the raised fence',
            )
            return
        since = datetime.datetime.fromisoformat(instance.since)
        if instance.target_pool and now - since > MOVE_LIMIT:
            self._advance(
                instance,
                lambda found: _transitions.serve(
                    found, now, 'move undone: tasks run for too long'
                ),
                f'{fence.running} tasks run after {now - since}',
            )

    def _reboot(self, instance: _resources.Instance) -> None:
        # The epoch makes the id unique if an operator uses an id twice.
        identifier = f'{instance.operation_id}/{instance.epoch}'
        started = self._dependencies.instances.reboot(
            instance.name, identifier
        )
        now = self._dependencies.clock.now()
        if not isinstance(started, result.Success):
            if started.failure().kind is _errors.ErrorKind.NOT_FOUND:
                self._advance(
                    instance,
                    lambda found: _transitions.fail(
                        found, now, 'the platform does not know it'
                    ),
                    'the platform does not know the instance',
                )
            return
        state = started.unwrap().state
        if state == 'failed':
            self._advance(
                instance,
                lambda found: _transitions.fail(
                    found, now, 'the platform could not reboot it'
                ),
                'the reboot failed',
            )
        elif state == 'done':
            self._advance(
                instance,
                lambda found: _transitions.advance(
                    found, Phase.MAINTENANCE, now, 'rebooting'
                ),
                'the platform has begun the reboot',
            )

    def _await_return(self, instance: _resources.Instance) -> None:
        seen = self._dependencies.workers.read_fence(instance.address)
        self._worker_monitor.record_probe(instance, seen)
        resource = self._dependencies.fleet.find(
            _resources.Kind.INSTANCE, instance.name
        )
        if not isinstance(seen, result.Success) or resource is None:
            self._reported_boot_ids.pop(instance.name, None)
            return
        boot_id = seen.unwrap().boot_id
        previous = self._reported_boot_ids.get(instance.name)
        self._reported_boot_ids[instance.name] = boot_id
        # A worker that restarts by itself just before the reboot has another
        # boot id as well, but doesn't report it in two consecutive passes.
        if boot_id == resource['status'].get('boot_id') or boot_id != previous:
            return
        now = self._dependencies.clock.now()
        self._advance(
            instance,
            lambda found: _transitions.serve(found, now, 'rebooted'),
            'the worker answers after its reboot',
        )

    def _advance(
        self,
        instance: _resources.Instance,
        build: Callable[[Resource], _resources.Change],
        observed: str,
    ) -> None:
        """Commit one step, unless another controller has, and record it.

        Then raise the worker's fence accordingly.
        """
        committed = commit_step(self._dependencies, instance, build)
        outcome = 'committed'
        if not isinstance(committed, result.Success):
            outcome = committed.failure().message
        record_explanation(
            self._dependencies,
            'instance',
            instance.name,
            f'{instance.phase.value} at epoch {instance.epoch}: {observed}',
            'one log entry for each step, then the fence',
            outcome,
        )
        if isinstance(committed, result.Success):
            self.update_fence(instance.name)

    def update_fence(self, name: str) -> None:
        """Raise an instance's fence to the epoch and pool in the replica."""
        resource = self._dependencies.fleet.find(
            _resources.Kind.INSTANCE, name
        )
        if resource is None:
            return
        instance = _resources.decode_instance(resource)
        if instance.phase in (Phase.STOPPING, Phase.MAINTENANCE):
            return
        self._ensure_fence(instance)


def commit_step(
    dependencies: Dependencies,
    instance: _resources.Instance,
    build: Callable[[Resource], _resources.Change],
) -> result.Result[int, _errors.Failure]:
    """Commit a change of an instance unless its epoch has changed.

    A changed epoch means that another step has been committed meanwhile.
    """

    def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
        found = fleet.find(_resources.Kind.INSTANCE, instance.name)
        status: dict[str, Any] = found['status'] if found else {}
        if found is None or status.get('epoch', 1) != instance.epoch:
            return result.Success([])
        return result.Success([build(found)])

    committed = commit(dependencies, find_shard(instance), decide)
    if isinstance(committed, result.Success):
        log.info(
            'instance %s left %s at epoch %d',
            instance.name,
            instance.phase.value,
            instance.epoch,
        )
    return committed


def fence_draining_worker(
    workers: _workers.WorkerApi, instance: _resources.Instance
) -> None:
    """Raise the fence of a worker whose drain has just been committed.

    A worker without a fence has restarted and grants no leases. It is left
    to the controllers of its zone, because the drain may be out of date.
    """
    seen = workers.read_fence(instance.address)
    if isinstance(seen, result.Success) and seen.unwrap().epoch:
        workers.raise_fence(
            instance.address, seen.unwrap(), instance.epoch, instance.pool
        )
