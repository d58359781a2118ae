"""Plans moves of instances between pools, as few as the demand allows.

A move costs a drain, during which the instance serves nobody. Moves are
therefore planned for three reasons only, in this order:

* urgent work of a pool is about to wait for longer than its deadline
  allows, and the pool is below its fair share;
* maintenance of a pool waits for its availability budget, and another pool,
  first of all the spare one, can lend an instance;
* deferrable work persists in one pool while another pool holds more
  instances than its urgent work needs.

A moved instance stays in its new pool until another pool needs it, because
returning it at once would cost a second move.
"""

import collections
import datetime
import math
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _forecasts
from skylarktally import _resources
from skylarktally import _sharing
from skylarktally import _waves

_Phase = _resources.Phase
History = _forecasts.History
Sample = _forecasts.Sample
PastMove = _forecasts.PastMove


class Move(NamedTuple):
    """A move of one instance: drain in the source, serve in the target."""

    instance: str
    source: str
    target: str
    reason: str


class Policy(NamedTuple):
    """Thresholds and limits that keep the number of moves low."""

    # Urgent demand must persist this long before an instance moves to it.
    # A burst that does not raise the mean demand lasts less than a second.
    hold: datetime.timedelta = datetime.timedelta(seconds=1)
    # A pool lends to urgent work only what exceeds its peak demand within
    # this time.
    release: datetime.timedelta = datetime.timedelta(seconds=5)
    # Period over which the slots that a pool needs are measured, and for
    # which deferrable work must persist before an instance moves to it.
    window: datetime.timedelta = datetime.timedelta(seconds=55)
    # Minimum time between two moves of one instance. It does not apply to
    # urgent moves to a pool that has less than its weighted part.
    dwell: datetime.timedelta = datetime.timedelta(seconds=10)
    # Time until a moved instance serves: a drain and a raise of its fence.
    move_time: datetime.timedelta = datetime.timedelta(seconds=2.5)
    # Share of the urgent deadline that queueing may take before a move.
    deadline_share: float = 1.0
    # Share of the urgent deadline that queueing may take in a lender at the
    # loads of the window. Lower than deadline_share, so that a pool that
    # has just lent an instance does not ask for it back.
    lending_share: float = 0.6
    # Slots that a lender to urgent work keeps above its own demand, as a
    # share of that demand.
    margin: float = 0.25
    # Maximum number of moves in progress at the same time.
    in_flight: int = 4
    # Instances above min_available that a pool under maintenance gets.
    headroom: int = 2
    # During a wave an instance that it stopped is not moved for this long,
    # so that it can serve undisturbed as a canary.
    canary_time: datetime.timedelta = datetime.timedelta(minutes=5)
    # A wave that has stopped nothing for this long gets no headroom.
    wave_pause: datetime.timedelta = datetime.timedelta(minutes=10)


DEFAULT_POLICY = Policy()


def plan_moves(
    pools: Iterable[_resources.Pool],
    instances: Collection[_resources.Instance],
    demands: Iterable[_sharing.Demand],
    budgets: Collection[_resources.Budget],
    history: History,
    now: datetime.datetime,
    policy: Policy = DEFAULT_POLICY,
) -> list[Move]:
    """Plan the moves to start now, the most urgent first.

    :param history: samples and moves of the last minute
    """
    planner = _Planner(
        {pool.name: pool for pool in pools},
        instances,
        {demand.pool: demand for demand in demands},
        budgets,
        history,
        now,
        policy,
    )
    planner.plan_urgent_moves()
    planner.plan_headroom_moves()
    planner.plan_deferrable_moves()
    return planner.moves


