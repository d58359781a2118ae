"""Decodes data from the platform, workers, the operator and callers.

Every value is checked for type, range and length where it enters, so that the
rest of the program can calculate with it. Malformed content raises
MalformedInput. Fields that are not used are not checked.
"""

import datetime
import functools
import json
import re
from typing import Any

from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _values
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _work

_RACK_LABEL = re.compile(r'r\d+-\d+|r[\w-]*\d')
_TASK_NAME = re.compile(
    r'([^.]{1,64})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})'
)
_MAX_TASK_SPEC_BYTES = 4000
# Characters of a checkpoint or of a ticket.
_MAX_TOKEN_LENGTH = 65536
# Of a job, in one occurrence.
_MAX_STEPS = 1000
_MAX_TASKS = 10000
_MAX_OCCURRENCES = 1000000
_MAX_ESTIMATE = datetime.timedelta(days=30)
_MAX_INTERVAL = datetime.timedelta(days=366)
# From the first to the last occurrence.
_MAX_SCHEDULE = datetime.timedelta(days=100 * 366)
# Resources of a task or of a worker: thousandths of a core, MB, accelerators.
_MAX_MILLICORES = 10**8
_MAX_MEMORY_MB = 10**9
_MAX_ACCELERATORS = 10**5
# Response times and timeouts in the configuration and in jobs.
_MAX_TARGET = datetime.timedelta(days=1)
_MAX_STRETCH = 1000
_MAX_PRIORITY = 10**6
_MAX_ATTEMPTS = 1000
_MAX_BODY_BYTES = 2**30
_MAX_QUEUES = 100000
_MAX_POOLS = 10000
_MAX_LABELS = 100
_MAX_DRAIN_TIME = datetime.timedelta(days=1)
_MAX_WAVE_INSTANCES = 100000
_MAX_WAVE_SECONDS = datetime.timedelta(days=366).total_seconds()
# Entries in the answers of workers and of the advisor service.
_MAX_RUNS = 100000
# Ended runs that a worker lists in one report.
_LISTED_ENDS = 500
_MAX_TICKETS = 1000
_MAX_CLOCK = datetime.timedelta(days=100 * 366)
# Of runs: their numbers, percentages and loads.
_MAX_COUNT = 10**12
_END_KINDS = {kind.value: kind for kind in _work.EndKind}


def _decode_resources(data: dict[str, Any]) -> _work.Resources:
    return _work.Resources(
        _values.check_integer(data.get('cpu', 0), 'cpu', _MAX_MILLICORES),
        _values.check_integer(data.get('mem_mb', 0), 'mem_mb', _MAX_MEMORY_MB),
        _values.check_integer(data.get('gpu', 0), 'gpu', _MAX_ACCELERATORS),
    )


def decode_job(value: bytes) -> _work.JobSpec:
    """Decode a submitted job."""
    data = _values.parse_object(value)
    spec = _values.check_string(
        data.get('task_spec', ''), 'task_spec', _MAX_TASK_SPEC_BYTES
    )
    if len(spec.encode()) > _MAX_TASK_SPEC_BYTES:
        raise _errors.MalformedInput(
            f'task_spec is above {_MAX_TASK_SPEC_BYTES} bytes'
        )
    steps = _values.check_list(data.get('steps'), 'steps', _MAX_STEPS)
    if not steps:
        raise _errors.MalformedInput('steps is empty')
    decoded = tuple(
        _decode_step(step, position) for position, step in enumerate(steps)
    )
    if sum(step.task_count for step in decoded) > _MAX_TASKS:
        raise _errors.MalformedInput(f'more than {_MAX_TASKS} tasks')
    occurrences = _values.check_integer(
        data.get('repeat_count', 0),
        'repeat_count',
        _MAX_OCCURRENCES,
        -_values.MAX_INTEGER,
    )
    if occurrences <= 0:
        return _work.JobSpec(spec, decoded)
    return _work.JobSpec(
        spec, decoded, *_decode_schedule(data, occurrences), occurrences
    )


