"""Guards invariant I1: planned stops never exceed an availability budget.

Unplanned losses use up the budgets too, in any order with the stops.
"""

import hypothesis
import pytest
from returns import result

from skylarktally import _budgets
from skylarktally import _errors
from skylarktally import _resources
from tests import strategies

POOLS = ('a', 'b')


@strategies.seeded
def cases(rng, phases=strategies.PHASES):
    """Draw a fleet, budgets and (instance, planned) events.

    A planned event is a stop, any other one an unplanned loss.
    """
    fleet = strategies.draw_fleet(rng, POOLS, 9, phases)
    limits = (None, None, 0, 1, 2, 3)
    budgets = [
        _resources.Budget(
            f'x{k}',
            rng.choice(POOLS),
            rng.randint(0, 6),
            rng.choice(limits),
            rng.choice(limits),
        )
        for k in range(rng.randint(0, 3))
    ]
    events = [
        (rng.choice(fleet), rng.random() < 0.7)
        for _ in range(rng.randint(0, 12))
    ]
    return fleet, budgets, events


def is_budget_kept(budget, instances, down, zones):
    """Check one budget by counting all instances again.

    The limit per zone is checked only in the zones of planned stops.
    """
    own = [i for i in instances if i.pool == budget.pool]
    lost = [i for i in own if i.name in down or i.phase.value != 'serving']
    checks = [len(own) - len(lost) >= budget.min_available]
    if budget.max_unavailable is not None:
        checks.append(len(lost) <= budget.max_unavailable)
    if budget.max_unavailable_per_zone is not None:
        for zone in zones:
            lost_in_zone = sum(i.zone == zone for i in lost)
            checks.append(lost_in_zone <= budget.max_unavailable_per_zone)
    return all(checks)


@strategies.check_many(3000)
@hypothesis.given(cases())
def test_check_agrees_with_counting_every_budget_again(case):
    fleet, budgets, events = case
    stops = {instance.name for instance, planned in events if planned}
    stopped = [
        i for i in fleet if i.name in stops and i.phase.value == 'serving'
    ]
    kept = all(
        is_budget_kept(
            b, fleet, stops, {i.zone for i in stopped if i.pool == b.pool}
        )
        for b in budgets
        if b.pool in {i.pool for i in stopped}
    )
    found = _budgets.check_budget(budgets, fleet, stops)
    if kept:
        assert isinstance(found, result.Success)
    else:
        kind = found.failure().kind
        assert kind is _errors.ErrorKind.BUDGET_EXHAUSTED


@strategies.check_many(2000)
@hypothesis.given(cases((strategies.Phase.SERVING,)))
def test_stops_never_exceed_a_budget_in_any_order_with_losses(case):
    fleet, budgets, events = case
    tracker = _budgets.BudgetTracker(budgets, fleet)
    down = set()
    for instance, planned in events:
        if instance.name in down:
            continue
        if not planned:
            tracker.record_loss(instance)
            down.add(instance.name)
        elif isinstance(tracker.reserve_stop(instance), result.Success):
            down.add(instance.name)
            for budget in budgets:
                if budget.pool == instance.pool:
                    assert is_budget_kept(budget, fleet, down, {instance.zone})


@pytest.mark.parametrize(
    ('stops', 'kind'),
    [
        (['a-0'], None),
        (['a-0', 'a-1'], _errors.ErrorKind.BUDGET_EXHAUSTED),
        (['a-0', 'a-0'], None),
        (['b-0', 'b-1'], None),
        (['nobody'], _errors.ErrorKind.NOT_FOUND),
    ],
)
def test_check_fails_with_the_expected_error_kind(stops, kind):
    fleet = strategies.build_fleet('ab', 3)
    budgets = [_resources.Budget('x', 'a', 2)]
    found = _budgets.check_budget(budgets, fleet, stops)
    if kind is None:
        assert isinstance(found, result.Success)
    else:
        assert found.failure().kind is kind


@pytest.mark.parametrize(('lost_zone', 'allowed'), [('z0', 0), ('z1', 1)])
def test_losses_of_a_zone_count_against_that_zone(lost_zone, allowed):
    fleet = [
        strategies.build_instance(f'i{k}', zone=f'z{k % 2}') for k in range(6)
    ]
    lost = next(k for k, i in enumerate(fleet) if i.zone == lost_zone)
    fleet[lost] = fleet[lost]._replace(phase=strategies.Phase.FAILED)
    budgets = [_resources.Budget('x', 'a', 0, None, 1)]
    tracker = _budgets.BudgetTracker(budgets, fleet)
    stops = [i for i in fleet if i.zone == 'z0']
    found = [
        isinstance(tracker.reserve_stop(i), result.Success) for i in stops
    ]
    serving = [i.phase.value == 'serving' for i in stops]
    assert sum(f and s for f, s in zip(found, serving, strict=True)) == allowed