class _Planner:
    """State of one planning pass, updated with each planned move."""

    def __init__(
        self,
        pools: Mapping[str, _resources.Pool],
        instances: Collection[_resources.Instance],
        demands: Mapping[str, _sharing.Demand],
        budgets: Collection[_resources.Budget],
        history: History,
        now: datetime.datetime,
        policy: Policy,
    ) -> None:
        self._pools = pools
        self._demands = demands
        self._budgets = budgets
        self._history = history
        self._now = now
        self._policy = policy
        self._tracker = _budgets.BudgetTracker(budgets, instances)
        self._serving: dict[str, list[_resources.Instance]] = (
            collections.defaultdict(list)
        )
        # Slots that serve a pool or move to it.
        self._supply: dict[str, float] = collections.defaultdict(float)
        # Instances that serve a pool, move to it, or return to it after a
        # planned stop.
        self._sizes: collections.Counter[str] = collections.Counter()
        self._moves_left = policy.in_flight
        for instance in sorted(instances):
            if instance.phase is _Phase.SERVING:
                self._serving[instance.pool].append(instance)
                self._supply[instance.pool] += instance.slots
                self._sizes[instance.pool] += 1
            elif instance.phase is _Phase.DRAINING and instance.target_pool:
                self._supply[instance.target_pool] += instance.slots
                self._sizes[instance.target_pool] += 1
                self._moves_left -= 1
            elif instance.phase in _waves.PLANNED_STOP_PHASES:
                self._sizes[instance.pool] += 1
        self._recent = {
            m.instance for m in history.moves if m.at > now - policy.dwell
        }
        self._pending = _waves.count_pending(
            instances, now - policy.wave_pause
        )
        if self._pending:
            # Moving a canary would cut short the time that it must serve
            # before the wave continues.
            self._recent |= _waves.list_stopped(
                instances, now - policy.canary_time
            )
        self._shares = self._compute_shares()
        self.moves: list[Move] = []

    def _compute_shares(self) -> dict[str, float]:
        lasting_demand = _forecasts.find_lowest_demand(
            self._history, self._demands, self._now - self._policy.hold
        )
        return _sharing.share_capacity(
            [
                _sharing.Demand(name, lasting_demand.get(name, 0.0))
                for name in sorted(self._pools)
            ],
            self._pools.values(),
            (),
            math.fsum(self._supply.values())
            - self._sum_floor_excess(lasting_demand),
        ).slots

    def _sum_floor_excess(self, lasting_demand: Mapping[str, float]) -> float:
        """Return the slots that pool floors keep although demand is lower."""
        excess = 0.0
        for name, pool in self._pools.items():
            own = self._serving[name]
            floor_slots = math.fsum(i.slots for i in own[: pool.floor])
            excess += max(floor_slots - lasting_demand.get(name, 0.0), 0.0)
        return excess

    def plan_urgent_moves(self) -> None:
        """Plan moves to pools whose urgent work would miss its deadline."""
        recent = _forecasts.find_highest_demand(
            self._history, self._demands, self._now - self._policy.release
        )
        keep = {
            name: self._compute_kept_slots(pool, recent.get(name, 0.0))
            for name, pool in self._pools.items()
        }
        overruns = sorted(
            (-self._estimate_overrun(name), name) for name in self._demands
        )
        for overrun, name in overruns:
            while -overrun > 0 and self._estimate_overrun(name) > 0:
                is_below = self._is_below_part(name)
                reason = (
                    f'urgent work would wait {self._estimate_wait(name):.1f} s'
                )
                if not self._move(name, keep, reason, allow_recent=is_below):
                    break

    def _compute_kept_slots(
        self, pool: _resources.Pool, recent: float
    ) -> float:
        """Return the slots that the pool does not lend to urgent work.

        A pool above its fair share lends the excess even while it could use
        it. Deferrable work of a lender is not counted as its need.

        :param recent: peak urgent demand of the pool, in slots
        """
        needed = recent * (1 + self._policy.margin)
        share = self._shares.get(pool.name, 0.0)
        return share if 0 < share < needed else needed

    def _estimate_wait(self, name: str) -> float:
        """Return the queueing wait when a move would take effect, in seconds.

        Infinite when work waits in a pool without any slots.
        """
        supply = self._supply[name]
        demand = self._demands[name]
        growth = max(self._shares.get(name, 0.0) - supply, 0.0)
        move_seconds = self._policy.move_time.total_seconds()
        work = demand.backlog + growth * move_seconds
        return work / supply if supply else (math.inf if work else 0.0)

    def _estimate_overrun(self, name: str) -> float:
        """Return by how much the wait would exceed its limit, in seconds.

        0 for a pool that already has its fair share.
        """
        pool = self._pools.get(name)
        if pool is None or self._shares.get(name, 0.0) <= self._supply[name]:
            return 0.0
        limit = pool.urgent_deadline_seconds * self._policy.deadline_share
        return max(self._estimate_wait(name) - limit, 0.0)

    def _is_below_part(self, name: str) -> bool:
        """Tell whether the pool has less than its weighted part of slots."""
        total = math.fsum(p.weight for p in self._pools.values())
        part = self._pools[name].weight / total
        return self._supply[name] < part * math.fsum(self._supply.values())

    def plan_headroom_moves(self) -> None:
        """Plan moves to pools whose budget delays a maintenance wave.

        Each instance that a pool has above the min_available of its budget
        lets the wave stop one more of its instances at the same time. The
        spare pool and the pools that the wave has finished lend. A pool
        with pending stops, also the spare one, keeps its own headroom.
        """
        if not self._pending:
            return
        start = self._now - self._policy.window
        required: dict[str, int] = collections.defaultdict(int)
        for budget in self._budgets:
            required[budget.pool] = max(
                required[budget.pool], budget.min_available
            )
        keep = {
            name: self._compute_kept_slots_in_wave(name, required[name], start)
            for name in self._pools
        }
        # Every pool gets a first extra instance before any gets a second.
        # The second one shortens the wave only when all pools get it.
        for extra in range(1, self._policy.headroom + 1):
            gaps = {
                name: required[name] + min(extra, count) - self._sizes[name]
                for name, count in sorted(self._pending.items())
                if name in required
            }
            wanted = sum(gap for gap in gaps.values() if gap > 0)
            if extra > 1 and wanted > self._count_lendable(keep):
                break
            for name, gap in gaps.items():
                for _ in range(gap):
                    reason = 'maintenance waits for budget'
                    if not self._move(name, keep, reason, for_wave=extra > 1):
                        break

    def _count_lendable(self, keep: Mapping[str, float]) -> int:
        count = 0
        for name, own in self._serving.items():
            if own and name in keep:
                surplus = self._supply[name] - keep[name]
                count += max(int(surplus // own[0].slots), 0)
        return count

    def _compute_kept_slots_in_wave(
        self, name: str, required: int, start: datetime.datetime
    ) -> float:
        slots = max((i.slots for i in self._serving[name]), default=0)
        if self._pools[name].spare:
            extra = self._policy.headroom if self._pending[name] else 0
            return (required + extra) * slots
        if self._pending[name]:
            return (required + self._policy.headroom) * slots
        return max(
            self._estimate_needed_slots(name, start), (required + 1) * slots
        )

    def plan_deferrable_moves(self) -> None:
        """Plan a move to persistent deferrable work.

        Only instances that the urgent work of their pool does not need move.
        """
        start = self._now - self._policy.window
        if self._pending or not self._history.covers(start):
            return
        needed = {
            n: self._estimate_needed_slots(n, start) for n in self._pools
        }
        lasting_demand = _forecasts.find_lowest_deferrable_demand(
            self._history, self._demands, start
        )
        for name in sorted(
            lasting_demand, key=lambda n: (-lasting_demand[n], n)
        ):
            if name not in self._pools or not self._serving[name]:
                continue
            slots = self._serving[name][0].slots
            wanted = needed[name] + lasting_demand[name]
            if wanted < self._supply[name] + slots:
                continue
            reason = (
                f'{lasting_demand[name]:.0f} slots of deferrable work wait'
            )
            # One move per pass, because each changes what the pools need.
            if self._move(name, needed, reason):
                return

    def _estimate_needed_slots(
        self, name: str, start: datetime.datetime
    ) -> float:
        pool = self._pools[name]
        limit = pool.urgent_deadline_seconds * self._policy.lending_share
        loads = [
            (s.at, s.slots.get(name, 0.0))
            for s in self._history.samples
            if s.at >= start
        ]
        return _forecasts.find_needed_slots(loads, limit)

    def _move(
        self,
        target: str,
        keep: Mapping[str, float],
        reason: str,
        allow_recent: bool = False,
        for_wave: bool = False,
    ) -> bool:
        """Plan a move of one instance to the target pool if one is available.

        :param keep: slots that each lender must keep
        :param allow_recent: also move an instance that has moved, or that
            a wave has stopped, recently
        :param for_wave: prefer the instances that prolong the wave least
        :return: whether a move was planned
        """
        if self._moves_left <= 0:
            return False
        instance = self._find_instance_to_lend(
            target, for_wave, lambda i: self._can_lend(i, keep, allow_recent)
        )
        if instance is None:
            return False
        self._moves_left -= 1
        self._tracker.record_loss(instance)
        self._serving[instance.pool].remove(instance)
        self._supply[instance.pool] -= instance.slots
        self._supply[target] += instance.slots
        self._sizes[instance.pool] -= 1
        self._sizes[target] += 1
        self.moves.append(Move(instance.name, instance.pool, target, reason))
        return True

    def _find_instance_to_lend(
        self,
        target: str,
        for_wave: bool,
        can_lend: Callable[[_resources.Instance], bool],
    ) -> _resources.Instance | None:
        """Return an instance to move, from the spare pool if possible.

        The other pools follow by supply, the largest first. Within a pool,
        zones in which the target has few instances come first.
        """
        zones = collections.Counter(i.zone for i in self._serving[target])

        def rank(instance: _resources.Instance) -> tuple[object, ...]:
            if for_wave:
                # An instance that the wave has not stopped yet prolongs its
                # time in that zone. Taking all of them from one zone
                # prolongs the wave in that zone only.
                pending = _waves.find_last_stop(instance) is None
                return (pending, instance.zone, instance.name)
            return (zones[instance.zone], instance)

        lenders = sorted(
            (p for p in self._pools.values() if p.name != target),
            key=lambda p: (not p.spare, -self._supply[p.name], p.name),
        )
        for lender in lenders:
            own = self._serving[lender.name]
            if len(own) > lender.floor:
                ranked = sorted(own, key=rank)
                for instance in ranked:
                    if can_lend(instance):
                        return instance
        return None

    def _can_lend(
        self,
        instance: _resources.Instance,
        keep: Mapping[str, float],
        allow_recent: bool,
    ) -> bool:
        left = self._supply[instance.pool] - instance.slots
        if left < keep[instance.pool]:
            return False
        if instance.name in self._recent and not allow_recent:
            return False
        return isinstance(self._tracker.check_stop(instance), result.Success)
