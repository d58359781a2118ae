"""Planning of starts and stops, and measurement of the load of a pool."""

import collections
from collections.abc import Collection, Iterable
import datetime

from skylarktally.scheduling import _lending
from skylarktally.scheduling import _ordering
from skylarktally.scheduling import _placing
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states

# A run that takes longer than this factor of the estimate plus the margin is
# considered stuck and is stopped.
_STUCK_FACTOR = 4
_STUCK_MARGIN = datetime.timedelta(seconds=2)
# Time left that is reported for expired jobs, so that they ask for few
# instances.
_EXPIRED_TIME_LEFT = datetime.timedelta(seconds=10)
_SECOND = datetime.timedelta(seconds=1)
# Workers that do not respond for this long may stay away longer than the
# leases of their runs last.
_SILENCE_TIME = datetime.timedelta(seconds=2)
# Waiting work that is reported, as time on one millicore.
_MAX_WAITING_WORK = datetime.timedelta(seconds=10**12)


def plan_starts(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_placing.Placement]:
    """Return the tasks to start now, with their workers."""
    tracker = _placing.CapacityTracker(pool_state.worker_states.values(), now)
    placements = _place_long_running(pool_state, tracker, now)
    _keep_room_for_moves(pool_state, tracker, now)
    # Groups that fit nowhere are left out before they are ranked, so that a
    # plan for a full pool costs little, however long the backlog is.
    groups = [
        group
        for group in pool_state.ready_groups
        if not group.step.is_long_running and tracker.may_fit(group.step)
    ]
    for group in _rank(groups, now):
        if tracker.may_fit(group.step):
            waiting = pool_state.list_waiting(group, now)
            placements.extend(_placing.place_group(tracker, group, waiting))
    return placements


def _place_long_running(
    pool_state: _pool_state.PoolState,
    tracker: _placing.CapacityTracker,
    now: datetime.timedelta,
) -> list[_placing.Placement]:
    """Place the long-running tasks, which precede all others."""
    waiting = {
        group: tasks
        for group in pool_state.ready_groups
        if group.step.is_long_running
        and (tasks := pool_state.list_waiting(group, now))
    }
    placements: list[_placing.Placement] = []
    for group in _rank(waiting, now):
        placements.extend(
            _placing.place_long_running(tracker, group, waiting[group])
        )
    return placements


def _keep_room_for_moves(
    pool_state: _pool_state.PoolState,
    tracker: _placing.CapacityTracker,
    now: datetime.timedelta,
) -> None:
    """Keep room for long-running tasks that leave their workers.

    They are stopped once there is room elsewhere, which batch tasks must not
    take before that or until the stop is done.
    """
    # Number of tasks of each group for which room is kept.
    moving: collections.Counter[_states.TaskGroup] = collections.Counter()
    for worker_state in pool_state.worker_states.values():
        if not (worker_state.is_evacuating or worker_state.record.is_draining):
            continue
        for run in worker_state.runs.values():
            group = run.task.group
            if run.task.run is run and _may_move(run, now, moving[group]):
                moving[group] += run.state is _states.RunState.ACTIVE
                tracker.keep_room(run.task)


def _may_move(
    run: _states.Run, now: datetime.timedelta, others_moving: int
) -> bool:
    """Tell whether a long-running task is being moved or may be moved."""
    group = run.task.group
    if not group.step.is_long_running or group.job.is_final:
        return False
    if run.state is _states.RunState.ACTIVE:
        return may_interrupt(run.task, now, others_moving)
    return run.state is _states.RunState.STOPPING


def rank_groups(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_states.TaskGroup]:
    """Return the ready groups, the most urgent first."""
    return _rank(pool_state.ready_groups, now)


def _rank(
    groups: Iterable[_states.TaskGroup], now: datetime.timedelta
) -> list[_states.TaskGroup]:
    ranked = sorted(
        (_ordering.rank(group, now), id(group), group) for group in groups
    )
    return [group for _, _, group in ranked]


