"""Guards against clients that misread the platform's protocol.

The clients call the stand-in of the platform, which runs in a process of its
own, over real sockets. Above all, a request that may have taken effect must
not be reported as failed.
"""

import datetime
import socket
import subprocess
import sys
import time

import pytest
from returns import result
import urllib3

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _instances
from skylarktally import _journal
from skylarktally import _limits
from skylarktally import _objects
from skylarktally import _resources
from skylarktally import _table
from tests import test_journal_machine

pytestmark = pytest.mark.processes


def format_address(listener):
    return f'127.0.0.1:{listener.getsockname()[1]}'


def find_free_address():
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return format_address(listener)


@pytest.fixture(scope='module')
def address():
    free_address = find_free_address()
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'standins.platform',
            f'--address={free_address}',
        ],
        stderr=subprocess.DEVNULL,
    )
    for _ in range(100):
        try:
            urllib3.request(
                'GET', f'http://{free_address}/standin/record', retries=False
            )
            break
        except urllib3.exceptions.HTTPError:
            time.sleep(0.1)
    yield free_address
    process.terminate()
    process.wait(10)


@pytest.fixture(autouse=True)
def clear_faults(address):
    yield
    set_faults(address, down=False, delay_seconds=0, lose_answers=0)


def set_faults(address, **faults):
    urllib3.request('PUT', f'http://{address}/standin/faults', json=faults)


@pytest.fixture
def limits():
    return _limits.PlatformLimits(
        _clock.SystemClock(),
        100,
        100,
        response_timeout=datetime.timedelta(seconds=0.5),
    )


def create_client(client, address, limits):
    return client(address, _clock.SystemClock(), limits)


def insert(key, value):
    return _table.Transaction(
        key, (_table.Condition(key, 0),), (_table.Write(key, value),)
    )


def test_table_checks_conditions_and_reads_in_order(address, limits):
    table = create_client(_table.HttpTable, address, limits)
    names = ['t/b', 't/a', 't/ü /?']
    versions = [table.commit(insert(n, {'n': n})).unwrap() for n in names]
    assert sorted(set(versions)) == versions
    conflict = table.commit(insert('t/a', {})).failure()
    assert conflict.kind is _errors.ErrorKind.CONFLICT
    assert 't/a' in conflict.message
    rows = table.scan('t/').unwrap()
    assert [row.key for row in rows] == sorted(names)
    assert table.scan('t/', after='t/a', limit=1).unwrap()[0].key == 't/b'
    assert table.read('t/ü /?').unwrap().value == {'n': 't/ü /?'}
    assert table.read('t/none').unwrap() is None


@pytest.mark.parametrize(
    'faults, commit_kind, read_kind, applied',
    [
        ({'down': True}, 'platform_unavailable', 'platform_unavailable', 0),
        ({'lose_answers': 1}, 'outcome_unknown', 'platform_unavailable', 1),
        ({'delay_seconds': 1}, 'outcome_unknown', 'platform_unavailable', 1),
    ],
)
def test_failure_kinds_tell_unapplied_from_unknown(
    address, limits, faults, commit_kind, read_kind, applied
):
    table = create_client(_table.HttpTable, address, limits)
    key = f'faults/{next(iter(faults))}'
    set_faults(address, **faults)
    commit = table.commit(insert(key, {}))
    assert commit.failure().kind.value == commit_kind
    # A single response with status 503 isn't taken for an outage.
    assert not table.is_refusing
    assert table.is_unresponsive is ('delay_seconds' in faults)
    assert table.read(key).failure().kind.value == read_kind
    assert table.is_refusing is ('down' in faults)
    set_faults(address, down=False, delay_seconds=0, lose_answers=0)
    time.sleep(1)
    assert (table.read(key).unwrap() is not None) == bool(applied)
    assert not (table.is_refusing or table.is_unresponsive)


def test_refused_connection_means_not_applied(limits):
    table = create_client(_table.HttpTable, find_free_address(), limits)
    failure = table.commit(insert('k', {})).failure()
    assert failure.kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
    assert table.is_refusing