def _decode_schedule(
    data: dict[str, Any], occurrences: int
) -> tuple[datetime.datetime, datetime.timedelta]:
    """Return when the first occurrence is due, and the interval of all."""
    first = _values.check_time(data.get('first_run_ms', 0), 'first_run_ms')
    interval = _values.check_milliseconds(
        data.get('interval_ms', 0), 'interval_ms', _MAX_INTERVAL
    )
    if interval * occurrences > _MAX_SCHEDULE:
        raise _errors.MalformedInput('an occurrence would be due too late')
    return first, interval


def _decode_step(value: Any, position: int) -> _work.Step:
    data = _values.check_object(value, 'a step')
    after = _values.check_list(data.get('after', []), 'after', _MAX_STEPS)
    return _work.Step(
        task_count=_values.check_integer(
            data.get('task_count'), 'task_count', _MAX_TASKS, 1
        ),
        resources=_decode_resources(data),
        estimate=_values.check_milliseconds(
            data.get('estimate_ms', 0), 'estimate_ms', _MAX_ESTIMATE
        ),
        after=tuple(
            # Only earlier steps, so that there is no cycle.
            _values.check_integer(item, 'after', position - 1)
            for item in after
        ),
        is_gang=bool(data.get('gang')),
        is_tightly_coupled=bool(data.get('tightly_coupled')),
        required_label=_values.check_string(
            data.get('required_label', ''), 'required_label'
        ),
        data_rack=_values.check_string(data.get('data_rack', ''), 'data_rack'),
        tasks_per_worker=_values.check_integer(
            data.get('anti_affinity', 0), 'anti_affinity'
        ),
        saves_checkpoints=bool(data.get('checkpointing')),
        allows_duplicates=bool(data.get('allow_duplicates')),
        is_long_running=bool(data.get('long_running')),
        image=_values.check_string(
            data.get('image', ''), 'image', _MAX_TASK_SPEC_BYTES
        ),
        latency_target=_values.check_milliseconds(
            data.get('target_ms', 0), 'target_ms', _MAX_TARGET
        ),
        # Despite its name not a count: any true value marks filler tasks.
        is_filler=bool(data.get('fill_count')),
        unavailable_limit=_values.check_integer(
            data.get('may_miss', 0), 'may_miss'
        ),
    )


def decode_configuration(value: bytes) -> _work.Configuration:
    """Decode the configuration that the operator writes."""
    data = _values.parse_object(value)
    routes = _values.check_list(data.get('routes'), 'routes', _MAX_QUEUES)
    services = _values.check_list(data.get('services'), 'services', _MAX_POOLS)
    limits = _values.check_object(data.get('limits'), 'limits')
    return _work.Configuration(
        version=_values.check_integer(data.get('version'), 'version'),
        queues=tuple(_decode_queue(route) for route in routes),
        pools=tuple(_decode_pool(service) for service in services),
        body_limit_bytes=_values.check_integer(
            limits.get('max_body_bytes'), 'max_body_bytes', _MAX_BODY_BYTES
        ),
    )


def _decode_pool(value: Any) -> _work.Pool:
    data = _values.check_object(value, 'a service')
    name = _values.check_string(data.get('name'), 'name')
    return _work.Pool(name, bool(data.get('standby')))


def _decode_queue(value: Any) -> _work.Queue:
    data = _values.check_object(value, 'a route')
    return _work.Queue(
        name=_values.check_string(data.get('name'), 'name'),
        host=_values.check_string(data.get('host'), 'host'),
        prefix=_values.check_string(data.get('prefix'), 'prefix'),
        pool=_values.check_string(data.get('service'), 'service'),
        priority=_values.check_integer(
            data.get('priority', 0), 'priority', _MAX_PRIORITY
        ),
        attempt_limit=_values.check_integer(
            data.get('max_attempts', 1), 'max_attempts', _MAX_ATTEMPTS
        ),
        stretch=_values.check_number(
            data.get('deadline_stretch', 1), 'deadline_stretch', _MAX_STRETCH
        ),
        target_latency=_values.check_milliseconds(
            data.get('target_latency_ms', 0), 'target_latency_ms', _MAX_TARGET
        ),
        timeout=_values.check_milliseconds(
            data.get('timeout_ms', 0), 'timeout_ms', _MAX_TARGET
        ),
        advice=_decode_advice_policy(data.get('advisor')),
    )


def _decode_advice_policy(value: Any) -> _work.AdvicePolicy | None:
    if not value:
        return None
    data = _values.check_object(value, 'advisor')
    return _work.AdvicePolicy(
        _values.check_milliseconds(
            data.get('decide_ms', 0), 'decide_ms', _MAX_TARGET
        ),
        _values.check_milliseconds(
            data.get('each_ms', 0), 'each_ms', _MAX_TARGET
        ),
    )


def decode_advice(data: dict[str, Any]) -> _advice.Answer:
    """Decode the answer of the service that advises on workers."""
    rows = _values.check_list(
        data.get('eligible_workers'), 'eligible_workers', _MAX_TICKETS
    )
    valid_time = _values.check_milliseconds(
        data.get('valid_ms'), 'valid_ms', _MAX_INTERVAL
    )
    return _advice.Answer(
        tuple(_decode_ticket(row) for row in rows), valid_time
    )


def _decode_ticket(value: Any) -> _advice.WorkerTicket:
    row = _check_row(value, 'a row of eligible_workers', 2)
    return _advice.WorkerTicket(
        _values.check_string(row[0], 'the id of a worker'),
        _values.check_string(row[1], 'a ticket', _MAX_TOKEN_LENGTH),
    )


def _check_row(value: Any, name: str, size: int) -> list[Any]:
    """Return a list of at least so many items; further ones are new fields."""
    if not isinstance(value, list) or len(value) < size:
        raise _errors.MalformedInput(f'{name} has fewer than {size} items')
    return value


def decode_worker(id_: str, value: bytes) -> _work.WorkerRecord:
    """Decode the row that a worker writes about itself."""
    data = _values.parse_object(value)
    state = data.get('state')
    if state not in ('ready', 'draining'):
        raise _errors.MalformedInput('state is neither ready nor draining')
    remaining = data.get('remaining_ms')
    items = _values.check_list(data.get('labels', []), 'labels', _MAX_LABELS)
    labels = frozenset(_values.check_string(item, 'a label') for item in items)
    return _work.WorkerRecord(
        id=id_,
        pool=_values.check_string(data.get('service'), 'service'),
        address=_decode_address(data.get('address')),
        zone=_values.check_string(data.get('zone'), 'zone'),
        is_draining=state == 'draining',
        capacity=_decode_resources(
            _values.check_object(data.get('capacity'), 'capacity')
        ),
        labels=labels,
        rack=next(
            (item for item in labels if _RACK_LABEL.fullmatch(item)), ''
        ),
        started_ms=_values.check_integer(data.get('born'), 'born'),
        drain_time_left=None
        if remaining is None
        else _values.check_milliseconds(
            remaining, 'remaining_ms', _MAX_DRAIN_TIME
        ),
        instance=_values.check_string(data.get('machine', ''), 'machine'),
    )


def _decode_address(value: Any) -> str:
    """Return the IP address and port of a worker."""
    address = _values.check_string(value, 'address')
    try:
        _fields.split_address(address)
    except ValueError as error:
        raise _errors.MalformedInput(
            'address is not an IP address and a port'
        ) from error
    return address


def decode_wave(value: bytes) -> _work.Wave:
    """Decode a maintenance wave that the operator requests."""
    data = _values.parse_object(value)
    instances = _values.check_list(
        data.get('machines'), 'machines', _MAX_WAVE_INSTANCES
    )
    duration = _values.check_number(
        data.get('duration_s'), 'duration_s', _MAX_WAVE_SECONDS
    )
    return _work.Wave(
        id=_values.check_integer(data.get('wave_id'), 'wave_id'),
        instances=tuple(
            _values.check_string(item, 'a machine') for item in instances
        ),
        duration=datetime.timedelta(seconds=duration),
        limit=_values.check_integer(data.get('cap'), 'cap'),
    )


