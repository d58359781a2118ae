"""Encoding of jobs, their progress, terms and waves as stored rows."""

import json
import re
from typing import Any, NamedTuple
import zlib

from skylarktally import _errors
from skylarktally import _values
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

JOBS = 'jobs'
PROGRESS = 'progress'
TERMS = 'terms'
MAINTENANCE = 'maintenance'
TERM_KEY = 'term'
# Table and partition of the pools of each queue.
QUEUES = 'queues'
# The table service refuses larger values.
MAX_ROW_BYTES = 65536
# Larger rows of jobs are compressed; most of their text repeats.
_COMPRESSION_THRESHOLD_BYTES = MAX_ROW_BYTES // 2
# Starts a compressed value; any other starts like a JSON text.
_COMPRESSED = b'z'
_MAX_EXPANDED_BYTES = 2**24
# Rows are larger than what an entry instance writes only if another program
# has written them.
_MAX_ITEMS = 100000
_MAX_WORKERS = 100000
_MAX_BODY_LENGTH = 2**24
_MAX_STRETCH = 1000
# No lease and no target latency is longer than a day.
_MAX_REMAINING_MS = 24 * 3600 * 1000
# Start of the year 9000.
_MAX_TIME_MS = 221845392000000
_WAVE_KEY = re.compile('[0-9]{1,16}')
_GROUP_KEY = re.compile(r'([0-9]{1,9})\.([0-9]{1,9})')


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
    # Only in the rows of queues that require advice.
    advice: 'AdviceRecord | None' = None


class AdviceRecord(NamedTuple):
    """Response time of the advisor service; see ``_work.AdvicePolicy``."""

    decision_us: int
    worker_us: int


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


class QueuePools(NamedTuple):
    """Pools that may hold jobs of a queue; encoded as a list of its fields."""

    # Version of the configuration that sent the queue to the last pool.
    version: int
    # The last one accepts its jobs; the others accepted them before.
    pools: tuple[str, ...]


class WaveRecord(NamedTuple):
    """Progress of a maintenance wave; the row key is the wave number."""

    # When the wave was first seen, in milliseconds since the epoch.
    began_at_ms: int
    # Instances whose maintenance was ordered.
    done: tuple[str, ...]


def encode_job(record: JobRecord) -> bytes:
    """Return the row value of a job, compressed if it is large.

    Without advice the row is one that older versions can read.
    """
    fields = record if record.advice is not None else record[:-1]
    return _compress(json.dumps(fields, separators=(',', ':')).encode())


def decode_job(value: bytes) -> JobRecord:
    """Return the job of a row value; MalformedInput if it is damaged."""
    size = len(JobRecord._fields)
    fields = _values.parse_list(_expand(value), range(size - 1, size + 1))
    return JobRecord(
        queue=_values.check_string(fields[0], 'queue'),
        accepted_ms=_values.check_integer(fields[1], 'accepted_ms'),
        body=_values.check_string(fields[2], 'body', _MAX_BODY_LENGTH),
        generation=_values.check_integer(fields[3], 'generation'),
        priority=_values.check_integer(fields[4], 'priority'),
        attempt_limit=_values.check_integer(fields[5], 'attempt_limit'),
        stretch=_values.check_number(fields[6], 'stretch', _MAX_STRETCH),
        target_latency_ms=_values.check_integer(
            fields[7], 'target_latency_ms', _MAX_REMAINING_MS
        ),
        advice=_decode_advice(fields[8]) if len(fields) == size else None,
    )


def _decode_advice(value: Any) -> AdviceRecord:
    if not isinstance(value, list) or len(value) != 2:
        raise _errors.MalformedInput('advice has two fields')
    limit = _MAX_REMAINING_MS * 1000
    return AdviceRecord(
        *(_values.check_integer(item, 'advice', limit) for item in value)
    )


def encode_term(term: Term) -> bytes:
    """Return the row value of a term."""
    return json.dumps(term, separators=(',', ':')).encode()


def decode_term(value: bytes) -> Term:
    """Return the term of a row value; MalformedInput if it is damaged."""
    fields = _load(value, Term)
    workers = _values.check_list(fields[6], 'workers', _MAX_WORKERS)
    unreachable = _values.check_list(fields[7], 'unreachable', _MAX_WORKERS)
    return Term(
        holder=_values.check_string(fields[0], 'holder'),
        address=_values.check_string(fields[1], 'address'),
        incarnation=_values.check_string(fields[2], 'incarnation'),
        generation=_values.check_integer(fields[3], 'generation'),
        sequence=_values.check_integer(fields[4], 'sequence'),
        is_released=bool(fields[5]),
        workers=tuple(_values.check_string(id_, 'worker') for id_ in workers),
        unreachable=tuple(_decode_unreachable(item) for item in unreachable),
    )


def _decode_unreachable(value: Any) -> UnreachableWorker:
    if not isinstance(value, list) or len(value) != 3:
        raise _errors.MalformedInput('an unreachable worker has three fields')
    return UnreachableWorker(
        _values.check_string(value[0], 'worker'),
        _values.check_integer(value[1], 'generation'),
        _values.check_integer(value[2], 'remaining_ms', _MAX_REMAINING_MS),
    )


def encode_wave(record: WaveRecord) -> bytes:
    """Return the row value of a wave's progress."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_wave(value: bytes) -> WaveRecord:
    """Return the progress of a wave; MalformedInput if it is damaged."""
    began_at_ms, done = _load(value, WaveRecord)
    instances = _values.check_list(done, 'done', _MAX_WORKERS)
    return WaveRecord(
        _values.check_integer(began_at_ms, 'began_at_ms', _MAX_TIME_MS),
        tuple(_values.check_string(id_, 'instance') for id_ in instances),
    )


def encode_queue_pools(record: QueuePools) -> bytes:
    """Return the row value of a queue's pools."""
    return json.dumps(record, separators=(',', ':')).encode()


