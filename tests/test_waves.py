"""Guards waves: order, budgets, halts, resumption, wait reasons, cost."""

import datetime
import time
import tracemalloc

import hypothesis
import pytest

from skylarktally import _resources
from skylarktally import _waves
from tests import strategies

NOW = strategies.NOW
Phase = strategies.Phase
MINUTE = datetime.timedelta(minutes=1)


def stop_earlier(instance, phase, wave='w', started=60, since=30):
    """Return an instance that the wave stopped some minutes ago.

    :param started: minutes since the start of the stop
    :param since: minutes since the phase began
    """
    return instance._replace(
        phase=Phase(phase),
        operation_id=_waves.format_operation_id(wave, NOW - started * MINUTE),
        since=(NOW - since * MINUTE).isoformat(),
    )


@strategies.seeded
def cases(rng):
    pools = ['a', 'b', 'c']
    fleet = strategies.build_fleet(pools, rng.randint(1, 8))
    for k in range(len(fleet)):
        if rng.random() < 0.3:
            phase = rng.choice(tuple(Phase)).value
            started, wave = rng.choice((5, 20, 90)), rng.choice('wv')
            since = rng.randint(0, started)
            fleet[k] = stop_earlier(fleet[k], phase, wave, started, since)
        elif rng.random() < 0.1:
            fleet[k] = fleet[k]._replace(phase=rng.choice(tuple(Phase)))
    rng.shuffle(fleet)
    budgets = [
        _resources.Budget(p, p, rng.randint(0, 7), None, rng.choice((None, 1)))
        for p in pools
    ]
    wave = _resources.Wave(
        'w',
        tuple(rng.sample(pools, rng.randint(1, 3))),
        rng.randint(1, 6),
        rng.randint(0, 3),
        rng.randint(1, 6),
        rng.random() < 0.1,
    )
    return wave, fleet, budgets


def choose_stops_naively(plan, wave, fleet, budgets):
    """Choose the stops one by one, counting all instances for each."""
    unavailable = {i.name for i in fleet if i.phase is not Phase.SERVING}
    by_name = {i.name: i for i in fleet}
    zones = {by_name[n].zone for n in plan.active}
    starts = []
    names = [*plan.next_stops, *plan.waiting]
    for i in sorted(
        (by_name[n] for n in names), key=lambda i: (i.zone, i.rack, i.name)
    ):
        room = wave.max_parallel - len(plan.active) - len(starts)
        if plan.state is _waves.State.CANARY:
            canaries = len(plan.active) + len(plan.done) + len(starts)
            room = min(room, wave.canary - canaries)
        after = unavailable | {i.name}
        lost = [o for o in fleet if o.name in after and o.pool == i.pool]
        size = sum(o.pool == i.pool for o in fleet)
        kept = all(
            size - len(lost) >= b.min_available
            and sum(o.zone == i.zone for o in lost)
            <= (b.max_unavailable_per_zone or len(fleet))
            for b in budgets
            if b.pool == i.pool
        )
        if (
            room > 0
            and i.name not in unavailable
            and kept
            and zones <= {i.zone}
        ):
            starts.append(i.name)
            unavailable, zones = after, {i.zone}
    return tuple(starts)


@strategies.check_many(3000)
@hypothesis.given(cases())
def test_stops_agree_with_a_naive_choice_and_waits_have_reasons(case):
    wave, fleet, budgets = case
    plan = _waves.plan_wave(wave, fleet, budgets, NOW)
    others = [*plan.next_stops, *plan.active, *plan.done, *plan.failed]
    members = [i.name for i in fleet if i.pool in wave.pools]
    assert sorted([*others, *plan.waiting]) == sorted(members)
    assert all(w.text for w in plan.waiting.values())
    if plan.state in (_waves.State.CANARY, _waves.State.RUNNING):
        assert plan.next_stops == choose_stops_naively(plan, *case)
    else:
        assert not plan.next_stops


