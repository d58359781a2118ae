"""Which runs to start and to stop next, and what the pool needs."""

import datetime

from skylarktally.scheduling import _lending
from skylarktally.scheduling import _ordering
from skylarktally.scheduling import _placing
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

# A task that takes this much longer than its estimate stands still.
_STUCK_FACTOR = 4
_STUCK_MARGIN = datetime.timedelta(seconds=2)
# Work that is too late to be of use takes what others leave.
_NO_HURRY = datetime.timedelta(seconds=10)
_SECOND = datetime.timedelta(seconds=1)


def plan_starts(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_placing.Placement]:
    """Return the tasks to start now, with their workers."""
    sketch = _placing.Sketch(pool_state.worker_states.values(), now)
    placements: list[_placing.Placement] = []
    for group in rank_groups(pool_state, now):
        waiting = pool_state.list_waiting(group, now)
        placements.extend(_placing.place_group(sketch, group, waiting))
    return placements


def rank_groups(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_states.TaskGroup]:
    """Return the open groups in the order in which they are placed."""
    ranked = sorted(
        (_ordering.rank(group, now), id(group), group)
        for group in pool_state.open_groups
    )
    return [group for _, _, group in ranked]


def plan_stops(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_states.Run]:
    """Return the runs to stop now."""
    stops = list(pool_state.list_obsolete())
    evacuation = _Evacuation(pool_state, now)
    for worker_state in pool_state.worker_states.values():
        if worker_state.is_evacuating or worker_state.record.is_draining:
            stops.extend(evacuation.plan(worker_state))
        else:
            stops.extend(
                run
                for run in worker_state.runs.values()
                if _is_stuck(run, now)
            )
    return stops


def _is_stuck(run: _states.Run, now: datetime.timedelta) -> bool:
    step = run.task.group.step
    if step.is_long_running or run.state is not _states.RunState.ACTIVE:
        return False
    allowed = _STUCK_FACTOR * step.estimate + _STUCK_MARGIN
    return now - run.sent_at > allowed


class _Evacuation:
    """Chooses the runs that leave their workers, as budgets allow."""

    def __init__(
        self, pool_state: _pool_state.PoolState, now: datetime.timedelta
    ) -> None:
        self._now = now
        self._sketch = _placing.Sketch(pool_state.worker_states.values(), now)
        # Tasks of each group that this pass stops, on any worker.
        self._stopped: dict[_states.TaskGroup, int] = {}

    def plan(self, worker_state: _states.WorkerState) -> list[_states.Run]:
        """Return the runs to stop on a worker."""
        return [
            run
            for run in worker_state.runs.values()
            if self._take(run, worker_state)
        ]

    def _take(
        self, run: _states.Run, worker_state: _states.WorkerState
    ) -> bool:
        group = run.task.group
        if run.state is not _states.RunState.ACTIVE:
            return False
        if group.job.is_final or not _leaves(run, worker_state, self._now):
            return False
        stopped = self._stopped.get(group, 0)
        if not may_interrupt(run.task, self._now, stopped):
            return False
        if self._sketch.place(run.task) is None:
            return False
        self._stopped[group] = stopped + 1
        return True


def _leaves(
    run: _states.Run,
    worker_state: _states.WorkerState,
    now: datetime.timedelta,
) -> bool:
    """Tell whether a run is better moved than left to finish."""
    step = run.task.group.step
    if step.is_long_running:
        return True
    left = step.estimate - (now - run.sent_at)
    remaining = worker_state.record.drain_time_left
    if worker_state.record.is_draining and remaining is not None:
        return step.saves_checkpoints and left > remaining
    return False


def may_interrupt(
    task: _states.Task, now: datetime.timedelta, others_stopped: int = 0
) -> bool:
    """Tell whether a planned action may make the task unavailable.

    :param others_stopped: tasks of the group that the same plan stops
    """
    group = task.group
    if not group.step.is_long_running or not group.step.unavailable_limit:
        return True
    away = others_stopped + sum(
        not other.is_working(now) for other in group.tasks if other is not task
    )
    return away < group.step.unavailable_limit


def measure_load(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> _lending.PoolLoad:
    """Return what the work of the pool uses and will use."""
    lasting = running = waiting = fewest = 0
    waiting_work = time_left = datetime.timedelta()
    for worker_state in pool_state.worker_states.values():
        for run in worker_state.runs.values():
            step = run.task.group.step
            cost = pool_state.weigh(step)
            if step.is_long_running:
                lasting += cost
            else:
                running += cost
    for group in pool_state.open_groups:
        step = group.step
        count = _count_startable(group, now + _lending.MOVE_TIME)
        cost = count * pool_state.weigh(step)
        if step.is_long_running:
            lasting += cost
            fewest = max(fewest, _count_spread(step))
        else:
            waiting += cost
            waiting_work += cost * step.estimate
            time_left += (
                cost * (step.estimate / _SECOND) * _find_time_left(group, now)
            )
    work_seconds = waiting_work / _SECOND
    return _lending.PoolLoad(
        lasting,
        running,
        waiting,
        waiting_work,
        time_left / work_seconds if work_seconds else datetime.timedelta(),
        pool_state.arrivals.forecast(now),
        pool_state.find_usual_need(),
        fewest,
        tuple(
            _measure_worker(worker_state)
            for worker_state in pool_state.worker_states.values()
        ),
    )


def _find_time_left(
    group: _states.TaskGroup, now: datetime.timedelta
) -> datetime.timedelta:
    """Return the time by which the step has to be done, from now on."""
    prospect = _ordering.find_prospect(group, now)
    if prospect is _ordering.Prospect.USELESS:
        return _NO_HURRY
    job = group.job
    allowed = job.objective - job.accepted_at
    if prospect is _ordering.Prospect.LATE:
        allowed *= _ordering.LATE_FACTOR
    chain = _ordering.find_remaining_chain(group)
    end = job.accepted_at + allowed - (chain - group.step.estimate)
    return max(end - now, datetime.timedelta())


def _count_startable(
    group: _states.TaskGroup, before: datetime.timedelta
) -> int:
    """Return how many tasks wait that may be started by the given time."""
    return sum(
        task.run is None and not task.is_done and task.blocked_until <= before
        for task in group.tasks
    )


def _count_spread(step: _work.Step) -> int:
    """Return how many workers a long-running step has to have."""
    if not step.is_long_running or not step.tasks_per_worker:
        return 0
    return -(-step.task_count // step.tasks_per_worker)


def _measure_worker(worker_state: _states.WorkerState) -> _lending.WorkerLoad:
    long_runs = sum(
        run.task.group.step.is_long_running
        for run in worker_state.runs.values()
    )
    is_leaving = worker_state.is_evacuating or worker_state.record.is_draining
    return _lending.WorkerLoad(
        worker_state.record.id, len(worker_state.runs), long_runs, is_leaving
    )


def is_evacuated(worker_state: _states.WorkerState) -> bool:
    """Tell whether an instance can go without ending a run.

    Of a worker that has not reported yet nothing is known.
    """
    is_empty = not worker_state.runs and not worker_state.unwanted_runs
    return (
        worker_state.is_evacuating and worker_state.has_reported and is_empty
    )


def release_due(
    pool_state: _pool_state.PoolState, wall: datetime.datetime
) -> None:
    """Make the occurrences that have become due ready to start."""
    for job in pool_state.jobs.values():
        if job.spec.first_run is not None and not job.is_final:
            pool_state.release(job, wall)
