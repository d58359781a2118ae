"""Odd input from workers, the store, callers and other entry instances.

Guards against an exception that leaves a decoder, and against decoded values
with which the rest of the program cannot calculate. The documents are valid
ones in which one value is replaced. SKYLARKTALLY_FUZZ_CASES sets the number
of cases of each test for a longer run by hand.
"""

import json
import os

import hypothesis
from hypothesis import strategies as st
import pytest
from returns import result

from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _dispatcher
from skylarktally.entries import _store_relay
from skylarktally.platform import _decoding
from skylarktally.platform import _http
from skylarktally.platform import _store
from skylarktally.platform import _workers
from skylarktally.scheduling import _admission
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _records
from skylarktally.scheduling import _reports
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work
from standins import rows
from tests import pools
from tests import strategies

CASES = strategies.check_many(
    int(os.environ.get('SKYLARKTALLY_FUZZ_CASES', '300'))
)
SEEDS = st.integers(0, 1 << 32)
NOW = pools.seconds(100)
JOB_ID = '5c0e7a21d94b36f8'
DEEP = [[]]
for _ in range(400):
    DEEP = [DEEP]
ODD_VALUES = [
    None,
    True,
    -1,
    0,
    2**31,
    2**53,
    2**63,
    10**18,
    10**400,
    -(10**400),
    9e15,
    1e300,
    float('nan'),
    float('inf'),
    -0.5,
    '',
    '7',
    'x' * 70000,
    '\ud800',
    '\x00',
    '10.0.0.1:99999',
    '10.0.0.1:0',
    '10.0.0.1:²',
    'a\x00b:80',
    '²',
    [],
    {},
    DEEP,
    [[]] * 70,
]
VALUES = st.sampled_from(ODD_VALUES) | strategies.JSON_VALUES
STEP = {
    'task_count': 3,
    'cpu': 500,
    'mem_mb': 256,
    'gpu': 0,
    'estimate_ms': 900,
    'data_rack': 'r1-3',
    'required_label': '',
    'anti_affinity': 1,
    'may_miss': 1,
    'target_ms': 30,
    'image': 'i',
}
JOB = {
    'task_spec': 's',
    'steps': [STEP, {**STEP, 'after': [0], 'checkpointing': True}],
    'repeat_count': 3,
    'first_run_ms': 1700000000000,
    'interval_ms': 1000,
}
REPORT = {
    'clock_ms': 482113,
    'born': 1700000000000,
    'active_runs': [[f'{JOB_ID}.0.0.0', 2, '00000bb8', 41, 7]],
    'ended_runs': [[58, f'{JOB_ID}.0.0.1', 1, 'done', '']],
}
ROWS = {
    'rows': [
        {
            'table': 'servers',
            'part': '',
            'key': 'w-1',
            'value': 'e30=',
            'row_version': 7,
        }
    ],
    'row_version': 9,
    'now_ms': 3,
    'has_more': False,
    'parts': ['a', 'b'],
}
INSTANCES = {
    'machines': [
        {
            'machine': 'm-1',
            'node_pool': 'pool',
            'state': 'up',
            'zone': 'z',
            'labels': [],
            'capacity': {'cpu': 8000, 'mem_mb': 2, 'gpu': 0},
            'id': 'w-1',
        }
    ],
    'next_token': '',
}
WAVE = {'wave_id': 3, 'machines': ['m-1'], 'duration_s': 30, 'cap': 2}
ADVICE = {'eligible_workers': [['w-1', 't']], 'valid_ms': 500}
TERM = _records.Term(
    'me', 'a:1', 'life', 3, 7, False, ('w',), (('w', 1, 900),)
)


def encode(document):
    return json.dumps(document).encode()


def decode_or_none(decode, *arguments):
    """Return the decoded value; None if the input is refused as malformed."""
    try:
        return decode(*arguments)
    except _errors.MalformedInput as error:
        # The reason goes to the log with each such row.
        assert len(str(error)) < 300
        return None


