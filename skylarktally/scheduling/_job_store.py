"""Stored jobs of a pool: loads them and provides their changes."""

import collections
from collections.abc import Callable, Mapping
import datetime
import logging
from typing import NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _heap
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# Callers can read a final state for at least 120 s.
_FINAL_STATE_RETENTION = datetime.timedelta(seconds=130)
_MAX_PURGED_ROWS = 10
_RETRY_DELAY = datetime.timedelta(seconds=0.02)
_MICROSECOND = datetime.timedelta(microseconds=1)
_NO_TIME = datetime.timedelta()
# For which jobs are loaded before other green threads have a turn. With a
# pause after each, a pool of many small jobs would have no owner for longer.
_LOADING_TIME = datetime.timedelta(seconds=0.05)

JobDecoder = Callable[[bytes], _work.JobSpec]


class _FinalState(NamedTuple):
    """Final state of a job, and since when callers can read it."""

    state: _work.JobState
    since: datetime.timedelta


class JobStore:
    """Rows of a pool's jobs, and the final states of recent jobs."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        store: _rows.Store,
        pool_state: _pool_state.PoolState,
        clock: _clock.Clock,
        decode_job: JobDecoder,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._pool_state = pool_state
        self._clock = clock
        self._decode_job = decode_job
        self._final_states: collections.OrderedDict[str, _FinalState] = (
            collections.OrderedDict()
        )

    def find_final_state(self, id_: str) -> _work.JobState | None:
        """Return the final state of a job, once it is stored."""
        final = self._final_states.get(id_)
        return None if final is None else final.state

    def make_key(self, table: str, id_: str) -> _rows.RowKey:
        """Return the key of a job's row in a table."""
        return _rows.RowKey(table, self._ledger.shard, id_)

    def load(self, queues: Mapping[str, _work.Queue]) -> bool:
        """Read the jobs of the pool; False when the term ends first."""
        if self._ledger.generation == 1:
            # No job was accepted before the first term.
            return True
        while not self._ledger.is_over:
            jobs = self._store.read(_records.JOBS, self._ledger.shard)
            progress = self._store.read(_records.PROGRESS, self._ledger.shard)
            if isinstance(jobs, result.Success) and isinstance(
                progress, result.Success
            ):
                progress_rows = progress.unwrap().rows
                self._restore(queues, jobs.unwrap().rows, progress_rows)
                _heap.exclude_present_objects()
                return not self._ledger.is_over
            self._clock.sleep(_RETRY_DELAY)
        return False

    def _restore(
        self,
        queues: Mapping[str, _work.Queue],
        jobs: tuple[_rows.Row, ...],
        progress_rows: tuple[_rows.Row, ...],
    ) -> None:
        _heap.exclude_present_objects()
        progress_by_job = self._restore_progress(progress_rows)
        pause_due = self._clock.monotonic() + _LOADING_TIME
        for row in jobs:
            if self._clock.monotonic() >= pause_due:
                # Renewals of the term and other pools have their turns.
                _heap.exclude_present_objects()
                self._clock.sleep(_NO_TIME)
                pause_due = self._clock.monotonic() + _LOADING_TIME
            if self._ledger.is_over:
                return
            id_ = row.row_key.key
            if id_ in self._final_states:
                continue
            if id_ in self._pool_state.jobs_set_aside:
                continue
            try:
                self._restore_job(
                    queues, row, progress_by_job.get(row.row_key.key)
                )
            except _errors.MalformedInput as error:
                _log_unreadable(row, error)
                self._pool_state.set_aside_job(row.row_key.key, str(error))
            except Exception as error:
                _guards.record_error('stored job', row=row.row_key)
                self._pool_state.set_aside_job(row.row_key.key, repr(error))

    def _restore_progress(
        self, rows: tuple[_rows.Row, ...]
    ) -> dict[str, _states.JobProgress]:
        """Note the final states, and return the progress of all jobs."""
        now = self._clock.monotonic()
        progress_by_job: dict[str, _states.JobProgress] = {}
        for row in rows:
            id_ = row.row_key.key
            try:
                progress = _records.decode_progress(id_, row.value)
            except _errors.MalformedInput as error:
                # Without its progress, what has run would run again.
                _log_unreadable(row, error)
                self._pool_state.set_aside_job(id_, str(error))
                continue
            progress_by_job[id_] = progress
            if progress.state in _work.FINAL_STATES:
                self._final_states[id_] = _FinalState(progress.state, now)
        return progress_by_job

    def _restore_job(
        self,
        queues: Mapping[str, _work.Queue],
        row: _rows.Row,
        progress: _states.JobProgress | None,
    ) -> None:
        record = _records.decode_job(row.value)
        queue = queues.get(record.queue)
        if queue is None:
            queue = _rebuild_queue(record, self._ledger.shard)
        wall_time = self._clock.now()
        accepted = datetime.datetime.fromtimestamp(
            record.accepted_ms / 1000, datetime.UTC
        )
        age = max(wall_time - accepted, datetime.timedelta())
        now = self._clock.monotonic()
        job = _states.Job(
            row.row_key.key,
            queue,
            self._decode_job(record.body.encode()),
            now - age,
            generation=record.generation,
        )
        if progress is not None:
            job.state = progress.state
            job.restored_progress = progress
            job.finished_occurrences = progress.finished
            job.released_occurrences = progress.finished.below
        self._pool_state.add_job(job, now, wall_time)

    def take_changes(self, limit: int, max_bytes: int) -> _ledger.Changes:
        """Remove and return the changes of jobs, at most ``limit`` rows.

        No row is added once the values have ``max_bytes``.

        A job that has ended loses its job row; its progress row remains until
        the retention time is over.
        """
        puts: list[_ledger.Put] = []
        removals: list[_rows.RowKey] = []
        final: list[_states.Job] = []
        row_count = size = 0
        while (
            self._pool_state.changed
            and row_count + 2 <= limit
            and size < max_bytes
        ):
            id_ = next(iter(self._pool_state.changed))
            job = self._pool_state.changed.pop(id_)
            value = _records.encode_progress(job)
            puts.append((self.make_key(_records.PROGRESS, id_), value))
            size += len(value)
            row_count += 1
            if job.is_final:
                removals.append(self.make_key(_records.JOBS, id_))
                final.append(job)
                row_count += 1
        removals.extend(
            self._list_expired(min(limit - row_count, _MAX_PURGED_ROWS))
        )

        def note_applied() -> None:
            for job in final:
                self._mark_stored(job)

        is_complete = not self._pool_state.changed
        return _ledger.Changes(puts, removals, note_applied, is_complete)

    def _list_expired(self, limit: int) -> list[_rows.RowKey]:
        now = self._clock.monotonic()
        expired: list[_rows.RowKey] = []
        while self._final_states and len(expired) < limit:
            id_, final = next(iter(self._final_states.items()))
            if now - final.since < _FINAL_STATE_RETENTION:
                break
            del self._final_states[id_]
            expired.append(self.make_key(_records.PROGRESS, id_))
        return expired

    def _mark_stored(self, job: _states.Job) -> None:
        job.is_final_state_stored = True
        self._pool_state.remove_job(job.id)
        now = self._clock.monotonic()
        self._final_states[job.id] = _FinalState(job.state, now)


