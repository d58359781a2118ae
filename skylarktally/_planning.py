"""Commits planned repairs and moves as control transactions.

Each decision is made again inside the transaction that begins it, on the
state that the transaction's conditions refer to. Budgets therefore hold even
if other controllers decide at the same time.
"""

import collections
import datetime
import math

from returns import result

from skylarktally import _controller_metrics
from skylarktally import _fleet
from skylarktally import _forecasts
from skylarktally import _moves
from skylarktally import _observations
from skylarktally import _repairs
from skylarktally import _resources
from skylarktally import _sharing
from skylarktally import _steps
from skylarktally import _transitions

Kind = _resources.Kind
Phase = _resources.Phase

# The controller that holds the lease of this shard plans for its zone.
ZONE_SHARD = 0
# Stays below the 97 changes that a transaction can hold.
_MAX_REPAIRS = 50


def read_pools(fleet: _fleet.Fleet) -> list[_resources.Pool]:
    """Return the declared pools."""
    return [
        _resources.Pool(
            name=item['name'],
            **_resources.pick_fields(_resources.Pool, item['spec']),
        )
        for item in fleet.list(Kind.POOL)
    ]


def read_jobs(fleet: _fleet.Fleet, mode: str) -> list[_resources.Job]:
    """Return the declared jobs of a mode, `request` or `batch`."""
    return [
        _resources.Job(
            name=item['name'],
            **_resources.pick_fields(_resources.Job, item['spec']),
        )
        for item in fleet.list(Kind.JOB)
        if item['spec']['mode'] == mode
    ]


def derive_zone_budgets(
    budgets: list[_resources.Budget],
    instances: list[_resources.Instance],
    zone: str,
) -> list[_resources.Budget]:
    """Return the budgets as they apply to the instances of one zone.

    Instances of other zones are counted in the limits: those in service lower
    `min_available`, the others `max_unavailable`. A plan for the zone alone
    then keeps the budgets of the whole pool.
    """
    serving_elsewhere: collections.Counter[str] = collections.Counter()
    lost_elsewhere: collections.Counter[str] = collections.Counter()
    for instance in instances:
        if instance.zone != zone:
            counter = (
                serving_elsewhere
                if instance.phase is Phase.SERVING
                else lost_elsewhere
            )
            counter[instance.pool] += 1
    zone_budgets = []
    for budget in budgets:
        max_unavailable = budget.max_unavailable
        if max_unavailable is not None:
            max_unavailable = max(
                max_unavailable - lost_elsewhere[budget.pool], 0
            )
        zone_budgets.append(
            budget._replace(
                min_available=max(
                    budget.min_available - serving_elsewhere[budget.pool], 0
                ),
                max_unavailable=max_unavailable,
            )
        )
    return zone_budgets


