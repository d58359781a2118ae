"""Tests of the state of the jobs and runs of a pool."""

import pytest

from skylarktally.scheduling import _planning
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _records
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work
from tests import pools

EndKind = _work.EndKind
JobState = _work.JobState


def list_ready(pool_state):
    return {
        (group.job.id, group.position) for group in pool_state.ready_groups
    }


def test_a_step_waits_for_its_predecessors():
    steps = pools.make_step(2), pools.make_step(1, after=(0,))
    job = pools.make_job('a', *steps)
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    assert list_ready(pool_state) == {('a', 0)}
    first, second = job.groups[0, 0].tasks
    for task in (first, second):
        run = pools.run_task(pool_state, task, 'w')
        pool_state.note_end('w', pools.end(run))
    assert list_ready(pool_state) == {('a', 1)}
    run = pools.run_task(pool_state, job.groups[0, 1].tasks[0], 'w')
    pool_state.note_end('w', pools.end(run))
    assert job.state is JobState.COMPLETED
    assert pool_state.worker_states['w'].used == _work.Resources()


def test_a_job_fails_once_its_attempt_limit_is_reached():
    """Guards against a start beyond the attempt limit (BUDGET).

    A repeated report of the same failed run must not count twice.
    """
    job = pools.make_job('a', pools.make_step(1))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    task = job.groups[0, 0].tasks[0]
    for sequence in (1, 2):
        assert pool_state.list_waiting(task.group, pools.seconds(0)) == [task]
        run = pools.run_task(pool_state, task, 'w')
        ended = pools.end(run, EndKind.FAILED, sequence)
        pool_state.note_end('w', ended)
        # A worker reports an ended run again until it is acknowledged.
        pool_state.note_end('w', ended)
    assert job.state is JobState.FAILED
    assert not pool_state.ready_groups


@pytest.mark.parametrize(
    'kind',
    [EndKind.STOPPED, EndKind.LEASE_EXPIRED, EndKind.BROKEN, EndKind.ALONE],
)
def test_other_ends_do_not_count_as_attempts(kind):
    job = pools.make_job('a', pools.make_step(1))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    task = job.groups[0, 0].tasks[0]
    for sequence in range(1, 5):
        run = pools.run_task(pool_state, task, 'w')
        pool_state.note_end('w', pools.end(run, kind, sequence))
    assert job.state is JobState.RUNNING
    assert task.last_number == 4


def test_a_long_running_task_is_started_again_however_it_ends():
    step = pools.make_step(1, is_long_running=True)
    job = pools.make_job('a', step)
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    task = job.groups[0, 0].tasks[0]
    for sequence, kind in enumerate(EndKind, 1):
        run = pools.run_task(pool_state, task, 'w')
        pool_state.note_end('w', pools.end(run, kind, sequence))
        assert pool_state.list_waiting(task.group, pools.seconds(0)) == [task]
    assert job.state is JobState.RUNNING


def test_tasks_of_a_lost_worker_wait_for_the_end_of_its_leases():
    """Guards against two runs of a task at the same time (TWICE).

    The run on the lost worker may be active until its lease has expired.
    """
    twice = pools.make_step(1, allows_duplicates=True)
    job = pools.make_job('a', pools.make_step(1), twice)
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    once, copied = (job.groups[0, item].tasks[0] for item in (0, 1))
    for task in (once, copied):
        pools.run_task(pool_state, task, 'w')
    pool_state.remove_worker('w', pools.seconds(7))
    now = pools.seconds(6.9)
    assert pool_state.list_waiting(once.group, now) == []
    assert pool_state.list_waiting(copied.group, now) == [copied]
    assert pool_state.list_waiting(once.group, pools.seconds(7)) == [once]


def test_the_end_of_an_earlier_run_does_not_remove_the_current_one():
    job = pools.make_job('a', pools.make_step(1))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    task = job.groups[0, 0].tasks[0]
    first = pools.run_task(pool_state, task, 'w')
    pool_state.remove_run(first)
    second = pools.run_task(pool_state, task, 'w')
    pool_state.note_end('w', pools.end(first, EndKind.STOPPED))
    assert task.run is second
    assert pool_state.worker_states['w'].used.cpu_millicores == 1000


def test_the_end_of_a_run_of_a_removed_job_frees_the_worker():
    job = pools.make_job('a', pools.make_step(1))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    run = pools.run_task(pool_state, job.groups[0, 0].tasks[0], 'w')
    pool_state.finish_job(job, JobState.CANCELLED)
    assert list(pool_state.list_obsolete()) == [run]
    del pool_state.jobs['a']
    pool_state.note_end('w', pools.end(run, EndKind.STOPPED))
    assert pool_state.worker_states['w'].used == _work.Resources()


def test_the_end_of_one_gang_member_completes_the_gang():
    step = pools.make_step(3, is_gang=True)
    job = pools.make_job('a', step)
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    runs = [
        pools.run_task(pool_state, task, 'w')
        for task in job.groups[0, 0].tasks
    ]
    pool_state.note_end('w', pools.end(runs[0]))
    assert job.state is JobState.COMPLETED


def test_a_new_owner_restores_the_stored_progress():
    """Guards against a second run of a completed task (TWICE).

    Its run numbers must also be above those of the previous owner.
    """
    job = pools.make_job('a', pools.make_step(3), pools.make_step(1))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    done, failed, open_ = job.groups[0, 0].tasks
    pool_state.note_end('w', pools.end(pools.run_task(pool_state, done, 'w')))
    run = pools.run_task(pool_state, failed, 'w')
    pool_state.note_end('w', pools.end(run, EndKind.FAILED, 2))
    value = _records.encode_progress(job)
    progress = _records.decode_progress('a', value)
    again = pools.make_job('a', *job.spec.steps, restored_progress=progress)
    later = _pool_state.PoolState(first_number=1001)
    later.add_job(again, pools.seconds(0), pools.WALL)
    group = again.groups[0, 0]
    waiting = later.list_waiting(group, pools.seconds(0))
    assert [task.id for task in waiting] == [failed.id, open_.id]
    assert group.tasks[1].failed_runs == {1}
    assert group.tasks[2].last_number == 1000
    assert group.unfinished_count == 2


@pytest.mark.parametrize(
    'value', [b'', b'{}', b'[1]', b'["running", 1, 2]', b'["other", {}, []]']
)
def test_damaged_progress_is_an_error(value):
    with pytest.raises((ValueError, TypeError, AttributeError)):
        _records.decode_progress('a', value)


def test_occurrences_are_released_when_they_are_due():
    """Guards against the start of an occurrence before it is due (ORDER)."""
    spec = _work.JobSpec(
        'spec',
        (pools.make_step(1),),
        pools.WALL + pools.seconds(5),
        pools.seconds(2),
        3,
    )
    job = _states.Job('a', pools.make_queue(), spec, pools.seconds(0))
    pool_state = pools.make_pool_state(pools.make_worker('w'), jobs=[job])
    counts = []
    for now in (0, 4.9, 5, 7, 20):
        wall = pools.WALL + pools.seconds(now)
        _planning.release_due(pool_state, wall)
        counts.append(len(pool_state.ready_groups))
    assert counts == [0, 0, 1, 2, 3]
