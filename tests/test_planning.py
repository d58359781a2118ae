"""Tests waves, repairs and moves that a controller starts by itself."""

import datetime

import pytest

from skylarktally import _maintenance
from skylarktally import _planning
from skylarktally import _resources
from tests import apis
from tests import fake_controllers
from tests import invariants

Phase = fake_controllers.Phase
BUSY = (Phase.DRAINING, Phase.STOPPING, Phase.MAINTENANCE)


def declare_fleet(workers=6, spare=2, min_available=4, **wave):
    documents = [
        apis.declare('pool', 'desk', team='north'),
        apis.declare('pool', 'spare', team='shared', spare=True),
        apis.declare('job', 'codes', pool='desk'),
        apis.declare(
            'budget', 'desk', pool='desk', min_available=min_available
        ),
    ]
    for number in range(1, workers + spare + 1):
        pool = 'desk' if number <= workers else 'spare'
        rack = f'r{number % 2}'
        documents.append(
            apis.declare_instance(
                f'w{number}', pool, rack=rack, port=9000 + number
            )
        )
    if wave:
        documents.append(apis.declare('wave', 'reboot', **wave))
    return documents


def build(**options):
    world = fake_controllers.build_world(declare_fleet(**options))
    controller = fake_controllers.FakeController(world).take_leases()
    controller.step(3)
    return world, controller


def get_wave(world):
    return world.read_fleet().find(fake_controllers.Kind.WAVE, 'reboot')[
        'status'
    ]


def read_wave_seconds(controller):
    read = controller.metrics.registry.get_sample_value
    name = 'skylarktally_wave_seconds'
    return read(f'{name}_count'), read(f'{name}_sum')


def run_wave(world, controller, passes, until='complete'):
    for _ in range(passes):
        world.finish_reboots()
        controller.step()
        if get_wave(world).get('phase') == until:
            return
    raise AssertionError(get_wave(world))


def test_a_wave_reboots_each_instance_once_within_the_budget():
    world, controller = build(pools=['desk', 'spare'], max_parallel=3)
    run_wave(world, controller, 900)
    assert [w.boots for w in world.workers.values()] == [2] * 8
    status = get_wave(world)
    assert status['done'] == 8
    duration = datetime.datetime.fromisoformat(
        status['completed_at']
    ) - datetime.datetime.fromisoformat(status['started_at'])
    assert read_wave_seconds(controller) == (1, duration.total_seconds())
    # Further passes over the complete wave must not count it again.
    controller.step(10)
    assert read_wave_seconds(controller)[0] == 1
    invariants.check(world)


def test_a_wave_halts_on_failures_and_resumes_under_another_controller():
    # The second controller knows the wave's state from the log only, without
    # the memory of the first one.
    world, controller = build(pools=['desk'], max_parallel=2, canary=0)
    lost = []
    for _ in range(100):
        controller.step()
        stopped = [w for w in world.workers.values() if not w.is_up]
        for worker in stopped:
            worker.reboot()
            if len(lost) < 2 and worker.name not in lost:
                # It responds for three passes after the reboot, then fails.
                lost.append(worker.name)
                worker.is_up = True
                controller.step(3)
                worker.is_up = False
            elif worker.name not in lost:
                worker.is_up = True
        if get_wave(world).get('phase') == 'halted':
            break
    status = get_wave(world)
    assert (status['phase'], len(status['failed'])) == ('halted', 2)
    started = sum(bool(i.operation_id) for i in list_instances(world))
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    successor.step(40)
    assert sum(bool(i.operation_id) for i in list_instances(world)) == started
    # The repair of the workers does not resume the wave. The operator has
    # to declare it again.
    world.finish_reboots()
    successor.step(60)
    assert get_wave(world)['phase'] == 'halted'
    api = apis.ApiHarness(world.table, 'api2', seed=5)
    wave = apis.declare('wave', 'reboot', pools=['desk'], max_parallel=1)
    assert api.apply(wave)[0] == 200
    run_wave(world, successor, 900)
    operations = [i.operation_id for i in list_instances(world)[:6]]
    assert all(o.startswith('wave/reboot/') for o in operations)
    invariants.check(world)


def test_controllers_of_two_zones_keep_a_wave_to_its_limit():
    # A zone that planned a stop before it read the other zone's stop must
    # notice that one in its own transaction.
    documents = declare_fleet(workers=2, spare=0, min_available=0)
    documents.append(
        apis.declare_instance('w3', 'desk', zone='a-first', port=9003)
    )
    wave = apis.declare('wave', 'reboot', pools=['desk'], canary=0)
    world = fake_controllers.build_world([*documents, wave])
    zones = ('z1', 'a-first')
    first, second = (
        fake_controllers.FakeController(world, zone, zone, seed).take_leases()
        for seed, zone in enumerate(zones, start=1)
    )
    for controller in (first, second):
        controller.journal.refresh()
        controller.reconciler._stepper.update_fence('w1')
    world.get_worker('w3').running.append((1, 'desk'))
    plan = first.fleet.find(fake_controllers.Kind.WAVE, 'reboot')
    second.step()
    wave_runner = _maintenance.WaveRunner(first.dependencies, first.metrics)
    wave_runner._begin_stop(plan['name'], 'w1')
    busy = [i.name for i in list_instances(world) if i.phase in BUSY]
    assert busy == ['w3']


def list_instances(world):
    return sorted(world.read_instances().values())


def test_a_silent_worker_fails_and_returns():
    world, controller = build()
    worker = world.get_worker('w1')
    worker.is_up = False
    controller.step(20)
    failed = world.read_instances()['w1']
    assert failed.phase is Phase.FAILED
    # A router that has not learned of the failure must not use the former
    # fence.
    worker.is_up = True
    controller.finish()
    assert worker.fence[0] > failed.epoch - 1
    assert controller.explanations.find('instance', 'w1')


