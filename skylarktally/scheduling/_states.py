"""What is known of jobs, tasks, runs and workers at one moment."""

import dataclasses
import datetime
import enum
from typing import NamedTuple

from skylarktally.scheduling import _work

_NONE = datetime.timedelta()
FULL_SPEED = 100
# Workers report every second; one that has not for longer may be gone.
_FRESH = datetime.timedelta(seconds=1.6)


class RunState(enum.Enum):
    """What is known about a run."""

    # The start is on its way.
    SENT = 'sent'
    ACTIVE = 'active'
    # The start has no answer and may be carried out later.
    UNCONFIRMED = 'doubtful'
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
    # Ordered, in per cent of full speed; None while that is not known.
    pace: int | None = FULL_SPEED
    # When the answer to the last order on this run arrived.
    answered_at: datetime.timedelta | None = None
    # When the worker last reported the run.
    reported_at: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a job."""

    id: _work.TaskId
    group: 'TaskGroup'
    run: Run | None = None
    is_done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_number: int = 0
    checkpoint: str = ''
    # A run that nobody reports may be present until then.
    blocked_until: datetime.timedelta = _NONE

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


class WorkerAdvice(NamedTuple):
    """What advice says of a worker and a step."""

    # The life of the worker that it holds for.
    started_ms: int
    # Empty if the worker may not run the step.
    ticket: str
    until: datetime.timedelta


@dataclasses.dataclass(slots=True, eq=False)
class TaskGroup:
    """The tasks of one step in one occurrence of a job."""

    job: 'Job'
    occurrence: int
    position: int
    step: _work.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    remaining: int = 0
    # Tasks of the group on each worker.
    spread: dict[str, int] = dataclasses.field(default_factory=dict)
    # Advice by worker, where the queue asks for it.
    worker_advice: dict[str, WorkerAdvice] = dataclasses.field(
        default_factory=dict
    )

    @property
    def id(self) -> _work.StepId:
        """Name of the step."""
        return _work.StepId(self.job.id, self.occurrence, self.position)

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
    is_final_state_stored: bool = False
    groups: dict[tuple[int, int], TaskGroup] = dataclasses.field(
        default_factory=dict
    )
    released: int = 0
    open_groups: int = 0
    # Failed runs and done tasks as of an earlier owner.
    restored_progress: 'JobProgress | None' = None
    blocked_until: datetime.timedelta = _NONE
    chain: datetime.timedelta = _NONE
    # Term of the pool in which it was accepted.
    generation: int = 0

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
class JobProgress:
    """What is stored about a job after it was accepted."""

    state: _work.JobState
    done: set[_work.TaskId] = dataclasses.field(default_factory=set)
    failed: dict[_work.TaskId, set[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, eq=False)
class WorkerState:
    """A worker with the runs that it may have."""

    record: _work.WorkerRecord
    used: _work.Resources = _work.Resources()
    runs: dict[_work.TaskId, Run] = dataclasses.field(default_factory=dict)
    # No new runs until then, since the worker fails or does not answer.
    backoff_until: datetime.timedelta = _NONE
    failures: int = 0
    # Pace that fillers are to have, in per cent, and since when.
    filler_pace: int = FULL_SPEED
    paced_at: datetime.timedelta = _NONE
    # Runs of the last report that have no use there; they take up room
    # until they have ended.
    unwanted_runs: int = 0
    # The instance is to be maintained or moved.
    is_evacuating: bool = False
    # Whether its report has been read under the present term.
    has_reported: bool = False
    # Whether it has left the last order or look without an answer.
    is_unresponsive: bool = False
    # Whether the stored term names it, so that a successor asks it.
    is_persisted: bool = False

    @property
    def room(self) -> _work.Resources:
        """What is left of the capacity."""
        return self.record.capacity.minus(self.used)

    @property
    def is_open(self) -> bool:
        """Whether new runs may be sent to the worker."""
        return (
            self.has_reported
            and self.is_persisted
            and not self.unwanted_runs
            and not self.is_unresponsive
            and not self.record.is_draining
            and not self.is_evacuating
        )


def occupy(step: _work.Step) -> _work.Resources:
    """Return what a task of the step occupies of the capacity."""
    if step.is_filler:
        return step.resources._replace(cpu_millicores=0)
    return step.resources


def weigh(step: _work.Step, capacity: _work.Resources) -> int:
    """Return the share of the capacity that a task takes, in millicores."""
    need = occupy(step)
    memory_share = need.memory_mb / max(capacity.memory_mb, 1)
    return max(
        need.cpu_millicores, int(memory_share * capacity.cpu_millicores)
    )


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
