"""Rows of jobs, of their progress and of terms in the table service."""

import json
from typing import Any, NamedTuple

from skylarktally.scheduling import _rows
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

JOBS = 'jobs'
PROGRESS = 'progress'
TERMS = 'terms'
MAINTENANCE = 'maintenance'
TERM_KEY = 'term'


class JobRecord(NamedTuple):
    """A job as it is stored when it is accepted."""

    queue: str
    # Time of acceptance in milliseconds since the epoch.
    accepted_ms: int
    # What the caller sent.
    body: str
    # Term of the pool in which it was accepted.
    generation: int
    # Policy of the queue, which may be gone when a later owner reads this.
    priority: int
    attempt_limit: int
    stretch: float
    target_latency_ms: int


class UnreachableWorker(NamedTuple):
    """A worker that may hold a lease and is out of contact."""

    worker: str
    # The last term in which it was in contact.
    generation: int
    # Its leases have ended so long after the row was written.
    remaining_ms: int


class Term(NamedTuple):
    """The time for which one entry owns a shard."""

    holder: str
    # Where the holder serves other entries.
    address: str
    # Tells the processes of one instance apart.
    incarnation: str
    # Number of terms of the shard so far.
    generation: int
    # Grows with each transaction of the holder.
    sequence: int
    is_released: bool = False
    # Workers that may hold a lease of this term or of an earlier one.
    workers: tuple[str, ...] = ()
    # Those of them that are out of contact.
    unreachable: tuple[UnreachableWorker, ...] = ()


class WaveRecord(NamedTuple):
    """How far a wave has come; the row is named by its number."""

    # When it was first seen, in milliseconds since the epoch.
    begun_ms: int
    # Instances that were ordered down.
    done: tuple[str, ...]


def encode_job(record: JobRecord) -> bytes:
    """Return the value of a row."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_job(value: bytes) -> JobRecord:
    """Return the record of a row; ValueError if it is damaged."""
    return JobRecord(*_load_list(value, len(JobRecord._fields)))


def encode_term(term: Term) -> bytes:
    """Return the value of a row."""
    return json.dumps(term, separators=(',', ':')).encode()


def decode_term(value: bytes) -> Term:
    """Return the term of a row; ValueError if it is damaged."""
    term = Term(*_load_list(value, len(Term._fields)))
    return term._replace(
        workers=tuple(term.workers),
        unreachable=tuple(
            UnreachableWorker(*item) for item in term.unreachable
        ),
    )


def encode_wave(record: WaveRecord) -> bytes:
    """Return the value of a row."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_wave(value: bytes) -> WaveRecord:
    """Return the record of a row; ValueError if it is damaged."""
    begun_ms, done = _load_list(value, len(WaveRecord._fields))
    return WaveRecord(int(begun_ms), tuple(done))


def _load_list(value: bytes, size: int) -> list[Any]:
    data = json.loads(value)
    if not isinstance(data, list) or len(data) != size:
        raise ValueError(f'expected a list of {size} items')
    return data


def make_term_key(shard: str) -> _rows.RowKey:
    """Return the place of a shard's term."""
    return _rows.RowKey(TERMS, shard, TERM_KEY)


def encode_progress(job: _states.Job) -> bytes:
    """Return the value of a row with the progress of a job."""
    done: dict[str, list[int]] = {}
    failed: list[list[Any]] = []
    if not job.is_final:
        for group in job.groups.values():
            indexes = [task.id.ordinal for task in group.tasks if task.is_done]
            if indexes:
                done[f'{group.occurrence}.{group.position}'] = indexes
            for task in group.tasks:
                if task.failed_runs and not task.is_done:
                    failed.append([*task.id[1:], sorted(task.failed_runs)])
    data = [job.state.value, done, failed]
    return json.dumps(data, separators=(',', ':')).encode()


def decode_progress(id_: str, value: bytes) -> _states.JobProgress:
    """Return the progress of a job; ValueError if it is damaged."""
    state, done, failed = _load_list(value, 3)
    progress = _states.JobProgress(_work.JobState(state))
    for place, indexes in done.items():
        occurrence, position = (int(item) for item in place.split('.'))
        for index in indexes:
            progress.done.add(_work.TaskId(id_, occurrence, position, index))
    for occurrence, position, index, numbers in failed:
        task = _work.TaskId(id_, occurrence, position, index)
        progress.failed[task] = set(numbers)
    return progress
