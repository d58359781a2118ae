"""Guards repairs: losses are recorded, cordons limited, returns probed."""

import collections
import datetime

import hypothesis
import pytest

from skylarktally import _repairs
from skylarktally import _resources
from tests import strategies

NOW = strategies.NOW
Action = _repairs.Action
Phase = strategies.Phase
SECONDS = datetime.timedelta(seconds=1)


def observe(name, **fields):
    return _repairs.WorkerObservation(name, **fields)


@pytest.mark.parametrize(
    ('phase', 'age', 'fields', 'action'),
    [
        ('serving', 0, {'failures': 9}, None),
        ('serving', 0, {'failures': 10}, Action.CORDON),
        ('serving', 0, {'failures': 99, 'successes': 1}, None),
        ('serving', 0, {'restarts': 3, 'successes': 50}, Action.CORDON),
        ('serving', 0, {'silent': 11 * SECONDS}, None),
        ('serving', 0, {'silent': 12 * SECONDS}, Action.FAIL),
        ('draining', 0, {'silent': 12 * SECONDS}, Action.FAIL),
        ('failed', 0, {'probes_passed': 2}, None),
        ('failed', 0, {'probes_passed': 3}, Action.RETURN),
        ('cordoned', 29, {'probes_passed': 3}, None),
        ('cordoned', 30, {'probes_passed': 3}, Action.REBOOT),
        ('cordoned', 200, {'probes_passed': 3, 'restarts': 3}, None),
        ('cordoned', 240, {'probes_passed': 3, 'restarts': 3}, Action.REBOOT),
        ('maintenance', 0, {'silent': 99 * SECONDS}, None),
    ],
)
def test_each_observation_leads_to_its_repair(phase, age, fields, action):
    fleet = strategies.build_fleet('a', 5)
    since = (NOW - age * SECONDS).isoformat()
    fleet[0] = fleet[0]._replace(phase=Phase(phase), since=since)
    found = _repairs.plan_repairs(fleet, [observe('a-0', **fields)], [], NOW)
    assert [r.action for r in found] == ([action] if action else [])


@strategies.seeded
def cases(rng):
    fleet = strategies.draw_fleet(rng, ('a', 'b'), 24)
    observations = [
        observe(
            i.name,
            failures=rng.choice((0, 20, 30)),
            silent=rng.choice((0, 0, 0, 60)) * SECONDS,
        )
        for i in fleet
    ]
    return fleet, observations, rng.randint(0, 12)


@strategies.check_many(2000)
@hypothesis.given(cases())
def test_cordons_respect_their_limit_and_the_budget(case):
    fleet, observations, min_available = case
    budgets = [_resources.Budget('x', 'a', min_available)]
    found = _repairs.plan_repairs(fleet, observations, budgets, NOW)
    actions = {r.instance: r.action for r in found}
    size = collections.Counter(i.pool for i in fleet)
    serving = {i.name: i for i in fleet if i.phase is Phase.SERVING}
    silent = {o.instance for o in observations if o.silent}
    assert {n for n in serving if actions.get(n) is Action.FAIL} == (
        silent & set(serving)
    )
    for pool in 'ab':
        new = sum(
            actions.get(i.name) is Action.CORDON
            for i in fleet
            if i.pool == pool
        )
        old = sum(i.pool == pool and i.phase is Phase.CORDONED for i in fleet)
        assert not new or new + old <= 0.2 * size[pool]
        left = sum(
            i.pool == pool and actions.get(n) is None
            for n, i in serving.items()
        )
        assert not new or pool == 'b' or left >= min_available
