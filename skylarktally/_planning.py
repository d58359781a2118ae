"""Turns the plans of the decisions into control transactions.

Each plan is made again inside the transaction that begins it, on the state
that the transaction is conditioned on, so that budgets hold whoever else
decides at the same time.
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

# The controller that holds this shard of its zone plans for the zone.
ZONE_SHARD = 0
# A transaction has room for 97 changes.
_REPAIRS_LIMIT = 50


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
    """Return the declared jobs of a mode."""
    return [
        _resources.Job(
            name=item['name'],
            **_resources.pick_fields(_resources.Job, item['spec']),
        )
        for item in fleet.list(Kind.JOB)
        if item['spec']['mode'] == mode
    ]


def narrow_budgets(
    budgets: list[_resources.Budget],
    instances: list[_resources.Instance],
    zone: str,
) -> list[_resources.Budget]:
    """Return the budgets as they bind the instances of one zone.

    What other zones have available or have lost is moved into the limits,
    so that a plan for the zone alone keeps the budgets of the whole.
    """
    serving: collections.Counter[str] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()
    for instance in instances:
        if instance.zone != zone:
            into = serving if instance.phase is Phase.SERVING else lost
            into[instance.pool] += 1
    narrowed = []
    for budget in budgets:
        limit = budget.max_unavailable
        if limit is not None:
            limit = max(limit - lost[budget.pool], 0)
        narrowed.append(
            budget._replace(
                min_available=max(
                    budget.min_available - serving[budget.pool], 0
                ),
                max_unavailable=limit,
            )
        )
    return narrowed


class Planner:
    """Plans of one controller for its zone and its shards."""

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

    def _list_own(self) -> list[_resources.Instance]:
        """Return the instances of the zone whose shards are held."""
        holds = self._dependencies.leases.holds
        return [
            instance
            for instance in self._dependencies.fleet.find_instances(
                zone=self._dependencies.zone
            )
            if holds(_steps.find_shard(instance))
        ]

    def plan_repairs(self) -> None:
        """Record failed workers, cordon bad ones, return good ones."""
        own = self._list_own()
        by_shard: dict[int, list[_resources.Instance]] = {}
        for instance in own:
            shard = _steps.find_shard(instance)
            by_shard.setdefault(shard, []).append(instance)
        seen = {i.name: o for i in own if (o := self._observe(i)) is not None}
        if _is_cut_off(seen):
            _steps.record_explanation(
                self._dependencies,
                'pool',
                'all',
                f'all {len(seen)} probed workers are silent',
                'no losses are recorded while no worker at all answers',
                'waits',
            )
            return
        for shard, instances in sorted(by_shard.items()):
            found = [
                seen[i.name]
                for i in instances
                if i.name in seen and _is_remarkable(i, seen[i.name])
            ]
            if found:
                self._repair(shard, found)

    def _observe(
        self, instance: _resources.Instance
    ) -> _repairs.WorkerObservation | None:
        resource = self._dependencies.fleet.find(Kind.INSTANCE, instance.name)
        status = resource['status'] if resource else {}
        # What an operator has taken out stays out.
        if status.get('held') and instance.phase is Phase.CORDONED:
            return None
        return self._worker_monitor.observe(instance, status.get('cordons', 0))

    def _repair(
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
            self._finish_repair(repair, committed)

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
        # Budgets and the share of cordons count the pools in all zones.
        instances = [
            i for pool in sorted(pools) for i in fleet.find_instances(pool)
        ]
        budgets = _transitions.list_budgets(fleet, pools)
        return _repairs.plan_repairs(
            instances, observations, budgets, now, self._cordon_time
        )[:_REPAIRS_LIMIT]

    def _finish_repair(
        self,
        repair: _repairs.Repair,
        committed: result.Result[int, object],
    ) -> None:
        done = isinstance(committed, result.Success)
        if done:
            self._metrics.repairs.labels(repair.action.value).inc()
        back = (_repairs.Action.RETURN, _repairs.Action.REBOOT)
        if done and repair.action in back:
            self._worker_monitor.reset_task_counts(repair.instance)
        _steps.record_explanation(
            self._dependencies,
            'instance',
            repair.instance,
            repair.reason,
            'workers that are lost or fail every task leave the pool',
            repair.action.value if done else 'not committed',
        )

    def plan_moves(self) -> None:
        """Move instances of this zone to where the demand stays."""
        dependencies = self._dependencies
        if not dependencies.leases.holds(ZONE_SHARD):
            return
        fleet = dependencies.fleet
        demands = self._demand.measure(read_jobs(fleet, 'request'))
        own = fleet.find_instances(zone=dependencies.zone)
        # Planning over the whole fleet would take most of a controller's
        # time, and mostly there is nothing to move.
        history = self._demand.get_history()
        if not _has_gap(demands, history, own) and not _has_wave(fleet):
            return
        everywhere = fleet.find_instances()
        moves = _moves.plan_moves(
            self._share_floors(read_pools(fleet), own, everywhere),
            own,
            demands,
            narrow_budgets(
                _transitions.list_budgets(fleet), everywhere, dependencies.zone
            ),
            history,
            dependencies.clock.now(),
            self._policy,
        )
        for move in moves:
            self._begin_move(move)

    def _share_floors(
        self,
        pools: list[_resources.Pool],
        own: list[_resources.Instance],
        everywhere: list[_resources.Instance],
    ) -> list[_resources.Pool]:
        """Return the pools with their floors reduced to this zone's part.

        The transaction that begins a move checks the whole floor.
        """
        totals = collections.Counter(i.pool for i in everywhere)
        present = collections.Counter(i.pool for i in own)
        shared = []
        for pool in pools:
            total, here = totals[pool.name], present[pool.name]
            floor = math.ceil(pool.floor * here / total) if total else 0
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
            'spare and idle instances go where the demand stays',
            outcome,
        )


def _has_gap(
    demands: list[_sharing.Demand],
    history: _moves.History,
    own: list[_resources.Instance],
) -> bool:
    """Tell whether some pool has more work than what serves it can hold.

    Deferrable work counts on top of the most urgent work of the history,
    because the pool needs slots for the next surge as well.
    """
    supply: collections.Counter[str] = collections.Counter()
    for instance in own:
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


def _has_wave(fleet: _fleet.Fleet) -> bool:
    """Tell whether a wave is under way, which needs headroom in its pools."""
    return any(
        wave['status'].get('phase') not in ('complete', 'paused', 'halted')
        for wave in fleet.list(Kind.WAVE)
    )


def _is_remarkable(
    instance: _resources.Instance, seen: _repairs.WorkerObservation
) -> bool:
    """Tell whether a repair could follow from what was seen."""
    if instance.phase is not Phase.SERVING:
        return True
    return bool(seen.silent or seen.failures or seen.restarts)


def _is_cut_off(seen: dict[str, _repairs.WorkerObservation]) -> bool:
    """Tell whether the fault is likelier on this side of the network."""
    silent = [o for o in seen.values() if o.silent >= _repairs.SILENCE_LIMIT]
    return len(silent) > 1 and len(silent) == len(seen)


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
            # The drain waits for tasks from before the cordon.
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
