"""Moves of instances between pools, after the demand that stays.

A move costs a drain, during which the instance serves nobody. It is made
only for demand that held for some time, and only towards the pool's fair
share. An instance stays where it last was needed until another pool needs
it: returning it early would cost a second move.
"""

import collections
import datetime
import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _resources
from skylarktally import _sharing

_Phase = _resources.Phase


class Move(NamedTuple):
    """One instance to drain in its pool and to serve in another."""

    instance: str
    source: str
    target: str
    reason: str


class Sample(NamedTuple):
    """Slots that each pool could use at one moment."""

    at: datetime.datetime
    slots: Mapping[str, float]


class PastMove(NamedTuple):
    """A move that was started."""

    at: datetime.datetime
    instance: str
    source: str
    target: str


class History(NamedTuple):
    """Observations and moves of the last minute, oldest first."""

    samples: tuple[Sample, ...] = ()
    moves: tuple[PastMove, ...] = ()


class Policy(NamedTuple):
    """Limits that keep moves few."""

    # Demand must hold this long before an instance moves to it. A surge
    # lasts some seconds, a burst within the mean less than one.
    hold: datetime.timedelta = datetime.timedelta(seconds=1)
    # A pool lends what it has not needed for this long.
    release: datetime.timedelta = datetime.timedelta(seconds=5)
    # Least time between two moves of one instance.
    dwell: datetime.timedelta = datetime.timedelta(seconds=10)
    # Share of an instance's slots that must be missing: the cost of a move.
    least_gain: float = 0.5
    # Slots that a lender keeps above its own demand, as a share of it.
    margin: float = 0.25
    in_flight: int = 4


POLICY = Policy()


class _Fleet(NamedTuple):
    serving: dict[str, list[_resources.Instance]]
    # Slots that serve the pool or are on their way to it.
    supply: dict[str, float]
    in_flight: int


def plan_moves(
    pools: Iterable[_resources.Pool],
    instances: Collection[_resources.Instance],
    demands: Iterable[_sharing.Demand],
    budgets: Iterable[_resources.Budget],
    history: History,
    now: datetime.datetime,
    policy: Policy = POLICY,
) -> list[Move]:
    """Plan the moves to start now, most needed first."""
    by_name = {pool.name: pool for pool in pools}
    fleet = _count_fleet(instances)
    wanted = {d.pool: d.slots for d in demands}
    lasting = _find_lasting(wanted, history, now - policy.hold)
    recent = _find_recent(wanted, history, now - policy.release)
    shares = _sharing.share_capacity(
        [_sharing.Demand(n, lasting.get(n, 0.0)) for n in sorted(by_name)],
        by_name.values(),
        (),
        math.fsum(fleet.supply.values()),
    ).slots
    keep = {
        name: _find_kept_slots(pool, recent, shares, policy)
        for name, pool in by_name.items()
    }
    resting = {m.instance for m in history.moves if m.at > now - policy.dwell}
    planner = _Planner(
        by_name, fleet, keep, resting, _budgets.Ledger(budgets, instances)
    )
    return planner.plan(shares, policy)


def _count_fleet(instances: Iterable[_resources.Instance]) -> _Fleet:
    fleet = _Fleet({}, collections.defaultdict(float), 0)
    in_flight = 0
    for instance in sorted(instances):
        if instance.phase is _Phase.SERVING:
            fleet.serving.setdefault(instance.pool, []).append(instance)
            fleet.supply[instance.pool] += instance.slots
        elif instance.phase is _Phase.DRAINING and instance.target_pool:
            fleet.supply[instance.target_pool] += instance.slots
            in_flight += 1
    return fleet._replace(in_flight=in_flight)


def _find_lasting(
    wanted: Mapping[str, float], history: History, start: datetime.datetime
) -> dict[str, float]:
    """Return the demand that never fell below since the start."""
    if not any(sample.at <= start for sample in history.samples):
        return {}
    lasting = dict(wanted)
    for sample in history.samples:
        if sample.at >= start:
            for pool in lasting:
                lasting[pool] = min(lasting[pool], sample.slots.get(pool, 0))
    return lasting


def _find_recent(
    wanted: Mapping[str, float], history: History, start: datetime.datetime
) -> dict[str, float]:
    """Return the highest demand since the start."""
    recent = dict(wanted)
    for sample in history.samples:
        if sample.at >= start:
            for pool, slots in sample.slots.items():
                recent[pool] = max(recent.get(pool, 0.0), slots)
    return recent


def _find_kept_slots(
    pool: _resources.Pool,
    recent: Mapping[str, float],
    shares: Mapping[str, float],
    policy: Policy,
) -> float:
    """Return the slots that the pool does not lend to others.

    The spare pool's own work is deferrable and gives way. A pool above its
    fair share lends the excess even while it could use it.
    """
    if pool.spare:
        return 0.0
    needed = recent.get(pool.name, 0.0) * (1 + policy.margin)
    share = shares.get(pool.name, 0.0)
    return share if share and share < needed else needed


class _Planner:
    """Books of one planning pass."""

    def __init__(
        self,
        pools: Mapping[str, _resources.Pool],
        fleet: _Fleet,
        keep: Mapping[str, float],
        resting: set[str],
        ledger: _budgets.Ledger,
    ) -> None:
        self._pools = pools
        self._fleet = fleet
        self._keep = keep
        self._resting = resting
        self._ledger = ledger

    def plan(self, shares: Mapping[str, float], policy: Policy) -> list[Move]:
        """Serve the largest gaps first, as far as moves are allowed."""
        moves: list[Move] = []
        room = policy.in_flight - self._fleet.in_flight
        gaps = {
            name: shares.get(name, 0.0) - self._fleet.supply[name]
            for name, pool in self._pools.items()
            if not pool.spare
        }
        while len(moves) < room and gaps:
            target = max(gaps, key=lambda n: (gaps[n], n))
            instance = self._find_lent(target)
            if (
                instance is None
                or gaps[target] < policy.least_gain * instance.slots
            ):
                del gaps[target]
                continue
            reason = (
                f'pool {target} lacks {gaps[target]:.1f} slots of its share '
                f'of {shares[target]:.1f}'
            )
            moves.append(Move(instance.name, instance.pool, target, reason))
            self._book(instance, target)
            gaps[target] -= instance.slots
        return moves

    def _book(self, instance: _resources.Instance, target: str) -> None:
        self._ledger.lose(instance)
        self._fleet.serving[instance.pool].remove(instance)
        self._fleet.supply[instance.pool] -= instance.slots
        self._fleet.supply[target] += instance.slots

    def _find_lent(self, target: str) -> _resources.Instance | None:
        """Return an instance that another pool can lend, the spare first."""
        zones = collections.Counter(
            i.zone for i in self._fleet.serving.get(target, ())
        )
        for lender in sorted(self._pools.values(), key=self._rank_lender):
            if lender.name == target:
                continue
            own = self._fleet.serving.get(lender.name, [])
            if len(own) <= lender.floor:
                continue
            for instance in sorted(own, key=lambda i: (zones[i.zone], i)):
                if self._can_lend(instance):
                    return instance
        return None

    def _rank_lender(self, pool: _resources.Pool) -> tuple[bool, float, str]:
        surplus = self._fleet.supply[pool.name] - self._keep[pool.name]
        return (not pool.spare, -surplus, pool.name)

    def _can_lend(self, instance: _resources.Instance) -> bool:
        left = self._fleet.supply[instance.pool] - instance.slots
        if left < self._keep[instance.pool]:
            return False
        if instance.name in self._resting:
            return False
        return isinstance(self._ledger.check(instance), result.Success)