def test_conditional_write_keeps_a_concurrent_one(address, limits):
    objects = create_client(_objects.HttpObjectStore, address, limits)
    tag = objects.write('s/1', b'one').unwrap()
    assert objects.read('s/1').unwrap() == (b'one', tag)
    again = objects.write('s/1', b'again', if_absent=True).failure()
    assert again.kind is _errors.ErrorKind.CONFLICT
    objects.write('s/1', b'two', if_match=tag).unwrap()
    objects.write('s/2', b'new', if_absent=True).unwrap()
    late = objects.write('s/1', b'three', if_match=tag).failure()
    assert late.kind is _errors.ErrorKind.CONFLICT
    assert objects.read('s/1').unwrap().data == b'two'
    assert objects.delete('s/1') == result.Success(None)
    assert objects.read('s/1').unwrap() is None


def test_reboot_runs_once_per_operation_id(address, limits):
    instances = create_client(_instances.HttpInstanceApi, address, limits)
    with socket.socket() as worker:
        worker.bind(('127.0.0.1', 0))
        worker.listen()
        worker.settimeout(5)
        entry = dict.fromkeys(_instances.ListedInstance._fields, 1)
        entry.update(name='w1', state='live', zone='z1')
        entry['address'] = format_address(worker)
        urllib3.request(
            'PUT',
            f'http://{address}/standin/instances',
            json={'instances': [entry]},
        )
        states = [
            instances.reboot('w1', 'op').unwrap().state for _ in range(2)
        ]
        assert states == ['running', 'running']
        first, second = (instances.list('z1').unwrap() for _ in range(2))
        assert first.instances[0].state == 'leaving'
        # The second response holds only the entity tag and the time of the
        # list, because the list hasn't changed.
        assert second.instances is first.instances
        assert second.as_of > first.as_of
        assert instances.list('z2').unwrap().instances == ()
        connection, _ = worker.accept()
        assert connection.recv(100).startswith(b'POST /standin/reboot ')
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        worker.settimeout(0.5)
        with pytest.raises(TimeoutError):
            worker.accept()
        connection.close()
    assert instances.reboot('w1', 'op').unwrap().state == 'done'
    missing = instances.drain('w2', 'op').failure()
    assert missing.kind is _errors.ErrorKind.NOT_FOUND


def test_journal_resolves_every_lost_response(address, limits):
    table = create_client(_table.HttpTable, address, limits)
    fleet = _fleet.Fleet()
    clock = _clock.SystemClock()
    journal = _journal.Journal(table, fleet, clock, 'author')
    set_faults(address, lose_answers=0.5, seed=7)
    for count in range(1, 11):
        change = test_journal_machine.build_change('p', {'n': count})
        outcome = journal.propose([change], count - 1)
        while outcome != result.Success(count):
            # The caller may repeat only what certainly wasn't applied.
            kind = outcome.failure().kind
            assert kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
            outcome = journal.propose([change], count - 1)
    set_faults(address, lose_answers=0)
    replica = _fleet.Fleet()
    replica_journal = _journal.Journal(table, replica, clock, 'follower')
    assert replica_journal.refresh() == result.Success(10)
    found = replica.find(_resources.Kind.CONFIGURATION, 'p')
    assert (found['spec'], found['resource_version']) == ({'n': 10}, 10)


def test_retries_to_a_slow_table_take_effect_once(address, limits):
    # Every response comes after the client's timeout, and every retry of
    # the transaction reaches the table.
    table = create_client(_table.HttpTable, address, limits)
    clock = _clock.SystemClock()
    fleet = _fleet.Fleet()
    journal = _journal.Journal(
        table,
        fleet,
        clock,
        'slow',
        resolve_timeout=datetime.timedelta(seconds=2),
    )
    base = journal.refresh().unwrap()
    change = test_journal_machine.build_change('slow', {})
    # The next transaction uses the head of this one, so that only its commit
    # and the look-up of its outcome meet the slow table.
    journal.propose([change], base).unwrap()
    set_faults(address, delay_seconds=0.8)
    failure = journal.propose([change], base + 1).failure()
    assert failure.kind is _errors.ErrorKind.OUTCOME_UNKNOWN
    set_faults(address, delay_seconds=0)
    time.sleep(1)
    assert journal.refresh().unwrap() == base + 2
    written = fleet.read_records(base, 10)
    assert [record['author'] for record in written] == ['slow'] * 2
