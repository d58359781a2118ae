"""The owner of a pool: accepts its jobs and schedules them on workers."""

from collections.abc import Callable, Mapping
import datetime
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _heap
from skylarktally import _loop
from skylarktally.scheduling import _admission
from skylarktally.scheduling import _faults
from skylarktally.scheduling import _inquiries
from skylarktally.scheduling import _job_store
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _order_limits
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _pacing
from skylarktally.scheduling import _placing
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _queue_pools
from skylarktally.scheduling import _records
from skylarktally.scheduling import _roster
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _signals
from skylarktally.scheduling import _standstills
from skylarktally.scheduling import _states
from skylarktally.scheduling import _submissions
from skylarktally.scheduling import _takeover
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind

_PLAN_INTERVAL = datetime.timedelta(seconds=0.25)
# Stops, paces and the list of workers are not planned with each end of a run
# but this often, since their cost follows the number of all runs.
_UPKEEP_INTERVAL = datetime.timedelta(seconds=0.1)
# Longest pause after a plan.
_MAX_PAUSE = datetime.timedelta(seconds=0.05)
# After a plan the owner pauses for this multiple of its duration, so that
# plans take at most a fifth of the processor however often runs end.
_PAUSE_FACTOR = 4
# Number of silent workers that a log line names; their number is unbounded.
_MAX_LOGGED_WORKERS = 8

# Plans that fail in succession before the owner looks for the cause.
_FAILURES_BEFORE_SEARCH = 3
# Failures in succession, of plans and searches, after which the term ends.
_FAILURES_BEFORE_END = 6

StateResult = result.Result[_work.JobState, _errors.Failure]
# A job in memory, the final state of one that has ended, or why there is none.
JobLookup = _states.Job | _work.JobState | _states.Absence

_NO_WAIT = datetime.timedelta()


class Submission(NamedTuple):
    """A job that a caller submits."""

    id: str
    queue: _work.Queue
    body: bytes
    # How long the caller waits for the result.
    timeout: datetime.timedelta
    # Version of the configuration that sends the queue to the pool.
    version: int
    # When the caller's request arrived at an entry instance; None if unknown.
    sent_at: datetime.timedelta | None = None


