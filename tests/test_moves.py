"""Guards moves: few, within budgets and floors, and returned in time."""

import datetime

import hypothesis
import pytest

from skylarktally import _budgets
from skylarktally import _forecasts
from skylarktally import _moves
from skylarktally import _resources
from skylarktally import _sharing
from skylarktally import _waves
from tests import strategies

NOW = strategies.NOW
Phase = strategies.Phase
SECOND = datetime.timedelta(seconds=1)
POOLS = 'abcd'


def build_pools(floor=2):
    return [_resources.Pool(p, p, spare=p == 'd', floor=floor) for p in POOLS]


def build_history(slots, deferrable=None, seconds=60):
    return _moves.History(
        tuple(
            _moves.Sample(NOW - k * SECOND, slots, deferrable or {})
            for k in range(seconds, -1, -1)
        )
    )


def plan(fleet, slots, backlog=0.0, budgets=(), history=None):
    demands = [
        _sharing.Demand(p, s, backlog=backlog * (s > 40))
        for p, s in slots.items()
    ]
    return _moves.plan_moves(
        build_pools(),
        fleet,
        demands,
        list(budgets),
        history or build_history(slots),
        NOW,
    )


@strategies.seeded
def cases(rng):
    fleet = strategies.draw_fleet(rng, tuple(POOLS), 24)
    for k, instance in enumerate(fleet):
        if instance.phase is Phase.DRAINING and rng.random() < 0.7:
            target = rng.choice(POOLS)
            fleet[k] = instance._replace(target_pool=target)
        elif rng.random() < 0.2:
            at = NOW - rng.randint(10, 900) * SECOND
            operation = _waves.format_operation_id('w', at)
            fleet[k] = instance._replace(operation_id=operation)
    demands = [
        _sharing.Demand(
            p,
            rng.choice((0, 1, 20, 100)),
            backlog=rng.choice((0, 50, 500)),
            deferrable=rng.choice((0, 0, 99)),
        )
        for p in POOLS
    ]
    budgets = [_resources.Budget(p, p, rng.randint(0, 6)) for p in POOLS]
    history = build_history(
        {d.pool: d.slots * rng.choice((0.5, 1)) for d in demands},
        {d.pool: d.deferrable for d in demands},
        rng.choice((0, 5, 60)),
    )
    return fleet, demands, budgets, history


@strategies.check_many(3000)
@hypothesis.given(cases())
def test_keeps_budgets_floors_and_the_limit_in_flight(case):
    fleet, demands, budgets, history = case
    found = _moves.plan_moves(
        build_pools(), fleet, demands, budgets, history, NOW
    )
    by_name = {i.name: i for i in fleet}
    names = [m.instance for m in found]
    assert len(set(names)) == len(names)
    tracker = _budgets.BudgetTracker(budgets, fleet)
    for move in found:
        instance = by_name[move.instance]
        assert instance.phase is Phase.SERVING
        assert move.source == instance.pool != move.target
        tracker.reserve_stop(instance).unwrap()
    in_flight = sum(
        i.phase is Phase.DRAINING and i.target_pool is not None for i in fleet
    )
    assert not found or in_flight + len(found) <= 4
    for pool in {m.source for m in found}:
        assert tracker.count_available(pool) >= 2


@pytest.mark.parametrize(
    ('slots', 'backlog', 'seconds', 'count'),
    [
        # A surge of 5 times the mean whose backlog meets the deadline.
        (60.0, 0.0, 60, 0),
        (60.0, 100.0, 60, 0),
        # Surges whose backlog would miss the deadline of 5.5 s.
        (60.0, 240.0, 60, 1),
        (96.0, 240.0, 60, 2),
        (150.0, 600.0, 60, 4),
        # A burst of less than a second, and a demand without any backlog.
        (60.0, 240.0, 0, 0),
        (10.0, 0.0, 60, 0),
    ],
)
def test_moves_only_when_a_deadline_would_be_missed(
    slots, backlog, seconds, count
):
    fleet = strategies.build_fleet(POOLS, 6)
    slots_by_pool = {'a': slots, 'b': 1.0, 'c': 1.0, 'd': 0.0}
    history = build_history(slots_by_pool, None, seconds)
    found = plan(fleet, slots_by_pool, backlog, history=history)
    assert len(found) == count
    assert {m.source for m in found} <= {'d'}


def test_a_borrower_returns_instances_to_a_pool_below_its_part():
    """Guards against a surge in one pool that starves another team's pool."""
    fleet = strategies.build_fleet(POOLS, 6)
    # Pool a has borrowed all that the other pools may lend, and its surge
    # continues.
    fleet = [
        i._replace(pool='a') if int(i.name[2:]) >= 2 else i for i in fleet
    ]
    slots_by_pool = {'a': 200.0, 'b': 60.0, 'c': 0.0, 'd': 0.0}
    passes = 0
    while sum(i.pool == 'b' for i in fleet) < 6 and passes < 9:
        passes += 1
        moved = {
            m.instance: m.target for m in plan(fleet, slots_by_pool, 300.0)
        }
        fleet = [i._replace(pool=moved.get(i.name, i.pool)) for i in fleet]
    # At most four instances move at the same time, each in 2.5 s, so they are
    # returned within 10 s.
    assert passes <= 4


@pytest.mark.parametrize(('waiting', 'count'), [(99.0, 1), (0.0, 0)])
def test_lends_to_lasting_deferrable_work(waiting, count):
    fleet = strategies.build_fleet(POOLS, 6)
    slots_by_pool = {'a': 10.0, 'b': 10.0, 'c': 10.0, 'd': 10.0}
    demands = [
        _sharing.Demand(p, s, deferrable=waiting * (p == 'd'))
        for p, s in slots_by_pool.items()
    ]
    history = build_history(slots_by_pool, {'d': waiting})
    found = _moves.plan_moves(build_pools(), fleet, demands, [], history, NOW)
    assert [m.target for m in found] == ['d'] * count


@pytest.mark.parametrize(('stopped', 'count'), [(True, 2), (False, 0)])
def test_lends_to_pools_whose_budget_delays_maintenance(stopped, count):
    fleet = strategies.build_fleet(POOLS, 6)
    if stopped:
        operation = _waves.format_operation_id('w', NOW - 30 * SECOND)
        fleet[-1] = fleet[-1]._replace(
            operation_id=operation, phase=Phase.MAINTENANCE
        )
    budgets = [_resources.Budget(p, p, 6 - 5 * (p == 'd')) for p in POOLS]
    found = plan(fleet, dict.fromkeys(POOLS, 1.0), budgets=budgets)
    # The spare pool has five serving instances and keeps three: one for its
    # budget and a headroom of two.
    assert sorted(m.target for m in found) == list('abc')[:count]


def find_needed_slots_naively(loads, limit):
    """Try every multiple of half a slot, from the smallest upwards."""
    slots = 0.5
    while True:
        backlog = worst = 0.0
        for _, load in loads[:-1]:
            backlog = max(backlog + load - slots, 0.0)
            worst = max(worst, backlog / slots)
        if worst <= limit:
            return slots
        slots += 0.5


@strategies.seeded
def load_series(rng):
    loads = [rng.choice((0, 1, 12, 60)) for _ in range(rng.randint(2, 30))]
    return [(NOW + k * SECOND, load) for k, load in enumerate(loads)]


@strategies.check_many(1000)
@hypothesis.given(load_series())
def test_needed_slots_agree_with_a_linear_search(loads):
    found = _forecasts.find_needed_slots(loads, 3.3)
    naive = find_needed_slots_naively(loads, 3.3)
    assert abs(found - naive) <= 1.0