def encode_wave_status(wave: int, is_completed: bool) -> bytes:
    """Encode the state of a maintenance wave for the operator."""
    state = 'completed' if is_completed else 'running'
    return json.dumps({'wave_id': wave, 'state': state}).encode()


def decode_instance(value: Any) -> _work.InstanceRecord:
    """Decode an item of the platform's list of instances."""
    data = _values.check_object(value, 'an item of machines')
    capacity = _values.check_object(data.get('capacity') or {}, 'capacity')
    return _work.InstanceRecord(
        id=_values.check_string(data.get('machine'), 'machine'),
        pool=_values.check_string(data.get('node_pool'), 'node_pool'),
        state=_values.check_string(data.get('state'), 'state'),
        zone=_values.check_string(data.get('zone', ''), 'zone'),
        worker=_values.check_string(data.get('id') or '', 'id'),
        cpu_millicores=_decode_resources(capacity).cpu_millicores,
    )


def format_task(task: _work.TaskId) -> str:
    """Return the wire name of a task: JOB.OCCURRENCE.STEP.ORDINAL."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.ordinal}'


def format_step(step: _work.StepId) -> str:
    """Return the wire name of a step: JOB.OCCURRENCE.STEP."""
    return f'{step.job}.{step.occurrence}.{step.step}'


def parse_task(name: Any) -> _work.TaskId:
    """Parse the wire name of a task."""
    if not isinstance(name, str):
        raise _errors.MalformedInput('the name of a task is not a string')
    return _parse_task_name(name)


# Successive reports name the same tasks, several times a second.
@functools.lru_cache(maxsize=2048)
def _parse_task_name(name: str) -> _work.TaskId:
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise _errors.MalformedInput('a task has no valid name')
    job, occurrence, step, ordinal = match.groups()
    return _work.TaskId(job, int(occurrence), int(step), int(ordinal))


def decode_clock(value: Any) -> datetime.timedelta:
    """Decode the clock of a worker, in milliseconds since its start."""
    return _values.check_milliseconds(value, 'clock_ms', _MAX_CLOCK)


def decode_report(data: dict[str, Any]) -> _work.WorkerReport:
    """Decode the report of a worker about its active and ended runs.

    One malformed run makes the whole report unusable: without that run the
    task would look as if it had ended.
    """
    active = _values.check_list(
        data.get('active_runs', []), 'active_runs', _MAX_RUNS
    )
    ended = _values.check_list(
        data.get('ended_runs', []), 'ended_runs', _MAX_RUNS
    )
    return _work.WorkerReport(
        clock=decode_clock(data.get('clock_ms')),
        started_ms=_values.check_integer(data.get('born', 0), 'born'),
        active=tuple(_decode_active_run(row) for row in active),
        ended=tuple(_decode_ended_run(row) for row in ended),
        is_complete=len(ended) < _LISTED_ENDS,
    )


def _decode_active_run(value: Any) -> _work.ActiveRun:
    row = _check_row(value, 'a row of active_runs', 4)
    return _work.ActiveRun(
        parse_task(row[0]),
        _check_count(row[1], 'the number of a run'),
        _values.check_string(row[2], 'a checkpoint', _MAX_TOKEN_LENGTH),
        _check_count(row[3], 'a percentage'),
        _check_count(row[4], 'a load') if len(row) > 4 else 0,
    )


def _check_count(value: Any, name: str) -> int:
    """Return a number of a run; whole ones, nearly all, take little time."""
    if type(value) is int and 0 <= value <= _MAX_COUNT:
        return value
    return int(_values.check_number(value, name, _MAX_COUNT))


def _decode_ended_run(value: Any) -> _work.EndedRun:
    row = _check_row(value, 'a row of ended_runs', 5)
    try:
        kind = _END_KINDS[row[3]]
    except (KeyError, TypeError) as error:
        raise _errors.MalformedInput('a run ended in no known way') from error
    return _work.EndedRun(
        _check_count(row[0], 'the number of an end'),
        parse_task(row[1]),
        _check_count(row[2], 'the number of a run'),
        kind,
        _values.check_string(row[4], 'a checkpoint', _MAX_TOKEN_LENGTH),
    )
