"""Moves of instances between pools, according to their demand.

Queues surge in turn, each for some seconds, to more than the capacity of its
pool. A pool with a forecast shortage gets idle instances that other pools
can spare, and then instances of the standby pool, which are powered off.
Instances that no pool needs are parked in the standby pool.
"""

import collections
from collections.abc import Callable, Collection, Iterable, Mapping
import datetime
import math
from typing import NamedTuple

from skylarktally.scheduling import _work

# An idle instance is parked once its pool has not needed it for this long.
# Parking it and fetching it back cost about as much as 4 s of an instance.
PARK_DELAY = datetime.timedelta(seconds=2)
# An idle instance is lent to a pool with a shortage after this shorter time.
_LEND_DELAY = datetime.timedelta(seconds=0.5)
# Time from the order of a move until the worker gets its first task.
MOVE_TIME = datetime.timedelta(seconds=2)
# Shortest time in which a pool plans to work off a backlog, which bounds the
# instances that it requests for it.
_MIN_CATCH_UP_TIME = datetime.timedelta(seconds=1.5)
_NONE = datetime.timedelta()


class WorkerLoad(NamedTuple):
    """A worker of a pool and the number of its runs."""

    worker: str
    runs: int
    long_runs: int
    # It is evacuating or draining and gets no new runs.
    is_leaving: bool = False


class PoolLoad(NamedTuple):
    """Load of a pool, as reported by its owner."""

    # Capacity for long-running tasks, including waiting ones.
    long_running_millicores: int
    # Capacity for the other tasks: running, and ready to start.
    running_millicores: int
    waiting_millicores: int
    # Work of the tasks that are ready to start, as time on one millicore.
    waiting_work: datetime.timedelta
    # Average time left until this work has to be completed.
    waiting_time_left: datetime.timedelta
    # Forecast capacity for new jobs at the current arrival rate.
    arriving_millicores: int
    # Median capacity that a new job needs; 0 before the first job.
    reserve_millicores: int
    # Workers that the tasks of each long-running step need, for their limit of
    # tasks per worker and since only whole tasks fit.
    fewest_workers: int
    workers: tuple[WorkerLoad, ...]

    @property
    def ready_millicores(self) -> int:
        """Capacity for all tasks that run or are ready to start."""
        ready = self.running_millicores + self.waiting_millicores
        return self.long_running_millicores + ready


class Move(NamedTuple):
    """An instance and the pool to move it to."""

    instance: _work.InstanceRecord
    pool: str


class Supply(NamedTuple):
    """Number of instances in a pool and on their way to it."""

    # Instances that are up and whose workers are not being emptied.
    present: int
    arriving: int


class InstanceDemand(NamedTuple):
    """Number of instances that a pool needs at a point in time."""

    at: datetime.timedelta
    # With fewer instances its work would be late.
    required: int
    # Includes headroom for the next job.
    useful: int
    # With fewer instances a long-running task would not run.
    long_running: int


class Balance(NamedTuple):
    """Number of instances that a pool needs, can give away and has."""

    # With fewer instances its work would be late.
    required: int
    # With fewer instances one of its long-running tasks would not run.
    long_running: int
    # It can lend the instances above the first number to a pool with a
    # shortage, and park those above the second one.
    lendable_above: int
    parkable_above: int
    # In the pool or on their way to it.
    held: int


class Plan(NamedTuple):
    """Moves to order now, and the instances that no pool needs now."""

    moves: tuple[Move, ...]
    spare: frozenset[str]


