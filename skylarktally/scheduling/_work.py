"""Data types for jobs, tasks, queues, workers and maintenance waves."""

import dataclasses
import datetime
import enum
import functools
from typing import NamedTuple

_NONE = datetime.timedelta()


class Resources(NamedTuple):
    """Amounts of processor, memory and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of each amount."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of each amount, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: 'Resources') -> bool:
        """Tell whether no amount exceeds what is available."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class Step(NamedTuple):
    """A step of a job: a number of identical tasks."""

    task_count: int
    # Resources that each task needs on its worker.
    resources: Resources
    # Approximate run time of a task.
    estimate: datetime.timedelta = _NONE
    # Positions of the steps that must be completed first.
    after: tuple[int, ...] = ()
    # Gang scheduling: all tasks start together or none does.
    is_gang: bool = False
    # Its tasks are slower when they are on more than one rack.
    is_tightly_coupled: bool = False
    required_label: str = ''
    # Rack of the input data; tasks on any other rack are slower.
    data_rack: str = ''
    # Anti-affinity: limit of the tasks on one worker; 0 means no limit.
    tasks_per_worker: int = 0
    saves_checkpoints: bool = False
    allows_duplicates: bool = False
    # Its tasks run until the job is cancelled.
    is_long_running: bool = False
    image: str = ''
    # Upper bound of the tail latency of tasks that serve requests; zero
    # for tasks that serve none.
    latency_target: datetime.timedelta = _NONE
    # Uses only the processor time that other tasks leave idle.
    is_filler: bool = False
    # Availability budget: number of tasks that planned actions may make
    # unavailable at the same time; 0 means no limit.
    unavailable_limit: int = 0


class JobSpec(NamedTuple):
    """Steps and schedule of a job, as the caller submitted it."""

    task_spec: str
    steps: tuple[Step, ...]
    first_run: datetime.datetime | None = None
    interval: datetime.timedelta = _NONE
    occurrences: int = 1


class AdvicePolicy(NamedTuple):
    """Response time of the advisor service for a queue."""

    decision_time: datetime.timedelta
    # In addition, for each worker in the question.
    worker_time: datetime.timedelta


class Queue(NamedTuple):
    """A queue of jobs and its policy in the configuration."""

    name: str
    host: str
    prefix: str
    pool: str
    # 0 is the most urgent.
    priority: int
    attempt_limit: int
    # Deadline of a job after its acceptance: stretch * critical path +
    # target latency.
    stretch: float
    target_latency: datetime.timedelta
    timeout: datetime.timedelta
    # Set if the advisor service decides which workers may run a step.
    advice: AdvicePolicy | None = None


class Pool(NamedTuple):
    """A pool of workers in the configuration."""

    name: str
    # Its instances are powered off until they are moved to another pool.
    is_standby: bool


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Queues, pools and limits that the operator has declared.

    Queues are looked up with each request, at a cost that does not grow with
    their number. The indexes are made with the first look-up.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    body_limit_bytes: int

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return self._queues_by_name.get(name)

    def match_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with this host and the longest matching prefix."""
        queues = self._queues_by_location
        for length in self._prefix_lengths:
            queue = queues.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    @functools.cached_property
    def _queues_by_name(self) -> dict[str, Queue]:
        # Reversed, so that the first of several equal ones remains.
        return {queue.name: queue for queue in reversed(self.queues)}

    @functools.cached_property
    def _queues_by_location(self) -> dict[tuple[str, str], Queue]:
        return {
            (queue.host, queue.prefix): queue
            for queue in reversed(self.queues)
        }

    @functools.cached_property
    def _prefix_lengths(self) -> tuple[int, ...]:
        lengths = {len(queue.prefix) for queue in self.queues}
        return tuple(sorted(lengths, reverse=True))


class WorkerRecord(NamedTuple):
    """Address, capacity and state that a worker has registered."""

    id: str
    pool: str
    address: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    # Start of the worker process, in milliseconds since the epoch; differs
    # between incarnations of the worker.
    started_ms: int
    # Minimum time until a draining worker stops.
    drain_time_left: datetime.timedelta | None
    # The instance that the worker runs on.
    instance: str = ''


class TaskId(NamedTuple):
    """Identifies a task."""

    job: str
    occurrence: int
    step: int
    ordinal: int


class StepId(NamedTuple):
    """Identifies a step in one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class JobState(enum.Enum):
    """State of a job, as reported to callers."""

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
    """A run that a worker reports as active."""

    task: TaskId
    number: int
    checkpoint: str
    # Speed in per cent of full speed, 0 to 100.
    percent: int
    # Tail latency in milliseconds if the task serves requests, otherwise
    # its processor use.
    load: int


class EndedRun(NamedTuple):
    """The end of a run, as reported by a worker."""

    sequence: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """Response of a worker to a lease renewal."""

    clock: datetime.timedelta
    started_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    # False if more runs may have ended than are listed. The others follow
    # once these are acknowledged.
    is_complete: bool = True


class Wave(NamedTuple):
    """A maintenance wave: instances to maintain within a time limit."""

    id: int
    instances: tuple[str, ...]
    duration: datetime.timedelta
    # Number of instances that may be down at the same time.
    limit: int


class InstanceRecord(NamedTuple):
    """An instance, as listed by the platform."""

    id: str
    pool: str
    # One of up, moving, upkeep and down.
    state: str
    zone: str
    # Id of the worker on the instance; empty when it is powered off.
    worker: str
    cpu_millicores: int = 0