def run_wave(wave, fleet, budgets, lose=()):
    """Execute plans until the wave is complete or halted.

    Each stop takes one minute.

    :param lose: instances that fail instead of entering maintenance
    """
    now, fleet, stop_order = NOW, {i.name: i for i in fleet}, []
    reason = ''
    for _ in range(500):
        plan = _waves.plan_wave(wave, fleet.values(), budgets, now, reason)
        reason = plan.halted_reason
        for name in plan.next_stops:
            stop_order.append(name)
            phase = Phase.FAILED if name in lose else Phase.MAINTENANCE
            operation = _waves.format_operation_id(wave.name, now)
            fleet[name] = fleet[name]._replace(
                phase=phase, operation_id=operation, since=now.isoformat()
            )
        now += MINUTE
        for name in plan.active:
            fleet[name] = fleet[name]._replace(
                phase=Phase.SERVING, since=now.isoformat()
            )
        if plan.state in (_waves.State.COMPLETE, _waves.State.HALTED):
            break
    return plan, stop_order, (now - NOW) / MINUTE


def test_stops_each_instance_once_in_the_order_of_zones():
    fleet = strategies.build_fleet('abc', 8)
    budgets = [_resources.Budget(p, p, 6) for p in 'abc']
    wave = _resources.Wave('w', ('a', 'b'), 4)
    plan, stop_order, _ = run_wave(wave, fleet, budgets)
    assert plan.state is _waves.State.COMPLETE
    by_name = {i.name: i for i in fleet}
    assert len(stop_order) == len(set(stop_order)) == 16
    zones = [by_name[n].zone for n in stop_order]
    assert zones == sorted(zones)


@pytest.mark.parametrize(
    ('lose', 'stopped'),
    # One lost canary halts the wave; after the canaries it takes two losses.
    [({'a-0'}, 1), ({'a-3'}, 16), ({'a-3', 'a-6'}, 4)],
)
def test_halts_on_losses_within_the_wave(lose, stopped):
    fleet = strategies.build_fleet('ab', 8)
    budgets = [_resources.Budget(p, p, 5) for p in 'ab']
    plan, stop_order, _ = run_wave(
        _resources.Wave('w', ('a', 'b'), 3), fleet, budgets, lose
    )
    halted = plan.state is _waves.State.HALTED
    assert halted == (stopped < 16)
    assert len(stop_order) <= stopped
    if halted:
        waits = {w.reason for w in plan.waiting.values()}
        assert waits == {_waves.WaitReason.HALTED}


@pytest.mark.parametrize(
    ('fields', 'lost'),
    [
        (('failed', 'w', 60, 55), True),
        # Failed long after its return to service, or in another wave.
        (('failed', 'w', 60, 10), False),
        (('failed', 'v', 60, 55), False),
        (('maintenance', 'w', 20, 16), True),
        (('maintenance', 'w', 20, 14), False),
    ],
)
def test_only_losses_caused_by_the_wave_halt_it(fields, lost):
    fleet = strategies.build_fleet('a', 6)
    fleet[:2] = [stop_earlier(i, *fields) for i in fleet[:2]]
    fleet[2:4] = [stop_earlier(i, 'serving') for i in fleet[2:4]]
    wave = _resources.Wave('w', ('a',))
    plan = _waves.plan_wave(wave, fleet, [], NOW)
    assert (plan.state is _waves.State.HALTED) == lost
    assert bool(plan.failed) == lost


def test_a_recorded_halt_persists_after_instances_recover():
    fleet = strategies.build_fleet('a', 6)
    wave = _resources.Wave('w', ('a',))
    plan = _waves.plan_wave(wave, fleet, [], NOW, 'two lost')
    assert plan.state is _waves.State.HALTED
    assert not plan.next_stops


@pytest.mark.parametrize(
    ('workers', 'pools'), [(30, 5), (320, 26), (3200, 264)]
)
def test_planning_stays_within_time_and_memory_limits(workers, pools):
    """Guards against a planning pass that delays the controller.

    It covers the whole fleet every few seconds.
    """
    names = tuple(f'p{k:03}' for k in range(pools))
    fleet = strategies.build_fleet(names, -(-workers // pools), 8)
    budgets = [_resources.Budget(p, p, 2) for p in names]
    wave = _resources.Wave('w', names, 16, 0)
    started = time.process_time()
    plan = _waves.plan_wave(wave, fleet, budgets, NOW)
    spent = time.process_time() - started
    tracemalloc.start()
    _waves.plan_wave(wave, fleet, budgets, NOW)
    memory = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert 1 <= len(plan.next_stops) <= 16
    assert spent < 1
    assert memory < 16 << 20
    print(f'{workers} workers: {spent * 1e3:.1f} ms, {memory >> 10} KiB')