def plan_stops(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> list[_states.Run]:
    """Return the runs to stop now.

    These are runs of ended jobs and tasks, runs that leave an evacuating or
    draining worker, and stuck runs on the other workers.
    """
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
    """Selects runs to move to other workers within availability budgets."""

    def __init__(
        self, pool_state: _pool_state.PoolState, now: datetime.timedelta
    ) -> None:
        self._now = now
        self._tracker = _placing.CapacityTracker(
            pool_state.worker_states.values(), now
        )
        # Number of tasks of each group that this plan stops.
        self._stopped: dict[_states.TaskGroup, int] = {}

    def plan(self, worker_state: _states.WorkerState) -> list[_states.Run]:
        """Return the runs to stop on a worker."""
        return [
            run
            for run in worker_state.runs.values()
            if self._select(run, worker_state)
        ]

    def _select(
        self, run: _states.Run, worker_state: _states.WorkerState
    ) -> bool:
        """Select a run if its budget and the free capacity allow it.

        Reserves the capacity for the task on another worker and counts the
        stop against the budget of its step.
        """
        group = run.task.group
        if run.state is not _states.RunState.ACTIVE:
            return False
        if group.job.is_final or not _should_move(
            run, worker_state, self._now
        ):
            return False
        stopped = self._stopped.get(group, 0)
        if not may_interrupt(run.task, self._now, stopped):
            return False
        if self._tracker.place(run.task) is None:
            return False
        self._stopped[group] = stopped + 1
        return True


def _should_move(
    run: _states.Run,
    worker_state: _states.WorkerState,
    now: datetime.timedelta,
) -> bool:
    """Tell whether to move a run rather than let it finish.

    Long-running tasks are always moved. Other tasks leave only a draining
    worker, if they save checkpoints and would not finish before it stops.
    """
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

    :param others_stopped: number of tasks of the group that the same plan
        stops already
    """
    group = task.group
    if not group.step.is_long_running or not group.step.unavailable_limit:
        return True
    unavailable = others_stopped + sum(
        not other.is_working(now) for other in group.tasks if other is not task
    )
    return unavailable < group.step.unavailable_limit


def measure_load(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> _lending.PoolLoad:
    """Return the current load of the pool and its forecast."""
    long_running = running = waiting = min_workers = 0
    # In seconds of one millicore, and weighted with it: the totals of the
    # largest jobs are no timedeltas.
    waiting_work = weighted_time_left = 0.0
    silent = _find_silent_workers(pool_state, now)
    for worker_state in pool_state.worker_states.values():
        for run in worker_state.runs.values():
            step = run.task.group.step
            cost = pool_state.find_dominant_share(step)
            if step.is_long_running:
                long_running += cost
            else:
                running += cost
    for group in pool_state.ready_groups:
        step = group.step
        count = _count_startable(group, now + _lending.MOVE_TIME)
        cost = count * pool_state.find_dominant_share(step)
        if step.is_long_running:
            long_running += cost
            min_workers = max(
                min_workers, _count_needed_workers(pool_state, group, silent)
            )
        else:
            waiting += cost
            work = cost * (step.estimate / _SECOND)
            waiting_work += work
            weighted_time_left += work * (
                _find_time_left(group, now) / _SECOND
            )
    time_left = weighted_time_left / waiting_work if waiting_work else 0
    return _lending.PoolLoad(
        long_running,
        running,
        waiting,
        min(waiting_work, _MAX_WAITING_WORK / _SECOND) * _SECOND,
        time_left * _SECOND,
        pool_state.arrivals.forecast(now),
        pool_state.find_median_need(),
        min_workers,
        tuple(
            _measure_worker(worker_state)
            for worker_state in pool_state.worker_states.values()
        ),
    )


def _find_time_left(
    group: _states.TaskGroup, now: datetime.timedelta
) -> datetime.timedelta:
    """Return how much time is left until the step has to be completed.

    That is the latest end of the step that still lets the job meet its
    deadline or, for a late job, end before it expires.
    """
    timeliness = _ordering.find_timeliness(group, now)
    if timeliness is _ordering.Timeliness.EXPIRED:
        return _EXPIRED_TIME_LEFT
    limits = group.start_limits
    is_late = timeliness is _ordering.Timeliness.LATE
    latest_start = limits.late if is_late else limits.on_time
    return max(latest_start + group.step.estimate - now, datetime.timedelta())


def _count_startable(
    group: _states.TaskGroup, before: datetime.timedelta
) -> int:
    """Return how many waiting tasks may be started by the given time.

    Also counts long-running tasks that wait longer for a lease: their room is
    kept, since a move back would come late if the platform is slow.
    """
    is_kept = group.step.is_long_running
    return sum(
        task.run is None
        and not task.is_done
        and (is_kept or task.blocked_until <= before)
        for task in group.tasks
    )


def _find_silent_workers(
    pool_state: _pool_state.PoolState, now: datetime.timedelta
) -> set[str]:
    """Return the workers that count as present and have long been silent."""
    return {
        id_
        for id_, worker_state in pool_state.worker_states.items()
        if worker_state.silent_since is not None
        and now - worker_state.silent_since >= _SILENCE_TIME
        and not _is_leaving(worker_state)
    }


def _count_needed_workers(
    pool_state: _pool_state.PoolState,
    group: _states.TaskGroup,
    silent: Collection[str],
) -> int:
    """Return the number of workers that a long-running step requires.

    Silent workers take none of its tasks: while some have no run elsewhere,
    others are needed.
    """
    needed = pool_state.count_needed_workers(group.step)
    if silent and any(
        task.run is None or task.run.worker in silent for task in group.tasks
    ):
        needed += len(silent)
    return needed


def _measure_worker(worker_state: _states.WorkerState) -> _lending.WorkerLoad:
    long_runs = sum(
        run.task.group.step.is_long_running
        for run in worker_state.runs.values()
    )
    return _lending.WorkerLoad(
        worker_state.record.id,
        len(worker_state.runs),
        long_runs,
        _is_leaving(worker_state),
    )


def _is_leaving(worker_state: _states.WorkerState) -> bool:
    return worker_state.is_evacuating or worker_state.record.is_draining


def is_evacuated(worker_state: _states.WorkerState) -> bool:
    """Tell whether a worker is evacuating and has no runs left.

    A worker that has not reported in the current term may have runs that
    are not known yet.
    """
    return (
        worker_state.is_evacuating
        and worker_state.has_reported
        and not worker_state.has_any_runs
    )


def release_due(
    pool_state: _pool_state.PoolState, wall: datetime.datetime
) -> None:
    """Create the tasks of all occurrences that have become due."""
    for job in pool_state.jobs.values():
        if job.spec.first_run is not None and not job.is_final:
            pool_state.release(job, wall)