class Lender:
    """Plans moves from the loads and the recent demand of the pools."""

    def __init__(self) -> None:
        # Demands of each pool within PARK_DELAY, the newest last.
        self._demands: dict[str, list[InstanceDemand]] = {}
        # When a pool first reported a job.
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
        """Return the moves to order now.

        :param loads: loads by pool, for the pools whose owners respond
        :param standby: pools whose instances are powered off
        :param moving: destination pool by id of each moving instance
        :param due: ids of instances that a maintenance wave has not taken
            down yet; they are lent last and parked first
        """
        ordered = sorted(instances, key=lambda item: item.id in due)
        stationary = [item for item in ordered if item.id not in moving]
        instance_size = _find_median_size(ordered)
        supplies = _find_supplies(loads, stationary, moving)
        self._record_first_demand(loads, now)
        balances = {
            pool: self._balance(pool, load, instance_size, supplies[pool], now)
            for pool, load in loads.items()
            if pool not in standby
        }
        idle = _list_idle(stationary, loads)
        parked = _list_parked(stationary, standby)
        surplus = _Surplus(balances)
        moves = _serve_deficits(balances, [*idle, *parked], surplus)
        moved_ids = {move.instance.id for move in moves}
        # Reversed, so that the instances of a wave are parked first: parked
        # instances can be taken down without harm.
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
        # Keep one demand older than the window: it shows that the demand of
        # the pool is known for the whole window.
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
            demand.long_running,
            max(item.useful for item in recent_demands),
            parkable,
            held,
        )

    def _has_history(
        self, demands: list[InstanceDemand], now: datetime.timedelta
    ) -> bool:
        """Tell whether the demand of the pool is known for PARK_DELAY.

        That time starts only with the first job of any pool: before, the
        instances stay where the operator placed them.
        """
        history_start = now - PARK_DELAY
        first_demand_at = self._first_demand_at
        return (
            demands[0].at <= history_start
            and first_demand_at is not None
            and first_demand_at <= history_start
        )


class _Surplus:
    """Number of instances that each pool can still give away."""

    def __init__(self, balances: Mapping[str, Balance]) -> None:
        self._left = {
            pool: balance.held - balance.lendable_above
            for pool, balance in balances.items()
        }
        self._not_required = {
            pool: balance.held - balance.required
            for pool, balance in balances.items()
        }

    def take(self, pool: str, is_headroom_kept: bool = True) -> bool:
        """Take an instance from the pool; False if it can spare none.

        :param is_headroom_kept: whether the pool keeps the instances for its
            next jobs, beside those that its present work requires
        """
        left = self._left if is_headroom_kept else self._not_required
        if left.get(pool, 0) <= 0:
            return False
        self._left[pool] -= 1
        self._not_required[pool] -= 1
        return True

    def count(self, pool: str) -> int:
        """Return how many instances the pool can still give away."""
        return self._left.get(pool, 0)