def create_record(
    queue: _work.Queue,
    body: bytes,
    accepted_at: datetime.datetime,
    generation: int,
) -> _records.JobRecord:
    """Return the record of a job that is being accepted."""
    advice = None
    if queue.advice is not None:
        advice = _records.AdviceRecord(
            queue.advice.decision_time // _MICROSECOND,
            queue.advice.worker_time // _MICROSECOND,
        )
    return _records.JobRecord(
        queue.name,
        int(accepted_at.timestamp() * 1000),
        body.decode(),
        generation,
        queue.priority,
        queue.attempt_limit,
        queue.stretch,
        int(queue.target_latency.total_seconds() * 1000),
        advice,
    )


def _rebuild_queue(record: _records.JobRecord, pool: str) -> _work.Queue:
    """Return the queue of a job as it was when the job was accepted."""
    advice = None
    if record.advice is not None:
        advice = _work.AdvicePolicy(
            record.advice.decision_us * _MICROSECOND,
            record.advice.worker_us * _MICROSECOND,
        )
    return _work.Queue(
        name=record.queue,
        # Callers can no longer reach the queue.
        host='',
        prefix='',
        pool=pool,
        priority=record.priority,
        attempt_limit=record.attempt_limit,
        stretch=record.stretch,
        target_latency=datetime.timedelta(
            milliseconds=record.target_latency_ms
        ),
        timeout=datetime.timedelta(),
        advice=advice,
    )


def _log_unreadable(row: _rows.Row, error: Exception) -> None:
    _LOG.error(
        'unreadable row',
        extra={'row': row.row_key, 'reason': str(error)},
    )
