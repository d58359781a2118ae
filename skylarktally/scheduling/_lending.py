"""Moves of instances between pools, as their demand comes and goes.

The load it answers: queues that surge in turn, each for some seconds, to
more than its pool holds. A pool that will lack room gets instances that
others have to spare, and then from the standby pool, where instances are
off. Instances that nobody needs are parked there.
"""

from collections.abc import Collection, Iterable, Mapping
import datetime
import math
from typing import NamedTuple

from skylarktally.scheduling import _work

# An instance is parked once its pool has not needed it for this long. Two
# moves and their time cost about as much as an instance for 4 s.
PARK_DELAY = datetime.timedelta(seconds=2)
# It is lent to a pool that lacks room sooner.
_LEND_DELAY = datetime.timedelta(seconds=0.5)
# From the order of a move until the worker gets its first task.
MOVE_TIME = datetime.timedelta(seconds=2)
# A backlog is worked off in this time at least.
_MIN_CATCH_UP_TIME = datetime.timedelta(seconds=1.5)
_NONE = datetime.timedelta()


class WorkerLoad(NamedTuple):
    """A worker of a pool and what it runs."""

    worker: str
    runs: int
    long_runs: int
    # It is being emptied and takes no new work.
    is_leaving: bool = False


class PoolLoad(NamedTuple):
    """What the owner of a pool reports of its demand."""

    # Used by long-running tasks, those that wait included.
    lasting_millicores: int
    # Used by other tasks that run, and by those that are ready to.
    running_millicores: int
    waiting_millicores: int
    # Work of the tasks that are ready, in time of one millicore.
    waiting_work: datetime.timedelta
    # Time that is left on average until this work has to be done.
    waiting_time_left: datetime.timedelta
    # What jobs will use at once if they go on arriving as now.
    arriving_millicores: int
    # What a usual job needs when it arrives.
    reserve_millicores: int
    # Workers that long-running steps need to be spread as asked for.
    fewest_workers: int
    workers: tuple[WorkerLoad, ...]

    @property
    def ready_millicores(self) -> int:
        """What all work that is ready would use at once."""
        ready = self.running_millicores + self.waiting_millicores
        return self.lasting_millicores + ready


class Move(NamedTuple):
    """An instance that is to change its pool."""

    instance: _work.InstanceRecord
    pool: str


class Supply(NamedTuple):
    """Instances that a pool has and those on their way to it."""

    # Without those that are being emptied.
    present: int
    arriving: int


class InstanceDemand(NamedTuple):
    """How many instances a pool has a use for."""

    at: datetime.timedelta
    # Without these its work is late.
    required: int
    # With these it also has room for what comes next.
    useful: int


class Balance(NamedTuple):
    """Instances that a pool wants, and those it may use at once."""

    # Without these its work is late.
    required: int
    # Above this it can lend to a pool that lacks room, and above the other
    # it needs none of them.
    lendable_above: int
    parkable_above: int
    held: int


class Plan(NamedTuple):
    """Moves to make now, and which instances can be spared at present."""

    moves: tuple[Move, ...]
    spare: frozenset[str]


