"""Mutable state of jobs, tasks, runs and workers in a pool."""

import dataclasses
import datetime
import enum
from typing import NamedTuple

from skylarktally.scheduling import _work

_NONE = datetime.timedelta()
FULL_SPEED = 100
# Workers report every second. If the last report is older than this, the
# worker may have failed.
MAX_REPORT_AGE = datetime.timedelta(seconds=1.6)
# A long-running task that is lost waits for the lease of its worker and must
# run again within 9 s; the difference is for placing and starting it.
_MAX_AWAITED_LEASE = datetime.timedelta(seconds=8)


class Absence(enum.Enum):
    """What it means that a pool has no job or task of some id in memory."""

    # It does not exist here, or it has ended: nothing of it is needed.
    NONE = 'none'
    # It exists, or may do so in a moment, and is not in memory yet.
    NOT_YET = 'not yet'
    # It may exist: what is stored of it cannot be used.
    UNKNOWN = 'unknown'


class RunState(enum.Enum):
    """State of a run, as far as the owner of the pool knows it."""

    # The start request is in flight.
    SENT = 'sent'
    ACTIVE = 'active'
    # The start request got no response and may still take effect.
    UNCONFIRMED = 'doubtful'
    # A stop request has been sent.
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One attempt to execute a task on a worker."""

    task: 'Task'
    number: int
    worker: str
    sent_at: datetime.timedelta
    state: RunState = RunState.SENT
    # Speed in per cent of full speed, and load, from the last report. The
    # speed is 0 until the worker reports the run.
    percent: int = 0
    load: int = 0
    # Speed limit that was last sent, in per cent of full speed; None if
    # it is not known.
    pace: int | None = FULL_SPEED
    # When the response to the last request for this run arrived.
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
    # No new run before these times: after a takeover, since a worker that did
    # not report may run the task; and since its last run may still be active.
    # The end of the takeover ends the first wait only.
    takeover_until: datetime.timedelta = _NONE
    lost_until: datetime.timedelta = _NONE

    @property
    def blocked_until(self) -> datetime.timedelta:
        """When the task may have a new run."""
        return max(self.takeover_until, self.lost_until)

    def is_working(self, now: datetime.timedelta) -> bool:
        """Tell whether a recent report shows the task at full speed."""
        run = self.run
        return (
            run is not None
            and run.state is RunState.ACTIVE
            and run.percent >= FULL_SPEED
            and run.reported_at is not None
            and now - run.reported_at <= MAX_REPORT_AGE
        )


class WorkerAdvice(NamedTuple):
    """Stored answer of the advisor service for a step on a worker."""

    # Start time of the worker process that the answer is valid for; a
    # restarted worker needs a new ticket.
    started_ms: int
    # Empty if the worker is not allowed to run the step.
    ticket: str
    expires_at: datetime.timedelta


class StartLimits(NamedTuple):
    """Latest starts of a group of tasks, on the clock of its job."""

    # With a later start the job misses its deadline.
    on_time: datetime.timedelta
    # With a later start the job expires before it ends.
    late: datetime.timedelta


@dataclasses.dataclass(slots=True, eq=False)
class TaskGroup:
    """The tasks of one step in one occurrence of a job."""

    job: 'Job'
    occurrence: int
    position: int
    step: _work.Step
    # Each plan compares these limits for all waiting groups.
    start_limits: StartLimits
    tasks: list[Task] = dataclasses.field(default_factory=list)
    unfinished_count: int = 0
    # Number of runs of the group by worker.
    runs_per_worker: dict[str, int] = dataclasses.field(default_factory=dict)
    # Answers of the advisor service by worker, if the queue requires it.
    worker_advice: dict[str, WorkerAdvice] = dataclasses.field(
        default_factory=dict
    )

    @property
    def id(self) -> _work.StepId:
        """Identifier of the step."""
        return _work.StepId(self.job.id, self.occurrence, self.position)

    @property
    def key(self) -> tuple[int, int]:
        """Occurrence and position of the step."""
        return self.occurrence, self.position


@dataclasses.dataclass(slots=True)
class OccurrenceSet:
    """Numbers of occurrences; compact if nearly all lowest ones are in it."""

    # All below this number are in the set.
    below: int = 0
    others: set[int] = dataclasses.field(default_factory=set)

    def __contains__(self, occurrence: int) -> bool:
        return occurrence < self.below or occurrence in self.others

    def add(self, occurrence: int) -> None:
        """Add an occurrence."""
        self.others.add(occurrence)
        while self.below in self.others:
            self.others.remove(self.below)
            self.below += 1


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An accepted job and the state of its tasks."""

    id: str
    queue: _work.Queue
    spec: _work.JobSpec
    accepted_at: datetime.timedelta
    state: _work.JobState = _work.JobState.PENDING
    # Callers see the final state only after it has been stored, so that it
    # cannot be lost with the owner.
    is_final_state_stored: bool = False
    # Groups of the occurrences that are released and not finished; those of
    # a job that runs once stay.
    groups: dict[tuple[int, int], TaskGroup] = dataclasses.field(
        default_factory=dict
    )
    released_occurrences: int = 0
    # Occurrences that are not released, but whose tasks exist: a worker has
    # reported a run of one, which an earlier owner started.
    reported_occurrences: set[int] = dataclasses.field(default_factory=set)
    finished_occurrences: OccurrenceSet = dataclasses.field(
        default_factory=OccurrenceSet
    )
    unfinished_groups: int = 0
    # Progress that a previous owner stored, of the tasks that do not exist
    # yet; None for a new job.
    restored_progress: 'JobProgress | None' = None
    blocked_until: datetime.timedelta = _NONE
    # Whether a worker that may run its tasks has not reported. Tasks that may
    # be done wait for that worker also after ``blocked_until``, which is a
    # forecast for them; long-running ones do not.
    awaits_reports: bool = False
    critical_path: datetime.timedelta = _NONE
    # Number of the term of the pool in which the job was accepted.
    generation: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self.state in _work.FINAL_STATES

    @property
    def deadline(self) -> datetime.timedelta:
        """Latest end of the job that meets the latency objective.

        On the same clock as accepted_at.
        """
        allowed = (
            self.queue.stretch * self.critical_path + self.queue.target_latency
        )
        return self.accepted_at + allowed


