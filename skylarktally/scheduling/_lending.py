"""Moves of instances between pools, as their demand comes and goes.

The load it answers: queues that surge in turn, each for some seconds, to
more than its pool holds. Instances that nobody needs are parked in the
standby pool, where they are off; a pool with more ready work than room gets
instances from there first and then from pools that have some to spare.
"""

from collections.abc import Iterable, Mapping
import datetime
import math
from typing import NamedTuple

from skylarktally.scheduling import _work

# Share of an instance that tasks of uneven sizes fill in the mean.
_FILL = 1.0
# Ready work that waits for as long as a task takes is still on time.
_PATIENCE = 1.0
# An instance is parked once its pool has not needed it for this long. Two
# moves and their time cost about as much as an instance for 4 s.
PARK_DELAY = datetime.timedelta(seconds=2)
# It is lent to a pool that lacks room sooner.
_LEND_DELAY = datetime.timedelta(seconds=0.5)


class WorkerLoad(NamedTuple):
    """A worker of a pool and what it runs."""

    worker: str
    runs: int
    long_runs: int


class PoolLoad(NamedTuple):
    """What the owner of a pool reports of its demand."""

    # Processor time that all work which is ready would use at once.
    needed_millicores: int
    # What a usual job needs when it arrives.
    reserve_millicores: int
    # Workers that long-running steps need to be spread as asked for.
    fewest_workers: int
    workers: tuple[WorkerLoad, ...]


class Move(NamedTuple):
    """An instance that is to change its pool."""

    instance: _work.InstanceRecord
    pool: str


class Want(NamedTuple):
    """How many instances a pool has a use for."""

    at: datetime.timedelta
    # Without these its work is late.
    least: int
    # With these it also has room for what comes next.
    most: int


class Balance(NamedTuple):
    """Instances that a pool wants, and those it may use at once."""

    # Without these its work is late.
    least: int
    # Above this it can lend to a pool that lacks room, and above the other
    # it needs none of them.
    lendable_above: int
    parkable_above: int
    present: int


class Lender:
    """Decides on moves; keeps how long each pool has wanted how much."""

    def __init__(self) -> None:
        # Recent wants of each pool, the newest last.
        self._wants: dict[str, list[Want]] = {}

    def plan(
        self,
        loads: Mapping[str, PoolLoad],
        instances: Iterable[_work.InstanceRecord],
        standby: frozenset[str],
        moving: Mapping[str, str],
        now: datetime.timedelta,
    ) -> list[Move]:
        """Return the moves to make now.

        :param loads: of the pools whose owners answer
        :param standby: pools whose instances are off
        :param moving: pool that each instance in motion goes to
        """
        listed = list(instances)
        free = [item for item in listed if item.id not in moving]
        size = _find_size(listed)
        balances = {
            pool: self._balance(
                pool, load, size, _count_present(pool, free, moving), now
            )
            for pool, load in loads.items()
            if pool not in standby
        }
        donors = _list_parked(free, standby)
        donors.extend(_list_spare(free, loads, balances))
        moves = _serve_deficits(balances, donors)
        taken = {move.instance.id for move in moves}
        rest = [item for item in donors if item.id not in taken]
        moves.extend(_park(rest, balances, standby))
        return moves

    def _balance(
        self,
        pool: str,
        load: PoolLoad,
        size: int,
        present: int,
        now: datetime.timedelta,
    ) -> Balance:
        wants = self._wants.setdefault(pool, [])
        want = _count_wanted(load, size, now)
        wants.append(want)
        # The first one left tells that the pool was known at the beginning.
        while len(wants) > 1 and wants[1].at <= now - PARK_DELAY:
            del wants[0]
        recent = [item for item in wants if item.at >= now - _LEND_DELAY]
        parkable = max(item.most for item in wants)
        is_known = wants[0].at <= now - PARK_DELAY
        if not load.reserve_millicores or not is_known:
            # Too little is known of its demand yet.
            parkable = max(parkable, present)
        return Balance(
            want.least,
            max(item.most for item in recent),
            parkable,
            present,
        )


def _park(
    rest: list[_work.InstanceRecord],
    balances: Mapping[str, Balance],
    standby: frozenset[str],
) -> list[Move]:
    """Move instances away that their pool has not wanted for long."""
    if not standby:
        return []
    home = min(standby)
    moves = []
    left = {pool: item.present for pool, item in balances.items()}
    for instance in rest:
        pool = instance.pool
        if pool in balances and left[pool] > balances[pool].parkable_above:
            left[pool] -= 1
            moves.append(Move(instance, home))
    return moves


def _find_size(instances: list[_work.InstanceRecord]) -> int:
    """Return the processor capacity of a usual instance."""
    sizes = sorted(item.cpu_millicores for item in instances)
    return max(sizes[len(sizes) // 2], 1) if sizes else 1


def _count_wanted(load: PoolLoad, size: int, now: datetime.timedelta) -> Want:
    least = math.ceil(load.needed_millicores / (size * _PATIENCE))
    needed = load.needed_millicores + load.reserve_millicores // 2
    most = math.ceil(needed / (size * _FILL))
    fewest = max(load.fewest_workers, 1)
    return Want(now, max(least, fewest), max(most, fewest))


def _count_present(
    pool: str,
    free: list[_work.InstanceRecord],
    moving: Mapping[str, str],
) -> int:
    here = sum(item.pool == pool and item.state == 'up' for item in free)
    return here + sum(target == pool for target in moving.values())


def _list_parked(
    free: list[_work.InstanceRecord], standby: frozenset[str]
) -> list[_work.InstanceRecord]:
    return [
        item for item in free if item.pool in standby and item.state == 'up'
    ]


def _list_spare(
    free: list[_work.InstanceRecord],
    loads: Mapping[str, PoolLoad],
    balances: Mapping[str, Balance],
) -> list[_work.InstanceRecord]:
    """Return idle instances of pools that have more than they want."""
    idle = {
        worker.worker
        for load in loads.values()
        for worker in load.workers
        if not worker.runs
    }
    spare: list[_work.InstanceRecord] = []
    for pool, balance in balances.items():
        surplus = balance.present - balance.lendable_above
        candidates = [
            item
            for item in free
            if item.pool == pool and item.state == 'up' and item.worker in idle
        ]
        spare.extend(candidates[: max(surplus, 0)])
    return spare


def _serve_deficits(
    balances: Mapping[str, Balance], donors: list[_work.InstanceRecord]
) -> list[Move]:
    """Give to the pool that lacks the largest share, one by one."""
    lacking = {
        pool: item.least - item.present
        for pool, item in balances.items()
        if item.least > item.present
    }
    moves: list[Move] = []
    for instance in donors:
        if not lacking:
            break
        pool = max(lacking, key=lambda name: (lacking[name], name))
        moves.append(Move(instance, pool))
        lacking[pool] -= 1
        if not lacking[pool]:
            del lacking[pool]
    return moves


def count_lendable(
    instances: Iterable[_work.InstanceRecord], standby: frozenset[str]
) -> int:
    """Return the processor capacity that is parked, in millicores."""
    return sum(
        item.cpu_millicores for item in instances if item.pool in standby
    )