class Lender:
    """Decides on moves; keeps how long each pool has wanted how much."""

    def __init__(self) -> None:
        # Recent wants of each pool, the newest last.
        self._demands: dict[str, list[InstanceDemand]] = {}
        # When the first job of any pool was seen.
        self._first_demand_at: datetime.timedelta | None = None

    def plan(
        self,
        loads: Mapping[str, PoolLoad],
        instances: Iterable[_work.InstanceRecord],
        standby: frozenset[str],
        moving: Mapping[str, str],
        now: datetime.timedelta,
        due: Collection[str] = frozenset(),
    ) -> Plan:
        """Return the moves to make now.

        :param loads: of the pools whose owners answer
        :param standby: pools whose instances are off
        :param moving: pool that each instance in motion goes to
        :param due: instances that a wave has still to take down; they are
            lent last and parked first
        """
        ordered = sorted(instances, key=lambda item: item.id in due)
        stationary = [item for item in ordered if item.id not in moving]
        instance_size = _find_median_size(ordered)
        self._record_first_demand(loads, now)
        balances = {
            pool: self._balance(
                pool,
                load,
                instance_size,
                _find_supply(pool, load, stationary, moving),
                now,
            )
            for pool, load in loads.items()
            if pool not in standby
        }
        idle = _list_idle(stationary, loads)
        parked = _list_parked(stationary, standby)
        surplus = _Surplus(balances)
        moves = _serve_deficits(balances, [*idle, *parked], surplus)
        moved_ids = {move.instance.id for move in moves}
        # Those of a wave first, since they can go down there.
        unmoved = [item for item in reversed(idle) if item.id not in moved_ids]
        moves.extend(_park(unmoved, balances, surplus, standby))
        moved_ids = {move.instance.id for move in moves}
        spare = [item for item in parked if item.id not in moved_ids]
        spare += [
            item
            for item in unmoved
            if item.id not in moved_ids and surplus.take(item.pool)
        ]
        spare_ids = frozenset(item.id for item in spare)
        return Plan(tuple(moves), spare_ids)

    def _record_first_demand(
        self, loads: Mapping[str, PoolLoad], now: datetime.timedelta
    ) -> None:
        has_demand = any(load.reserve_millicores for load in loads.values())
        if has_demand and self._first_demand_at is None:
            self._first_demand_at = now

    def _balance(
        self,
        pool: str,
        load: PoolLoad,
        instance_size: int,
        supply: Supply,
        now: datetime.timedelta,
    ) -> Balance:
        demands = self._demands.setdefault(pool, [])
        demand = _compute_demand(load, instance_size, supply, now)
        demands.append(demand)
        # The first one left tells that the pool was known at the beginning.
        while len(demands) > 1 and demands[1].at <= now - PARK_DELAY:
            del demands[0]
        recent_demands = [
            item for item in demands if item.at >= now - _LEND_DELAY
        ]
        held = supply.present + supply.arriving
        parkable = max(item.useful for item in demands)
        if not self._has_history(demands, now):
            parkable = max(parkable, held)
        return Balance(
            demand.required,
            max(item.useful for item in recent_demands),
            parkable,
            held,
        )

    def _has_history(
        self, demands: list[InstanceDemand], now: datetime.timedelta
    ) -> bool:
        """Tell whether the demand of a pool has been seen for long enough.

        Before the first job instances stay where the operator put them.
        """
        history_start = now - PARK_DELAY
        first_demand_at = self._first_demand_at
        return (
            demands[0].at <= history_start
            and first_demand_at is not None
            and first_demand_at <= history_start
        )


class _Surplus:
    """Instances that each pool can still do without at once."""

    def __init__(self, balances: Mapping[str, Balance]) -> None:
        self._left = {
            pool: balance.held - balance.lendable_above
            for pool, balance in balances.items()
        }

    def take(self, pool: str) -> bool:
        """Take an instance of the pool, if it can do without."""
        if self._left.get(pool, 0) <= 0:
            return False
        self._left[pool] -= 1
        return True

    def count(self, pool: str) -> int:
        """Return how many are left."""
        return self._left.get(pool, 0)


def _park(
    unmoved: list[_work.InstanceRecord],
    balances: Mapping[str, Balance],
    surplus: _Surplus,
    standby: frozenset[str],
) -> list[Move]:
    """Move instances away that their pool has not wanted for long."""
    if not standby:
        return []
    standby_pool = min(standby)
    moves = []
    for instance in unmoved:
        pool = instance.pool
        lendable_only = (
            balances[pool].parkable_above - balances[pool].lendable_above
        )
        if surplus.count(pool) > lendable_only and surplus.take(pool):
            moves.append(Move(instance, standby_pool))
    return moves


