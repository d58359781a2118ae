"""Tests of the rows of workers that an entry instance follows."""

import json

import pytest

from skylarktally import _clock
from skylarktally.entries import _directory
from skylarktally.entries import _worker_list
from skylarktally import platform
from skylarktally.scheduling import _rows
from standins import rows
from tests import pools


class CountingLayout(platform.PlatformLayout):
    """Layout that counts the rows of workers that are decoded."""

    def __init__(self):
        self.decoded = 0

    def decode_worker(self, id_, value):
        self.decoded += 1
        return super().decode_worker(id_, value)


class Follower:
    """A directory that gets one row after the other."""

    def __init__(self):
        self.layout = CountingLayout()
        self.directory = _directory.Directory(
            rows.RowTable(), self.layout, _clock.SystemClock()
        )
        self._version = 0

    def receive(self, id_='w-1', is_deleted=False, **change):
        self.receive_bytes(
            json.dumps({**pools.WORKER_FIELDS, **change}).encode(),
            id_,
            is_deleted,
        )

    def receive_bytes(self, value, id_='w-1', is_deleted=False):
        self._version += 1
        key = _rows.RowKey('servers', '', id_)
        self.directory.worker_list.apply(
            _rows.Row(key, value, self._version, is_deleted)
        )


@pytest.fixture
def follower():
    return Follower()


def test_heartbeats_are_not_decoded(follower):
    """Guards against a cost that follows all heartbeats of the fleet.

    Each entry instance receives them, also if it owns no pool; they were
    most of the processor time of such an instance.
    """
    for beat in range(5):
        for worker in range(200):
            follower.receive(
                f'w-{worker}',
                sequence=4 + beat,
                clock_ms=482113 + 1500.5 * beat,
                cold_left_ms=900 - 200 * beat,
            )
    assert follower.layout.decoded == 200
    assert len(follower.directory.worker_list.list_pool('pool')) == 200


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'draining'},
        {'state': 'draining', 'remaining_ms': 3000},
        {'service': 'other'},
        {'address': '10.0.0.2:80'},
        {'born': 1700000000001},
        {'capacity': {'cpu': 8000, 'mem_mb': 32768, 'gpu': 0}},
        {'labels': ['a', 'r2-3']},
        {'machine': 'm-2'},
    ],
)
def test_any_other_change_is_decoded(follower, change):
    """Guards against a worker that keeps its former pool or address."""
    follower.receive()
    before = follower.directory.workers['w-1']
    follower.receive(sequence=5, **change)
    after = follower.directory.workers['w-1']
    assert after != before
    value = json.dumps({**pools.WORKER_FIELDS, **change}).encode()
    assert after == platform.PlatformLayout().decode_worker('w-1', value)
    pool = change.get('service', 'pool')
    assert list(follower.directory.worker_list.list_pool(pool)) == ['w-1']
    # The heartbeats that follow are compared with the changed row.
    follower.receive(sequence=6, **change)
    assert follower.layout.decoded == 2


def test_a_worker_that_returns_unchanged_is_listed_again(follower):
    """Guards against a worker that stays away after its row had lapsed."""
    follower.receive()
    follower.receive_bytes(b'', is_deleted=True)
    assert follower.directory.workers == {}
    follower.receive(sequence=5)
    assert list(follower.directory.workers) == ['w-1']
    assert follower.directory.worker_list.list_departed('pool') == {}


ODD_ROWS = [
    b'{',
    b'\xff\xfe',
    b'[' * 60000,
    b'{"a":' * 10000,
    b'{"state": "ready", "sequence": ' + b'9' * 5000 + b'}',
    json.dumps({**pools.WORKER_FIELDS, 'address': '10.0.0.1:99999'}).encode(),
    json.dumps({**pools.WORKER_FIELDS, 'capacity': {'cpu': 10**400}}).encode(),
    # review/2: the row was taken for that of another incarnation.
    json.dumps(
        {k: v for k, v in pools.WORKER_FIELDS.items() if k != 'born'}
    ).encode(),
    json.dumps({**pools.WORKER_FIELDS, 'born': 1.5}).encode(),
]


@pytest.mark.parametrize('odd', ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_an_odd_row_leaves_the_last_good_record_in_force(follower, odd):
    """Guards against running work that is started elsewhere.

    Another writer replaced the row of a worker that lives. The worker must
    stay listed until its next heartbeat, which is compared with its own row.
    """
    follower.receive()
    record = follower.directory.workers['w-1']
    for _ in range(3):
        follower.receive_bytes(odd)
    assert follower.directory.workers == {'w-1': record}
    assert follower.directory.worker_list.list_departed('pool') == {}
    follower.receive(sequence=5)
    assert follower.directory.workers == {'w-1': record}
    assert follower.directory.worker_list.unreadable == {}
    follower.receive(sequence=6, state='draining')
    assert follower.directory.workers['w-1'].is_draining


@pytest.mark.parametrize('odd', ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_an_odd_row_names_no_new_worker(follower, odd):
    follower.receive_bytes(odd, 'w-2')
    follower.receive()
    assert list(follower.directory.workers) == ['w-1']
    follower.receive_bytes(b'', 'w-2', is_deleted=True)
    assert follower.directory.worker_list.unreadable == {}


def test_a_worker_leaves_when_its_row_stays_unreadable():
    """Guards against a worker that is used for good after it has ended."""
    clock = pools.ManualClock()
    listed = _worker_list.WorkerList(
        platform.PlatformLayout(), clock, lambda: None
    )
    key = _rows.RowKey('servers', '', 'w-1')
    value = json.dumps(pools.WORKER_FIELDS).encode()
    listed.apply(_rows.Row(key, value, 1))
    listed.apply(_rows.Row(key, b'{', 2))
    clock.advance(4)
    listed.expire()
    assert list(listed.records) == ['w-1']
    # No heartbeat can replace the row while the store is away.
    clock.advance(60)
    listed.resume()
    listed.expire()
    assert list(listed.records) == ['w-1']
    clock.advance(6)
    listed.expire()
    assert not listed.records
    assert list(listed.list_departed('pool')) == ['w-1']
    # Another odd value does not bring it back.
    listed.apply(_rows.Row(key, b'[', 3))
    assert not listed.records


def test_a_complete_read_with_an_odd_row_keeps_its_worker():
    """Guards against a worker that is lost when history is discarded."""
    listed = _worker_list.WorkerList(
        platform.PlatformLayout(), pools.ManualClock(), lambda: None
    )
    key = _rows.RowKey('servers', '', 'w-1')
    value = json.dumps(pools.WORKER_FIELDS).encode()
    listed.apply(_rows.Row(key, value, 1))
    listed.retain(frozenset({'w-1', 'w-2'}))
    listed.apply(_rows.Row(key, b'{', 2))
    assert list(listed.records) == ['w-1']
    listed.retain(frozenset({'w-2'}))
    assert not listed.records
    assert not listed.unreadable
    assert list(listed.list_departed('pool')) == ['w-1']


def test_text_that_looks_like_a_heartbeat_counts_as_a_change(follower):
    """Guards against the comparison of a part of a text of the worker."""
    follower.receive(version='"sequence": 1')
    follower.receive(version='"sequence": 2', labels=['"clock_ms": 3'])
    assert '"clock_ms": 3' in follower.directory.workers['w-1'].labels
    follower.receive(version='"sequence": 2', labels=['"clock_ms": 4'])
    assert '"clock_ms": 4' in follower.directory.workers['w-1'].labels