def decode_queue_pools(value: bytes) -> QueuePools:
    """Return the pools of a row value; MalformedInput if it is damaged."""
    version, items = _load(value, QueuePools)
    pools = _values.check_list(items, 'pools', _MAX_WORKERS)
    if not pools:
        raise _errors.MalformedInput('a queue has no pool')
    return QueuePools(
        _values.check_integer(version, 'version'),
        tuple(_values.check_string(pool, 'pool') for pool in pools),
    )


def parse_wave_key(key: str) -> int:
    """Return the number of a wave from the key of its row."""
    if not _WAVE_KEY.fullmatch(key):
        raise _errors.MalformedInput('the key is not the number of a wave')
    return int(key)


def _load(value: bytes, record: type[NamedTuple]) -> list[Any]:
    """Return the items of a row value that has a field for each."""
    size = len(record._fields)
    return _values.parse_list(value, range(size, size + 1))


def _compress(value: bytes) -> bytes:
    if len(value) <= _COMPRESSION_THRESHOLD_BYTES:
        return value
    return _COMPRESSED + zlib.compress(value)


def _expand(value: bytes) -> bytes:
    """Return the value that was compressed; MalformedInput if damaged."""
    if not value.startswith(_COMPRESSED):
        return value
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(
            value.removeprefix(_COMPRESSED), _MAX_EXPANDED_BYTES
        )
    except zlib.error as error:
        raise _errors.MalformedInput('the row cannot be expanded') from error
    if not expander.eof:
        raise _errors.MalformedInput('the row is cut off or too large')
    return expanded


def make_term_key(shard: str) -> _rows.RowKey:
    """Return the key of a shard's term row."""
    return _rows.RowKey(TERMS, shard, TERM_KEY)


def encode_progress(job: _states.Job) -> bytes:
    """Return the row value of a job's progress.

    A list of the state, the ordinals of done tasks by
    ``occurrence.position``, the failed runs of tasks that are not done, and
    the finished occurrences: all below a number, and others. The last item is
    left out for jobs that run once. A final state needs no tasks. A large
    value is compressed.
    """
    done: dict[str, list[int]] = {}
    failed: list[list[Any]] = []
    if not job.is_final:
        if job.restored_progress is not None:
            # Of the tasks that do not exist yet. A later owner would
            # otherwise run them again.
            for id_ in sorted(job.restored_progress.done):
                key = f'{id_.occurrence}.{id_.step}'
                done.setdefault(key, []).append(id_.ordinal)
            for id_, runs in job.restored_progress.failed.items():
                failed.append([*id_[1:], sorted(runs)])
        for group in job.groups.values():
            indexes = [task.id.ordinal for task in group.tasks if task.is_done]
            if indexes:
                done[f'{group.occurrence}.{group.position}'] = indexes
            for task in group.tasks:
                if task.failed_runs and not task.is_done:
                    failed.append([*task.id[1:], sorted(task.failed_runs)])
    data: list[Any] = [job.state.value, done, failed]
    if job.spec.occurrences > 1 and not job.is_final:
        finished = job.finished_occurrences
        data.append([finished.below, sorted(finished.others)])
    return _compress(json.dumps(data, separators=(',', ':')).encode())


def decode_progress(id_: str, value: bytes) -> _states.JobProgress:
    """Return the progress of a job; MalformedInput if it is damaged."""
    fields = _values.parse_list(_expand(value), range(3, 5))
    try:
        state = _work.JobState(fields[0])
    except (ValueError, TypeError) as error:
        raise _errors.MalformedInput('unknown state of a job') from error
    return _states.JobProgress(
        state,
        _decode_done(id_, _values.check_object(fields[1], 'done')),
        _decode_failed(
            id_, _values.check_list(fields[2], 'failed', _MAX_ITEMS)
        ),
        _decode_finished(fields[3] if len(fields) > 3 else [0, []]),
    )


def _decode_done(id_: str, data: dict[str, Any]) -> set[_work.TaskId]:
    done: set[_work.TaskId] = set()
    for group_key, ordinals in data.items():
        match = _GROUP_KEY.fullmatch(group_key)
        if match is None:
            raise _errors.MalformedInput('done has a key without two numbers')
        occurrence, position = (int(item) for item in match.groups())
        for ordinal in _values.check_list(ordinals, 'ordinals', _MAX_ITEMS):
            _values.check_integer(ordinal, 'ordinal')
            done.add(_work.TaskId(id_, occurrence, position, ordinal))
    return done


def _decode_failed(id_: str, items: list[Any]) -> dict[_work.TaskId, set[int]]:
    failed: dict[_work.TaskId, set[int]] = {}
    for item in items:
        if not isinstance(item, list) or len(item) != 4:
            raise _errors.MalformedInput('a failed task has four fields')
        task = _work.TaskId(
            id_,
            *(_values.check_integer(number, 'task') for number in item[:3]),
        )
        numbers = _values.check_list(item[3], 'failed runs', _MAX_ITEMS)
        failed[task] = {
            _values.check_integer(number, 'the number of a run')
            for number in numbers
        }
    return failed


def _decode_finished(value: Any) -> _states.OccurrenceSet:
    if not isinstance(value, list) or len(value) != 2:
        raise _errors.MalformedInput('finished has two fields')
    others = _values.check_list(value[1], 'finished', _MAX_ITEMS)
    return _states.OccurrenceSet(
        _values.check_integer(value[0], 'finished'),
        {_values.check_integer(item, 'finished') for item in others},
    )