@dataclasses.dataclass(slots=True)
class JobProgress:
    """Progress of a job, as stored for the next owner."""

    state: _work.JobState
    done: set[_work.TaskId] = dataclasses.field(default_factory=set)
    failed: dict[_work.TaskId, set[int]] = dataclasses.field(
        default_factory=dict
    )
    finished: OccurrenceSet = dataclasses.field(default_factory=OccurrenceSet)

    def take_done(self, task: _work.TaskId) -> bool:
        """Remove a task, which now exists; True if it was done."""
        if task not in self.done:
            return False
        self.done.remove(task)
        return True

    def take_failed(self, task: _work.TaskId) -> set[int]:
        """Remove and return the failed runs of a task, which now exists."""
        return self.failed.pop(task, set())


@dataclasses.dataclass(slots=True, eq=False)
class WorkerState:
    """A worker and the runs that may be active on it."""

    record: _work.WorkerRecord
    used: _work.Resources = _work.Resources()
    runs: dict[_work.TaskId, Run] = dataclasses.field(default_factory=dict)
    # No new runs before this time, since runs failed there, the worker
    # rejected a request, or it is missing from the list of workers.
    backoff_until: datetime.timedelta = _NONE
    # No new batch runs before this time, since runs failed there.
    batch_backoff_until: datetime.timedelta = _NONE
    failures: int = 0
    # Speed limit of the filler tasks in per cent, and its last change.
    filler_pace: int = FULL_SPEED
    pace_changed_at: datetime.timedelta = _NONE
    # Number of runs in the last report that must be stopped; they use
    # capacity until they have ended.
    unwanted_runs: int = 0
    # Number of runs in the last report whose jobs cannot be read. They go on,
    # and use capacity that is not known.
    unknown_runs: int = 0
    # Runs leave the worker, since its instance will be maintained or moved.
    is_evacuating: bool = False
    # Whether a report with all ended runs has been received in the current
    # term, and since its entry showed another incarnation.
    has_reported: bool = False
    # Start of the incarnation that sent the last report, in milliseconds since
    # the epoch; its entry may show it later. None before the first report.
    reported_start_ms: int | None = None
    # Whether the last request to the worker got no response.
    is_unresponsive: bool = False
    # Since when it has been unresponsive, according to the last
    # synchronisation with the list of workers; None if it is not.
    silent_since: datetime.timedelta | None = None
    # When the last lease that the worker may hold has certainly expired.
    leases_expire_at: datetime.timedelta = _NONE
    # Whether it has reported ends of runs whose effect is not stored. Until
    # then, the next owner has to learn of them from the worker.
    has_unstored_ends: bool = False
    # Whether the stored term lists the worker, so that the next owner
    # knows that it may hold a lease, and does not say when its leases end.
    # Otherwise it gets no starts, and its leases are not extended.
    may_extend_leases: bool = False
    # Whether it holds a lease that no term row names since it was found. A row
    # that was made before that does not set ``may_extend_leases``.
    has_unnamed_lease: bool = False
    # Why plans fail with this record of the worker; empty if they do not.
    set_aside_reason: str = ''

    def is_lease_long(self, now: datetime.timedelta) -> bool:
        """Tell whether a task that is lost there could start too late.

        A restarted worker may hold a lease by the clock of its former
        incarnation, which lasts longer than those that are renewed.
        """
        return self.leases_expire_at - now > _MAX_AWAITED_LEASE

    def has_label(self, label: str) -> bool:
        """Tell whether the worker is known to have a label, if one is given.

        A new incarnation may have other labels than the record.
        """
        if not label:
            return True
        return self.is_record_current and label in self.record.labels

    @property
    def is_record_current(self) -> bool:
        """Whether the record is of the incarnation that reported last.

        After a restart its entry is read later than its first report.
        """
        return self.reported_start_ms in (None, self.record.started_ms)

    @property
    def available(self) -> _work.Resources:
        """Resources that are not reserved by runs."""
        return self.record.capacity.minus(self.used)

    @property
    def has_any_runs(self) -> bool:
        """Whether something runs there, also what is not planned."""
        return (
            bool(self.runs) or self.unwanted_runs > 0 or self.unknown_runs > 0
        )

    @property
    def has_open_runs(self) -> bool:
        """Whether it has runs, or ended runs whose end is not stored."""
        return (
            bool(self.runs) or self.unknown_runs > 0 or self.has_unstored_ends
        )

    @property
    def is_schedulable(self) -> bool:
        """Whether new runs may be sent to the worker."""
        return (
            self.has_reported
            and self.may_extend_leases
            and not self.unwanted_runs
            and not self.unknown_runs
            and not self.is_unresponsive
            and not self.record.is_draining
            and not self.is_evacuating
            and not self.set_aside_reason
        )


