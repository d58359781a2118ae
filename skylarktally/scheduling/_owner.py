"""The owner of a pool: accepts its jobs and runs them on its workers."""

import collections
from collections.abc import Callable, Mapping
import datetime
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.scheduling import _admission
from skylarktally.scheduling import _board
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _sessions
from skylarktally.scheduling import _signals
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind

# Final states are shown for at least 120 s.
_RETENTION = datetime.timedelta(seconds=130)
_PURGED_ROWS = 10
_PLAN_INTERVAL = datetime.timedelta(seconds=0.25)
# Workers get this long to report to a new owner before it plans.
_REPORT_LIMIT = datetime.timedelta(seconds=0.5)
_REPORT_POLL = datetime.timedelta(seconds=0.02)
# A worker that is missing in the table for this long is gone.
_MISSING_LIMIT = datetime.timedelta(seconds=2.5)
# A request to vacate an instance is forgotten unless it is repeated.
_VACATE_LIMIT = datetime.timedelta(seconds=3)

JobDecoder = Callable[[bytes], _work.JobSpec]
Shown = result.Result[_work.JobState, _errors.Failure]


class Submission(NamedTuple):
    """A job that a caller hands in."""

    id: str
    queue: _work.Queue
    body: bytes
    # How long the caller waits for the answer.
    timeout: datetime.timedelta


class Succession(NamedTuple):
    """What a new owner knows of the time of the former one."""

    # Workers that may hold a lease, by the last term that was stored.
    workers: tuple[str, ...]
    # Workers that have vanished lately, with their addresses.
    departed: Mapping[str, _work.WorkerRecord]
    # The former owner has given no order after this.
    last_order_at: datetime.timedelta


class _Settled(NamedTuple):
    """Final state of a job, and since when it is shown."""

    state: _work.JobState
    since: datetime.timedelta


