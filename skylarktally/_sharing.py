"""Weighted max-min shares of capacity, with quotas by team.

Shares depend on the demands of the moment alone. A pool that was idle has
saved nothing up, and one that borrowed owes its neighbours their full share
at the next decision.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from skylarktally import _resources

# Relative error below which a constraint counts as used up.
_TOLERANCE = 1e-9


class Demand(NamedTuple):
    """Slots that a pool could use now, and what each of them takes."""

    pool: str
    slots: float
    cores_per_slot: float = 0.0
    accelerators_per_slot: float = 0.0
    # Urgent work that queues, in slots times seconds.
    backlog: float = 0.0
    # Slots that deferrable work could fill besides.
    deferrable: float = 0.0


class Shares(NamedTuple):
    """Slots for each pool, and the limit that holds each one back."""

    slots: dict[str, float]
    # 'demand', 'capacity', or 'quota NAME'.
    limits: dict[str, str]


class _Limit(NamedTuple):
    label: str
    amount: float
    # Use of the limited resource by one slot, by pool.
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

    :param arrival_rate: urgent requests a second
    :param seconds: run time of one request
    :param deferrable: slots that deferrable work could fill

    The arriving work needs rate times run time slots (Little's law); what
    already runs may be more.
    """
    slots = max(float(running), arrival_rate * seconds)
    return Demand(pool, slots, backlog=queued * seconds, deferrable=deferrable)


def share_capacity(
    demands: Iterable[Demand],
    pools: Collection[_resources.Pool],
    quotas: Iterable[_resources.Quota],
    capacity: float,
) -> Shares:
    """Share slots by weighted max-min, each team within its quota.

    The common level of slots per weight rises until a pool's demand, its
    team's quota or the capacity is reached; what was reached stays as it
    is and the others rise on. Sums are exactly rounded, so that the answer
    does not depend on the order or the names of the pools.
    """
    wanted = {demand.pool: demand for demand in demands}
    weights = {
        pool.name: pool.weight
        for pool in pools
        if pool.name in wanted and pool.weight > 0
    }
    limits = _list_limits(wanted, pools, quotas, weights, capacity)
    slots = {name: 0.0 for name in wanted}
    reasons = {name: 'demand' for name in wanted}
    rising = {n for n in weights if wanted[n].slots > 0}
    while rising:
        _raise_level(slots, reasons, rising, weights, wanted, limits)
    return Shares(slots, reasons)


def _list_limits(
    wanted: Mapping[str, Demand],
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
            (quota.cores, {n: wanted[n].cores_per_slot for n in names}),
            (
                quota.accelerators,
                {n: wanted[n].accelerators_per_slot for n in names},
            ),
        )
        for amount, rates in amounts:
            if amount is not None and any(rates.values()):
                limits.append(_Limit(f'quota {quota.name}', amount, rates))
    return limits


def _raise_level(
    slots: dict[str, float],
    reasons: dict[str, str],
    rising: set[str],
    weights: Mapping[str, float],
    wanted: Mapping[str, Demand],
    limits: list[_Limit],
) -> None:
    """Raise the rising pools until one or more of them is limited."""
    steps = [(wanted[n].slots - slots[n]) / weights[n] for n in rising]
    rooms = [_find_room(limit, slots, rising, weights) for limit in limits]
    step = max(min([*steps, *rooms]), 0.0)
    for name in rising:
        slots[name] = min(
            slots[name] + step * weights[name], wanted[name].slots
        )
    stopped = {
        n
        for n in rising
        if wanted[n].slots - slots[n] <= _TOLERANCE * wanted[n].slots
    }
    for limit, room in zip(limits, rooms, strict=True):
        if room <= step * (1 + _TOLERANCE):
            for name in rising & {n for n, r in limit.rates.items() if r}:
                if name not in stopped:
                    reasons[name] = limit.label
                stopped.add(name)
    rising -= stopped


def _find_room(
    limit: _Limit,
    slots: Mapping[str, float],
    rising: set[str],
    weights: Mapping[str, float],
) -> float:
    """Return how far the level can rise within the limit."""
    rate = math.fsum(
        r * weights[n] for n, r in limit.rates.items() if n in rising
    )
    if rate <= 0:
        return math.inf
    used = math.fsum(r * slots[n] for n, r in limit.rates.items())
    return max(limit.amount - used, 0.0) / rate