def _find_median_size(instances: list[_work.InstanceRecord]) -> int:
    """Return the processor capacity of a usual instance."""
    sizes = sorted(item.cpu_millicores for item in instances)
    return max(sizes[len(sizes) // 2], 1) if sizes else 1


def _compute_demand(
    load: PoolLoad, instance_size: int, supply: Supply, now: datetime.timedelta
) -> InstanceDemand:
    needed = _forecast_need(load, instance_size, supply)
    expected_use = max(
        load.ready_millicores,
        load.lasting_millicores + load.arriving_millicores,
    )
    useful = math.ceil(
        (expected_use + load.reserve_millicores // 2) / instance_size
    )
    required = math.ceil(needed / instance_size)
    # One stays for the next job, but a pool that has never had one does
    # not ask for it.
    fewest = max(load.fewest_workers, min(load.reserve_millicores, 1))
    return InstanceDemand(
        now, max(required, fewest), max(required, useful, fewest, 1)
    )


def _forecast_need(load: PoolLoad, instance_size: int, supply: Supply) -> int:
    """Return what the pool needs once a move ordered now has been made.

    That is what jobs use at once as they arrive now, and enough to work
    off in time what waits by then. Capacity that is on its way arrives
    half of the time before, on average.

    :return: in millicores
    """
    capacity = supply.present * instance_size - load.lasting_millicores
    arriving = load.arriving_millicores
    backlog = load.waiting_work
    backlog += (arriving - capacity) * MOVE_TIME
    backlog -= supply.arriving * instance_size * MOVE_TIME / 2
    time_left = load.waiting_time_left - MOVE_TIME
    catch_up = max(backlog, _NONE) / max(time_left, _MIN_CATCH_UP_TIME)
    return load.lasting_millicores + arriving + int(catch_up)


def _find_supply(
    pool: str,
    load: PoolLoad,
    stationary: list[_work.InstanceRecord],
    moving: Mapping[str, str],
) -> Supply:
    leaving = {item.worker for item in load.workers if item.is_leaving}
    present = sum(
        item.pool == pool and item.state == 'up' and item.worker not in leaving
        for item in stationary
    )
    return Supply(
        present, sum(destination == pool for destination in moving.values())
    )


def _list_parked(
    stationary: list[_work.InstanceRecord], standby: frozenset[str]
) -> list[_work.InstanceRecord]:
    return [
        item
        for item in stationary
        if item.pool in standby and item.state == 'up'
    ]


def _list_idle(
    stationary: list[_work.InstanceRecord], loads: Mapping[str, PoolLoad]
) -> list[_work.InstanceRecord]:
    """Return the instances of pools that run nothing."""
    idle = {
        worker.worker
        for load in loads.values()
        for worker in load.workers
        if not worker.runs
    }
    return [
        item
        for item in stationary
        if item.pool in loads and item.state == 'up' and item.worker in idle
    ]


def _serve_deficits(
    balances: Mapping[str, Balance],
    donors: list[_work.InstanceRecord],
    surplus: _Surplus,
) -> list[Move]:
    """Give to the pool that lacks the most, one by one."""
    deficits = {
        pool: item.required - item.held
        for pool, item in balances.items()
        if item.required > item.held
    }
    moves: list[Move] = []
    for instance in donors:
        if not deficits:
            break
        if instance.pool in balances and not surplus.take(instance.pool):
            continue
        pool = max(deficits, key=lambda name: (deficits[name], name))
        moves.append(Move(instance, pool))
        deficits[pool] -= 1
        if not deficits[pool]:
            del deficits[pool]
    return moves


def count_lendable(
    pool: str,
    instances: Iterable[_work.InstanceRecord],
    spare: Collection[str],
    moving: Mapping[str, str],
) -> int:
    """Return the processor capacity that a pool can be lent or soon has.

    :param spare: instances that no pool needs
    :return: in millicores
    """
    return sum(
        item.cpu_millicores
        for item in instances
        if moving.get(item.id) == pool
        or (item.id in spare and item.pool != pool)
    )
