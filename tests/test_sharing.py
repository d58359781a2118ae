"""Guards fair shares: weighted max-min, quotas, no influence of names."""

import fractions
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from skylarktally import _resources
from skylarktally import _sharing
from tests import strategies

TEAMS = ('t', 'u', 'v')


@strategies.seeded
def cases(rng, quotas=True):
    pools = [
        _resources.Pool(
            f'p{k}', rng.choice(TEAMS), rng.choice((0.5, 1.0, 2.0, 3.0))
        )
        for k in range(rng.randint(1, 6))
    ]
    demands = [
        _sharing.Demand(p.name, rng.randint(0, 60), rng.choice((1, 2)))
        for p in pools
    ]
    limits = (None, 0, 7, 20, 33, 50)
    teams = rng.sample(TEAMS, rng.randint(0, 3)) if quotas else ()
    quotas = [
        _resources.Quota(f'q{t}', t, rng.choice(limits), rng.choice(limits))
        for t in teams
    ]
    return demands, pools, quotas, rng.randint(0, 150)


def fill_in_small_steps(demands, pools, capacity):
    """Fill all unsatisfied pools in rounds of 1/8 slot per weight."""
    shares = {d.pool: fractions.Fraction(0) for d in demands}
    wanted = {d.pool: d.slots for d in demands}
    remaining = fractions.Fraction(capacity)
    while remaining > 0:
        unsatisfied = [p for p in pools if shares[p.name] < wanted[p.name]]
        if not unsatisfied:
            break
        weight = sum(fractions.Fraction(p.weight) for p in unsatisfied)
        step = min(fractions.Fraction(1, 8), remaining / weight)
        for p in unsatisfied:
            room = wanted[p.name] - shares[p.name]
            part = min(step * fractions.Fraction(p.weight), room)
            shares[p.name] += part
            remaining -= part
    return shares


@strategies.check_many(500)
@hypothesis.given(cases(quotas=False))
def test_shares_agree_with_filling_in_small_steps(case):
    demands, pools, quotas, capacity = case
    found = _sharing.share_capacity(*case).slots
    naive = fill_in_small_steps(demands, pools, capacity)
    for name, slots in naive.items():
        # A pool may be one step ahead when the capacity is used up.
        assert found[name] == pytest.approx(float(slots), abs=0.5)


@strategies.check_many(3000)
@hypothesis.given(cases())
def test_every_pool_is_satisfied_or_has_a_bottleneck(case):
    """Check the definition of weighted max-min fairness with several limits.

    A pool below its demand must have a bottleneck: a limit that is used up
    and in which no other pool has more slots per weight.
    """
    demands, pools, quotas, capacity = case
    found = _sharing.share_capacity(*case).slots
    weights = {p.name: p.weight for p in pools}
    limits = [(capacity, dict.fromkeys(found, 1.0))]
    for q in quotas:
        names = {p.name for p in pools if p.team == q.team}
        own = [d for d in demands if d.pool in names]
        limits += [
            (q.slots, {d.pool: 1.0 for d in own}),
            (q.cores, {d.pool: d.cores_per_slot for d in own}),
        ]
    used_up = []
    for amount, rates in limits:
        if amount is not None and rates:
            used = sum(r * found[n] for n, r in rates.items())
            assert used <= amount + 1e-6
            if used >= amount - 1e-6:
                used_up.append(rates)
    for demand in demands:
        name, slots = demand.pool, found[demand.pool]
        assert slots <= demand.slots
        level = slots / weights[name] + 1e-6
        assert slots >= demand.slots - 1e-6 or any(
            name in rates
            and all(found[n] / weights[n] <= level for n in rates)
            for rates in used_up
        )


@strategies.check_many(2000)
@hypothesis.given(cases(), st.integers(0, 2**32))
def test_permuting_pool_names_permutes_the_shares(case, seed):
    rng = random.Random(seed)
    demands, pools, quotas, capacity = case
    names = [p.name for p in pools]
    renamed = dict(zip(names, rng.sample(names, len(names)), strict=True))
    shuffled = rng.sample(demands, len(demands))
    found = _sharing.share_capacity(*case)
    permuted = _sharing.share_capacity(
        [d._replace(pool=renamed[d.pool]) for d in shuffled],
        [p._replace(name=renamed[p.name]) for p in reversed(pools)],
        quotas,
        capacity,
    )
    for name in names:
        assert permuted.slots[renamed[name]] == found.slots[name]
        assert permuted.limits[renamed[name]] == found.limits[name]


@strategies.check_many(1000)
@hypothesis.given(cases(quotas=False), st.integers(0, 10**6))
def test_a_surge_leaves_other_pools_their_weighted_part(case, surge):
    demands, pools, _, capacity = case
    demands[0] = demands[0]._replace(slots=surge)
    found = _sharing.share_capacity(demands, pools, (), capacity).slots
    total = sum(p.weight for p in pools)
    for pool, demand in zip(pools, demands, strict=True):
        part = capacity * pool.weight / total
        assert found[pool.name] >= min(part, demand.slots) - 1e-6
