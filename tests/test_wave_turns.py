"""Tests of the instances that a wave takes down next, without I/O."""

import pytest

from skylarktally.scheduling import _waves
from skylarktally.scheduling import _work
from tests import pools

MEMBERS = tuple('abcdefghij')


def make_instance(id_, pool='p', state='up', worker=None):
    worker = f'w-{id_}' if worker is None else worker
    return _work.InstanceRecord(id_, pool, state, 'z1', worker, 32000)


def plan_wave(
    listed,
    done=(),
    spare=(),
    uses=None,
    elapsed=0.0,
    limit=3,
    moving=(),
    unconfirmed=None,
):
    """Plan at 100 s a wave with a duration of 20 s.

    The instances in done are up again after their maintenance.
    """
    wave = _work.Wave(1, MEMBERS, pools.seconds(20), limit)
    if uses is None:
        uses = {record.id: _waves.InstanceUsage(1, 0) for record in listed}
    return _waves.plan_wave(
        wave,
        {record.id: record for record in listed},
        _waves.WaveProgress(
            pools.seconds(100 - elapsed),
            dict.fromkeys(done, pools.seconds(10)),
            {
                id_: pools.seconds(at)
                for id_, at in (unconfirmed or {}).items()
            },
        ),
        _waves.FleetUsage(uses, spare, moving),
        pools.seconds(100),
    )


def list_ids(wave_plan):
    return [record.id for record in wave_plan.instances]


def test_a_wave_that_begins_in_a_surge_evacuates_no_worker_at_once():
    """Replays a wave over a pool whose instances are all in use.

    Up to nine of its workers got no new runs as soon as the wave began.
    """
    listed = [make_instance(id_) for id_ in MEMBERS]
    assert list_ids(plan_wave(listed)) == []


def test_spare_instances_are_taken_down_at_once():
    listed = [make_instance(id_) for id_ in MEMBERS]
    assert list_ids(plan_wave(listed, spare='hc')) == ['c', 'h']


def test_a_moving_instance_is_not_taken_down():
    listed = [make_instance(id_) for id_ in MEMBERS]
    assert list_ids(plan_wave(listed, spare='hc', moving='c')) == ['h']


@pytest.mark.parametrize(
    'duration, elapsed, expected',
    [
        (100, 0, 0),
        (100, 15, 0),
        (100, 20.5, 1),
        (100, 42, 5),
        (100, 70, 10),
        # In the rest of a short wave the last instances are emptied.
        (30, 4.5, 0),
        (30, 11, 5),
        (30, 18, 10),
        (20, 3, 0),
        (20, 6.4, 5),
        (20, 10, 10),
    ],
)
def test_all_instances_are_due_before_the_end_of_the_wave(
    duration, elapsed, expected
):
    """Guards against waves whose last instance is a few seconds late.

    On most days one instance of 74 to 98 was. The last ones were emptied up
    to seven seconds after they were due.
    """
    wave = _work.Wave(1, MEMBERS, pools.seconds(duration), 3)
    assert _waves.count_due(wave, pools.seconds(elapsed)) == expected


def test_due_instances_are_evacuated_a_few_at_a_time():
    listed = [make_instance(id_) for id_ in MEMBERS]
    assert len(plan_wave(listed, elapsed=3.5).instances) == 1
    assert len(plan_wave(listed, elapsed=6.4, done='ab').instances) == 3
    # As many as the limit allows, since the wave is late.
    assert len(plan_wave(listed, elapsed=19).instances) == 3


def test_instances_with_the_least_harm_are_taken_first():
    listed = [make_instance(id_) for id_ in 'abcdef']
    listed[5] = make_instance('f', worker='')
    uses = {
        'a': _waves.InstanceUsage(5, 2),
        'b': _waves.InstanceUsage(5, 0),
        'c': _waves.InstanceUsage(1, 0),
        # The use of d is unknown. The worker of e is being emptied already.
        'e': _waves.InstanceUsage(7, 1, is_leaving=True),
    }
    wave_plan = plan_wave(listed, uses=uses, elapsed=19, limit=6)
    assert list_ids(wave_plan) == ['e', 'f', 'c', 'b', 'a', 'd']


def test_the_pools_are_taken_in_turn():
    listed = [
        make_instance(id_, pool)
        for id_, pool in zip('abcd', 'xxyy', strict=True)
    ]
    wave_plan = plan_wave(listed, elapsed=19, limit=2)
    assert [item.pool for item in wave_plan.instances] == ['x', 'y']


@pytest.mark.parametrize(
    'states, done, headroom, is_completed',
    [
        ({}, {}, 2, False),
        ({'a': 'upkeep'}, {'a': 90}, 1, False),
        ({'a': 'upkeep', 'b': 'upkeep'}, {'a': 90, 'b': 90}, 0, False),
        # The platform may still list an instance as up after the order.
        ({}, {'a': 99.5}, 1, False),
        ({}, {'a': 90}, 2, False),
        ({}, dict.fromkeys('abcd', 90), 2, True),
        ({'d': 'down'}, dict.fromkeys('abc', 90), 2, False),
    ],
)
def test_a_wave_keeps_within_its_limit(states, done, headroom, is_completed):
    """Guards against too many instances down at once (LIMIT, MIXED)."""
    wave = _work.Wave(1, tuple('abcd'), pools.seconds(20), 2)
    listed = {
        id_: make_instance(id_, state=states.get(id_, 'up')) for id_ in 'abcd'
    }
    wave_plan = _waves.plan_wave(
        wave,
        listed,
        _waves.WaveProgress(
            pools.seconds(0),
            {id_: pools.seconds(at) for id_, at in done.items()},
            {},
        ),
        _waves.FleetUsage({}, frozenset('abcd'), ()),
        pools.seconds(100),
    )
    assert (wave_plan.headroom, wave_plan.is_completed) == (
        headroom,
        is_completed,
    )
    assert len(wave_plan.instances) <= headroom
    assert not {item.id for item in wave_plan.instances} & set(done)


def test_an_instance_that_is_not_listed_does_not_block_a_wave():
    listed = [make_instance(id_) for id_ in 'abc']
    assert plan_wave(listed, done='abc').is_completed


@pytest.mark.parametrize(
    'states, unconfirmed, headroom, expected',
    [
        # The order was executed, although there was no response.
        ({'a': 'upkeep'}, {'a': 99}, 2, ['b', 'c']),
        # The order may still be executed; it is sent again.
        ({}, {'a': 95}, 2, ['a', 'b', 'c']),
        ({}, {'a': 95, 'b': 99, 'c': 98}, 0, ['a', 'b', 'c']),
        # The order has timed out without being executed.
        ({}, {'a': 86}, 3, ['a', 'b', 'c']),
        # Down, although this wave has sent no order for it.
        ({'a': 'upkeep'}, {}, 2, ['b', 'c']),
    ],
)
def test_an_unconfirmed_order_counts_as_down(
    states, unconfirmed, headroom, expected
):
    """Guards the limit while the platform responds late or not (LIMIT).

    An order without a response was not counted, and another instance was
    taken down as well.
    """
    listed = [
        make_instance(id_, state=states.get(id_, 'up')) for id_ in MEMBERS
    ]
    wave_plan = plan_wave(listed, elapsed=19, unconfirmed=unconfirmed)
    assert wave_plan.headroom == headroom
    assert sorted(list_ids(wave_plan)) == expected