def plan(pool_state):
    """Do all that an owner does with its jobs and workers."""
    for job in pool_state.jobs.values():
        _records.decode_progress(job.id, _records.encode_progress(job))
    _planning.release_due(pool_state, pools.WALL)
    _planning.plan_stops(pool_state, NOW)
    _planning.plan_starts(pool_state, NOW)
    _planning.measure_load(pool_state, NOW)


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_an_accepted_job_can_be_planned(value, seed):
    body = encode(strategies.mutate(JOB, value, seed))
    spec = decode_or_none(_decoding.decode_job, body)
    if spec is None:
        return
    pool_state = pools.make_pool_state(pools.make_worker('w'))
    pool_state.lendable_millicores = 1000
    _admission.review(pool_state, pools.make_queue(), spec)
    pool_state.note_arrival(spec, NOW)
    pool_state.add_job(
        _states.Job(JOB_ID, pools.make_queue(), spec, NOW), NOW, pools.WALL
    )
    plan(pool_state)


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_an_accepted_worker_can_be_planned(value, seed):
    row = encode(strategies.mutate(pools.WORKER_FIELDS, value, seed))
    record = decode_or_none(_decoding.decode_worker, 'w', row)
    if record is None:
        return
    assert 0 < int(record.address.rpartition(':')[2]) < 65536
    job = pools.make_job('a', pools.make_step(2))
    plan(pools.make_pool_state(record, pools.make_worker('x'), jobs=[job]))


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_an_accepted_report_can_be_applied(value, seed):
    document = strategies.mutate(REPORT, value, seed)
    response = _http.Response(200, json.loads(encode(document)))
    outcome = _workers._read_report(response)
    if not isinstance(outcome, result.Success):
        assert outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN
        return
    report = outcome.unwrap()
    pool_state = pools.make_pool_state(
        pools.make_worker('w'),
        jobs=[pools.make_job(JOB_ID, pools.make_step(2))],
    )
    worker_state = pool_state.worker_states['w']
    for end in report.ended:
        pool_state.note_end('w', end)
    _reports.reconcile(pool_state, worker_state, report, NOW, NOW)
    plan(pool_state)
    for task in report.active:
        assert _decoding.parse_task(_decoding.format_task(task.task))


@CASES
@hypothesis.given(
    st.sampled_from([200, 400, 409, 421, 429, 500, 503]), VALUES, VALUES
)
def test_answers_to_orders(status, clock, reason):
    body = {'clock_ms': clock, 'reason': reason}
    outcome = _workers._read_order(_http.Response(status, body))
    if isinstance(outcome, result.Success):
        # The status decides, also if the clock cannot be read.
        assert (outcome.unwrap().rejection is None) == (status == 200)
    else:
        assert status in (409, 500)


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_answers_of_the_store(value, seed):
    """Guards against a follower of a table that ends for good."""
    response = _http.Response(200, strategies.mutate(ROWS, value, seed))
    client = _store.TableStore('127.0.0.1:1', pools.ManualClock())
    client._client.call = lambda *_, **__: result.Success(response)
    outcomes = [
        client.follow('servers', 1, pools.seconds(0)),
        client.list_partitions('servers')
        if not response.body.get('has_more')
        else result.Success(()),
        _store._read_commit(response),
        _store._read_commit(response._replace(status=412)),
    ]
    for outcome in outcomes:
        assert isinstance(outcome, result.Success) or (
            outcome.failure().kind
            in (
                _errors.ErrorKind.PLATFORM_UNAVAILABLE,
                _errors.ErrorKind.OUTCOME_UNKNOWN,
            )
        )


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_lists_of_instances(value, seed):
    """Guards against one entry that hides all other instances."""
    other = {**INSTANCES['machines'][0], 'machine': 'm-2'}
    odd = strategies.mutate(INSTANCES['machines'][0], value, seed)
    body = {'machines': [odd, other], 'next_token': ''}
    client = _workers.InstanceCalls('127.0.0.1:1')
    client._client.call = lambda *_, **__: result.Success(
        _http.Response(200, body)
    )
    listed = client.list_instances().unwrap()
    assert listed[-1].id == 'm-2'
    assert sum(record.cpu_millicores for record in listed) < 2**63


