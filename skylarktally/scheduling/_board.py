"""State of the jobs, runs and workers of one pool.

The board holds no connection and no clock: times are passed in, as time
since a fixed point. What must be stored is collected in ``changed``.
"""

import collections
from collections.abc import Iterator
import dataclasses
import datetime
import enum

from skylarktally.scheduling import _forecasts
from skylarktally.scheduling import _work

_NONE = datetime.timedelta()
FULL_SPEED = 100
# Workers report every second; one that has not for longer may be gone.
_FRESH = datetime.timedelta(seconds=1.6)
# Jobs from which a usual one is told.
_USUAL_JOBS = 21


class RunState(enum.Enum):
    """What is known about a run."""

    # The start is on its way.
    SENT = 'sent'
    ACTIVE = 'active'
    # The start has no answer and may be carried out later.
    DOUBTFUL = 'doubtful'
    # A stop has been ordered.
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker."""

    task: 'Task'
    number: int
    worker: str
    sent_at: datetime.timedelta
    state: RunState = RunState.SENT
    # As reported; a task that has just started is not at work yet.
    percent: int = 0
    load: int = 0
    # When the answer to the last order on this run arrived.
    answered_at: datetime.timedelta | None = None
    # When the worker last reported the run.
    reported_at: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job."""

    id: _work.TaskId
    group: 'Group'
    run: Run | None = None
    is_done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_number: int = 0
    checkpoint: str = ''
    # A run that nobody reports may be present until then.
    barred_until: datetime.timedelta = _NONE

    def is_working(self, now: datetime.timedelta) -> bool:
        """Tell whether the worker says that the task is at full speed."""
        run = self.run
        return (
            run is not None
            and run.state is RunState.ACTIVE
            and run.percent >= FULL_SPEED
            and run.reported_at is not None
            and now - run.reported_at <= _FRESH
        )


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """The tasks of one step in one occurrence of a job."""

    job: 'Job'
    occurrence: int
    position: int
    step: _work.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    remaining: int = 0
    # Tasks of the group on each worker.
    spread: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def key(self) -> tuple[int, int]:
        """Occurrence and position of the step."""
        return self.occurrence, self.position


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job that was accepted."""

    id: str
    queue: _work.Queue
    spec: _work.JobSpec
    accepted_at: datetime.timedelta
    state: _work.JobState = _work.JobState.PENDING
    # Whether the final state is stored, so that callers may see it.
    is_settled: bool = False
    groups: dict[tuple[int, int], Group] = dataclasses.field(
        default_factory=dict
    )
    released: int = 0
    open_groups: int = 0
    # Failed runs and done tasks as of an earlier owner.
    restored: 'Progress | None' = None
    barred_until: datetime.timedelta = _NONE
    chain: datetime.timedelta = _NONE

    @property
    def is_final(self) -> bool:
        """Whether nothing of the job runs any more."""
        return self.state in _work.FINAL_STATES

    @property
    def objective(self) -> datetime.timedelta:
        """Time by which the job is on time, as the board counts it."""
        allowed = self.queue.stretch * self.chain + self.queue.target_latency
        return self.accepted_at + allowed


@dataclasses.dataclass(slots=True)
class Progress:
    """What is stored about a job after it was accepted."""

    state: _work.JobState
    done: set[_work.TaskId] = dataclasses.field(default_factory=set)
    failed: dict[_work.TaskId, set[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, eq=False)
class Seat:
    """A worker with the runs that it may have."""

    record: _work.WorkerRecord
    used: _work.Resources = _work.Resources()
    runs: dict[_work.TaskId, Run] = dataclasses.field(default_factory=dict)
    # No new runs until then, since the worker fails or does not answer.
    avoided_until: datetime.timedelta = _NONE
    failures: int = 0
    # Runs of the last report that have no use there; they take up room
    # until they have ended.
    unwanted: int = 0
    # The instance is to be maintained or moved.
    is_vacating: bool = False
    # Whether its report has been read under the present term.
    is_known: bool = False
    # Whether it has left the last order or look without an answer.
    is_silent: bool = False
    # Whether the stored term names it, so that a successor asks it.
    is_recorded: bool = False

    @property
    def room(self) -> _work.Resources:
        """What is left of the capacity."""
        return self.record.capacity.minus(self.used)

    @property
    def is_open(self) -> bool:
        """Whether new runs may be sent to the worker."""
        return (
            self.is_known
            and self.is_recorded
            and not self.unwanted
            and not self.is_silent
            and not self.record.is_draining
            and not self.is_vacating
        )


class Board:
    """Jobs, runs and workers of a pool."""

    def __init__(self, first_number: int = 1) -> None:
        """Create an empty board.

        :param first_number: lowest number of a run, above those of earlier
            owners
        """
        self.jobs: dict[str, Job] = {}
        self.seats: dict[str, Seat] = {}
        # Groups with tasks that may be started.
        self.open_groups: dict[Group, None] = {}
        # Jobs whose progress has not been stored.
        self.changed: dict[str, Job] = {}
        self._first_number = first_number
        # Processor capacity that the pool could be lent, in millicores.
        self.lendable_millicores = 0
        self.arrivals = _forecasts.Arrivals()
        # What the widest steps of the last jobs need, in millicores.
        self._widths: collections.deque[int] = collections.deque(
            maxlen=_USUAL_JOBS
        )

    def add_job(
        self, job: Job, now: datetime.timedelta, wall: datetime.datetime
    ) -> None:
        """Take a job that is stored."""
        job.chain = find_chain(job.spec)
        self._note_width(job.spec)
        if job.restored is None and job.spec.first_run is None:
            self.arrivals.note(now, measure_work(job.spec))
        self.jobs[job.id] = job
        if not job.is_final:
            self.release(job, wall)

    def _note_width(self, spec: _work.JobSpec) -> None:
        widths = [
            step.task_count * step.resources.cpu_millicores
            for step in spec.steps
            if not step.is_long_running
        ]
        if widths:
            self._widths.append(max(widths))

    def find_usual_need(self) -> int:
        """Return what a usual job needs at once, in millicores."""
        if not self._widths:
            return 0
        return sorted(self._widths)[len(self._widths) // 2]

    def release(self, job: Job, wall: datetime.datetime) -> None:
        """Make the occurrences that are due ready to start."""
        while job.released < job.spec.occurrences:
            due = find_due(job.spec, job.released)
            if due is not None and due > wall:
                return
            self._add_occurrence(job, job.released)
            job.released += 1

    def _add_occurrence(self, job: Job, occurrence: int) -> None:
        for position, step in enumerate(job.spec.steps):
            group = Group(job, occurrence, position, step)
            for index in range(step.task_count):
                id_ = _work.TaskId(job.id, occurrence, position, index)
                group.tasks.append(self._create_task(id_, group))
            group.remaining = sum(not task.is_done for task in group.tasks)
            job.groups[group.key] = group
            job.open_groups += group.remaining > 0
        for position in range(len(job.spec.steps)):
            self._open(job.groups[occurrence, position])

    def _create_task(self, id_: _work.TaskId, group: Group) -> Task:
        job = group.job
        task = Task(id_, group, barred_until=job.barred_until)
        task.last_number = self._first_number - 1
        if job.restored is not None:
            task.is_done = id_ in job.restored.done
            task.failed_runs |= job.restored.failed.get(id_, set())
            task.last_number = max(task.failed_runs | {task.last_number})
        return task

    def _open(self, group: Group) -> None:
        before = (
            group.job.groups[group.occurrence, position]
            for position in group.step.after
        )
        if group.remaining and not any(item.remaining for item in before):
            self.open_groups[group] = None

    def find_task(self, id_: _work.TaskId) -> Task | None:
        """Return a task of a job that is known."""
        job = self.jobs.get(id_.job)
        group = job and job.groups.get((id_.occurrence, id_.step))
        if not group or not 0 <= id_.ordinal < len(group.tasks):
            return None
        return group.tasks[id_.ordinal]

    def list_waiting(
        self, group: Group, now: datetime.timedelta
    ) -> list[Task]:
        """Return the tasks of an open group that may be started."""
        return [
            task
            for task in group.tasks
            if task.run is None
            and not task.is_done
            and task.barred_until <= now
        ]

    def add_run(self, task: Task, seat: Seat, now: datetime.timedelta) -> Run:
        """Note that a start of the task is being sent to the worker."""
        task.last_number += 1
        return self._attach(Run(task, task.last_number, '', now), seat)

    def adopt_run(
        self,
        task: Task,
        seat: Seat,
        active: _work.ActiveRun,
        now: datetime.timedelta,
    ) -> Run:
        """Note a run that the worker reports and the board did not know."""
        task.last_number = max(task.last_number, active.number)
        run = Run(task, active.number, '', now, RunState.ACTIVE)
        run.answered_at = run.reported_at = now
        run.percent, run.load = active.percent, active.load
        task.checkpoint = active.checkpoint or task.checkpoint
        return self._attach(run, seat)

    def _attach(self, run: Run, seat: Seat) -> Run:
        task = run.task
        run.worker = seat.record.id
        task.run = run
        seat.runs[task.id] = run
        seat.used = seat.used.plus(occupy(task.group.step))
        spread = task.group.spread
        spread[run.worker] = spread.get(run.worker, 0) + 1
        if task.group.job.state is _work.JobState.PENDING:
            task.group.job.state = _work.JobState.RUNNING
        return run

    def remove_run(self, run: Run) -> None:
        """Note that the run is not present and will not be."""
        seat = self.seats.get(run.worker)
        if seat is not None and seat.runs.get(run.task.id) is run:
            del seat.runs[run.task.id]
            seat.used = seat.used.minus(occupy(run.task.group.step))
        self._detach(run)

    def _detach(self, run: Run) -> None:
        if run.task.run is not run:
            return
        run.task.run = None
        spread = run.task.group.spread
        spread[run.worker] -= 1
        if not spread[run.worker]:
            del spread[run.worker]

    def note_end(self, worker: str, end: _work.EndedRun) -> None:
        """Take the end of a run that a worker reports."""
        seat = self.seats.get(worker)
        run = seat.runs.get(end.task) if seat is not None else None
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

    def _finish(self, task: Task) -> None:
        step = task.group.step
        if step.is_long_running:
            return
        if step.is_gang:
            # The end of one member stands for all.
            for member in task.group.tasks:
                self._mark_done(member)
        else:
            self._mark_done(task)

    def _mark_done(self, task: Task) -> None:
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

    def _fail(self, task: Task, number: int) -> None:
        if task.is_done or task.group.step.is_long_running:
            return
        job = task.group.job
        task.failed_runs.add(number)
        self.changed[job.id] = job
        if len(task.failed_runs) >= job.queue.attempt_limit:
            self.finish_job(job, _work.JobState.FAILED)

    def finish_job(self, job: Job, state: _work.JobState) -> None:
        """Give the job its final state; its runs are left to be stopped."""
        job.state = state
        self.changed[job.id] = job
        for group in job.groups.values():
            self.open_groups.pop(group, None)

    def release_copies(self, seat: Seat) -> None:
        """Let tasks of a silent worker start elsewhere where copies may run.

        The runs stay with the worker, whose room they may take up.
        """
        for run in seat.runs.values():
            if run.task.group.step.allows_duplicates:
                self._detach(run)

    def drop_seat(self, worker: str, free_at: datetime.timedelta) -> None:
        """Remove a worker whose runs may go on until the given time."""
        seat = self.seats.pop(worker, None)
        if seat is None:
            return
        for run in list(seat.runs.values()):
            self._lose(run, free_at)

    def _lose(self, run: Run, free_at: datetime.timedelta) -> None:
        task = run.task
        if task.run is run and not task.group.step.allows_duplicates:
            task.barred_until = max(task.barred_until, free_at)
        self._detach(run)

    def count_queued(self, queue: str) -> int:
        """Return the number of jobs for which no task has started."""
        return sum(
            job.queue.name == queue
            and job.state is _work.JobState.PENDING
            and job.spec.first_run is None
            for job in self.jobs.values()
        )

    def list_obsolete(self) -> Iterator[Run]:
        """Yield runs that have no use any more."""
        for seat in self.seats.values():
            for run in seat.runs.values():
                task = run.task
                if run.state is RunState.STOPPING:
                    continue
                if task.group.job.is_final or task.is_done:
                    yield run


def measure_work(spec: _work.JobSpec) -> datetime.timedelta:
    """Return the estimated work of a job, in time of one millicore."""
    work = _NONE
    for step in spec.steps:
        if not step.is_long_running:
            cost = step.resources.cpu_millicores * step.task_count
            work += step.estimate * cost
    return work


def occupy(step: _work.Step) -> _work.Resources:
    """Return what a task of the step occupies of the capacity."""
    if step.is_filler:
        return step.resources._replace(cpu_millicores=0)
    return step.resources


def find_chain(spec: _work.JobSpec) -> datetime.timedelta:
    """Return the longest chain of estimated work."""
    ends: list[datetime.timedelta] = []
    for step in spec.steps:
        begin = max((ends[item] for item in step.after), default=_NONE)
        ends.append(begin + step.estimate)
    return max(ends)


def find_due(spec: _work.JobSpec, occurrence: int) -> datetime.datetime | None:
    """Return when an occurrence is due; None if at once."""
    if spec.first_run is None:
        return None
    return spec.first_run + occurrence * spec.interval
