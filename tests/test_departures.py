"""Tests how controllers follow the platform's list of instances.

Guards against new work for instances that the platform is about to stop.
"""

import datetime

import pytest

from skylarktally import _departures
from skylarktally import _errors
from skylarktally import _instances
from skylarktally import _resources
from tests import apis
from tests import fake_controllers
from tests import fakes
from tests import invariants

Action = _departures.Action
Phase = fake_controllers.Phase
DESK = 'desk'
DOCUMENTS = [
    apis.declare('pool', DESK, team='north'),
    apis.declare('budget', DESK, pool=DESK, min_available=3),
    *(
        apis.declare_instance(f'w{n}', DESK, rack=f'r{n}', port=9000 + n)
        for n in (1, 2, 3)
    ),
]


def make_listed_instance(
    name='w1', state='live', address='127.0.0.1:9001', zone='z1'
):
    return _instances.ListedInstance(
        name, zone, 'r1', address, state, 32, 64 << 30, 0, 8, 64
    )


@pytest.fixture
def world():
    return fake_controllers.build_world(DOCUMENTS)


@pytest.fixture
def controller(world):
    first = fake_controllers.FakeController(world).take_leases()
    first.finish()
    # The list must be newer than the phases by more than the clock margin.
    first.step(10)
    return first


@pytest.mark.parametrize(
    ('phase', 'departing', 'state', 'address', 'age', 'expected'),
    [
        ('serving', None, 'live', '127.0.0.1:9001', 60, None),
        ('serving', None, 'leaving', '127.0.0.1:9001', 60, Action.LEAVE),
        # A list older than the phase may show a reboot that was ordered here.
        ('serving', None, 'leaving', '127.0.0.1:9001', -1, None),
        # The list is not newer by more than the clock margin of 5 s.
        ('serving', None, 'leaving', '127.0.0.1:9001', 4, None),
        ('draining', None, 'leaving', '127.0.0.1:9001', 60, None),
        ('stopping', None, 'leaving', '127.0.0.1:9001', 60, None),
        ('maintenance', None, 'live', '127.0.0.1:9001', 60, None),
        ('cordoned', None, 'live', '127.0.0.1:9001', 60, None),
        ('cordoned', True, 'leaving', '127.0.0.1:9001', 60, None),
        ('cordoned', True, 'live', '127.0.0.1:9001', 60, Action.RELIST),
        ('failed', None, 'live', '127.0.0.1:9001', 60, None),
        ('failed', None, 'live', '127.0.0.1:9009', 60, Action.RELIST),
        # A serving instance takes a new address only after it has failed.
        ('serving', None, 'live', '127.0.0.1:9009', 60, None),
    ],
)
def test_listing_changes(phase, departing, state, address, age, expected):
    since = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    resource = _resources.Resource(
        kind='instance',
        name='w1',
        spec={'zone': 'z1', 'address': '127.0.0.1:9001'},
        status={
            'phase': phase,
            'departing': departing,
            'since': since.isoformat(),
        },
        resource_version=1,
    )
    listing = _instances.InstanceList(
        (make_listed_instance(state=state, address=address),),
        since + datetime.timedelta(seconds=age),
    )
    planned = _departures.plan_listing_changes([resource], listing)
    assert [d.action for d in planned] == ([expected] if expected else [])


def test_a_leaving_instance_gets_no_new_work_and_finishes_its_tasks(
    world, controller
):
    worker, before = world.get_worker('w1'), world.read_instances()['w1']
    assert worker.start(before.epoch, DESK)
    world.listed['z1'] = [make_listed_instance(state='leaving')]
    controller.step(3)
    # The instance drains although the budget of the pool is exhausted,
    # because the platform does not ask.
    assert world.read_instances()['w1'].phase is Phase.DRAINING
    assert not worker.start(before.epoch, DESK)
    worker.finish()
    controller.step(120)
    assert world.read_instances()['w1'].phase is Phase.CORDONED
    assert worker.interrupted == 0
    # It counts as unavailable when other stops are checked.
    refused = controller.drain('w2').failure()
    assert refused.kind is _errors.ErrorKind.BUDGET_EXHAUSTED
    invariants.check(world)


def test_an_instance_listed_as_live_again_returns_to_service(
    world, controller
):
    world.listed['z1'] = [make_listed_instance(state='leaving')]
    controller.step(10)
    assert world.read_instances()['w1'].phase is Phase.CORDONED
    world.listed['z1'] = [make_listed_instance()]
    controller.step(30)
    assert world.read_instances()['w1'].phase is Phase.SERVING
    assert 'w1' in {i for i in world.read_instances()}
    invariants.check(world)


def test_a_replaced_instance_serves_at_its_new_address(world, controller):
    # The platform restarts or replaces 450 instances on an ordinary day.
    world.get_worker('w1').is_up = False
    controller.step(30)
    assert world.read_instances()['w1'].phase is Phase.FAILED
    new = world.add_worker(9101)
    world.listed['z1'] = [make_listed_instance(address='127.0.0.1:9101')]
    controller.step(30)
    instance = world.read_instances()['w1']
    assert (instance.phase, instance.pool) == (Phase.SERVING, DESK)
    assert instance.address == '127.0.0.1:9101'
    assert new.fence == (instance.epoch, DESK)


def test_an_outdated_list_that_shows_an_ordered_reboot_is_ignored(
    world, controller
):
    world.list_lag = datetime.timedelta(seconds=60)
    world.listed['z1'] = [
        make_listed_instance('w2', 'leaving', '127.0.0.1:9002')
    ]
    controller.call(
        lambda fleet, now: fakes.result.Success(
            [
                _resources.Change(
                    kind='budget',
                    name=DESK,
                    value=None,
                )
            ]
        )
    )
    controller.drain('w2')
    controller.finish()
    controller.step(30)
    assert world.read_instances()['w2'].phase is Phase.SERVING
    assert len(world.reboots) == 1


def test_controllers_of_other_zones_ignore_the_list(world, controller):
    other = fake_controllers.FakeController(
        world, 'c9', 'z2', seed=9
    ).take_leases()
    world.listed['z2'] = [make_listed_instance(state='leaving', zone='z2')]
    other.step(10)
    assert world.read_instances()['w1'].phase is Phase.SERVING
