"""Moves of instances between pools, as few as the demand allows.

A move costs a drain, during which the instance serves nobody, and moves
are made for three causes alone, in this order:

* urgent work of a pool is about to wait for longer than its deadline
  allows, and the pool is below its fair share;
* maintenance of a pool waits for its budget, and the spare pool can lend;
* deferrable work lasts in one pool while another pool has held more than
  its urgent work needs.

An instance stays where it last was needed until another pool needs it:
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
    """One instance to drain in its pool and to serve in another."""

    instance: str
    source: str
    target: str
    reason: str


class Policy(NamedTuple):
    """Limits that keep moves few."""

    # Demand must hold this long before an instance moves to it. A burst
    # within the mean lasts less than a second.
    hold: datetime.timedelta = datetime.timedelta(seconds=1)
    # A pool lends for urgent work what it has not needed for this long.
    release: datetime.timedelta = datetime.timedelta(seconds=5)
    # Time over which the slots that a pool needs are measured, and
    # for which deferrable work must last before an instance moves to it.
    window: datetime.timedelta = datetime.timedelta(seconds=55)
    # Least time between two moves of one instance, but for a pool that
    # takes back its weighted part.
    dwell: datetime.timedelta = datetime.timedelta(seconds=10)
    # Time until a moved instance serves: a drain and a fence.
    move_time: datetime.timedelta = datetime.timedelta(seconds=2.5)
    # Part of the urgent deadline that queueing may take before a move.
    deadline_share: float = 1.0
    # The same for a lender's expected surges; the difference keeps a pool
    # that has just lent an instance from asking for it back.
    lending_share: float = 0.6
    # Slots that a lender keeps above its own demand, as a share of it.
    margin: float = 0.25
    in_flight: int = 4
    # Instances above the budget that a pool under maintenance gets.
    headroom: int = 2
    # A wave that has stopped nothing for so long no longer needs headroom.
    canary_time: datetime.timedelta = datetime.timedelta(minutes=5)
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
    """Plan the moves to start now, most needed first."""
    planner = _Planner(
        {pool.name: pool for pool in pools},
        instances,
        {demand.pool: demand for demand in demands},
        budgets,
        history,
        now,
        policy,
    )
    planner.serve_urgent()
    planner.make_headroom()
    planner.serve_deferrable()
    return planner.moves


class _Planner:
    """Books of one planning pass."""

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
        self._ledger = _budgets.BudgetTracker(budgets, instances)
        self._serving: dict[str, list[_resources.Instance]] = (
            collections.defaultdict(list)
        )
        # Slots that serve a pool or are on their way to it.
        self._supply: dict[str, float] = collections.defaultdict(float)
        # Instances of a pool that serve it, or will without a move.
        self._sizes: collections.Counter[str] = collections.Counter()
        self._room = policy.in_flight
        for instance in sorted(instances):
            if instance.phase is _Phase.SERVING:
                self._serving[instance.pool].append(instance)
                self._supply[instance.pool] += instance.slots
                self._sizes[instance.pool] += 1
            elif instance.phase is _Phase.DRAINING and instance.target_pool:
                self._supply[instance.target_pool] += instance.slots
                self._sizes[instance.target_pool] += 1
                self._room -= 1
            elif instance.phase in _waves.PLANNED_STOP_PHASES:
                self._sizes[instance.pool] += 1
        self._resting = {
            m.instance for m in history.moves if m.at > now - policy.dwell
        }
        self._pending = _waves.count_pending(
            instances, now - policy.wave_pause
        )
        if self._pending:
            # A move would end the time that a canary must serve undisturbed.
            self._resting |= _waves.list_stopped(
                instances, now - policy.canary_time
            )
        self._shares = self._share()
        self.moves: list[Move] = []

    def _share(self) -> dict[str, float]:
        lasting = _forecasts.find_lowest_demand(
            self._history, self._demands, self._now - self._policy.hold
        )
        return _sharing.share_capacity(
            [
                _sharing.Demand(name, lasting.get(name, 0.0))
                for name in sorted(self._pools)
            ],
            self._pools.values(),
            (),
            math.fsum(self._supply.values()) - self._sum_locked(lasting),
        ).slots

    def _sum_locked(self, lasting: Mapping[str, float]) -> float:
        """Return the slots that floors keep in pools without need of them."""
        locked = 0.0
        for name, pool in self._pools.items():
            own = self._serving[name]
            held = math.fsum(i.slots for i in own[: pool.floor])
            locked += max(held - lasting.get(name, 0.0), 0.0)
        return locked

    def serve_urgent(self) -> None:
        """Move to the pools whose urgent work would miss its deadline."""
        recent = _forecasts.find_highest_demand(
            self._history, self._demands, self._now - self._policy.release
        )
        keep = {
            name: self._find_kept(pool, recent.get(name, 0.0))
            for name, pool in self._pools.items()
        }
        risks = sorted(
            (-self._find_risk(name), name) for name in self._demands
        )
        for risk, name in risks:
            while -risk > 0 and self._find_risk(name) > 0:
                own = self._is_below_part(name)
                reason = f'urgent work would wait {self._wait(name):.1f} s'
                if not self._move(name, keep, reason, at_once=own):
                    break

    def _find_kept(self, pool: _resources.Pool, recent: float) -> float:
        """Return the slots that the pool does not lend to urgent work.

        A pool above its fair share lends the excess even while it could
        use it. The spare pool's own deferrable work gives way.
        """
        needed = recent * (1 + self._policy.margin)
        share = self._shares.get(pool.name, 0.0)
        return share if 0 < share < needed else needed

    def _wait(self, name: str) -> float:
        """Return the wait, in seconds, once a move could take effect."""
        supply = self._supply[name]
        demand = self._demands[name]
        growth = max(self._shares.get(name, 0.0) - supply, 0.0)
        ahead = self._policy.move_time.total_seconds()
        work = demand.backlog + growth * ahead
        return work / supply if supply else (math.inf if work else 0.0)

    def _find_risk(self, name: str) -> float:
        """Return by how much the wait exceeds its limit, in seconds."""
        pool = self._pools.get(name)
        if pool is None or self._shares.get(name, 0.0) <= self._supply[name]:
            return 0.0
        limit = pool.urgent_deadline_seconds * self._policy.deadline_share
        return max(self._wait(name) - limit, 0.0)

    def _is_below_part(self, name: str) -> bool:
        """Tell whether the pool has less than its weighted part of all."""
        total = math.fsum(p.weight for p in self._pools.values())
        part = self._pools[name].weight / total
        return self._supply[name] < part * math.fsum(self._supply.values())

    def make_headroom(self) -> None:
        """Lend to pools whose budget holds maintenance up.

        A pool of just the size that its budget allows stops one instance
        at a time; with one more it stops two. Pools that the wave is
        through with lend, and the spare pool, which keeps instances to stop
        while it is not through itself.
        """
        if not self._pending:
            return
        start = self._now - self._policy.window
        owed: dict[str, int] = collections.defaultdict(int)
        for budget in self._budgets:
            owed[budget.pool] = max(owed[budget.pool], budget.min_available)
        keep = {
            name: self._find_kept_in_wave(name, owed[name], start)
            for name in self._pools
        }
        # Every pool gets one to stop before any gets a second one, which
        # shortens the wave only when all of them get it.
        for extra in range(1, self._policy.headroom + 1):
            gaps = {
                name: owed[name] + min(extra, count) - self._sizes[name]
                for name, count in sorted(self._pending.items())
                if name in owed
            }
            wanted = sum(gap for gap in gaps.values() if gap > 0)
            if extra > 1 and wanted > self._count_lendable(keep):
                break
            for name, gap in gaps.items():
                for _ in range(gap):
                    reason = 'maintenance waits for budget'
                    if not self._move(name, keep, reason, by_wave=extra > 1):
                        break

    def _count_lendable(self, keep: Mapping[str, float]) -> int:
        count = 0
        for name, own in self._serving.items():
            if own and name in keep:
                surplus = self._supply[name] - keep[name]
                count += max(int(surplus // own[0].slots), 0)
        return count

    def _find_kept_in_wave(
        self, name: str, owed: int, start: datetime.datetime
    ) -> float:
        slots = max((i.slots for i in self._serving[name]), default=0)
        if self._pools[name].spare:
            extra = self._policy.headroom if self._pending[name] else 0
            return (owed + extra) * slots
        if self._pending[name]:
            return (owed + self._policy.headroom) * slots
        return max(self._find_needed(name, start), (owed + 1) * slots)

    def serve_deferrable(self) -> None:
        """Move to lasting deferrable work what urgent work does not need."""
        start = self._now - self._policy.window
        if self._pending or not self._history.covers(start):
            return
        needed = {n: self._find_needed(n, start) for n in self._pools}
        lasting = _forecasts.find_lowest_deferrable_demand(
            self._history, self._demands, start
        )
        for name in sorted(lasting, key=lambda n: (-lasting[n], n)):
            if name not in self._pools or not self._serving[name]:
                continue
            slots = self._serving[name][0].slots
            wanted = needed[name] + lasting[name]
            if wanted < self._supply[name] + slots:
                continue
            reason = f'{lasting[name]:.0f} slots of deferrable work wait'
            # One move a pass: each one changes what the others need.
            if self._move(name, needed, reason):
                return

    def _find_needed(self, name: str, start: datetime.datetime) -> float:
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
        at_once: bool = False,
        by_wave: bool = False,
    ) -> bool:
        """Move one instance to the target, when any pool can lend one.

        :param at_once: also an instance that has just moved
        :param by_wave: prefer the instances that prolong a wave least
        """
        if self._room <= 0:
            return False
        instance = self._find_lent(
            target, by_wave, lambda i: self._can_lend(i, keep, at_once)
        )
        if instance is None:
            return False
        self._room -= 1
        self._ledger.record_loss(instance)
        self._serving[instance.pool].remove(instance)
        self._supply[instance.pool] -= instance.slots
        self._supply[target] += instance.slots
        self._sizes[instance.pool] -= 1
        self._sizes[target] += 1
        self.moves.append(Move(instance.name, instance.pool, target, reason))
        return True

    def _find_lent(
        self,
        target: str,
        by_wave: bool,
        can_lend: Callable[[_resources.Instance], bool],
    ) -> _resources.Instance | None:
        """Return an instance of another pool, the spare one first."""
        zones = collections.Counter(i.zone for i in self._serving[target])

        def rank(instance: _resources.Instance) -> tuple[object, ...]:
            if by_wave:
                # What the wave has yet to visit prolongs its time in that
                # zone: all from one zone prolong it in that zone alone.
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
        at_once: bool,
    ) -> bool:
        left = self._supply[instance.pool] - instance.slots
        if left < keep[instance.pool]:
            return False
        if instance.name in self._resting and not at_once:
            return False
        return isinstance(self._ledger.check_stop(instance), result.Success)