class Planner:
    """Plans repairs and moves for the zone of one controller."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        worker_monitor: _observations.WorkerMonitor,
        demand: _observations.DemandTracker,
        metrics: _controller_metrics.ControllerMetrics,
        policy: _moves.Policy = _moves.DEFAULT_POLICY,
        cordon_time: datetime.timedelta = _repairs.MIN_CORDON_TIME,
    ) -> None:
        self._dependencies = dependencies
        self._worker_monitor = worker_monitor
        self._demand = demand
        self._metrics = metrics
        self._policy = policy
        self._cordon_time = cordon_time

    def _list_instances_of_held_shards(self) -> list[_resources.Instance]:
        """Return the zone's instances whose shard leases are held."""
        holds = self._dependencies.leases.holds
        return [
            instance
            for instance in self._dependencies.fleet.find_instances(
                zone=self._dependencies.zone
            )
            if holds(_steps.find_shard(instance))
        ]

    def plan_repairs(self) -> None:
        """Fail lost workers, cordon faulty ones, return recovered ones."""
        own_instances = self._list_instances_of_held_shards()
        by_shard: dict[int, list[_resources.Instance]] = {}
        for instance in own_instances:
            shard = _steps.find_shard(instance)
            by_shard.setdefault(shard, []).append(instance)
        observations = {
            i.name: o
            for i in own_instances
            if (o := self._observe(i)) is not None
        }
        if _is_probably_disconnected(observations):
            _steps.record_explanation(
                self._dependencies,
                'pool',
                'all',
                f'all {len(observations)} probed workers are unresponsive',
                'no losses are recorded while no worker responds',
                'waits',
            )
            return
        for shard, instances in sorted(by_shard.items()):
            found = [
                observations[i.name]
                for i in instances
                if i.name in observations
                and _may_need_repair(i, observations[i.name])
            ]
            if found:
                self._commit_repairs(shard, found)

    def _observe(
        self, instance: _resources.Instance
    ) -> _repairs.WorkerObservation | None:
        resource = self._dependencies.fleet.find(Kind.INSTANCE, instance.name)
        status = resource['status'] if resource else {}
        # An instance that an operator has cordoned is not returned.
        if status.get('held') and instance.phase is Phase.CORDONED:
            return None
        return self._worker_monitor.observe(instance, status.get('cordons', 0))

    def _commit_repairs(
        self, shard: int, observations: list[_repairs.WorkerObservation]
    ) -> None:
        now = self._dependencies.clock.now()
        planned, committed = _steps.commit_plan(
            self._dependencies,
            shard,
            lambda fleet: self._find_repairs(fleet, shard, observations, now),
            lambda repair, found: _apply_repair(found, repair, now),
        )
        for repair in planned:
            self._record_repair(repair, committed)

    def _find_repairs(
        self,
        fleet: _fleet.Fleet,
        shard: int,
        observations: list[_repairs.WorkerObservation],
        now: datetime.datetime,
    ) -> list[_repairs.Repair]:
        names = {o.instance for o in observations}
        pools = {
            i.pool
            for i in fleet.find_instances(zone=self._dependencies.zone)
            if i.name in names and _steps.find_shard(i) == shard
        }
        # Budgets and the limit on cordons apply to a pool in all zones.
        instances = [
            i for pool in sorted(pools) for i in fleet.find_instances(pool)
        ]
        budgets = _transitions.list_budgets(fleet, pools)
        return _repairs.plan_repairs(
            instances, observations, budgets, now, self._cordon_time
        )[:_MAX_REPAIRS]

    def _record_repair(
        self,
        repair: _repairs.Repair,
        committed: result.Result[int, object],
    ) -> None:
        is_committed = isinstance(committed, result.Success)
        if is_committed:
            self._metrics.repairs.labels(repair.action.value).inc()
        actions_to_service = (_repairs.Action.RETURN, _repairs.Action.REBOOT)
        if is_committed and repair.action in actions_to_service:
            self._worker_monitor.reset_task_counts(repair.instance)
        _steps.record_explanation(
            self._dependencies,
            'instance',
            repair.instance,
            repair.reason,
            'workers that are lost or fail all tasks are taken out of service',
            repair.action.value if is_committed else 'not committed',
        )

    def plan_moves(self) -> None:
        """Move instances of this zone to pools with lasting demand."""
        dependencies = self._dependencies
        if not dependencies.leases.holds(ZONE_SHARD):
            return
        fleet = dependencies.fleet
        demands = self._demand.measure(read_jobs(fleet, 'request'))
        own_instances = fleet.find_instances(zone=dependencies.zone)
        # Most of the time there is nothing to move, and planning for the
        # whole fleet in each pass would take most of a controller's time.
        history = self._demand.get_history()
        if not _has_shortage(
            demands, history, own_instances
        ) and not _has_active_wave(fleet):
            return
        all_instances = fleet.find_instances()
        moves = _moves.plan_moves(
            self._share_pool_floors(
                read_pools(fleet), own_instances, all_instances
            ),
            own_instances,
            demands,
            derive_zone_budgets(
                _transitions.list_budgets(fleet),
                all_instances,
                dependencies.zone,
            ),
            history,
            dependencies.clock.now(),
            self._policy,
        )
        for move in moves:
            self._begin_move(move)

    def _share_pool_floors(
        self,
        pools: list[_resources.Pool],
        own_instances: list[_resources.Instance],
        all_instances: list[_resources.Instance],
    ) -> list[_resources.Pool]:
        """Return the pools with their floors scaled to this zone's share.

        The transaction that begins a move checks the floor of the pool.
        """
        total_counts = collections.Counter(i.pool for i in all_instances)
        own_counts = collections.Counter(i.pool for i in own_instances)
        shared = []
        for pool in pools:
            total, own_count = total_counts[pool.name], own_counts[pool.name]
            floor = math.ceil(pool.floor * own_count / total) if total else 0
            shared.append(pool._replace(floor=floor))
        return shared

    def _begin_move(self, move: _moves.Move) -> None:
        now = self._dependencies.clock.now()

        def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
            return _transitions.begin_move(
                fleet, move.instance, move.target, move.reason, now
            )

        committed = _steps.commit(self._dependencies, ZONE_SHARD, decide)
        outcome = f'moves to {move.target}'
        if isinstance(committed, result.Success):
            self._demand.record_move(move)
            self._metrics.moves.labels(move.source, move.target).inc()
        else:
            outcome = committed.failure().message
        _steps.record_explanation(
            self._dependencies,
            'instance',
            move.instance,
            move.reason,
            'spare and idle instances move to pools with lasting demand',
            outcome,
        )