class PoolOwner:
    """Schedules the jobs of one pool for the time of one term."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        store: _rows.Store,
        calls: _orders.Workers,
        clock: _clock.Clock,
        decode_job: JobDecoder,
    ) -> None:
        self.ledger = ledger
        # Numbers of runs rise from term to term; 1000 starts of one task
        # in a term are out of reach.
        first = (ledger.generation - 1) * 1000 + 1
        self.board = _board.Board(first)
        self.is_ready = False
        self._store = store
        self._calls = calls
        self._clock = clock
        self._decode_job = decode_job
        self._sessions: dict[str, _sessions.Session] = {}
        self._missing: dict[str, datetime.timedelta] = {}
        self._vacating: dict[str, datetime.timedelta] = {}
        self._suspects: dict[str, datetime.timedelta] = {}
        self._settled: collections.OrderedDict[str, _Settled] = (
            collections.OrderedDict()
        )
        self._accepting: dict[str, _loop.Event] = {}
        self._signal = _signals.Signal()
        ledger.attach(self)

    # Life of the owner.

    def run(
        self,
        queues: Mapping[str, _work.Queue],
        workers: Callable[[], Mapping[str, _work.WorkerRecord]],
        succession: Succession,
    ) -> None:
        """Load the pool, learn what runs, and schedule until the end."""
        _loop.spawn_guarded(self.ledger.run)
        try:
            self._run(queues, workers, succession)
        finally:
            # After an error another entry, or a new term, takes over.
            self.ledger.end()
            self._end()

    def _run(
        self,
        queues: Mapping[str, _work.Queue],
        workers: Callable[[], Mapping[str, _work.WorkerRecord]],
        succession: Succession,
    ) -> None:
        if not self._load(queues):
            return
        lapse_at = _sessions.find_lapse(succession.last_order_at)
        self._suspects = dict.fromkeys(succession.workers, lapse_at)
        departed = {
            id_: record
            for id_, record in succession.departed.items()
            if id_ in self._suspects
        }
        self.sync_workers({**departed, **workers()})
        loaded = list(self.board.jobs.values())
        # Jobs are accepted while the workers are asked what they run.
        self.is_ready = True
        self._await_reports()
        self._bar_unknown(loaded, lapse_at)
        _LOG.info(
            'owner ready',
            extra={
                'shard': self.ledger.shard,
                'token': self.ledger.token,
                'jobs': len(self.board.jobs),
                'workers': len(self.board.seats),
            },
        )
        while not self.ledger.is_over:
            self._signal.wait(_PLAN_INTERVAL)
            self.sync_workers(workers())
            if self.ledger.may_order():
                self._plan()

    def _load(self, queues: Mapping[str, _work.Queue]) -> bool:
        """Read the jobs of the pool; False when the term ends first."""
        if self.ledger.generation == 1:
            # No job was accepted before the first term.
            return True
        while not self.ledger.is_over:
            jobs = self._store.read(_records.JOBS, self.ledger.shard)
            progress = self._store.read(_records.PROGRESS, self.ledger.shard)
            if isinstance(jobs, result.Success) and isinstance(
                progress, result.Success
            ):
                stored = progress.unwrap().rows
                self._restore(queues, jobs.unwrap().rows, stored)
                return True
            self._clock.sleep(_REPORT_POLL)
        return False

    def _restore(
        self,
        queues: Mapping[str, _work.Queue],
        jobs: tuple[_rows.Row, ...],
        stored: tuple[_rows.Row, ...],
    ) -> None:
        now = self._clock.monotonic()
        known: dict[str, _states.Progress] = {}
        for row in stored:
            try:
                progress = _records.decode_progress(row.place.key, row.value)
            except (ValueError, TypeError) as error:
                _log_unreadable(row, error)
                continue
            known[row.place.key] = progress
            if progress.state in _work.FINAL_STATES:
                settled = _Settled(progress.state, now)
                self._settled[row.place.key] = settled
        for row in jobs:
            if row.place.key in self._settled:
                continue
            try:
                self._restore_job(queues, row, known.get(row.place.key))
            except (ValueError, TypeError, KeyError) as error:
                _log_unreadable(row, error)

    def _restore_job(
        self,
        queues: Mapping[str, _work.Queue],
        row: _rows.Row,
        progress: _states.Progress | None,
    ) -> None:
        record = _records.decode_job(row.value)
        queue = queues.get(record.queue)
        if queue is None:
            raise KeyError(f'queue {record.queue} is not configured')
        wall = self._clock.now()
        accepted = datetime.datetime.fromtimestamp(
            record.accepted_ms / 1000, datetime.UTC
        )
        age = max(wall - accepted, datetime.timedelta())
        now = self._clock.monotonic()
        job = _states.Job(
            row.place.key,
            queue,
            self._decode_job(record.body.encode()),
            now - age,
        )
        if progress is not None:
            job.state = progress.state
            job.restored = progress
        self.board.add_job(job, now, wall)

    def _await_reports(self) -> None:
        """Give the workers time to report what they run."""
        limit = self._clock.monotonic() + _REPORT_LIMIT
        while self._clock.monotonic() < limit and not self.ledger.is_over:
            if all(
                seat.is_known
                for id_, seat in self.board.seats.items()
                if id_ in self._suspects
            ):
                return
            self._clock.sleep(_REPORT_POLL)

    def _bar_unknown(
        self, jobs: list[_states.Job], lapse_at: datetime.timedelta
    ) -> None:
        """Bar tasks that may run on workers that have not reported."""
        seats = self.board.seats
        silent = [
            worker
            for worker in self._suspects
            if worker not in seats or not seats[worker].is_known
        ]
        if not jobs or not silent:
            return
        for job in jobs:
            job.barred_until = lapse_at
            for group in job.groups.values():
                for task in group.tasks:
                    if task.run is None:
                        task.barred_until = lapse_at
        _LOG.info(
            'tasks barred',
            extra={
                'shard': self.ledger.shard,
                'silent': silent,
                'seconds': (
                    lapse_at - self._clock.monotonic()
                ).total_seconds(),
            },
        )

    def _end(self) -> None:
        for session in self._sessions.values():
            session.end()
        for id_ in list(self._accepting):
            self._resolve(id_, _ledger.Fate.UNKNOWN)
        _LOG.info('owner ended', extra={'shard': self.ledger.shard})

    def lose_term(self, reason: str) -> None:
        """Give up the shard, since another entry owns it."""
        if not self.ledger.is_over:
            _LOG.warning(
                'term lost',
                extra={'shard': self.ledger.shard, 'reason': reason},
            )
            self.ledger.end()
            self._signal.set()

    # Workers.

    def sync_workers(self, workers: Mapping[str, _work.WorkerRecord]) -> None:
        """Follow the entries of the pool's workers."""
        now = self._clock.monotonic()
        for id_, record in workers.items():
            self._missing.pop(id_, None)
            seat = self.board.seats.get(id_)
            if seat is not None and _is_other_life(seat.record, record):
                # The former life has ended with all it ran.
                self._drop(id_, now)
                seat = None
            if seat is None:
                self._add(record)
            else:
                seat.record = record
        for id_ in list(self.board.seats):
            if id_ not in workers:
                self._note_missing(id_, now)
        for id_, seat in self.board.seats.items():
            seat.is_vacating = self._vacating.get(id_, now) > now

    def _add(self, record: _work.WorkerRecord) -> None:
        seat = _states.Seat(record)
        self.board.seats[record.id] = seat
        session = _sessions.Session(self, seat, self._calls, self._clock)
        self._sessions[record.id] = session
        self.ledger.note_changes(is_urgent=True)
        _loop.spawn_guarded(session.run)

    def _note_missing(self, id_: str, now: datetime.timedelta) -> None:
        since = self._missing.setdefault(id_, now)
        seat = self.board.seats[id_]
        seat.avoided_until = now + _MISSING_LIMIT
        if now - since >= _MISSING_LIMIT or not seat.runs:
            del self._missing[id_]
            self._drop(id_, self._sessions[id_].lapse_at)

    def _drop(self, id_: str, free_at: datetime.timedelta) -> None:
        self._sessions.pop(id_).end()
        if self.board.seats[id_].runs:
            self._suspects[id_] = free_at
        self.board.drop_seat(id_, free_at)

    def vacate(self, id_: str) -> bool:
        """Empty a worker; tell whether its instance can go now."""
        seat = self.board.seats.get(id_)
        if seat is None or not self.is_ready:
            return False
        now = self._clock.monotonic()
        self._vacating[id_] = now + _VACATE_LIMIT
        if not seat.is_vacating:
            seat.is_vacating = True
            self._signal.set()
        return _planning.is_vacant(seat)

    def measure(self, lendable_millicores: int) -> _lending.PoolLoad:
        """Return what the pool would use at once.

        :param lendable_millicores: capacity that it could be lent
        """
        self.board.lendable_millicores = lendable_millicores
        return _planning.measure_load(self.board, self._clock.monotonic())

    # Planning.

    def note_report(self) -> None:
        """Plan again soon."""
        self._signal.set()

    def _plan(self) -> None:
        now = self._clock.monotonic()
        _planning.release_due(self.board, self._clock.now())
        for run in _planning.plan_stops(self.board, now):
            session = self._sessions.get(run.worker)
            if session is not None:
                run.state = _states.RunState.STOPPING
                run.answered_at = None
                _loop.spawn_guarded(session.stop, run)
        for task, seat in _planning.plan_starts(self.board, now):
            run = self.board.add_run(task, seat, now)
            _loop.spawn_guarded(self._sessions[seat.record.id].start, run)
        if self.board.changed:
            self._note_changes()

    def _note_changes(self) -> None:
        is_urgent = any(job.is_final for job in self.board.changed.values())
        self.ledger.note_changes(is_urgent)

    # Source of the ledger.

    def list_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""
        now = self._clock.monotonic()
        for id_, until in list(self._suspects.items()):
            if until <= now:
                del self._suspects[id_]
        holders = dict.fromkeys(
            id_ for id_ in self._suspects if id_ not in self._sessions
        )
        for id_, seat in self.board.seats.items():
            if self._may_hold(id_, seat, now):
                holders[id_] = None
            else:
                # It gets no run before it is named again.
                seat.is_recorded = False
        return tuple(holders)

    def _may_hold(
        self, id_: str, seat: _states.Seat, now: datetime.timedelta
    ) -> bool:
        """Tell whether a worker has a run, or may get one at any time."""
        if seat.runs:
            return True
        if not seat.is_known:
            # Only an earlier owner can have given it a lease.
            return id_ in self._suspects
        is_avoided = seat.is_silent or seat.avoided_until > now
        is_leaving = seat.is_vacating or seat.record.is_draining
        return not is_avoided and not is_leaving

    def note_recorded(self, workers: tuple[str, ...]) -> None:
        """Open the workers that a successor will know of."""
        for id_ in workers:
            seat = self.board.seats.get(id_)
            if seat is not None and not seat.is_recorded:
                seat.is_recorded = True
                self._signal.set()

    def take_changes(self, limit: int) -> _ledger.Changes:
        """Return the progress of jobs that have changed."""
        puts: list[_ledger.Put] = []
        removals: list[_rows.RowKey] = []
        settled: list[_states.Job] = []
        taken = 0
        while self.board.changed and taken + 2 <= limit:
            id_, job = self.board.changed.popitem()
            puts.append(
                (
                    self._place(_records.PROGRESS, id_),
                    _records.encode_progress(job),
                )
            )
            taken += 1
            if job.is_final:
                removals.append(self._place(_records.JOBS, id_))
                settled.append(job)
                taken += 1
        removals.extend(self._list_expired(min(limit - taken, _PURGED_ROWS)))

        def note_applied() -> None:
            for job in settled:
                self._settle(job)

        return _ledger.Changes(puts, removals, note_applied)

    def _place(self, table: str, id_: str) -> _rows.RowKey:
        return _rows.RowKey(table, self.ledger.shard, id_)

    def _list_expired(self, limit: int) -> list[_rows.RowKey]:
        now = self._clock.monotonic()
        expired: list[_rows.RowKey] = []
        while self._settled and len(expired) < limit:
            id_, settled = next(iter(self._settled.items()))
            if now - settled.since < _RETENTION:
                break
            del self._settled[id_]
            expired.append(self._place(_records.PROGRESS, id_))
        return expired

    def _settle(self, job: _states.Job) -> None:
        job.is_settled = True
        self.board.jobs.pop(job.id, None)
        now = self._clock.monotonic()
        self._settled[job.id] = _Settled(job.state, now)

    # Requests of callers.

    def submit(
        self, submission: Submission
    ) -> result.Result[None, _errors.Failure]:
        """Accept a job: it is stored when this returns a success."""
        id_ = submission.id
        if id_ in self._settled or id_ in self.board.jobs:
            return result.Success(None)
        pending = self._accepting.get(id_)
        if pending is not None:
            return self._await_accept(pending, submission.timeout)
        try:
            spec = self._decode_job(submission.body)
        except (ValueError, TypeError) as error:
            return _fail(ErrorKind.INVALID_REQUEST, str(error))
        refusal = _admission.review(self.board, submission.queue, spec)
        if refusal is not None:
            kind = ErrorKind.QUEUE_FULL
            if refusal.is_permanent:
                kind = ErrorKind.UNSCHEDULABLE
            failure = _errors.Failure(
                kind, refusal.reason, refusal.retry_after
            )
            return result.Failure(failure)
        fate = self._accept(submission, spec)
        if fate is _ledger.Fate.DROPPED:
            self._resolve(id_, fate)
        return _answer_fate(fate)

    def _resolve(self, id_: str, fate: _ledger.Fate) -> None:
        """Tell all callers that hand in the job what became of it."""
        pending = self._accepting.pop(id_, None)
        if pending is not None and not pending.ready():
            pending.send(fate)

    def _await_accept(
        self, pending: _loop.Event, timeout: datetime.timedelta
    ) -> result.Result[None, _errors.Failure]:
        fate = _ledger.Fate.UNKNOWN
        with _loop.Timeout(timeout.total_seconds(), False):
            fate = pending.wait()
        return _answer_fate(fate)

    def _accept(
        self, submission: Submission, spec: _work.JobSpec
    ) -> _ledger.Fate:
        now = self._clock.monotonic()
        wall = self._clock.now()
        record = _records.JobRecord(
            submission.queue.name,
            int(wall.timestamp() * 1000),
            submission.body.decode(),
        )
        put = (
            self._place(_records.JOBS, submission.id),
            _records.encode_job(record),
        )
        job = _states.Job(submission.id, submission.queue, spec, now)
        self._accepting[job.id] = _loop.Event()

        def take(fate: _ledger.Fate) -> None:
            if fate is _ledger.Fate.APPLIED:
                self.board.add_job(job, now, wall)
                self._signal.set()
            self._resolve(job.id, fate)

        return self.ledger.write([put], submission.timeout, take)

    def show(self, id_: str) -> Shown:
        """Return the state of a job."""
        settled = self._settled.get(id_)
        if settled is not None:
            return result.Success(settled.state)
        job = self.board.jobs.get(id_)
        if job is None:
            return _fail(ErrorKind.NOT_FOUND, f'no job {id_}')
        if job.is_final:
            # Shown once it is stored, so that no later owner contradicts.
            return result.Success(_work.JobState.RUNNING)
        return result.Success(job.state)

    def cancel(self, id_: str) -> Shown:
        """Cancel a job; it is stored when this returns a success."""
        if id_ in self._settled:
            return result.Success(self._settled[id_].state)
        job = self.board.jobs.get(id_)
        if job is None:
            return _fail(ErrorKind.NOT_FOUND, f'no job {id_}')
        if not job.is_final:
            self.board.finish_job(job, _work.JobState.CANCELLED)
            self._signal.set()
        has_changes = id_ in self.board.changed
        if not self.ledger.flush(has_changes, is_urgent=True):
            return _fail(ErrorKind.OUTCOME_UNKNOWN, 'the owner has changed')
        return result.Success(job.state)

    def count_queued(self, queue: str) -> int:
        """Return the number of jobs for which no task has started."""
        return self.board.count_queued(queue)


def _is_other_life(
    known: _work.WorkerRecord, record: _work.WorkerRecord
) -> bool:
    return (known.born_ms, known.address) != (record.born_ms, record.address)


def _answer_fate(
    fate: _ledger.Fate,
) -> result.Result[None, _errors.Failure]:
    if fate is _ledger.Fate.APPLIED:
        return result.Success(None)
    if fate is _ledger.Fate.DROPPED:
        kind = ErrorKind.PLATFORM_UNAVAILABLE
        return _fail(kind, 'the job could not be stored')
    kind = ErrorKind.OUTCOME_UNKNOWN
    return _fail(kind, 'it is not known whether the job is stored')


def _fail(
    kind: ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))


def _log_unreadable(row: _rows.Row, error: Exception) -> None:
    _LOG.error(
        'unreadable row',
        extra={'row': row.place, 'reason': str(error)},
    )
