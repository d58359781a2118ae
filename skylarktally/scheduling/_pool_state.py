"""State of the jobs, runs and workers of one pool.

The board holds no connection and no clock: times are passed in, as time
since a fixed point. What must be stored is collected in ``changed``.
"""

import collections
from collections.abc import Iterator
import datetime

from skylarktally.scheduling import _forecasts
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_NONE = datetime.timedelta()
# Jobs from which a usual one is told.
_USUAL_JOBS = 21


class PoolState:
    """Jobs, runs and workers of a pool."""

    def __init__(self, first_number: int = 1) -> None:
        """Create an empty board.

        :param first_number: lowest number of a run, above those of earlier
            owners
        """
        self.jobs: dict[str, _states.Job] = {}
        self.worker_states: dict[str, _states.WorkerState] = {}
        # Groups with tasks that may be started.
        self.open_groups: dict[_states.TaskGroup, None] = {}
        # Jobs whose progress has not been stored.
        self.changed: dict[str, _states.Job] = {}
        self._first_number = first_number
        # Processor capacity that the pool could be lent, in millicores;
        # None while that is not known.
        self.lendable_millicores: int | None = None
        self.arrivals = _forecasts.Arrivals()
        # What the widest steps of the last jobs need, in millicores.
        self._widths: collections.deque[int] = collections.deque(
            maxlen=_USUAL_JOBS
        )

    def add_job(
        self,
        job: _states.Job,
        now: datetime.timedelta,
        wall: datetime.datetime,
    ) -> None:
        """Take a job that is stored."""
        job.chain = _states.find_chain(job.spec)
        self._note_width(job.spec)
        self.jobs[job.id] = job
        if not job.is_final:
            self.release(job, wall)

    def note_arrival(
        self, spec: _work.JobSpec, now: datetime.timedelta
    ) -> None:
        """Note that a job is handed in, before it is stored.

        A store that answers late then makes no burst of what it stores.
        """
        if spec.first_run is None:
            self.arrivals.note(now, self._measure_work(spec))

    def _note_width(self, spec: _work.JobSpec) -> None:
        widths = [
            step.task_count * self.weigh(step)
            for step in spec.steps
            if not step.is_long_running
        ]
        if widths:
            self._widths.append(max(widths))

    def _measure_work(self, spec: _work.JobSpec) -> datetime.timedelta:
        """Return the estimated work of a job, in time of one millicore."""
        return sum(
            (
                step.estimate * self.weigh(step) * step.task_count
                for step in spec.steps
                if not step.is_long_running
            ),
            _NONE,
        )

    def weigh(self, step: _work.Step) -> int:
        """Return the share of a worker that a task takes, in millicores.

        That is the processor time of which a worker has as small a share as
        the task needs of what it needs most of.
        """
        worker_state = next(iter(self.worker_states.values()), None)
        if worker_state is None:
            return _states.occupy(step).cpu_millicores
        return _states.weigh(step, worker_state.record.capacity)

    def find_usual_need(self) -> int:
        """Return what a usual job needs at once, in millicores."""
        if not self._widths:
            return 0
        return sorted(self._widths)[len(self._widths) // 2]

    def release(self, job: _states.Job, wall: datetime.datetime) -> None:
        """Make the occurrences that are due ready to start."""
        while job.released < job.spec.occurrences:
            due = _states.find_due(job.spec, job.released)
            if due is not None and due > wall:
                return
            self._add_occurrence(job, job.released)
            job.released += 1

    def _add_occurrence(self, job: _states.Job, occurrence: int) -> None:
        for position, step in enumerate(job.spec.steps):
            group = _states.TaskGroup(job, occurrence, position, step)
            for index in range(step.task_count):
                id_ = _work.TaskId(job.id, occurrence, position, index)
                group.tasks.append(self._create_task(id_, group))
            group.remaining = sum(not task.is_done for task in group.tasks)
            job.groups[group.key] = group
            job.open_groups += group.remaining > 0
        for position in range(len(job.spec.steps)):
            self._open(job.groups[occurrence, position])

    def _create_task(
        self, id_: _work.TaskId, group: _states.TaskGroup
    ) -> _states.Task:
        job = group.job
        task = _states.Task(id_, group, blocked_until=job.blocked_until)
        task.last_number = self._first_number - 1
        if job.restored_progress is not None:
            task.is_done = id_ in job.restored_progress.done
            task.failed_runs |= job.restored_progress.failed.get(id_, set())
            task.last_number = max(task.failed_runs | {task.last_number})
        return task

    def _open(self, group: _states.TaskGroup) -> None:
        before = (
            group.job.groups[group.occurrence, position]
            for position in group.step.after
        )
        if group.remaining and not any(item.remaining for item in before):
            self.open_groups[group] = None

    def find_task(self, id_: _work.TaskId) -> _states.Task | None:
        """Return a task of a job that is known."""
        job = self.jobs.get(id_.job)
        group = job and job.groups.get((id_.occurrence, id_.step))
        if not group or not 0 <= id_.ordinal < len(group.tasks):
            return None
        return group.tasks[id_.ordinal]

    def list_waiting(
        self, group: _states.TaskGroup, now: datetime.timedelta
    ) -> list[_states.Task]:
        """Return the tasks of an open group that may be started."""
        return [
            task
            for task in group.tasks
            if task.run is None
            and not task.is_done
            and task.blocked_until <= now
        ]

    def add_run(
        self,
        task: _states.Task,
        worker_state: _states.WorkerState,
        now: datetime.timedelta,
    ) -> _states.Run:
        """Note that a start of the task is being sent to the worker."""
        task.last_number += 1
        return self._attach(
            _states.Run(task, task.last_number, '', now), worker_state
        )

    def adopt_run(
        self,
        task: _states.Task,
        worker_state: _states.WorkerState,
        active: _work.ActiveRun,
        now: datetime.timedelta,
    ) -> _states.Run:
        """Note a run that the worker reports and the board did not know."""
        task.last_number = max(task.last_number, active.number)
        run = _states.Run(
            task, active.number, '', now, _states.RunState.ACTIVE
        )
        run.answered_at = run.reported_at = now
        # An earlier owner may have ordered one.
        run.pace = None
        run.percent, run.load = active.percent, active.load
        task.checkpoint = active.checkpoint or task.checkpoint
        return self._attach(run, worker_state)

    def _attach(
        self, run: _states.Run, worker_state: _states.WorkerState
    ) -> _states.Run:
        task = run.task
        run.worker = worker_state.record.id
        task.run = run
        worker_state.runs[task.id] = run
        worker_state.used = worker_state.used.plus(
            _states.occupy(task.group.step)
        )
        spread = task.group.spread
        spread[run.worker] = spread.get(run.worker, 0) + 1
        if task.group.job.state is _work.JobState.PENDING:
            task.group.job.state = _work.JobState.RUNNING
        return run

    def remove_run(self, run: _states.Run) -> None:
        """Note that the run is not present and will not be."""
        worker_state = self.worker_states.get(run.worker)
        if (
            worker_state is not None
            and worker_state.runs.get(run.task.id) is run
        ):
            del worker_state.runs[run.task.id]
            worker_state.used = worker_state.used.minus(
                _states.occupy(run.task.group.step)
            )
            _leave(run)
        if run.task.run is run:
            run.task.run = None

    def note_end(self, worker: str, end: _work.EndedRun) -> None:
        """Take the end of a run that a worker reports."""
        worker_state = self.worker_states.get(worker)
        run = (
            worker_state.runs.get(end.task)
            if worker_state is not None
            else None
        )
        if run is not None and run.number == end.number:
            self.remove_run(run)
        task = self.find_task(end.task)
        if task is None:
            return
        task.last_number = max(task.last_number, end.number)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if task.group.job.is_final:
            return
        if end.kind is _work.EndKind.FAILED:
            self._fail(task, end.number)
        elif end.kind is _work.EndKind.DONE:
            self._finish(task)

    def _finish(self, task: _states.Task) -> None:
        step = task.group.step
        if step.is_long_running:
            return
        if step.is_gang:
            # The end of one member stands for all.
            for member in task.group.tasks:
                self._mark_done(member)
        else:
            self._mark_done(task)

    def _mark_done(self, task: _states.Task) -> None:
        if task.is_done:
            return
        group, job = task.group, task.group.job
        task.is_done = True
        group.remaining -= 1
        self.changed[job.id] = job
        if group.remaining:
            return
        self.open_groups.pop(group, None)
        job.open_groups -= 1
        for position, step in enumerate(job.spec.steps):
            if group.position in step.after:
                self._open(job.groups[group.occurrence, position])
        if not job.open_groups and job.released == job.spec.occurrences:
            self.finish_job(job, _work.JobState.COMPLETED)

    def _fail(self, task: _states.Task, number: int) -> None:
        if task.is_done or task.group.step.is_long_running:
            return
        job = task.group.job
        task.failed_runs.add(number)
        self.changed[job.id] = job
        if len(task.failed_runs) >= job.queue.attempt_limit:
            self.finish_job(job, _work.JobState.FAILED)

    def finish_job(self, job: _states.Job, state: _work.JobState) -> None:
        """Give the job its final state; its runs are left to be stopped."""
        job.state = state
        self.changed[job.id] = job
        for group in job.groups.values():
            self.open_groups.pop(group, None)

    def allow_duplicate_starts(
        self, worker_state: _states.WorkerState
    ) -> None:
        """Let tasks of a silent worker start elsewhere where copies may run.

        The runs stay with the worker, whose room they may take up.
        """
        for run in worker_state.runs.values():
            copies = run.task.group.step.allows_duplicates
            if copies and run.task.run is run:
                run.task.run = None

    def remove_worker(self, worker: str, free_at: datetime.timedelta) -> None:
        """Remove a worker whose runs may go on until the given time."""
        worker_state = self.worker_states.pop(worker, None)
        if worker_state is None:
            return
        for run in list(worker_state.runs.values()):
            self._lose(run, free_at)

    def _lose(self, run: _states.Run, free_at: datetime.timedelta) -> None:
        task = run.task
        if task.run is run and not task.group.step.allows_duplicates:
            task.blocked_until = max(task.blocked_until, free_at)
        _leave(run)
        if task.run is run:
            task.run = None

    def count_queued(self, queue: str) -> int:
        """Return the number of jobs for which no task has started."""
        return sum(
            job.queue.name == queue
            and job.state is _work.JobState.PENDING
            and job.spec.first_run is None
            for job in self.jobs.values()
        )

    def list_obsolete(self) -> Iterator[_states.Run]:
        """Yield runs that have no use any more."""
        for worker_state in self.worker_states.values():
            for run in worker_state.runs.values():
                task = run.task
                if run.state is _states.RunState.STOPPING:
                    continue
                if task.group.job.is_final or task.is_done:
                    yield run


def _leave(run: _states.Run) -> None:
    """Count a run of a step less on its worker."""
    spread = run.task.group.spread
    spread[run.worker] -= 1
    if not spread[run.worker]:
        del spread[run.worker]