def find_reserved_resources(step: _work.Step) -> _work.Resources:
    """Return the resources that a task of the step reserves.

    Filler tasks reserve no processor time, since they use what is idle.
    """
    if step.is_filler:
        return step.resources._replace(cpu_millicores=0)
    return step.resources


def find_dominant_share(step: _work.Step, capacity: _work.Resources) -> int:
    """Return the dominant share of a task, in millicores.

    That is the larger of its shares of the processors and of the memory,
    multiplied by the processor capacity.
    """
    reserved = find_reserved_resources(step)
    memory_share = reserved.memory_mb / max(capacity.memory_mb, 1)
    return max(
        reserved.cpu_millicores, int(memory_share * capacity.cpu_millicores)
    )


def find_critical_path(spec: _work.JobSpec) -> datetime.timedelta:
    """Return the estimated duration of the longest chain of steps."""
    end_times: list[datetime.timedelta] = []
    for step in spec.steps:
        start = max((end_times[item] for item in step.after), default=_NONE)
        end_times.append(start + step.estimate)
    return max(end_times)


def find_due_time(
    spec: _work.JobSpec, occurrence: int
) -> datetime.datetime | None:
    """Return when an occurrence is due; None if it starts at once."""
    if spec.first_run is None:
        return None
    return spec.first_run + occurrence * spec.interval