def _park(
    unmoved: list[_work.InstanceRecord],
    balances: Mapping[str, Balance],
    surplus: _Surplus,
    standby: frozenset[str],
) -> list[Move]:
    """Return moves to standby of instances not needed for PARK_DELAY."""
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
    """Return the median processor capacity of the instances."""
    sizes = sorted(item.cpu_millicores for item in instances)
    return max(sizes[len(sizes) // 2], 1) if sizes else 1


def _compute_demand(
    load: PoolLoad, instance_size: int, supply: Supply, now: datetime.timedelta
) -> InstanceDemand:
    needed = _forecast_need(load, instance_size, supply)
    expected_use = max(
        load.ready_millicores,
        load.long_running_millicores + load.arriving_millicores,
    )
    useful = math.ceil(
        (expected_use + load.reserve_millicores // 2) / instance_size
    )
    required = math.ceil(needed / instance_size)
    # One instance stays ready for the next job. A pool that has had no job
    # yet may keep one but does not request it.
    min_count = max(load.fewest_workers, min(load.reserve_millicores, 1))
    long_running = math.ceil(load.long_running_millicores / instance_size)
    return InstanceDemand(
        now,
        max(required, min_count),
        max(required, useful, min_count, 1),
        max(long_running, load.fewest_workers),
    )


def _forecast_need(load: PoolLoad, instance_size: int, supply: Supply) -> int:
    """Return the capacity that the pool needs after MOVE_TIME.

    An instance whose move is ordered now becomes useful at that time. The
    need is the sum of the long-running tasks, the new jobs at the current
    arrival rate, and the capacity to work off the remaining backlog in
    time. Instances that are already on their way arrive on average after
    half of MOVE_TIME.

    :return: in millicores
    """
    capacity = supply.present * instance_size - load.long_running_millicores
    arriving = load.arriving_millicores
    backlog = load.waiting_work
    backlog += (arriving - capacity) * MOVE_TIME
    backlog -= supply.arriving * instance_size * MOVE_TIME / 2
    time_left = load.waiting_time_left - MOVE_TIME
    catch_up = max(backlog, _NONE) / max(time_left, _MIN_CATCH_UP_TIME)
    return load.long_running_millicores + arriving + int(catch_up)


def _find_supplies(
    loads: Mapping[str, PoolLoad],
    stationary: list[_work.InstanceRecord],
    moving: Mapping[str, str],
) -> dict[str, Supply]:
    """Return the supply of each pool, in one pass over the instances."""
    leaving = {
        item.worker
        for load in loads.values()
        for item in load.workers
        if item.is_leaving
    }
    present = collections.Counter(
        item.pool
        for item in stationary
        if item.state == 'up' and item.worker not in leaving
    )
    arriving = collections.Counter(moving.values())
    return {pool: Supply(present[pool], arriving[pool]) for pool in loads}


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
    """Return the instances whose workers have no runs."""
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
    """Assign donors one by one to the pool with the largest deficit.

    Pools whose long-running tasks cannot run come first, and may take the
    headroom of others: such a task must not stand still, while headroom is
    for work that has not arrived.
    """
    moves = _assign(
        donors,
        {
            pool: item.long_running - item.held
            for pool, item in balances.items()
        },
        lambda pool: (
            pool not in balances or surplus.take(pool, is_headroom_kept=False)
        ),
    )
    moved_ids = {move.instance.id for move in moves}
    received = collections.Counter(move.pool for move in moves)
    moves += _assign(
        [item for item in donors if item.id not in moved_ids],
        {
            pool: item.required - item.held - received[pool]
            for pool, item in balances.items()
        },
        lambda pool: pool not in balances or surplus.take(pool),
    )
    return moves


def _assign(
    donors: Iterable[_work.InstanceRecord],
    deficits: Mapping[str, int],
    take: Callable[[str], bool],
) -> list[Move]:
    """Assign donors one by one to the pool with the largest deficit.

    :param take: takes an instance from a pool; False if it can spare none
    """
    open_deficits = {
        pool: count for pool, count in deficits.items() if count > 0
    }
    moves: list[Move] = []
    for instance in donors:
        if not open_deficits:
            break
        if not take(instance.pool):
            continue
        pool = max(open_deficits, key=lambda name: (open_deficits[name], name))
        moves.append(Move(instance, pool))
        open_deficits[pool] -= 1
        if not open_deficits[pool]:
            del open_deficits[pool]
    return moves


def count_lendable(
    pools: Iterable[str],
    instances: Iterable[_work.InstanceRecord],
    spare: Collection[str],
    moving: Mapping[str, str],
) -> dict[str, int]:
    """Return the processor capacity that each pool can borrow.

    Instances that are already on their way to the pool count as well. The
    instances are gone through once, whatever the number of pools.

    :param spare: ids of instances that no pool needs
    :return: in millicores, by pool
    """
    total = 0
    # Spare capacity of a pool itself, and other capacity on its way to it.
    own: collections.Counter[str] = collections.Counter()
    arriving: collections.Counter[str] = collections.Counter()
    for item in instances:
        destination = moving.get(item.id)
        is_spare = item.id in spare
        if is_spare:
            total += item.cpu_millicores
            own[item.pool] += item.cpu_millicores
        if destination and (not is_spare or destination == item.pool):
            arriving[destination] += item.cpu_millicores
    return {pool: total - own[pool] + arriving[pool] for pool in pools}