class PoolOwner:
    """Schedules the jobs of one pool for the duration of one term."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        store: _rows.Store,
        calls: _orders.WorkerClient,
        clock: _clock.Clock,
        decode_job: _job_store.JobDecoder,
        advisor: _inquiries.AdvisorQueue | None = None,
        note_plan: Callable[[datetime.timedelta], None] = lambda _: None,
        order_limits: _order_limits.OrderLimits | None = None,
    ) -> None:
        """Create the owner of a claimed pool.

        :param advisor: shared by all owners of the process
        :param note_plan: called with the duration of each plan
        :param order_limits: shared by all owners of the process
        """
        self.ledger = ledger
        self._note_plan = note_plan
        self._advisor = advisor
        # Run numbers must increase from one term to the next. Each term
        # has a range of 1000; no task is started that often within a term.
        first = (ledger.generation - 1) * 1000 + 1
        self.pool_state = _pool_state.PoolState(first)
        self.is_ready = False
        self._clock = clock
        self._decode_job = decode_job
        self._jobs = _job_store.JobStore(
            ledger, store, self.pool_state, clock, decode_job
        )
        self.queue_registry = _queue_pools.QueueRegistry(
            store, clock, ledger.shard
        )
        self._roster = _roster.Roster(self, calls, clock, order_limits)
        self._submissions = _submissions.PendingSubmissions()
        self._withdrawals = _submissions.Withdrawals()
        self._signal = _signals.Signal()
        self._upkeep_due = clock.monotonic()
        self._standstills = _standstills.StandstillMonitor(
            self.pool_state, ledger.shard
        )
        # Blocks tasks of jobs loaded from the store while workers with
        # unresolved leases may run them; None once no job is blocked.
        self._start_blocker: _takeover.StartBlocker | None = None
        # Workers for which they are blocked at present.
        self._unreported: set[str] = set()
        ledger.set_source(self)

    # Lifecycle.

    def run(
        self,
        queues: Mapping[str, _work.Queue],
        workers: Callable[[], Mapping[str, _work.WorkerRecord]],
        takeover: _takeover.TakeoverState,
        await_workers: Callable[[], None] = lambda: None,
    ) -> None:
        """Load the jobs, collect reports, and schedule until the term ends.

        :param await_workers: returns once ``workers`` is as new as the term
        """
        # Must precede the first commit: the term row has to keep naming
        # these workers as possible lease holders.
        self._roster.set_unresolved_leases(takeover.unresolved_leases)
        _loop.spawn_logging_errors(self.ledger.run)
        try:
            self._run(queues, workers, takeover, await_workers)
        finally:
            # After an error, another entry instance or a new term takes
            # over.
            self.ledger.end()
            self._shut_down()

    def _run(
        self,
        queues: Mapping[str, _work.Queue],
        workers: Callable[[], Mapping[str, _work.WorkerRecord]],
        takeover: _takeover.TakeoverState,
        await_workers: Callable[[], None],
    ) -> None:
        _loop.spawn_logging_errors(self.queue_registry.load)
        if not self._jobs.load(queues):
            return
        await_workers()
        departed = {
            id_: record
            for id_, record in takeover.departed_workers.items()
            if id_ in takeover.unresolved_leases
        }

        self._roster.sync({**departed, **workers()})
        # Jobs that are accepted from now on run on the workers that have
        # reported; only the loaded ones wait for the other workers.
        self._start_blocker = _takeover.StartBlocker(
            self.pool_state.jobs.values()
        )
        self._block_unresolved_tasks()
        self.is_ready = True
        _LOG.info(
            'owner ready',
            extra={
                'shard': self.ledger.shard,
                'token': self.ledger.token,
                'jobs': len(self.pool_state.jobs),
                'workers': len(self.pool_state.worker_states),
            },
        )
        if self._advisor is not None:
            requester = _inquiries.AdviceRequester(
                self, self._advisor, self._clock
            )
            _loop.spawn_logging_errors(requester.run)
        guard = _guards.Guard('plan', self._clock, shard=self.ledger.shard)
        while not self.ledger.is_over:
            self._signal.wait(_PLAN_INTERVAL)
            guard.attempt(self._plan_and_pause, workers)
            if guard.failures >= _FAILURES_BEFORE_SEARCH:
                guard.attempt(self._set_aside_faults)
            if guard.failures >= _FAILURES_BEFORE_END:
                self.abandon_term('plans fail')

    def _plan_and_pause(
        self, workers: Callable[[], Mapping[str, _work.WorkerRecord]]
    ) -> None:
        started_at = self._clock.monotonic()
        self._plan(workers)
        duration = self._clock.monotonic() - started_at
        self._note_plan(duration)
        self._clock.sleep(min(duration * _PAUSE_FACTOR, _MAX_PAUSE))

    def _set_aside_faults(self) -> None:
        """Leave out what makes plans fail, so that the rest is served.

        If nothing does, the state in memory is damaged: the term ends, and a
        new owner reads what is stored.
        """
        pool_state = self.pool_state
        faults = _faults.find_faults(pool_state, self._clock.monotonic())
        if not faults.jobs and not faults.workers:
            self.abandon_term('plans fail for no single job or worker')
            return
        for id_, reason in faults.jobs.items():
            pool_state.set_aside_job(id_, reason)
        for id_, reason in faults.workers.items():
            pool_state.worker_states[id_].set_aside_reason = reason
        _LOG.error(
            'plans fail',
            extra={
                'shard': self.ledger.shard,
                'jobs_set_aside': faults.jobs,
                'workers_set_aside': faults.workers,
            },
        )

    def _block_unresolved_tasks(self) -> None:
        """Block tasks that may run on workers that have not reported."""
        if self._start_blocker is None:
            return
        # Leases of this term are excluded: when a worker is removed, the
        # tasks that it ran are blocked individually.
        unreported = {
            id_: lease
            for id_, lease in self._roster.list_unreported().items()
            if lease.generation < self.ledger.generation
        }
        if unreported.keys() == self._unreported:
            return
        self._unreported = set(unreported)
        blocked = self._start_blocker.update(unreported.values())
        now = self._clock.monotonic()
        _LOG.info(
            'tasks blocked' if blocked else 'no tasks blocked any more',
            extra={
                'shard': self.ledger.shard,
                'silent_count': len(unreported),
                'silent': list(unreported)[:_MAX_LOGGED_WORKERS],
                'jobs': blocked,
                'leases_end_in_s': [
                    round((lease.expires_at - now).total_seconds(), 2)
                    for lease in unreported.values()
                ][:_MAX_LOGGED_WORKERS],
            },
        )
        if not blocked:
            self._start_blocker = None
            self._unreported = set()

    def _shut_down(self) -> None:
        self._roster.end()
        self._submissions.end()
        _LOG.info('owner ended', extra={'shard': self.ledger.shard})
        for id_ in list(self.pool_state.jobs):
            self.pool_state.remove_job(id_)
            # Other pools of the process have their turns.
            self._clock.sleep(_NO_WAIT)
        _heap.include_all_objects()

    def abandon_term(self, reason: str) -> None:
        """End the term, since another entry instance may own the shard."""
        if not self.ledger.is_over:
            _LOG.warning(
                'term lost',
                extra={'shard': self.ledger.shard, 'reason': reason},
            )
            self.ledger.end()
            self._signal.set()

    # Planning.

    def measure(self, lendable_millicores: int) -> _lending.PoolLoad:
        """Return the demand of running, waiting and expected work.

        :param lendable_millicores: processor capacity of other pools that
            could be lent to this one
        """
        self.pool_state.lendable_millicores = lendable_millicores
        return _planning.measure_load(self.pool_state, self._clock.monotonic())

    def vacate(self, id_: str) -> bool:
        """Evacuate a worker; True once its instance may be taken away."""
        return self.is_ready and self._roster.vacate(id_)

    def request_planning(self) -> None:
        """Wake the planning loop."""
        self._signal.set()

    def _plan(
        self, workers: Callable[[], Mapping[str, _work.WorkerRecord]]
    ) -> None:
        """Plan starts and, at intervals, all else."""
        now = self._clock.monotonic()
        is_upkeep_due = now >= self._upkeep_due
        if is_upkeep_due:
            self._upkeep_due = now + _UPKEEP_INTERVAL
            self._roster.sync(workers())
        if is_upkeep_due or self._unreported:
            # Reports arrive one after the other, and each plan may be the
            # first after the last one.
            self._block_unresolved_tasks()
        if is_upkeep_due:
            self._standstills.check(now)
        if not self.ledger.holds_term():
            return
        if is_upkeep_due:
            self._plan_stops()
        self._plan_starts()

    def _plan_stops(self) -> None:
        """Order stops and paces, and release jobs that have become due."""
        now = self._clock.monotonic()
        _planning.release_due(self.pool_state, self._clock.now())
        for run in _planning.plan_stops(self.pool_state, now):
            session = self._roster.find_session(run.worker)
            if session is not None:
                run.state = _states.RunState.STOPPING
                run.answered_at = None
                _loop.spawn_logging_errors(session.stop, run)
        self._set_paces(now)

    def _plan_starts(self) -> None:
        now = self._clock.monotonic()
        placements = _planning.plan_starts(self.pool_state, now)
        for task, worker_state in self._leave_out_unsure(placements):
            session = self._roster.find_session(worker_state.record.id)
            run = self.pool_state.add_run(task, worker_state, now)
            if session is not None:
                _loop.spawn_logging_errors(session.start, run)
        if self.pool_state.changed:
            self._request_commit()

    def _leave_out_unsure(
        self, placements: list[_placing.Placement]
    ) -> list[_placing.Placement]:
        """Return the starts that need no report of their worker first.

        An idle worker may have gone. A long-running task that is started
        there would have to wait for its lease, perhaps after that of another
        worker. The members of a gang start together or not at all.
        """
        unsure = []
        for placement in placements:
            session = self._roster.find_session(
                placement.worker_state.record.id
            )
            if (
                session is not None
                and placement.task.group.step.is_long_running
                and not session.has_recent_report()
            ):
                session.request_report()
                unsure.append(placement)
        if not unsure:
            return placements
        self._roster.request_reports_after_loss()
        gangs = {
            placement.task.group
            for placement in unsure
            if placement.task.group.step.is_gang
        }
        return [
            placement
            for placement in placements
            if placement not in unsure and placement.task.group not in gangs
        ]

    def _set_paces(self, now: datetime.timedelta) -> None:
        for id_, worker_state in self.pool_state.worker_states.items():
            session = self._roster.find_session(id_)
            if session is None or worker_state.is_unresponsive:
                continue
            for run, percent in _pacing.plan_paces(worker_state, now):
                _loop.spawn_logging_errors(session.pace, run, percent)

    def _request_commit(self) -> None:
        is_urgent = any(
            job.is_final for job in self.pool_state.changed.values()
        )
        self.ledger.request_commit(is_urgent)

    # Implementation of _ledger.ChangeSource.

    def list_lease_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""
        return self._roster.list_lease_holders()

    def list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        """Return the possible lease holders that cannot be reached."""
        return self._roster.list_unreachable()

    def confirm_holders(self, workers: tuple[str, ...]) -> None:
        """Allow leases of workers that the stored term row names."""
        self._roster.confirm_holders(workers)

    def take_changes(self, limit: int, max_bytes: int) -> _ledger.Changes:
        """Return rows with the progress of changed jobs."""
        return self._jobs.take_changes(limit, max_bytes)

    # Requests from callers.

    def submit(
        self, submission: Submission
    ) -> result.Result[None, _errors.Failure]:
        """Accept a job; on success it is stored.

        Submitting a job again that is known succeeds without effect.
        """
        id_ = submission.id
        if self.is_known(id_):
            return result.Success(None)
        pending = self._submissions.find(id_)
        if pending is not None:
            return _convert_outcome(pending.wait(submission.timeout))
        if self._withdrawals.covers(id_, submission.sent_at):
            message = 'the job was cancelled while its request was under way'
            return _fail(ErrorKind.CONFLICT, message)
        queue, version = submission.queue, submission.version
        if not self.queue_registry.accepts(queue, version):
            message = 'a later configuration sends the queue elsewhere'
            return _fail(ErrorKind.LEASE_LOST, message)
        if not self.ledger.holds_term():
            # The store has not answered lately; fail now instead of
            # holding the caller until its timeout.
            return _fail_lease_lost()
        try:
            spec = self._decode_job(submission.body)
        except _errors.MalformedInput as error:
            return _fail(ErrorKind.INVALID_REQUEST, str(error))
        value = self._encode_record(submission)
        failure = self._review(submission, spec, value)
        if failure is not None:
            return result.Failure(failure)
        self.pool_state.note_arrival(spec, self._clock.monotonic())
        outcome = self._accept(submission, spec, value)
        if outcome is _ledger.WriteOutcome.DISCARDED:
            self._submissions.resolve(id_, outcome)
        return _convert_outcome(outcome)

    def _review(
        self, submission: Submission, spec: _work.JobSpec, value: bytes
    ) -> _errors.Failure | None:
        """Return why a job is refused; None if it is not.

        :param value: of its row
        """
        refusal = _admission.review(self.pool_state, submission.queue, spec)
        if refusal is not None:
            kind = ErrorKind.QUEUE_FULL
            if refusal.is_permanent:
                kind = ErrorKind.UNSCHEDULABLE
            return _errors.Failure(kind, refusal.reason, refusal.retry_after)
        if len(value) > _records.MAX_ROW_BYTES:
            message = 'the job is larger than the table service can store'
            return _errors.Failure(ErrorKind.BODY_TOO_LARGE, message)
        return None

    def is_known(self, id_: str) -> bool:
        """Tell whether a job has been accepted; its row may be unreadable."""
        return self._find_job(id_) not in (
            _states.Absence.NONE,
            _states.Absence.NOT_YET,
        )

    def _find_job(self, id_: str) -> JobLookup:
        final = self._jobs.find_final_state(id_)
        if final is not None:
            return final
        found = self.pool_state.find_job(id_)
        if found is _states.Absence.NONE and id_ in self._submissions:
            return _states.Absence.NOT_YET
        return found

    def _await_job(self, id_: str, timeout: datetime.timedelta) -> JobLookup:
        """Find a job once it is known to be stored, or after the timeout."""
        pending = self._submissions.find(id_)
        if pending is not None:
            pending.wait(timeout)
        return self._find_job(id_)

    def _encode_record(self, submission: Submission) -> bytes:
        record = _job_store.create_record(
            submission.queue,
            submission.body,
            self._clock.now(),
            self.ledger.generation,
        )
        return _records.encode_job(record)

    def _accept(
        self, submission: Submission, spec: _work.JobSpec, value: bytes
    ) -> _ledger.WriteOutcome:
        """Store a job, and add it once it is stored.

        :param value: of its row
        """
        now = self._clock.monotonic()
        wall_time = self._clock.now()
        put = (self._jobs.make_key(_records.JOBS, submission.id), value)
        job = _states.Job(submission.id, submission.queue, spec, now)
        pending = self._submissions.add(job.id)

        def on_outcome(outcome: _ledger.WriteOutcome) -> None:
            if outcome is _ledger.WriteOutcome.APPLIED:
                self._add_job(job, now, wall_time)
                if pending.is_cancelled:
                    self._cancel(job)
            self._submissions.resolve(job.id, outcome)

        return self.ledger.write([put], submission.timeout, on_outcome)

    def _add_job(
        self,
        job: _states.Job,
        now: datetime.timedelta,
        wall_time: datetime.datetime,
    ) -> None:
        """Add a job that is stored; set it aside if that fails."""
        try:
            self.pool_state.add_job(job, now, wall_time)
        except Exception as error:
            _guards.record_error('stored job', job=job.id)
            self.pool_state.set_aside_job(job.id, repr(error))
        self._signal.set()

    def show(
        self, id_: str, timeout: datetime.timedelta = _NO_WAIT
    ) -> StateResult:
        """Return the state of a job.

        :param timeout: how long to wait for the outcome of storing the job
        """
        job = self._await_job(id_, timeout)
        if isinstance(job, _work.JobState):
            return result.Success(job)
        if job is _states.Absence.UNKNOWN:
            return result.Success(_work.JobState.PENDING)
        if isinstance(job, _states.Absence):
            return self._fail_absent(id_, job)
        if job.is_final:
            # Report the final state only after it is stored; a successor
            # could otherwise report a different one.
            return result.Success(_work.JobState.RUNNING)
        return result.Success(job.state)

    def answer_inquiry(
        self,
        id_: str,
        queue_id: str,
        version: int,
        timeout: datetime.timedelta = _NO_WAIT,
    ) -> StateResult:
        """Return the state of a job to the pool that its queue uses now.

        From then on this pool accepts no job of the queue by an older
        configuration, so that the answer stays true.

        :param version: of the configuration that sends the queue there
        :param timeout: how long to wait for the outcome of storing the job
        """
        self.queue_registry.note_move(queue_id, version)
        return self.show(id_, timeout)

    def cancel(
        self, id_: str, timeout: datetime.timedelta = _NO_WAIT
    ) -> StateResult:
        """Cancel a job; on success the cancellation is stored.

        A job that is being stored is cancelled once it is known to be stored,
        also after the timeout: its caller may not ask again.

        :param timeout: how long to wait for the outcome of storing the job
        """
        pending = self._submissions.find(id_)
        if pending is not None:
            pending.is_cancelled = True
            _LOG.info(
                'job cancelled while it is being stored',
                extra={'shard': self.ledger.shard, 'job': id_},
            )
        job = self._await_job(id_, timeout)
        if isinstance(job, _work.JobState):
            return result.Success(job)
        if isinstance(job, _states.Absence):
            failure = self._fail_absent(id_, job)
            if failure.failure().kind is ErrorKind.NOT_FOUND:
                self._withdrawals.note(id_, self._clock.monotonic())
            return failure
        self._cancel(job)
        has_changes = id_ in self.pool_state.changed
        if not self.ledger.flush(has_changes, is_urgent=True):
            return _fail(
                ErrorKind.OUTCOME_UNKNOWN, 'the owner of the pool has changed'
            )
        return result.Success(job.state)

    def _cancel(self, job: _states.Job) -> None:
        if not job.is_final:
            self.pool_state.finish_job(job, _work.JobState.CANCELLED)
            self._signal.set()

    def _fail_absent(self, id_: str, absence: _states.Absence) -> StateResult:
        """Fail with NOT_FOUND only if the job does not exist.

        LEASE_LOST if the term may be lost: a successor may have accepted the
        job without this owner's knowledge.
        """
        if absence is _states.Absence.NOT_YET:
            message = 'the job is being stored'
            return _fail(ErrorKind.OUTCOME_UNKNOWN, message)
        if absence is _states.Absence.UNKNOWN:
            message = 'the row of the job cannot be read'
            return _fail(ErrorKind.OUTCOME_UNKNOWN, message)
        if not self.ledger.holds_term():
            return _fail_lease_lost()
        return _fail(ErrorKind.NOT_FOUND, f'no job {id_}')

    def count_queued(self, queue: str) -> int:
        """Return the number of jobs for which no task has started."""
        return self.pool_state.count_queued(queue)

    def count_open(self) -> int:
        """Return the number of jobs that are not final."""
        return len(self.pool_state.jobs)


def _convert_outcome(
    outcome: _ledger.WriteOutcome,
) -> result.Result[None, _errors.Failure]:
    if outcome is _ledger.WriteOutcome.APPLIED:
        return result.Success(None)
    if outcome is _ledger.WriteOutcome.DISCARDED:
        kind = ErrorKind.PLATFORM_UNAVAILABLE
        return _fail(kind, 'the job could not be stored')
    kind = ErrorKind.OUTCOME_UNKNOWN
    return _fail(kind, 'it is not known whether the job is stored')


def _fail_lease_lost() -> result.Result[Any, _errors.Failure]:
    message = 'the term has not been renewed; the pool may have a new owner'
    return _fail(ErrorKind.LEASE_LOST, message)


def _fail(
    kind: ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
