"""Encoding of jobs, their progress, terms and waves as stored rows."""

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
    """A job as stored on acceptance; encoded as a list of its fields."""

    queue: str
    # Time of acceptance in milliseconds since the epoch.
    accepted_ms: int
    # Request body.
    body: str
    # Number of the term in which the job was accepted.
    generation: int
    # Policy of the queue at that time; the queue may no longer be configured
    # when a later owner loads the job.
    priority: int
    attempt_limit: int
    stretch: float
    target_latency_ms: int


class UnreachableWorker(NamedTuple):
    """A worker that may hold a lease and cannot be reached."""

    worker: str
    # Last term in which the worker was in contact with the owner.
    generation: int
    # Time from the write of the row until its leases have expired.
    remaining_ms: int


class Term(NamedTuple):
    """Lease of a shard, for which one entry instance owns it.

    Encoded as a list of its fields. The version of its row is the fencing
    token.
    """

    holder: str
    # Address at which the holder serves other entry instances.
    address: str
    # Distinguishes successive processes of the same entry instance.
    incarnation: str
    # Number of the term; increases by one with each term of the shard.
    generation: int
    # Increases with each transaction of the holder.
    sequence: int
    is_released: bool = False
    # Workers that may hold a lease from this term or an earlier one.
    workers: tuple[str, ...] = ()
    # Those of ``workers`` that cannot be reached.
    unreachable: tuple[UnreachableWorker, ...] = ()


class WaveRecord(NamedTuple):
    """Progress of a maintenance wave; the row key is the wave number."""

    # When the wave was first seen, in milliseconds since the epoch.
    began_at_ms: int
    # Instances whose maintenance was ordered.
    done: tuple[str, ...]


def encode_job(record: JobRecord) -> bytes:
    """Return the row value of a job."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_job(value: bytes) -> JobRecord:
    """Return the job of a row value.

    Raises ValueError or TypeError if the value is malformed.
    """
    return JobRecord(*_load_list(value, len(JobRecord._fields)))


def encode_term(term: Term) -> bytes:
    """Return the row value of a term."""
    return json.dumps(term, separators=(',', ':')).encode()


def decode_term(value: bytes) -> Term:
    """Return the term of a row value.

    Raises ValueError or TypeError if the value is malformed.
    """
    term = Term(*_load_list(value, len(Term._fields)))
    return term._replace(
        workers=tuple(term.workers),
        unreachable=tuple(
            UnreachableWorker(*item) for item in term.unreachable
        ),
    )


def encode_wave(record: WaveRecord) -> bytes:
    """Return the row value of a wave's progress."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_wave(value: bytes) -> WaveRecord:
    """Return the wave progress of a row value.

    Raises ValueError or TypeError if the value is malformed.
    """
    began_at_ms, done = _load_list(value, len(WaveRecord._fields))
    return WaveRecord(int(began_at_ms), tuple(done))


def _load_list(value: bytes, size: int) -> list[Any]:
    data = json.loads(value)
    if not isinstance(data, list) or len(data) != size:
        raise ValueError(f'expected a list of {size} items')
    return data


def make_term_key(shard: str) -> _rows.RowKey:
    """Return the key of a shard's term row."""
    return _rows.RowKey(TERMS, shard, TERM_KEY)


def encode_progress(job: _states.Job) -> bytes:
    """Return the row value of a job's progress.

    A list of the state, the ordinals of done tasks by
    ``occurrence.position`` and the failed runs of tasks that are not done.
    A final state needs no tasks.
    """
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
    """Return the progress of a job from its row value.

    Raises ValueError or TypeError if the value is malformed.
    """
    state, done, failed = _load_list(value, 3)
    progress = _states.JobProgress(_work.JobState(state))
    for group_key, indexes in done.items():
        occurrence, position = (int(item) for item in group_key.split('.'))
        for index in indexes:
            progress.done.add(_work.TaskId(id_, occurrence, position, index))
    for occurrence, position, index, numbers in failed:
        task = _work.TaskId(id_, occurrence, position, index)
        progress.failed[task] = set(numbers)
    return progress
