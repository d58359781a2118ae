"""Divides capacity into weighted max-min fair shares with team quotas.

Shares depend only on the current demands. An idle pool accumulates no credit,
and a pool that has used slots beyond its part loses them at the next decision
if other pools need their full share.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _resources

# Relative error below which a limit or demand counts as reached.
_TOLERANCE = 1e-9


class Demand(NamedTuple):
    """Slots that a pool could use now, and the resources of each slot."""

    pool: str
    slots: float
    cores_per_slot: float = 0.0
    accelerators_per_slot: float = 0.0
    # Urgent work in the queue, in slots times seconds.
    backlog: float = 0.0
    # Further slots that deferrable work could fill.
    deferrable: float = 0.0


class Shares(NamedTuple):
    """Slots of each pool, and the limit that keeps each from more."""

    slots: dict[str, float]
    # 'demand', 'capacity', or 'quota NAME'.
    limits: dict[str, str]


class _Limit(NamedTuple):
    label: str
    amount: float
    # Amount of the limited resource that one slot of each pool uses.
    rates: Mapping[str, float]


def measure_demand(
    pool: str,
    queued: int,
    running: int,
    arrival_rate: float,
    seconds: float,
    deferrable: float = 0.0,
) -> Demand:
    """Build a demand from the observations of routers.

    The slots are the arrival rate times the run time (Little's law), or the
    requests that already run if these are more.

    :param queued: urgent requests that wait
    :param running: urgent requests that run
    :param arrival_rate: urgent requests per second
    :param seconds: run time of one urgent request
    :param deferrable: slots that deferrable work could fill
    """
    slots = max(float(running), arrival_rate * seconds)
    return Demand(pool, slots, backlog=queued * seconds, deferrable=deferrable)


def share_capacity(
    demands: Iterable[Demand],
    pools: Collection[_resources.Pool],
    quotas: Iterable[_resources.Quota],
    capacity: float,
) -> Shares:
    """Divide slots by weighted max-min fairness within the team quotas.

    This is progressive filling: the common level of slots per weight rises
    until a pool's demand, its team's quota or the capacity is reached. The
    pools at such a limit keep their slots and the others rise further. Sums
    are exactly rounded (fsum), so the result does not depend on the order
    or the names of the pools.

    :param capacity: slots to divide
    """
    demands_by_pool = {demand.pool: demand for demand in demands}
    weights = {
        pool.name: pool.weight
        for pool in pools
        if pool.name in demands_by_pool and pool.weight > 0
    }
    limits = _list_limits(demands_by_pool, pools, quotas, weights, capacity)
    slots = {name: 0.0 for name in demands_by_pool}
    limiting = {name: 'demand' for name in demands_by_pool}
    rising = {n for n in weights if demands_by_pool[n].slots > 0}
    while rising:
        _raise_level(slots, limiting, rising, weights, demands_by_pool, limits)
    return Shares(slots, limiting)


def _list_limits(
    demands_by_pool: Mapping[str, Demand],
    pools: Collection[_resources.Pool],
    quotas: Iterable[_resources.Quota],
    weights: Mapping[str, float],
    capacity: float,
) -> list[_Limit]:
    limits = [_Limit('capacity', capacity, dict.fromkeys(weights, 1.0))]
    members: dict[str, list[str]] = {}
    for pool in pools:
        if pool.name in weights:
            members.setdefault(pool.team, []).append(pool.name)
    for quota in quotas:
        names = members.get(quota.team, [])
        amounts = (
            (quota.slots, {n: 1.0 for n in names}),
            (
                quota.cores,
                {n: demands_by_pool[n].cores_per_slot for n in names},
            ),
            (
                quota.accelerators,
                {n: demands_by_pool[n].accelerators_per_slot for n in names},
            ),
        )
        for amount, rates in amounts:
            if amount is not None and any(rates.values()):
                limits.append(_Limit(f'quota {quota.name}', amount, rates))
    return limits


def _raise_level(
    slots: dict[str, float],
    limiting: dict[str, str],
    rising: set[str],
    weights: Mapping[str, float],
    demands_by_pool: Mapping[str, Demand],
    limits: list[_Limit],
) -> None:
    """Raise the level until at least one more pool reaches a limit.

    That pool is removed from the rising ones.
    """
    steps = [
        (demands_by_pool[n].slots - slots[n]) / weights[n] for n in rising
    ]
    headrooms = [
        _find_headroom(limit, slots, rising, weights) for limit in limits
    ]
    step = max(min([*steps, *headrooms]), 0.0)
    for name in rising:
        slots[name] = min(
            slots[name] + step * weights[name], demands_by_pool[name].slots
        )
    limited = {
        n
        for n in rising
        if demands_by_pool[n].slots - slots[n]
        <= _TOLERANCE * demands_by_pool[n].slots
    }
    for limit, headroom in zip(limits, headrooms, strict=True):
        if headroom <= step * (1 + _TOLERANCE):
            for name in rising & {n for n, r in limit.rates.items() if r}:
                if name not in limited:
                    limiting[name] = limit.label
                limited.add(name)
    rising -= limited


def _find_headroom(
    limit: _Limit,
    slots: Mapping[str, float],
    rising: set[str],
    weights: Mapping[str, float],
) -> float:
    """Return how far the slots per weight can rise within the limit."""
    rate = math.fsum(
        r * weights[n] for n, r in limit.rates.items() if n in rising
    )
    if rate <= 0:
        return math.inf
    used = math.fsum(r * slots[n] for n, r in limit.rates.items())
    return max(limit.amount - used, 0.0) / rate
