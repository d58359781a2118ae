"""Tests of the rows of workers that an entry instance follows."""

import json

import pytest

from skylarktally import _clock
from skylarktally.entries import _directory
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
        self.directory._apply_worker(
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
    assert len(follower.directory.list_workers('pool')) == 200


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
    assert list(follower.directory.list_workers(pool)) == ['w-1']
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
    assert follower.directory.list_departed_workers('pool') == {}


def test_a_worker_is_listed_again_after_an_unreadable_row(follower):
    """Guards against a row that is compared with an older readable one."""
    follower.receive()
    follower.receive_bytes(b'{')
    assert follower.directory.workers == {}
    follower.receive_bytes(b'{')
    follower.receive(sequence=5)
    assert list(follower.directory.workers) == ['w-1']


def test_text_that_looks_like_a_heartbeat_counts_as_a_change(follower):
    """Guards against the comparison of a part of a text of the worker."""
    follower.receive(version='"sequence": 1')
    follower.receive(version='"sequence": 2', labels=['"clock_ms": 3'])
    assert '"clock_ms": 3' in follower.directory.workers['w-1'].labels
    follower.receive(version='"sequence": 2', labels=['"clock_ms": 4'])
    assert '"clock_ms": 4' in follower.directory.workers['w-1'].labels
