"""Guards against a new router that starts with an old or damaged state.

The router must use the table if it answers, otherwise the highest version
of the other sources, and must not wait for sources that hang.
"""

import time

import pytest
from returns import result

from skylarktally import _bootstrap
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _loop
from skylarktally import _objects
from skylarktally import _snapshots
from tools import peer_network


class Sources:
    """Creates sources that load a version of a snapshot after a delay."""

    def __init__(self):
        self.fleet = _fleet.Fleet()
        self.snapshots = _snapshots.Snapshots(self.fleet)

    def create(self, delay_and_version):
        """Create a source; it fails if the argument is None.

        The delay is in seconds. A negative version raises an error.
        """

        def load():
            if delay_and_version is None:
                return False
            delay, version = delay_and_version
            _loop.sleep(delay)
            if version < 0:
                raise ValueError('broken')
            self.snapshots.load(
                ttypes.Snapshot(log_version=version, body='[]')
            )
            return True

        return load


@pytest.mark.parametrize(
    ('table', 'others', 'version'),
    [
        ((0, 9), [(0, 4), (0, 6)], 9),
        ((0, 0), [None], 0),
        # The table is down: the highest version loaded in time.
        (None, [(0, 4), (0.2, 6), (0.1, 5)], 6),
        (None, [(0, 4), (5, 6)], 4),
        (None, [None, (0.1, 3)], 3),
        # The table hangs; the state of another source is used.
        ((5, 9), [(0, 4)], 4),
        (None, [(0, -1), (0, 4)], 4),
        (None, [None, None], None),
        (None, [], None),
    ],
)
def test_state_of_a_new_router(table, others, version):
    factory = Sources()
    sources = {str(n): factory.create(o) for n, o in enumerate(others)}
    bootstrap = _bootstrap.Bootstrap(
        _clock.SystemClock(), factory.create(table), lambda: sources
    )
    started = time.monotonic()
    assert bootstrap.attempt() is (version is not None)
    assert factory.fleet.version == (version or 0)
    assert time.monotonic() - started < 1.5


def test_run_retries_until_a_source_succeeds():
    outcomes = [False, False, True]
    bootstrap = _bootstrap.Bootstrap(
        _clock.SystemClock(), lambda: outcomes.pop(0), dict
    )
    bootstrap.run()
    assert not outcomes


def load_object(data):
    fleet = _fleet.Fleet()
    stored = None if data is None else _objects.StoredObject(data, '')
    outcome = _snapshots.Snapshots(fleet).load_object(
        lambda key: result.Success(stored)
    )
    return fleet, outcome


def test_stored_snapshot_restores_the_replica():
    fleet = _fleet.Fleet()
    for version in range(1, 30):
        assert fleet.apply(peer_network.build_record(version))
    loaded, outcome = load_object(_snapshots.encode_object(fleet))
    assert outcome == result.Success(29)
    content = peer_network.read_content(fleet)
    assert content and peer_network.read_content(loaded) == content


@pytest.mark.parametrize(
    ('data', 'kind'),
    [
        (None, _errors.ErrorKind.NOT_FOUND),
        (b'', _errors.ErrorKind.INTERNAL),
        (b'{"version": 3}', _errors.ErrorKind.INTERNAL),
        (b'{"version": 3, "resources": {}}', _errors.ErrorKind.INTERNAL),
        (b'{"version": 3, "resources": [{}]}', _errors.ErrorKind.INTERNAL),
        (
            b'{"version": 3, "resources": [{"kind": "instance", "name": "a",'
            b' "spec": {}, "status": {}}]}',
            _errors.ErrorKind.INTERNAL,
        ),
    ],
)
def test_malformed_snapshot_is_not_loaded(data, kind):
    fleet, outcome = load_object(data)
    assert fleet.version == 0
    assert outcome.failure().kind is kind