@pytest.mark.parametrize('next_token', ['again', 7, ['x'], 'x' * 1000])
def test_a_list_of_instances_without_an_end(next_token):
    """Guards against a maintenance cycle that never ends."""
    client = _workers.InstanceCalls('127.0.0.1:1')
    body = {**INSTANCES, 'next_token': next_token}
    client._client.call = lambda *_, **__: result.Success(
        _http.Response(200, body)
    )
    kind = client.list_instances().failure().kind
    assert kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE


@CASES
@hypothesis.given(
    st.sampled_from(
        [
            (_decoding.decode_wave, WAVE),
            (_records.decode_term, list(TERM)),
            (_records.decode_wave, [1700000000000, ['m-1']]),
            (
                lambda value: _records.decode_progress(JOB_ID, value),
                ['running', {'0.1': [0, 2]}, [[0, 1, 1, [1]]], [2, [4]]],
            ),
            (
                _records.decode_job,
                ['q', 1700000000000, '{}', 2, 1, 2, 1.6, 600],
            ),
        ]
    ),
    VALUES,
    SEEDS,
)
def test_other_rows(case, value, seed):
    decode, document = case
    assert decode_or_none(decode, encode(document)) is not None
    decode_or_none(decode, encode(strategies.mutate(document, value, seed)))


@CASES
@hypothesis.given(VALUES, SEEDS)
def test_advice(value, seed):
    decode_or_none(
        _decoding.decode_advice, strategies.mutate(ADVICE, value, seed)
    )


@CASES
@hypothesis.given(st.binary(max_size=40))
def test_bytes_that_are_no_document(content):
    for decode in (
        _decoding.decode_job,
        _decoding.decode_wave,
        _decoding.decode_configuration,
        lambda value: _decoding.decode_worker('w', value),
        _records.decode_term,
        _records.decode_job,
    ):
        decode_or_none(decode, content)


@pytest.mark.parametrize(
    'change',
    [
        {'repeat_count': 10**9},
        {'interval_ms': -1},
        {'interval_ms': 1e300},
        {'repeat_count': 10**6, 'interval_ms': 10**10},
        {'first_run_ms': 9e15},
        {'steps': [{**STEP, 'estimate_ms': 9e15}]},
        {'steps': [{**STEP, 'cpu': 10**400}]},
        {'steps': [{**STEP, 'after': [0]}]},
        {'steps': [STEP] * 5000},
        {'task_spec': '\ud800'},
    ],
)
def test_a_job_out_of_range_is_refused(change):
    with pytest.raises(_errors.MalformedInput):
        _decoding.decode_job(encode({**JOB, **change}))


def test_a_body_that_is_not_utf_8_is_refused():
    """Guards against a job that is accepted and cannot be stored."""
    with pytest.raises(_errors.MalformedInput):
        _decoding.decode_job(json.dumps(JOB).encode('utf-16'))


def test_the_largest_jobs_can_be_planned():
    """Guards against sums over jobs that are no timedeltas."""
    step = {
        'task_count': 10000,
        'cpu': 10**8,
        'mem_mb': 1,
        'estimate_ms': 30 * 86400 * 1000,
    }
    spec = _decoding.decode_job(encode({'steps': [step]}))
    pool_state = _pool_state.PoolState()
    pool_state.worker_states['w'] = pools.make_worker_state(
        pools.make_worker('w')
    )
    pool_state.lendable_millicores = 0
    queue = pools.make_queue(stretch=1000)
    for number in range(5):
        pool_state.note_arrival(spec, NOW)
        job = _states.Job(str(number), queue, spec, NOW)
        pool_state.add_job(job, NOW, pools.WALL)
    _admission.review(pool_state, queue, spec)
    _admission.estimate_delay(pool_state, 0)
    plan(pool_state)


