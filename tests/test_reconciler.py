"""Guards moves and planned stops against kills, races and outages."""

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
    made = fake_controllers.FakeController(world).take_leases()
    made.finish()
    return made


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
    # A router that has not heard of the move asks as before.
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


def test_a_planned_stop_reboots_once_and_cuts_off_nothing(world, controller):
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
    # The same request again is the same stop.
    controller.drain('w1')
    controller.step(5)
    assert worker.boots == 2
    invariants.check(world)


def count_operations(name):
    """Return how many calls a whole operation takes without a kill."""
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


KILLS = [
    (name, number, side)
    for name in OPERATIONS
    for number in range(1, count_operations(name) + 1)
    for side in ('before', 'after')
]


@pytest.mark.parametrize(('name', 'number', 'side'), KILLS)
def test_another_controller_finishes_what_a_killed_one_began(
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
    heir = fake_controllers.FakeController(world, 'c2', seed=2)
    # The dead holder's beat stands still for 12 s before the heir takes
    # its shards.
    heir.step(20)
    # The operator repeats the request, whose answer was lost.
    assert get_kind(OPERATIONS[name](heir)) is None
    if name == 'cordon':
        heir.step(5)
        assert world.read_instances()['w1'].phase is Phase.CORDONED
    else:
        heir.finish()
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
def test_a_lost_answer_repeats_no_step(
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


def test_an_outage_keeps_marked_drains_enforced(world, controller):
    worker = world.get_worker('w1')
    epoch = world.read_instances()['w1'].epoch
    worker.start(epoch, 'desk-n')
    controller.drain('w1')
    world.table.down = True
    other = world.get_worker('w2')
    other.reboot()
    controller.step(6)
    # The drain holds at the worker; nothing else is decided.
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
    heir = fake_controllers.FakeController(world, 'c2', seed=2)
    heir.step(20)
    heir.move('w3', 'desk-n')
    heir.finish()
    rows = world.rows.scan('', '', 1000)
    worker = world.get_worker('w3')
    worker.reboot()
    # The paused one goes on where it was, with the state that it had: it
    # takes w3 for an unfenced worker of its old pool.
    paused.reconciler._stepper._check(instance, fresh=True)
    paused.reconciler._stepper._drain(
        instance._replace(phase=Phase.DRAINING), fresh=True
    )
    paused.reconciler.step()
    assert worker.fence is None
    assert world.rows.scan('', '', 1000) == rows
    heir.finish()
    assert worker.fence[1] == 'desk-n'


def test_a_write_of_a_former_holder_is_refused(world, controller):
    # The check of the clock alone would pass when the holder is paused
    # between the check and the write.
    fence = controller.leases.find_fencing_condition(0)
    heir = fake_controllers.FakeController(world, 'c2', seed=2)
    heir.step(20)
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
    heir = fake_controllers.FakeController(world, 'c2', seed=2)
    controller.move('w3', 'desk-n')
    before = world.read_fleet().version
    controller.calls.hooks['before commit'] = lambda: [
        (
            heir.leases.renew(),
            fake_controllers.advance_clock(world, 1),
        )
        for _ in range(30)
    ]
    # The heir has only taken the leases: the head alone would let the
    # write of the woken controller pass.
    controller.reconciler.step()
    assert heir.leases.holds(0)
    assert world.read_fleet().version == before
    heir.finish()
    invariants.check(world)


def test_a_pause_before_the_fence_call_leaves_a_restarted_worker_alone(
    world, controller
):
    # Guards against an old fence on a worker that restarts twice while
    # its controller stands still between the check and the call.
    heir = fake_controllers.FakeController(world, 'c2', seed=2)
    worker = world.get_worker('w3')
    worker.reboot()

    def run_heir():
        for _ in range(30):
            heir.leases.renew()
            fake_controllers.advance_clock(world, 1)
        heir.move('w3', 'desk-n')
        heir.finish()
        worker.reboot()

    controller.calls.hooks['before fence'] = run_heir
    controller.step(5)
    assert not controller.calls.hooks
    assert world.read_instances()['w3'].pool == 'desk-n'
    assert worker.fence is None
    heir.finish()
    invariants.check(world)


def test_a_step_based_on_an_older_epoch_is_not_taken(world, controller):
    controller.drain('w1')
    other = fake_controllers.FakeController(world, 'c2', seed=2)
    # The operator undoes the drain while the controller reads the worker.
    controller.calls.hooks['fence'] = lambda: other.call(
        lambda fleet, now: fake_controllers._transitions.return_to_service(
            fleet, 'w1', 'undone', now
        )
    )
    controller.finish()
    assert world.get_worker('w1').boots == 1
    invariants.check(world)


@pytest.mark.parametrize('restarts', [0, 1])
def test_service_waits_for_the_reboot_itself(world, controller, restarts):
    # The platform confirms the order some time before the worker goes down;
    # a worker that restarts by itself before that has a new boot id too.
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


def test_only_controllers_of_the_zone_carry_a_drain_on(world, controller):
    controller.drain('w1')
    fence = world.get_worker('w1').fence
    other = fake_controllers.FakeController(
        world, 'c9', 'z2', seed=9
    ).take_leases()
    other.step(10)
    assert world.read_instances()['w1'].phase is Phase.DRAINING
    assert world.get_worker('w1').fence == fence


def test_what_an_operator_takes_out_stays_out(world, controller):
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
def test_racing_operators_at_two_controllers(
    world, controller, first, second, expected
):
    other = fake_controllers.FakeController(world, 'c2', seed=2)
    other.journal.refresh()
    assert get_kind(OPERATIONS[first](controller)) is None
    assert get_kind(second(other)) is expected
    # Both controllers go on at once, one of them without any lease.
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
    # Probing 400 workers every 4 s took 7 % of a core; probing them
    # seldom must not make one missed probe look like a long silence, and
    # must not delay a loss that matters now.
    clock = fake_controllers.fakes.ManualClock()
    seen = _observations.WorkerMonitor(clock)
    document = fake_controllers.apis.declare_instance('w1', 'desk-n')
    document['spec'].update(accelerators=0, slots=8, connections=64)
    document['status'] = {'phase': 'serving', 'epoch': 1}
    instance = _resources.decode_instance(document)
    answer = result.Success(_workers.FenceStatus(1, 'desk-n', 0, 'b', 'e'))
    seen.record_probe(instance, answer)
    if failed:
        seen.record_counters('r', {'w1': {'successes': 0, 'failures': 0}})
        seen.record_counters('r', {'w1': {'successes': 0, 'failures': 1}})
    seen.set_probe_interval(watched, unsettled)
    made, last = 0, 0
    for second in range(1, 961):
        clock.advance(1)
        if seen.is_probe_due(instance):
            assert second - last <= longest
            last, made = second, made + 1
            seen.record_probe(instance, answer)
    assert probes <= made <= 2 * probes
    died, misses = clock.elapsed, 0
    while seen.observe(instance, 0).silent < _repairs.SILENCE_LIMIT:
        clock.advance(1)
        if seen.is_probe_due(instance):
            seen.record_probe(
                instance, fake_controllers.fakes.fail(UNREACHABLE)
            )
            misses += 1
    assert misses >= 2
    assert (clock.elapsed - died).total_seconds() <= longest + 8
