"""Jobs, tasks, queues and workers, as the scheduler sees them."""

import datetime
import enum
from typing import NamedTuple

_NONE = datetime.timedelta()


class Resources(NamedTuple):
    """Amounts of each resource that a task needs or a worker has."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: 'Resources') -> bool:
        """Tell whether these amounts are available in the room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class Step(NamedTuple):
    """A number of like tasks of a job."""

    task_count: int
    # What each task occupies of a worker.
    resources: Resources
    # Rough duration of a task.
    estimate: datetime.timedelta = _NONE
    # Positions of the steps that must be done first.
    after: tuple[int, ...] = ()
    # All tasks run together or not at all.
    is_gang: bool = False
    # Slower when its tasks are on more than one rack.
    is_tightly_coupled: bool = False
    required_label: str = ''
    # Slower on any other rack.
    data_rack: str = ''
    # Most tasks of the step on one worker; 0 means any number.
    tasks_per_worker: int = 0
    saves_checkpoints: bool = False
    allows_duplicates: bool = False
    # Runs until the job is cancelled.
    is_long_running: bool = False
    image: str = ''
    # Bound of the tail latency of what the tasks serve, if they serve.
    latency_target: datetime.timedelta = _NONE
    # Uses the processor time that other tasks leave.
    is_filler: bool = False
    # Tasks that planned actions may make unavailable at the same time.
    unavailable_limit: int = 0


class JobSpec(NamedTuple):
    """What a caller wants to have run."""

    task_spec: str
    steps: tuple[Step, ...]
    first_run: datetime.datetime | None = None
    interval: datetime.timedelta = _NONE
    occurrences: int = 1


class AdvicePolicy(NamedTuple):
    """How long the advice on the workers of a step takes."""

    decision_time: datetime.timedelta
    # For each worker that is asked about.
    worker_time: datetime.timedelta


class Queue(NamedTuple):
    """A queue of jobs and its policy in the configuration."""

    name: str
    host: str
    prefix: str
    pool: str
    # 0 comes first.
    priority: int
    attempt_limit: int
    # The latency objective is this many times the longest chain of work,
    # and the target latency more.
    stretch: float
    target_latency: datetime.timedelta
    timeout: datetime.timedelta
    # Set where only some workers may run a step, which a service knows.
    advice: AdvicePolicy | None = None


class Pool(NamedTuple):
    """A pool of workers in the configuration."""

    name: str
    # Its instances are off and wait to be moved to other pools.
    is_standby: bool


class Configuration(NamedTuple):
    """What the operator has declared, as of one version."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    body_limit_bytes: int


class WorkerRecord(NamedTuple):
    """What a worker says about itself."""

    id: str
    pool: str
    address: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    # Start of the life of the worker, in milliseconds since the epoch.
    started_ms: int
    # Least time that is left to a draining worker.
    drain_time_left: datetime.timedelta | None
    # The instance that this is a life of.
    instance: str = ''


class TaskId(NamedTuple):
    """Name of a task."""

    job: str
    occurrence: int
    step: int
    ordinal: int


class StepId(NamedTuple):
    """Name of a step of a job."""

    job: str
    occurrence: int
    step: int


class JobState(enum.Enum):
    """State of a job as callers see it."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class ActiveRun(NamedTuple):
    """A run that a worker reports as present."""

    task: TaskId
    number: int
    checkpoint: str
    # Share of full speed that the task works at, 0 to 100.
    percent: int
    # Tail latency in milliseconds of a task that serves, else cpu in use.
    load: int


class EndedRun(NamedTuple):
    """The end of a run that a worker reports."""

    sequence: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """Answer of a worker to a lease renewal."""

    clock: datetime.timedelta
    started_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class Wave(NamedTuple):
    """A request to maintain instances within a time."""

    id: int
    instances: tuple[str, ...]
    duration: datetime.timedelta
    # Most instances that may be down at the same time.
    limit: int


class InstanceRecord(NamedTuple):
    """An instance as the platform lists it."""

    id: str
    pool: str
    # up, moving, upkeep or down.
    state: str
    zone: str
    # Empty when the instance is off.
    worker: str
    cpu_millicores: int = 0
