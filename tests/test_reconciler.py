"""Tests moves, planned stops and probes through kills, races and outages.

They run controllers in one process over a simulated table, platform and
workers; see tests/fake_controllers.py.
"""

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _observations
from skylarktally import _repairs
from skylarktally import _resources
from skylarktally import _workers
from tests import fake_controllers
from tests import invariants

ErrorKind = _errors.ErrorKind
Phase = fake_controllers.Phase
UNREACHABLE = ErrorKind.WORKER_UNREACHABLE


@pytest.fixture
def world():
    return fake_controllers.build_world()


@pytest.fixture
def controller(world):
    first = fake_controllers.FakeController(world).take_leases()
    first.finish()
    return first


def get_kind(outcome):
    return (
        None
        if isinstance(outcome, result.Success)
        else (outcome.failure().kind)
    )


OPERATIONS = {
    'move': lambda c: c.move('w3', 'desk-n'),
    'stop': lambda c: c.drain('w1'),
    'cordon': lambda c: c.drain('w1', then='cordon'),
}


def test_a_declared_worker_is_fenced(world, controller):
    for instance in world.read_instances().values():
        worker = world.workers[instance.address]
        assert worker.fence == (instance.epoch, instance.pool)


def test_a_move_waits_for_the_last_task(world, controller):
    worker = world.get_worker('w3')
    before = world.read_instances()['w3']
    assert worker.start(before.epoch, 'desk-s')
    controller.move('w3', 'desk-n')
    controller.step(5)
    # A router that does not know of the move yet uses the old epoch.
    assert not worker.start(before.epoch, 'desk-s')
    assert world.read_instances()['w3'].pool == 'desk-s'
    worker.finish()
    controller.finish()
    after = world.read_instances()['w3']
    assert (after.pool, after.epoch) == ('desk-n', before.epoch + 2)
    invariants.check(world)


def test_a_move_that_cannot_empty_its_instance_is_undone(world, controller):
    worker = world.get_worker('w3')
    before = world.read_instances()['w3']
    worker.start(before.epoch, 'desk-s')
    controller.move('w3', 'desk-n')
    controller.step(70)
    after = world.read_instances()['w3']
    assert (after.pool, after.phase) == ('desk-s', Phase.SERVING)
    assert worker.fence == (before.epoch + 2, 'desk-s')
    assert worker.interrupted == 0


def test_a_planned_stop_reboots_once_and_interrupts_no_task(world, controller):
    worker = world.get_worker('w1')
    before = world.read_instances()['w1']
    worker.start(before.epoch, 'desk-n')
    controller.drain('w1')
    controller.step(5)
    assert worker.boots == 1
    worker.finish()
    controller.finish()
    after = world.read_instances()['w1']
    assert (worker.boots, worker.interrupted) == (2, 0)
    assert after.epoch == before.epoch + 4
    # A repeated request with the same operation id starts no second stop.
    controller.drain('w1')
    controller.step(5)
    assert worker.boots == 2
    invariants.check(world)


def count_calls(name):
    """Return the number of calls that an undisturbed operation makes."""
    world = fake_controllers.build_world()
    controller = fake_controllers.FakeController(world).take_leases()
    controller.finish()
    controller.calls.count = 0
    OPERATIONS[name](controller)
    if name == 'cordon':
        controller.step(3)
    else:
        controller.finish()
    return controller.calls.count


KILL_POINTS = [
    (name, number, side)
    for name in OPERATIONS
    for number in range(1, count_calls(name) + 1)
    for side in ('before', 'after')
]


@pytest.mark.parametrize(('name', 'number', 'side'), KILL_POINTS)
def test_another_controller_finishes_an_operation_of_a_killed_one(
    world, controller, name, number, side
):
    before = world.read_instances()
    controller.calls.count = 0
    controller.calls.kill_at = (number, side)
    with pytest.raises(fake_controllers.Killed):
        OPERATIONS[name](controller)
        for _ in range(60):
            world.finish_reboots()
            controller.step()
    invariants.check(world)
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    # The successor takes the shards once the heartbeat of the killed
    # controller has not changed for 12 s.
    successor.step(20)
    # The operator repeats the request, because the response was lost.
    assert get_kind(OPERATIONS[name](successor)) is None
    if name == 'cordon':
        successor.step(5)
        assert world.read_instances()['w1'].phase is Phase.CORDONED
    else:
        successor.finish()
    invariants.check(world)
    after = world.read_instances()
    moved = {'move': 'w3'}.get(name, 'w1')
    steps = {'move': 2, 'stop': 4, 'cordon': 2}[name]
    assert after[moved].epoch == before[moved].epoch + steps
    assert world.get_worker('w1').boots == (2 if name == 'stop' else 1)
    assert after['w3'].pool == ('desk-n' if name == 'move' else 'desk-s')


FAULTS = ['drop', 'lose', 'duplicate', 'refuse', 'limit']


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('position', range(4))
@pytest.mark.parametrize('name', ['move', 'stop'])
def test_a_lost_response_repeats_no_step(
    world, controller, name, position, fault
):
    before = world.read_instances()
    assert get_kind(OPERATIONS[name](controller)) is None
    world.table.faults = [None] * position + [fault]
    controller.finish()
    after = world.read_instances()
    moved, steps = {'move': ('w3', 2), 'stop': ('w1', 4)}[name]
    assert after[moved].epoch == before[moved].epoch + steps
    assert world.get_worker('w1').boots == (2 if name == 'stop' else 1)
    invariants.check(world)


def test_drains_stay_enforced_during_a_table_outage(world, controller):
    worker = world.get_worker('w1')
    epoch = world.read_instances()['w1'].epoch
    worker.start(epoch, 'desk-n')
    controller.drain('w1')
    world.table.down = True
    other = world.get_worker('w2')
    other.reboot()
    controller.step(6)
    # The drain is enforced at the worker; nothing else is decided.
    assert worker.fence == (epoch + 1, 'desk-n')
    assert other.fence is None
    assert world.read_instances()['w1'].phase is Phase.DRAINING
    worker.finish()
    controller.step(20)
    assert worker.boots == 1
    world.table.down = False
    controller.finish()
    assert worker.boots == 2
    invariants.check(world)


def test_a_paused_controller_changes_nothing_when_it_wakes(world, controller):
    paused = controller
    state = paused.fleet.find(fake_controllers.Kind.INSTANCE, 'w3')
    instance = fake_controllers._resources.decode_instance(state)
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    successor.step(20)
    successor.move('w3', 'desk-n')
    successor.finish()
    rows = world.rows.scan('', '', 1000)
    worker = world.get_worker('w3')
    worker.reboot()
    # The paused controller resumes with its outdated state: it sees w3 as
    # an unfenced worker of its old pool.
    paused.reconciler._stepper._check(instance, fresh=True)
    paused.reconciler._stepper._drain(
        instance._replace(phase=Phase.DRAINING), fresh=True
    )
    paused.reconciler.step()
    assert worker.fence is None
    assert world.rows.scan('', '', 1000) == rows
    successor.finish()
    assert worker.fence[1] == 'desk-n'


def test_a_write_of_a_former_holder_is_refused(world, controller):
    # A holder that is paused between checking its lease and writing passes
    # the check by the clock; the fencing condition must stop the write.
    fence = controller.leases.find_fencing_condition(0)
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    successor.step(20)
    change = controller.fleet.find(fake_controllers.Kind.INSTANCE, 'w3')
    outcome = controller.journal.transact(
        lambda fleet: result.Success(
            [
                fake_controllers._transitions.serve(
                    change, world.clock.now(), 'late'
                )
            ]
        ),
        [fence],
    )
    assert get_kind(outcome) is ErrorKind.LEASE_LOST


def test_a_pause_between_check_and_write_changes_nothing(world, controller):
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    controller.move('w3', 'desk-n')
    before = world.read_fleet().version
    controller.calls.hooks['before commit'] = lambda: [
        (
            successor.leases.renew(),
            fake_controllers.advance_clock(world, 1),
        )
        for _ in range(30)
    ]
    # The successor has taken the leases but written no log entry: the
    # condition on the head of the log alone would let the write pass.
    controller.reconciler.step()
    assert successor.leases.holds(0)
    assert world.read_fleet().version == before
    successor.finish()
    invariants.check(world)


def test_a_pause_before_the_fence_call_leaves_a_restarted_worker_alone(
    world, controller
):
    # Guards against an outdated fence on a worker that restarts twice while
    # its controller is paused between the check of its lease and the call.
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    worker = world.get_worker('w3')
    worker.reboot()

    def run_successor():
        for _ in range(30):
            successor.leases.renew()
            fake_controllers.advance_clock(world, 1)
        successor.move('w3', 'desk-n')
        successor.finish()
        worker.reboot()

    controller.calls.hooks['before fence'] = run_successor
    controller.step(5)
    assert not controller.calls.hooks
    assert world.read_instances()['w3'].pool == 'desk-n'
    assert worker.fence is None
    successor.finish()
    invariants.check(world)


def test_a_step_based_on_an_older_epoch_is_discarded(world, controller):
    controller.drain('w1')
    other = fake_controllers.FakeController(world, 'c2', seed=2)
    # The operator undoes the drain right after the controller has raised
    # the fence, so its next step is based on an outdated epoch.
    controller.calls.hooks['fence'] = lambda: other.call(
        lambda fleet, now: fake_controllers._transitions.return_to_service(
            fleet, 'w1', 'undone', now
        )
    )
    controller.finish()
    assert world.get_worker('w1').boots == 1
    invariants.check(world)


@pytest.mark.parametrize('restarts', [0, 1])
def test_an_instance_serves_only_after_its_ordered_reboot(
    world, controller, restarts
):
    # The platform confirms a reboot some time before the worker goes down.
    # A worker that restarts by itself before that has a new boot id too,
    # which must not count as the reboot.
    world.pending_reboots = []
    worker = world.get_worker('w1')
    controller.drain('w1')
    while not world.pending_reboots:
        controller.step()
    for _ in range(restarts):
        worker.reboot()
    controller.step()
    assert world.read_instances()['w1'].phase is Phase.MAINTENANCE
    worker.reboot()
    controller.finish()
    assert worker.boots == 2 + restarts


def test_a_zone_that_is_cut_off_makes_no_change(world, controller):
    world.cut_off_zones.add('z1')
    before = world.rows.scan('', '', 1000)
    fences = {w.name: list(w.fences) for w in world.workers.values()}
    world.get_worker('w2').is_up = False
    controller.step(30)
    assert world.rows.scan('', '', 1000) == before
    assert fences == {w.name: w.fences for w in world.workers.values()}
    # Controllers of other zones leave the zone's instances alone.
    other = fake_controllers.FakeController(world, 'c9', 'z2', seed=9)
    other.step(30)
    assert {k: v for k, v in world.read_instances().items()} == {
        i.name: i for i in controller.fleet.find_instances()
    }


def test_only_controllers_of_the_zone_continue_a_drain(world, controller):
    controller.drain('w1')
    fence = world.get_worker('w1').fence
    other = fake_controllers.FakeController(
        world, 'c9', 'z2', seed=9
    ).take_leases()
    other.step(10)
    assert world.read_instances()['w1'].phase is Phase.DRAINING
    assert world.get_worker('w1').fence == fence