def test_a_job_repeats_a_million_times_a_few_at_a_time():
    """Guards against a job that keeps the owner of a pool for good.

    All of its occurrences are due at once.
    """
    step = pools.make_step(2, estimate=0.1)
    first = pools.WALL - pools.seconds(10**6)
    spec = _work.JobSpec('s', (step,), first, pools.seconds(0), 10**6)
    pool_state = pools.make_pool_state(pools.make_worker('w'))
    job = _states.Job(JOB_ID, pools.make_queue(), spec, NOW)
    pool_state.add_job(job, NOW, pools.WALL)
    for _ in range(100):
        _planning.release_due(pool_state, pools.WALL)
    assert len(job.groups) <= 500
    finish_groups(pool_state, job, 400)
    progress = _records.encode_progress(job)
    assert len(progress) < 60000
    assert 'w' in pool_state.worker_states
    restored = _records.decode_progress(JOB_ID, progress).finished
    assert restored == job.finished_occurrences
    assert restored.below == 400


def finish_groups(pool_state, job, count):
    """End the tasks of the first groups of a job."""
    for group in list(job.groups.values())[:count]:
        for task in group.tasks:
            run = pools.run_task(pool_state, task, 'w')
            pool_state.note_end('w', pools.end(run))


def test_a_repeated_job_goes_on_after_a_takeover():
    """Guards against occurrences that run twice or never."""
    step = pools.make_step(1, estimate=0.1)
    spec = _work.JobSpec('s', (step,), pools.WALL, pools.seconds(0), 4)
    pool_state = pools.make_pool_state(pools.make_worker('w'))
    job = _states.Job(JOB_ID, pools.make_queue(), spec, NOW)
    pool_state.add_job(job, NOW, pools.WALL)
    for occurrence in (0, 2):
        (task,) = job.groups[occurrence, 0].tasks
        run = pools.run_task(pool_state, task, 'w')
        pool_state.note_end('w', pools.end(run))
    progress = _records.decode_progress(JOB_ID, _records.encode_progress(job))
    later = pools.make_pool_state(pools.make_worker('w'))
    successor = _states.Job(
        JOB_ID,
        pools.make_queue(),
        spec,
        NOW,
        restored_progress=progress,
        finished_occurrences=progress.finished,
        released_occurrences=progress.finished.below,
    )
    later.add_job(successor, NOW, pools.WALL)
    assert sorted(successor.groups) == [(1, 0), (3, 0)]
    finish_groups(later, successor, 2)
    assert successor.state is _work.JobState.COMPLETED


@pytest.mark.parametrize(
    'reply',
    [
        _calls.JobReply(error='a kind of a later version'),
        _calls.JobReply(error='internal'),
        _calls.JobReply(error='queue_full', retry_after_ms=None),
        _calls.JobReply(),
        _calls.JobReply(state='a state of a later version'),
        _calls.JobReply(state='running', queued=3),
    ],
)
def test_replies_of_other_entry_instances(reply):
    """Guards against a caller that gets an internal error.

    Thrift leaves all fields optional, and a later version may know more.
    """
    outcome = _dispatcher.decode_reply(reply)
    for decode in (_dispatcher._decode_state, _dispatcher._decode_count):
        decoded = outcome.bind(decode)
        if not isinstance(decoded, result.Success):
            assert isinstance(decoded.failure(), _errors.Failure)
            continue
        assert reply.state == 'running'


@pytest.mark.parametrize(
    'reply',
    [
        _calls.StoreReply(),
        _calls.StoreReply(error='a kind of a later version'),
        _calls.StoreReply('', '', True, 3, None, False, []),
        _calls.StoreReply('', '', True, None, [], False, []),
        _calls.StoreReply('', '', True, 3, [_calls.StoredRow()], False, []),
    ],
)
@pytest.mark.parametrize('call', ['read', 'list_partitions', 'commit'])
def test_relayed_answers_that_lack_fields(reply, call):
    """Guards against a follower or a ledger that ends for good."""

    class Relay:
        def carry(self, address, call, timeout):
            return result.Success(reply)

    table = rows.RowTable()
    table.is_down = True
    store = _store_relay.RelayedStore(
        table, Relay(), lambda: ['127.0.0.1:1'], pools.ManualClock()
    )
    outcome = {
        'read': lambda: store.read('terms', ''),
        'list_partitions': lambda: store.list_partitions('terms'),
        'commit': lambda: store.commit(_rows.Transaction((), ())),
    }[call]()
    assert outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN
