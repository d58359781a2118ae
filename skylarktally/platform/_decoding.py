"""Decodes data from the platform, workers, the operator and callers.

Malformed content raises one of ``_errors.DECODING_ERRORS``: mostly ValueError,
KeyError for a missing key, TypeError or AttributeError for some values of a
wrong type, and OverflowError for numbers out of range.
"""

import datetime
import json
import re
from typing import Any

from skylarktally.scheduling import _advice
from skylarktally.scheduling import _work

_RACK_LABEL = re.compile(r'r\d+-\d+|r[\w-]*\d')
_MAX_TASK_SPEC_BYTES = 4000
_MAX_TASKS = 10000


def _decode_milliseconds(value: Any) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_decode_number(value))


def _decode_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f'{value!r} is not a number')
    return value


def _decode_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'{value!r} is not a whole number')
    return value


def _decode_string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is not a string')
    return value


def _decode_object(value: bytes) -> dict[str, Any]:
    try:
        data = json.loads(value)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error
    if not isinstance(data, dict):
        raise ValueError('not a JSON object')
    return data


def _decode_resources(data: dict[str, Any]) -> _work.Resources:
    resources = _work.Resources(
        _decode_integer(data.get('cpu', 0)),
        _decode_integer(data.get('mem_mb', 0)),
        _decode_integer(data.get('gpu', 0)),
    )
    if min(resources) < 0:
        raise ValueError('resources must not be negative')
    return resources


def decode_job(value: bytes) -> _work.JobSpec:
    """Decode a submitted job; ValueError or TypeError if malformed."""
    data = _decode_object(value)
    spec = _decode_string(data.get('task_spec', ''))
    if len(spec.encode()) > _MAX_TASK_SPEC_BYTES:
        raise ValueError(f'task_spec is above {_MAX_TASK_SPEC_BYTES} bytes')
    steps = data.get('steps')
    if not isinstance(steps, list) or not steps:
        raise ValueError('steps must be a list of at least one step')
    decoded = tuple(
        _decode_step(step, position) for position, step in enumerate(steps)
    )
    if sum(step.task_count for step in decoded) > _MAX_TASKS:
        raise ValueError(f'more than {_MAX_TASKS} tasks')
    repeats = _decode_integer(data.get('repeat_count', 0))
    if repeats <= 0:
        return _work.JobSpec(spec, decoded)
    first = datetime.datetime.fromtimestamp(
        _decode_number(data.get('first_run_ms', 0)) / 1000, datetime.UTC
    )
    interval = _decode_milliseconds(data.get('interval_ms', 0))
    return _work.JobSpec(spec, decoded, first, interval, repeats)


def _decode_step(data: Any, position: int) -> _work.Step:
    if not isinstance(data, dict):
        raise ValueError('a step must be a JSON object')
    after = tuple(_decode_integer(item) for item in data.get('after', ()))
    if any(not 0 <= item < position for item in after):
        raise ValueError('after must name earlier steps')
    count = _decode_integer(data.get('task_count', 0))
    if count < 1:
        raise ValueError('task_count must be positive')
    return _work.Step(
        task_count=count,
        resources=_decode_resources(data),
        estimate=_decode_milliseconds(data.get('estimate_ms', 0)),
        after=after,
        is_gang=bool(data.get('gang')),
        is_tightly_coupled=bool(data.get('tightly_coupled')),
        required_label=_decode_string(data.get('required_label', '')),
        data_rack=_decode_string(data.get('data_rack', '')),
        tasks_per_worker=_decode_integer(data.get('anti_affinity', 0)),
        saves_checkpoints=bool(data.get('checkpointing')),
        allows_duplicates=bool(data.get('allow_duplicates')),
        is_long_running=bool(data.get('long_running')),
        image=_decode_string(data.get('image', '')),
        latency_target=_decode_milliseconds(data.get('target_ms', 0)),
        # Despite its name not a count: any true value marks filler tasks.
        is_filler=bool(data.get('fill_count')),
        unavailable_limit=_decode_integer(data.get('may_miss', 0)),
    )


def decode_configuration(value: bytes) -> _work.Configuration:
    """Decode the configuration that the operator writes."""
    data = _decode_object(value)
    return _work.Configuration(
        version=_decode_integer(data['version']),
        queues=tuple(_decode_queue(route) for route in data['routes']),
        pools=tuple(
            _work.Pool(_decode_string(item['name']), bool(item.get('standby')))
            for item in data['services']
        ),
        body_limit_bytes=_decode_integer(data['limits']['max_body_bytes']),
    )