def test_an_instance_cordoned_by_an_operator_stays_cordoned(world, controller):
    controller.drain('w1', then='cordon')
    controller.step(150)
    assert world.read_instances()['w1'].phase is Phase.CORDONED
    controller.call(
        lambda fleet, now: fake_controllers._transitions.return_to_service(
            fleet, 'w1', 'inspected', now
        )
    )
    controller.finish()
    invariants.check(world)


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ('move', lambda c: c.move('w3', 'desk-n'), None),
        ('move', lambda c: c.drain('w3'), ErrorKind.CONFLICT),
        ('stop', lambda c: c.drain('w1', 'op-2'), ErrorKind.CONFLICT),
        ('stop', lambda c: c.drain('w2', 'op-2'), ErrorKind.BUDGET_EXHAUSTED),
        ('stop', lambda c: c.move('w2', 'desk-s'), ErrorKind.BUDGET_EXHAUSTED),
    ],
)
def test_concurrent_requests_at_two_controllers(
    world, controller, first, second, expected
):
    other = fake_controllers.FakeController(world, 'c2', seed=2)
    other.journal.refresh()
    assert get_kind(OPERATIONS[first](controller)) is None
    assert get_kind(second(other)) is expected
    # Both controllers continue together, one of them without a lease.
    for _ in range(10):
        world.finish_reboots()
        controller.step(seconds=0.5)
        other.step(seconds=0.5)
    controller.finish()
    invariants.check(world)


def test_a_restarted_worker_is_fenced_again(world, controller):
    worker = world.get_worker('w2')
    worker.reboot()
    controller.step(6)
    assert worker.fence is not None
    assert len(worker.fences) == 2


@pytest.mark.parametrize(
    ('watched', 'unsettled', 'failed', 'longest', 'probes'),
    [
        (16, (), False, 4, 240),
        (133, (), False, 30, 32),
        (133, ('desk-n',), False, 4, 240),
        (133, (), True, 4, 240),
        (1600, (), False, 30, 32),
    ],
)
def test_the_loss_of_an_idle_worker_is_noticed_at_every_size(
    watched, unsettled, failed, longest, probes
):
    # Probing 400 workers every 4 s took 7 % of a core, so the interval grows
    # with their number. With a long interval, one missed probe must not
    # count as unresponsive, and a pool with instances out of service or a
    # worker with failed requests must still be probed at the short one.
    clock = fake_controllers.fakes.ManualClock()
    worker_monitor = _observations.WorkerMonitor(clock)
    document = fake_controllers.apis.declare_instance('w1', 'desk-n')
    document['spec'].update(accelerators=0, slots=8, connections=64)
    document['status'] = {'phase': 'serving', 'epoch': 1}
    instance = _resources.decode_instance(document)
    fence_status = result.Success(
        _workers.FenceStatus(1, 'desk-n', 0, 'b', 'e')
    )
    worker_monitor.record_probe(instance, fence_status)
    if failed:
        worker_monitor.record_counters(
            'r', {'w1': {'successes': 0, 'failures': 0}}
        )
        worker_monitor.record_counters(
            'r', {'w1': {'successes': 0, 'failures': 1}}
        )
    worker_monitor.set_probe_interval(watched, unsettled)
    probe_count, last = 0, 0
    for second in range(1, 961):
        clock.advance(1)
        if worker_monitor.is_probe_due(instance):
            assert second - last <= longest
            last, probe_count = second, probe_count + 1
            worker_monitor.record_probe(instance, fence_status)
    assert probes <= probe_count <= 2 * probes
    died_at, misses = clock.elapsed, 0
    while worker_monitor.observe(instance, 0).silent < _repairs.SILENCE_LIMIT:
        clock.advance(1)
        if worker_monitor.is_probe_due(instance):
            worker_monitor.record_probe(
                instance, fake_controllers.fakes.fail(UNREACHABLE)
            )
            misses += 1
    assert misses >= 2
    assert (clock.elapsed - died_at).total_seconds() <= longest + 8
