"""Tests batch runs: recorded before the start, repeated if idempotent."""

import collections

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _runs
from skylarktally import _workers
from tests import apis
from tests import fake_controllers
from tests import fakes

State = _runs.State


def build(idempotent, runs=3, **spec):
    world = fake_controllers.build_world(
        [
            apis.declare('pool', 'desk', team='north'),
            apis.declare(
                'job',
                'notices',
                pool='desk',
                mode='batch',
                runs=runs,
                idempotent=idempotent,
                urgency='deferrable',
                **spec,
            ),
            apis.declare_instance('w1', 'desk', port=9001),
            apis.declare_instance('w2', 'desk', port=9002, rack='r2'),
        ]
    )
    controller = fake_controllers.FakeController(world).take_leases()
    # This pass only fences the workers; the next one starts the first runs.
    controller.batch._stepped_at = world.clock.monotonic()
    controller.step(1, seconds=0)
    controller.batch._stepped_at = None
    assert fake_controllers.is_settled(world)
    assert count_started(world) == 0
    return world, controller


def read_runs(world):
    table = fakes.FaultyTable(world.rows)
    return _runs.RunTable(table).list().unwrap()


def find_job(world):
    return world.read_fleet().find(fake_controllers.Kind.JOB, 'notices')


def count_started(world):
    return sum(len(worker.tasks) for worker in world.workers.values())


def test_every_run_starts_once_and_is_recorded():
    world, controller = build(idempotent=False, runs=5)
    controller.step(20)
    assert [r.state for r in read_runs(world)] == [State.FINISHED] * 5
    assert count_started(world) == 5


@pytest.mark.parametrize('idempotent', [False, True])
@pytest.mark.parametrize('side', ['before', 'after'])
@pytest.mark.parametrize('number', range(1, 12))
def test_only_idempotent_runs_may_start_again_after_a_kill(
    idempotent, side, number
):
    world, controller = build(idempotent)
    controller.calls.count = 0
    controller.calls.kill_at = (number, side)
    with pytest.raises(fake_controllers.Killed):
        controller.step(10)
    successor = fake_controllers.FakeController(world, 'c2', seed=2)
    successor.step(120)
    runs = read_runs(world)
    started = count_started(world)
    if idempotent:
        assert [r.state for r in runs] == [State.FINISHED] * 3
    else:
        # A run whose task may have been sent is not sent again.
        states = collections.Counter(r.state for r in runs)
        assert states[State.FINISHED] >= 2
        assert len(runs) == 3
        assert started == states[State.FINISHED]
    assert 2 <= started <= 4


@pytest.mark.parametrize('fault', ['drop', 'lose', 'delay', 'refuse'])
def test_a_lost_response_to_the_write_of_a_row_starts_no_run_twice(fault):
    world, controller = build(idempotent=False, runs=1)
    world.table.faults = [fault] * 3
    controller.batch.step()
    world.table.faults = []
    while world.table.delayed:
        world.table.deliver()
    controller.step(60)
    assert count_started(world) <= 1
    assert len(read_runs(world)) == 1


def test_two_zones_do_not_start_the_same_run():
    world, controller = build(idempotent=False, runs=1)
    other = fake_controllers.FakeController(world, 'c2', seed=2)
    other.leases = controller.leases
    other.dependencies = other.dependencies._replace(leases=controller.leases)
    other.batch._dependencies = other.dependencies
    other.journal.refresh()
    # Both controllers have read an empty table when they write the row.
    controller.calls.hooks['before commit'] = other.batch.step
    controller.batch.step()
    assert count_started(world) == 1


class ScriptedTaskEnds:
    """Replaces the ends of the first tasks by given ones."""

    def __init__(self, controller, *ends):
        self._ends = list(ends)
        self._run = controller.calls.run_task
        controller.calls.run_task = self.run

    def run(self, address, lease_id, task):
        end = self._ends.pop(0) if self._ends else None
        return end or self._run(address, lease_id, task)


def end(started, status):
    return result.Success(_workers.TaskResult(started, status))


@pytest.mark.parametrize(
    ('idempotent', 'task_end', 'state', 'attempt'),
    [
        (False, end(False, 409), State.FINISHED, 1),
        (True, end(False, 409), State.FINISHED, 1),
        (False, end(True, 500), State.FINISHED, 1),
        (True, end(True, 500), State.FINISHED, 2),
        (
            False,
            fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE),
            State.LOST,
            1,
        ),
        (
            True,
            fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE),
            State.FINISHED,
            2,
        ),
    ],
)
def test_the_end_of_a_task_decides_whether_the_run_is_repeated(
    idempotent, task_end, state, attempt
):
    world, controller = build(idempotent, runs=1)
    ScriptedTaskEnds(controller, task_end)
    controller.step(80)
    (run,) = read_runs(world)
    assert (run.state, run.attempt) == (state, attempt)