def _has_shortage(
    demands: list[_sharing.Demand],
    history: _moves.History,
    own_instances: list[_resources.Instance],
) -> bool:
    """Tell whether a pool has more work than slots in service in the zone.

    Deferrable work is added to the highest urgent demand of the history,
    because the pool also needs slots for the next surge.
    """
    supply: collections.Counter[str] = collections.Counter()
    for instance in own_instances:
        if instance.phase is Phase.SERVING:
            supply[instance.pool] += instance.slots
    highest: dict[str, float] = {}
    if any(demand.deferrable for demand in demands):
        highest = _forecasts.find_highest_demand(
            history, {d.pool: d for d in demands}, history.samples[0].at
        )
    return any(
        demand.slots > supply[demand.pool]
        or (
            demand.deferrable
            and demand.deferrable + highest[demand.pool] > supply[demand.pool]
        )
        for demand in demands
    )


def _has_active_wave(fleet: _fleet.Fleet) -> bool:
    """Tell whether a wave is active: its pools may need more instances."""
    return any(
        wave['status'].get('phase') not in ('complete', 'paused', 'halted')
        for wave in fleet.list(Kind.WAVE)
    )


def _may_need_repair(
    instance: _resources.Instance, observation: _repairs.WorkerObservation
) -> bool:
    """Tell whether an observation can lead to a repair."""
    if instance.phase is not Phase.SERVING:
        return True
    return bool(
        observation.silent or observation.failures or observation.restarts
    )


def _is_probably_disconnected(
    observations: dict[str, _repairs.WorkerObservation],
) -> bool:
    """Tell whether this controller is probably cut off from the network.

    That is assumed if all of several workers are unresponsive at once.
    """
    silent = [
        o for o in observations.values() if o.silent >= _repairs.SILENCE_LIMIT
    ]
    return len(silent) > 1 and len(silent) == len(observations)


def _apply_repair(
    resource: _resources.Resource,
    repair: _repairs.Repair,
    now: datetime.datetime,
) -> _resources.Change:
    match repair.action:
        case _repairs.Action.FAIL:
            return _transitions.fail(resource, now, repair.reason)
        case _repairs.Action.RETURN:
            return _transitions.serve(resource, now, repair.reason)
        case _repairs.Action.REBOOT:
            # The drain waits for tasks that started before the cordon.
            return _transitions.advance(
                resource,
                Phase.DRAINING,
                now,
                repair.reason,
                operation_id=_repairs.OPERATION_PREFIX + now.isoformat(),
                then=_transitions.REBOOT,
            )
    cordons = resource['status'].get('cordons', 0) + 1
    return _transitions.advance(
        resource, Phase.CORDONED, now, repair.reason, cordons=cordons
    )