def _decode_queue(route: dict[str, Any]) -> _work.Queue:
    return _work.Queue(
        name=_decode_string(route['name']),
        host=_decode_string(route['host']),
        prefix=_decode_string(route['prefix']),
        pool=_decode_string(route['service']),
        priority=_decode_integer(route.get('priority', 0)),
        attempt_limit=_decode_integer(route.get('max_attempts', 1)),
        stretch=_decode_number(route.get('deadline_stretch', 1)),
        target_latency=_decode_milliseconds(route.get('target_latency_ms', 0)),
        timeout=_decode_milliseconds(route.get('timeout_ms', 0)),
        advice=_decode_advice_policy(route.get('advisor')),
    )


def _decode_advice_policy(data: Any) -> _work.AdvicePolicy | None:
    if not data:
        return None
    return _work.AdvicePolicy(
        _decode_milliseconds(data.get('decide_ms', 0)),
        _decode_milliseconds(data.get('each_ms', 0)),
    )


def decode_advice(data: dict[str, Any]) -> _advice.Answer:
    """Decode the answer of the service that advises on workers."""
    return _advice.Answer(
        tuple(
            _advice.WorkerTicket(
                _decode_string(worker), _decode_string(ticket)
            )
            for worker, ticket in data['eligible_workers']
        ),
        _decode_milliseconds(data['valid_ms']),
    )


def decode_worker(id_: str, value: bytes) -> _work.WorkerRecord:
    """Decode the row that a worker writes about itself."""
    data = _decode_object(value)
    state = data['state']
    if state not in ('ready', 'draining'):
        raise ValueError(f'unknown state {state!r}')
    remaining = data.get('remaining_ms')
    labels = frozenset(
        _decode_string(label) for label in data.get('labels', ())
    )
    address = _decode_string(data['address'])
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'bad address {address!r}')
    return _work.WorkerRecord(
        id=id_,
        pool=_decode_string(data['service']),
        address=address,
        zone=_decode_string(data['zone']),
        is_draining=state == 'draining',
        capacity=_decode_resources(data['capacity']),
        labels=labels,
        rack=next(
            (item for item in labels if _RACK_LABEL.fullmatch(item)), ''
        ),
        started_ms=_decode_integer(data.get('born', 0)),
        drain_time_left=None
        if remaining is None
        else _decode_milliseconds(remaining),
        instance=_decode_string(data.get('machine', '')),
    )


def decode_wave(value: bytes) -> _work.Wave:
    """Decode a maintenance wave that the operator requests."""
    data = _decode_object(value)
    return _work.Wave(
        id=_decode_integer(data['wave_id']),
        instances=tuple(_decode_string(item) for item in data['machines']),
        duration=datetime.timedelta(
            seconds=_decode_number(data['duration_s'])
        ),
        limit=_decode_integer(data['cap']),
    )


def encode_wave_status(wave: int, is_completed: bool) -> bytes:
    """Encode the state of a maintenance wave for the operator."""
    state = 'completed' if is_completed else 'running'
    return json.dumps({'wave_id': wave, 'state': state}).encode()


def decode_instance(data: dict[str, Any]) -> _work.InstanceRecord:
    """Decode an item of the platform's list of instances."""
    return _work.InstanceRecord(
        id=_decode_string(data['machine']),
        pool=_decode_string(data['node_pool']),
        state=_decode_string(data['state']),
        zone=_decode_string(data.get('zone', '')),
        worker=data.get('id') or '',
        cpu_millicores=_decode_resources(
            data.get('capacity') or {}
        ).cpu_millicores,
    )


def format_task(task: _work.TaskId) -> str:
    """Return the wire name of a task: JOB.OCCURRENCE.STEP.ORDINAL."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.ordinal}'


def format_step(step: _work.StepId) -> str:
    """Return the wire name of a step: JOB.OCCURRENCE.STEP."""
    return f'{step.job}.{step.occurrence}.{step.step}'


def parse_task(name: str) -> _work.TaskId:
    """Parse the wire name of a task; ValueError if malformed."""
    job, occurrence, step, ordinal = name.split('.')
    return _work.TaskId(job, int(occurrence), int(step), int(ordinal))


def decode_report(data: dict[str, Any]) -> _work.WorkerReport:
    """Decode the report of a worker about its active and ended runs."""
    return _work.WorkerReport(
        clock=_decode_milliseconds(data['clock_ms']),
        started_ms=_decode_integer(data.get('born', 0)),
        active=tuple(
            _work.ActiveRun(
                parse_task(row[0]),
                row[1],
                row[2],
                row[3],
                row[4] if len(row) > 4 else 0,
            )
            for row in data.get('active_runs', ())
        ),
        ended=tuple(
            _work.EndedRun(
                row[0],
                parse_task(row[1]),
                row[2],
                _work.EndKind(row[3]),
                row[4],
            )
            for row in data.get('ended_runs', ())
        ),
    )
