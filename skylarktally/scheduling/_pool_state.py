"""State of the jobs, runs and workers of one pool.

PoolState uses no connection and no clock: callers pass the time, on a
monotonic clock unless the parameter is named wall. Jobs whose progress has
to be stored are collected in ``changed``.
"""

import collections
from collections.abc import Iterator
import datetime
import logging

from skylarktally.scheduling import _forecasts
from skylarktally.scheduling import _ordering
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

_NONE = datetime.timedelta()
# Number of recent jobs of which the median need is taken.
_SAMPLED_JOBS = 21
# Tasks that one call creates for a job that repeats; more of those that are
# due follow with the next call, so that other work has its turn.
_RELEASED_TASKS = 500
# Released occurrences of a job that are not finished, and their tasks. Jobs
# with a short interval would otherwise take all memory.
_MAX_OPEN_OCCURRENCES = 500
_MAX_OPEN_TASKS = 10000
# Work of a job that the forecast counts, as time on one millicore: 2,800 hours
# of a core. Estimates of callers can be far off, and the product of the
# largest values is no timedelta.
_MAX_ARRIVING_WORK = datetime.timedelta(seconds=10**10)
_MICROSECOND = datetime.timedelta(microseconds=1)


class PoolState:
    """Jobs, runs and workers of one pool."""

    def __init__(self, first_number: int = 1) -> None:
        """Create the state of a pool without jobs and workers.

        :param first_number: number of the first run of each task; must be
            above the numbers that previous owners used
        """
        self.jobs: dict[str, _states.Job] = {}
        self.worker_states: dict[str, _states.WorkerState] = {}
        # Unfinished groups whose predecessor steps are completed, as an
        # ordered set.
        self.ready_groups: dict[_states.TaskGroup, None] = {}
        # Jobs with progress that has not been stored yet.
        self.changed: dict[str, _states.Job] = {}
        # Why jobs are not planned, by id: their rows cannot be read, or they
        # made plans fail. A later owner tries them again.
        self.jobs_set_aside: dict[str, str] = {}
        self._first_number = first_number
        # Processor capacity that other pools and the standby pool could
        # lend to this one, in millicores; None while it is not known.
        self.lendable_millicores: int | None = None
        # Estimated work of the unfinished tasks that do not run for long, in
        # microseconds of one millicore. Each submission compares it.
        self.remaining_work = 0
        self.arrivals = _forecasts.Arrivals()
        # Whether long-running tasks wait for the leases of lost workers. Idle
        # workers are asked for reports meanwhile, to know which of them live.
        self.awaits_leases = False
        # Need of the widest step of each recent job, in millicores.
        self._peak_needs: collections.deque[int] = collections.deque(
            maxlen=_SAMPLED_JOBS
        )

    def add_job(
        self,
        job: _states.Job,
        now: datetime.timedelta,
        wall: datetime.datetime,
    ) -> None:
        """Add a job that has been stored."""
        job.critical_path = _states.find_critical_path(job.spec)
        self._record_peak_need(job.spec)
        self.jobs[job.id] = job
        if not job.is_final:
            self.release(job, wall)

    def note_arrival(
        self, spec: _work.JobSpec, now: datetime.timedelta
    ) -> None:
        """Count the arrival of a job for the forecast, before it is stored.

        Otherwise jobs that a slow store confirms together would look like
        a burst of arrivals.
        """
        if spec.first_run is None:
            self.arrivals.record(now, self._measure_work(spec))

    def _record_peak_need(self, spec: _work.JobSpec) -> None:
        peak_needs = [
            step.task_count * self.find_dominant_share(step)
            for step in spec.steps
            if not step.is_long_running
        ]
        if peak_needs:
            self._peak_needs.append(max(peak_needs))

    def _measure_work(self, spec: _work.JobSpec) -> datetime.timedelta:
        """Return the estimated work of a job, as time on one millicore."""
        work = sum(
            (step.estimate // _MICROSECOND)
            * self.find_dominant_share(step)
            * step.task_count
            for step in spec.steps
            if not step.is_long_running
        )
        limit = _MAX_ARRIVING_WORK // _MICROSECOND
        return min(work, limit) * _MICROSECOND

    def find_dominant_share(self, step: _work.Step) -> int:
        """Return the dominant share of a task, in millicores.

        Calculated for the capacity of the first worker. Without workers it
        is the processor time that the task reserves.
        """
        capacity = self._find_capacity()
        if capacity is None:
            return _states.find_reserved_resources(step).cpu_millicores
        return _states.find_dominant_share(step, capacity)

    def _find_capacity(self) -> _work.Resources | None:
        """Return the capacity of the first worker; None without workers."""
        return next(
            (
                item.record.capacity
                for item in self.worker_states.values()
                if not item.set_aside_reason
            ),
            None,
        )

    def count_needed_workers(self, step: _work.Step) -> int:
        """Return on how many workers all tasks of a step have room.

        Calculated for the limit of tasks per worker and the worker on which
        most of them fit; for that limit only, if they fit on none. More
        workers would not help then.
        """
        need = _states.find_reserved_resources(step)
        capacities = {
            item.record.capacity
            for item in self.worker_states.values()
            if not item.set_aside_reason
        }
        limit = step.tasks_per_worker or step.task_count
        fitting = max(
            (_count_fitting(need, item) for item in capacities), default=0
        )
        return -(-step.task_count // min(limit, fitting or limit))

    def find_median_need(self) -> int:
        """Return the median need of the recent jobs, in millicores.

        The need of a job is that of its widest step.
        """
        if not self._peak_needs:
            return 0
        return sorted(self._peak_needs)[len(self._peak_needs) // 2]

    def release(self, job: _states.Job, wall: datetime.datetime) -> None:
        """Create the tasks of occurrences that are due, some at a time."""
        if job.id in self.jobs_set_aside:
            return
        allowed = _RELEASED_TASKS
        tasks = sum(step.task_count for step in job.spec.steps)
        while job.released_occurrences < job.spec.occurrences:
            occurrence = job.released_occurrences
            if occurrence not in job.finished_occurrences:
                due = _states.find_due_time(job.spec, occurrence)
                if due is not None and due > wall:
                    return
                if occurrence not in job.reported_occurrences:
                    if allowed <= 0 or _is_open_limit_reached(job, tasks):
                        return
                    self._add_occurrence(job, occurrence)
                    allowed -= tasks
            job.reported_occurrences.discard(occurrence)
            job.released_occurrences += 1
            self._mark_occurrence_ready(job, occurrence)
        self._finish_if_done(job)

    def _mark_occurrence_ready(
        self, job: _states.Job, occurrence: int
    ) -> None:
        for position in range(len(job.spec.steps)):
            group = job.groups.get((occurrence, position))
            if group is not None:
                self._mark_ready(group)

    def _add_occurrence(self, job: _states.Job, occurrence: int) -> None:
        start_limits = _ordering.list_start_limits(job)
        for position, step in enumerate(job.spec.steps):
            group = _states.TaskGroup(
                job, occurrence, position, step, start_limits[position]
            )
            for index in range(step.task_count):
                id_ = _work.TaskId(job.id, occurrence, position, index)
                group.tasks.append(self._create_task(id_, group))
            if step.is_gang:
                # The stored failures of one member may have a higher number.
                highest = max(task.last_number for task in group.tasks)
                self.reserve_numbers(group.tasks[0], highest)
            group.unfinished_count = sum(
                not task.is_done for task in group.tasks
            )
            job.groups[group.key] = group
            job.unfinished_groups += group.unfinished_count > 0
            self.remaining_work += _measure_remaining_work(group)
        self._drop_finished_occurrence(job, occurrence)

    def _drop_finished_occurrence(
        self, job: _states.Job, occurrence: int
    ) -> None:
        """Forget the groups of an occurrence without unfinished tasks."""
        if job.spec.occurrences == 1:
            return
        keys = [(occurrence, n) for n in range(len(job.spec.steps))]
        if any(job.groups[key].unfinished_count for key in keys):
            return
        for key in keys:
            _drop_group(job, key)
        job.reported_occurrences.discard(occurrence)
        job.finished_occurrences.add(occurrence)

    def _create_task(
        self, id_: _work.TaskId, group: _states.TaskGroup
    ) -> _states.Task:
        job = group.job
        task = _states.Task(id_, group, takeover_until=job.blocked_until)
        task.last_number = self._first_number - 1
        if job.restored_progress is not None:
            task.is_done = job.restored_progress.take_done(id_)
            task.failed_runs |= job.restored_progress.take_failed(id_)
            task.last_number = max(task.failed_runs | {task.last_number})
        return task

    def _mark_ready(self, group: _states.TaskGroup) -> None:
        predecessors = (
            group.job.groups[group.occurrence, position]
            for position in group.step.after
        )
        if group.job.id in self.jobs_set_aside:
            return
        if group.occurrence >= group.job.released_occurrences:
            return
        if group.unfinished_count and not any(
            item.unfinished_count for item in predecessors
        ):
            self.ready_groups[group] = None

    def remove_job(self, id_: str) -> None:
        """Remove a job whose final state is stored, or whose term is over.

        Nothing of it may start any more.
        """
        self.jobs_set_aside.pop(id_, None)
        job = self.jobs.pop(id_, None)
        if job is not None:
            for key in list(job.groups):
                _drop_group(job, key)

    def find_job(self, id_: str) -> _states.Job | _states.Absence:
        """Return a job, or why the pool has none of this id."""
        job = self.jobs.get(id_)
        if job is not None:
            return job
        if id_ in self.jobs_set_aside:
            return _states.Absence.UNKNOWN
        return _states.Absence.NONE

    def find_task(self, id_: _work.TaskId) -> _states.Task | _states.Absence:
        """Return a task, or why the pool has none of this id."""
        job = self.find_job(id_.job)
        if isinstance(job, _states.Absence):
            return job
        group = job.groups.get((id_.occurrence, id_.step))
        if group is None:
            return _explain_missing_group(job, id_)
        if not 0 <= id_.ordinal < len(group.tasks):
            return _states.Absence.NONE
        return group.tasks[id_.ordinal]

    def find_reported_task(
        self, id_: _work.TaskId
    ) -> _states.Task | _states.Absence:
        """Return the task of a run that a worker reports.

        Creates the tasks of its occurrence if this owner has not released it
        yet: the run shows that an earlier one has.
        """
        found = self.find_task(id_)
        if found is not _states.Absence.NOT_YET:
            return found
        job = self.jobs[id_.job]
        if not job.reported_occurrences:
            _LOG.info(
                'reported run of an occurrence that is not released',
                extra={
                    'task': id_,
                    'released': job.released_occurrences,
                    'open': len(job.groups) // len(job.spec.steps),
                },
            )
        job.reported_occurrences.add(id_.occurrence)
        self._add_occurrence(job, id_.occurrence)
        return self.find_task(id_)

    def list_waiting(
        self, group: _states.TaskGroup, now: datetime.timedelta
    ) -> list[_states.Task]:
        """Return the tasks of a ready group that may be started."""
        # A report may still tell that a task is done. A long-running task has
        # no such end: it may start once the last lease has expired.
        if group.job.awaits_reports and not group.step.is_long_running:
            return []
        return [
            task
            for task in group.tasks
            if task.run is None
            and not task.is_done
            and task.blocked_until <= now
        ]

    def has_lost_tasks(self, now: datetime.timedelta) -> bool:
        """Tell whether long-running tasks wait for leases to expire."""
        if any(
            worker_state.is_unresponsive and _has_long_runs(worker_state)
            for worker_state in self.worker_states.values()
        ):
            return True
        return any(
            task.run is None and task.blocked_until > now
            for group in self.ready_groups
            if group.step.is_long_running
            for task in group.tasks
        )

    def add_run(
        self,
        task: _states.Task,
        worker_state: _states.WorkerState,
        now: datetime.timedelta,
    ) -> _states.Run:
        """Register a new run of the task, before its start is sent."""
        task.last_number += 1
        return self._register_run(
            _states.Run(task, task.last_number, '', now), worker_state
        )

    def reserve_numbers(self, task: _states.Task, highest: int) -> None:
        """Give the next run of a task a number above ``highest``.

        Also those of its gang: they start together only with one number.
        """
        group = task.group
        for item in group.tasks if group.step.is_gang else (task,):
            item.last_number = max(item.last_number, highest)

    def adopt_run(
        self,
        task: _states.Task,
        worker_state: _states.WorkerState,
        active: _work.ActiveRun,
        now: datetime.timedelta,
    ) -> _states.Run:
        """Register a run that a worker reports and that is not registered."""
        self.reserve_numbers(task, active.number)
        run = _states.Run(
            task, active.number, '', now, _states.RunState.ACTIVE
        )
        run.answered_at = run.reported_at = now
        # A previous owner may have set a speed limit.
        run.pace = None
        run.percent, run.load = active.percent, active.load
        task.checkpoint = active.checkpoint or task.checkpoint
        self.note_began(task)
        return self._register_run(run, worker_state)

    def _register_run(
        self, run: _states.Run, worker_state: _states.WorkerState
    ) -> _states.Run:
        task = run.task
        run.worker = worker_state.record.id
        task.run = run
        worker_state.runs[task.id] = run
        worker_state.used = worker_state.used.plus(
            _states.find_reserved_resources(task.group.step)
        )
        runs_per_worker = task.group.runs_per_worker
        runs_per_worker[run.worker] = runs_per_worker.get(run.worker, 0) + 1
        return run

    def note_began(self, task: _states.Task) -> None:
        """Note that a worker has started a run of the task."""
        job = task.group.job
        if job.state is _work.JobState.PENDING:
            job.state = _work.JobState.RUNNING

    def remove_run(self, run: _states.Run) -> None:
        """Remove a run that is not active and can no longer start."""
        worker_state = self.worker_states.get(run.worker)
        if (
            worker_state is not None
            and worker_state.runs.get(run.task.id) is run
        ):
            del worker_state.runs[run.task.id]
            worker_state.used = worker_state.used.minus(
                _states.find_reserved_resources(run.task.group.step)
            )
            _decrement_worker_count(run)
        if run.task.run is run:
            run.task.run = None

    def note_end(self, worker: str, end: _work.EndedRun) -> None:
        """Apply the end of a run that a worker reports."""
        worker_state = self.worker_states.get(worker)
        run = (
            worker_state.runs.get(end.task)
            if worker_state is not None
            else None
        )
        if run is not None and run.number == end.number:
            self.remove_run(run)
        task = self.find_reported_task(end.task)
        if isinstance(task, _states.Absence):
            if task is _states.Absence.UNKNOWN:
                _log_unknown_end(worker, end)
            return
        self.reserve_numbers(task, end.number)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self.note_began(task)
        if task.group.job.is_final:
            return
        if end.kind is _work.EndKind.FAILED:
            self._record_failure(task, end.number)
        elif end.kind is _work.EndKind.DONE:
            self._complete_task(task)

    def _complete_task(self, task: _states.Task) -> None:
        step = task.group.step
        if step.is_long_running:
            return
        if step.is_gang:
            # The end of one member completes the whole gang.
            for member in tuple(task.group.tasks):
                self._mark_done(member)
        else:
            self._mark_done(task)

    def _mark_done(self, task: _states.Task) -> None:
        if task.is_done:
            return
        group, job = task.group, task.group.job
        task.is_done = True
        self.remaining_work -= _measure_remaining_work(group)
        group.unfinished_count -= 1
        self.remaining_work += _measure_remaining_work(group)
        self.changed[job.id] = job
        if group.unfinished_count:
            return
        self.ready_groups.pop(group, None)
        job.unfinished_groups -= 1
        for position, step in enumerate(job.spec.steps):
            if group.position in step.after:
                self._mark_ready(job.groups[group.occurrence, position])
        self._drop_finished_occurrence(job, group.occurrence)
        self._finish_if_done(job)

    def _finish_if_done(self, job: _states.Job) -> None:
        is_released = job.released_occurrences == job.spec.occurrences
        if is_released and not job.unfinished_groups and not job.is_final:
            self.finish_job(job, _work.JobState.COMPLETED)

    def _record_failure(self, task: _states.Task, number: int) -> None:
        if task.is_done or task.group.step.is_long_running:
            return
        job = task.group.job
        task.failed_runs.add(number)
        self.changed[job.id] = job
        if len(task.failed_runs) >= job.queue.attempt_limit:
            self.finish_job(job, _work.JobState.FAILED)

    def finish_job(self, job: _states.Job, state: _work.JobState) -> None:
        """Set the final state of a job.

        Its runs stay registered until they have been stopped.
        """
        job.state = state
        self.changed[job.id] = job
        for group in job.groups.values():
            self.ready_groups.pop(group, None)
            self.remaining_work -= _measure_remaining_work(group)

    def set_aside_job(self, id_: str, reason: str) -> None:
        """Plan a job no longer; its active runs go on."""
        self.jobs_set_aside[id_] = reason
        for group in list(self.ready_groups):
            if group.job.id == id_:
                del self.ready_groups[group]

    def allow_duplicate_starts(
        self, worker_state: _states.WorkerState
    ) -> None:
        """Let duplicable tasks of an unresponsive worker start elsewhere.

        Their runs stay registered on the worker, since they may still use
        its capacity.
        """
        for run in worker_state.runs.values():
            self.allow_duplicate_start(run)

    def allow_duplicate_start(self, run: _states.Run) -> None:
        """Let the task of a run start elsewhere, if it may run twice."""
        if run.task.group.step.allows_duplicates and run.task.run is run:
            run.task.run = None

    def remove_worker(self, worker: str, free_at: datetime.timedelta) -> None:
        """Remove a worker.

        :param free_at: until then its runs may still be active; tasks that
            must not run twice are blocked until that time
        """
        worker_state = self.worker_states.pop(worker, None)
        if worker_state is None:
            return
        for run in list(worker_state.runs.values()):
            self._release_lost_run(run, free_at)

    def _release_lost_run(
        self, run: _states.Run, free_at: datetime.timedelta
    ) -> None:
        task = run.task
        if task.run is run and not task.group.step.allows_duplicates:
            task.lost_until = max(task.lost_until, free_at)
        _decrement_worker_count(run)
        if task.run is run:
            task.run = None

    def count_queued(self, queue: str) -> int:
        """Return the number of jobs of a queue that wait for a first run.

        A job waits until a worker has accepted or reported a run of it.
        Jobs with a start time are not counted.
        """
        return sum(
            job.queue.name == queue
            and job.state is _work.JobState.PENDING
            and job.spec.first_run is None
            for job in self.jobs.values()
        )

    def list_obsolete(self) -> Iterator[_states.Run]:
        """Yield the runs to stop, since their job or task has ended."""
        for worker_state in self.worker_states.values():
            for run in worker_state.runs.values():
                task = run.task
                if run.state is _states.RunState.STOPPING:
                    continue
                if task.group.job.is_final or task.is_done:
                    yield run


def _drop_group(job: _states.Job, key: tuple[int, int]) -> None:
    """Forget a group of which no task may run any more.

    Only runs that have not ended refer to its tasks then, so that these leave
    memory with the last of them.
    """
    job.groups.pop(key).tasks.clear()


def _explain_missing_group(
    job: _states.Job, id_: _work.TaskId
) -> _states.Absence:
    """Return why a job has no group for a task."""
    is_valid = (
        0 <= id_.occurrence < job.spec.occurrences
        and 0 <= id_.step < len(job.spec.steps)
        and 0 <= id_.ordinal < job.spec.steps[id_.step].task_count
    )
    if (
        not is_valid
        or job.is_final
        or id_.occurrence in job.finished_occurrences
    ):
        return _states.Absence.NONE
    if id_.occurrence < job.released_occurrences:
        # Its groups were to be created and are not there.
        return _states.Absence.UNKNOWN
    return _states.Absence.NOT_YET


def _log_unknown_end(worker: str, end: _work.EndedRun) -> None:
    _LOG.error(
        'end of a run of a job that cannot be read',
        extra={
            'worker': worker,
            'task': end.task,
            'run': end.number,
            'kind': end.kind.value,
        },
    )


def _measure_remaining_work(group: _states.TaskGroup) -> int:
    """Return the estimated work of unfinished tasks that end by themselves.

    In microseconds of one millicore.
    """
    step = group.step
    if step.is_long_running:
        return 0
    millicores = step.resources.cpu_millicores * group.unfinished_count
    return (step.estimate // _MICROSECOND) * millicores


def _is_open_limit_reached(job: _states.Job, tasks: int) -> bool:
    """Tell whether further occurrences have to wait.

    :param tasks: number of tasks of an occurrence
    """
    # Those that an earlier owner released must not keep this one from
    # releasing the ones before them.
    open_occurrences = len(job.groups) // len(job.spec.steps) - len(
        job.reported_occurrences
    )
    return (
        open_occurrences >= _MAX_OPEN_OCCURRENCES
        or open_occurrences * tasks >= _MAX_OPEN_TASKS
    )


def _count_fitting(need: _work.Resources, capacity: _work.Resources) -> int:
    """Return how many tasks fit on a worker; 0 if they need nothing."""
    return min(
        (
            total // wanted
            for wanted, total in zip(need, capacity, strict=True)
            if wanted
        ),
        default=0,
    )


def _has_long_runs(worker_state: _states.WorkerState) -> bool:
    return any(
        run.task.group.step.is_long_running
        for run in worker_state.runs.values()
    )


def _decrement_worker_count(run: _states.Run) -> None:
    """Decrement the number of runs of the group on the worker."""
    runs_per_worker = run.task.group.runs_per_worker
    runs_per_worker[run.worker] -= 1
    if not runs_per_worker[run.worker]:
        del runs_per_worker[run.worker]