def test_a_run_that_always_fails_is_not_repeated_forever():
    world, controller = build(idempotent=True, runs=1)
    ScriptedTaskEnds(controller, *[end(True, 500)] * 50)
    controller.step(100)
    (run,) = read_runs(world)
    assert (run.status, run.attempt) == (500, _runs.ATTEMPTS_LIMIT)


@pytest.mark.parametrize('mode', ['batch', 'request'])
def test_a_job_that_can_never_run_is_explained(mode):
    world, controller = build(idempotent=True, accelerators=4)
    api = apis.ApiHarness(world.table, 'api2', seed=5)
    job = find_job(world)
    assert api.apply({**job, 'spec': {**job['spec'], 'mode': mode}})[0] == 200
    controller.step(5)
    assert read_runs(world) == []
    record = controller.explanations.find('job', 'notices')[-1]
    assert record.outcome == 'unschedulable'
    assert '4 accelerators needed' in record.observed
    status = find_job(world)['status']
    assert status['phase'] == 'unschedulable'
    assert status['missing_resource'] == 'accelerators'
    assert (status['needed'], status['available']) == (4, 0)
    # The status is written only when it changes, and is cleared once the job
    # fits.
    version = world.read_fleet().version
    controller.step(20)
    assert world.read_fleet().version == version
    spec = {**job['spec'], 'accelerators': 0}
    fitting = apis.declare('job', 'notices', **spec)
    assert api.apply(fitting)[0] == 200
    controller.step(3)
    assert find_job(world)['status'] == {}


@pytest.mark.parametrize('idempotent', [False, True])
@pytest.mark.parametrize('successor', [False, True])
def test_runs_of_a_deleted_job_are_stopped(idempotent, successor):
    # A run that is not stopped would hold its slots until its end. With a
    # successor, the controller that started the runs is gone.
    world, controller = build(idempotent, runs=3)
    stopped = []
    run_task = controller.calls.run_task
    # The tasks start at their workers, but no response reports an end.
    controller.calls.run_task = lambda *task: (
        run_task(*task),
        fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE),
    )[1]
    controller.step(2)
    running = {r.request_key for r in read_runs(world)}
    assert len(running) == 3
    if successor:
        controller = fake_controllers.FakeController(world, 'c2', seed=2)
        world.table.faults = []
    api = apis.ApiHarness(world.table, 'api2', seed=5)
    assert api.call('DELETE', '/v1/jobs/notices')[0] == 200
    responses = [fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE)]

    def control(address, key, action):
        assert action == 'stop'
        if responses:
            # The first stop does not reach its worker and must be retried.
            return responses.pop()
        stopped.append(key)
        return result.Success(None)

    controller.calls.control_task = control
    controller.step(60)
    assert sorted(stopped) == sorted(running)
    assert read_runs(world) == []
    assert count_started(world) == 3


def test_the_cost_of_cancellations_is_proportional_to_the_runs():
    world, controller = build(idempotent=True, runs=3)
    table = _runs.RunTable(world.table)
    for number in range(250):
        table.write(
            _runs.Run(
                f'gone{number // 50}',
                number,
                State.RUNNING,
                'w1',
                world.get_worker('w1').name,
                f'key-{number}',
                'c1/1',
                world.clock.now().isoformat(),
            )
        )
    calls = []
    controller.calls.control_task = lambda *call: (
        calls.append(call),
        result.Success(None),
    )[1]
    controller.calls.count = 0
    controller.batch.step()
    # One stop for each run, and one transaction for each hundred rows.
    assert len(calls) == 250
    starts = 3 * 5
    assert controller.calls.count <= 3 + starts
    assert {r.job for r in read_runs(world)} == {'notices'}


def test_the_rows_of_a_deleted_job_are_deleted():
    world, controller = build(idempotent=True)
    controller.step(10)
    assert read_runs(world)
    api = apis.ApiHarness(world.table, 'api2', seed=5)
    assert api.call('DELETE', '/v1/jobs/notices')[0] == 200
    controller.step(35)
    assert read_runs(world) == []