def test_no_losses_are_recorded_when_every_worker_is_silent():
    world, controller = build()
    for worker in world.workers.values():
        worker.is_up = False
    controller.step(40)
    phases = {i.phase for i in list_instances(world)}
    assert phases == {Phase.SERVING}


def report(controller, router, name, successes, failures):
    counts = {'successes': successes, 'failures': failures}
    controller.worker_monitor.record_counters(router, {name: counts})


def test_a_worker_that_fails_every_task_is_cordoned_for_growing_times():
    world, controller = build(min_available=2)
    cordons = []
    failures = 0
    report(controller, 'r1', 'w1', 50, failures)
    for _ in range(400):
        instance = world.read_instances()['w1']
        if instance.phase is Phase.SERVING:
            failures += 5
            report(controller, 'r1', 'w1', 50, failures)
        elif instance.phase is Phase.CORDONED:
            if not cordons or cordons[-1][0] != instance.epoch:
                cordons.append((instance.epoch, world.clock.elapsed))
        controller.step()
        world.finish_reboots()
    # It is rebooted after each cordon and then fails its tasks again.
    assert world.get_worker('w1').boots >= len(cordons)
    intervals = [
        (b[1] - a[1]).total_seconds()
        for a, b in zip(cordons, cordons[1:], strict=False)
    ]
    assert len(intervals) >= 2
    assert intervals == sorted(intervals)
    assert intervals[-1] >= 1.8 * intervals[0]
    invariants.check(world)


def test_a_worker_with_some_success_is_not_cordoned():
    world, controller = build()
    for count in range(30):
        report(controller, 'r1', 'w1', 50 + count, 20 * count)
        controller.step()
    assert world.read_instances()['w1'].phase is Phase.SERVING


@pytest.mark.parametrize(
    ('is_router_known', 'phase'), [(True, 'cordoned'), (False, 'serving')]
)
def test_first_failures_count_only_at_a_known_router(is_router_known, phase):
    # A router ejects a worker after five failures, and then sends single
    # tasks only. If the first five were ignored, the cordon would come late.
    world, controller = build(min_available=2)
    for router in ('r1', 'r2'):
        if is_router_known:
            controller.worker_monitor.record_counters(router, {})
        report(controller, router, 'w1', 0, 5)
    controller.step(2)
    assert world.read_instances()['w1'].phase.value == phase


def test_failures_count_from_the_last_success():
    world, controller = build()
    successes = failures = 0
    for turn in range(40):
        failures += 8 * (turn % 2)
        successes += 1 - turn % 2
        report(controller, 'r1', 'w1', successes, failures)
        controller.step()
    assert world.read_instances()['w1'].phase is Phase.SERVING


def observe(controller, deferrable=0, seconds=1.0, **slots):
    """Report work of this many slots, in requests of the given length."""
    pools = {
        pool: {
            'queue_length': (count + deferrable) / seconds,
            'arrival_rate': (count + deferrable) / seconds,
            'running': 0,
            'refused': 0,
            'load': count + deferrable,
            'deferrable_queue_length': deferrable / seconds,
            'deferrable_arrival_rate': deferrable / seconds,
            'deferrable_running': 0,
            'deferrable_load': deferrable,
        }
        for pool, count in slots.items()
    }
    controller.demand.record_report('r1', {'pools': pools})


@pytest.mark.parametrize('seconds', [1.0, 10.0])
def test_spare_instances_move_to_lasting_demand_and_stay_within_limits(
    seconds,
):
    # The job declares 1 s; the demand uses the times that routers measure.
    world, controller = build(workers=2, spare=3, min_available=2)
    for _ in range(60):
        observe(controller, seconds=seconds, desk=200)
        world.finish_reboots()
        controller.step()
    pools = [i.pool for i in list_instances(world)]
    assert pools.count('desk') == 5
    # After the demand ends, nothing moves back without new demand.
    version = world.read_fleet().version
    for _ in range(30):
        observe(controller, desk=1)
        controller.step()
    assert world.read_fleet().version == version
    invariants.check(world)


@pytest.mark.parametrize(('deferrable', 'expected'), [(20, 3), (0, 2)])
def test_a_spare_instance_moves_to_lasting_deferrable_work(
    deferrable, expected
):
    world, controller = build(workers=2, spare=3, min_available=2)
    # Eight slots of urgent requests with a mean of 1 s; the other work is
    # deferrable.
    for _ in range(75):
        observe(controller, deferrable=deferrable, desk=8)
        world.finish_reboots()
        controller.step()
    pools = [i.pool for i in list_instances(world)]
    assert pools.count('desk') == expected
    invariants.check(world)


@pytest.mark.parametrize(
    ('elsewhere', 'expected'),
    [
        ([], (4, 2)),
        ([Phase.SERVING] * 3, (1, 2)),
        ([Phase.SERVING, Phase.FAILED], (3, 1)),
    ],
)
def test_budgets_of_a_zone_count_the_other_zones(elsewhere, expected):
    instances = [
        _resources.Instance(
            f'w{n}', 'desk', 'z2', 'r', '', 1.0, 1, 0, 8, 64, phase, 1
        )
        for n, phase in enumerate(elsewhere)
    ]
    budget = _resources.Budget('desk', 'desk', 4, 2)
    (zone_budget,) = _planning.derive_zone_budgets([budget], instances, 'z1')
    assert (zone_budget.min_available, zone_budget.max_unavailable) == expected
