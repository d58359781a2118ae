"""Guards against replicas that can't catch up once the log is trimmed.

A replica whose next log entry has been trimmed must load a snapshot, and no
stored snapshot may replace a newer one.
"""

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _reconciler
from skylarktally import _resources
from skylarktally import _snapshots
from tests import fakes
from tests import test_journal_machine

KIND = _resources.Kind.CONFIGURATION
VERSIONS = _fleet.RETAINED_RECORDS + 100
# More resources than one scan returns.
NAMES = 1200


class System:
    """A table and a replica with more versions than the log retains.

    Keeps encoded snapshots of versions 50 and 150.
    """

    def __init__(self):
        self.clock = fakes.ManualClock()
        self.table = fakes.FaultyTable()
        self.author = self.create_replica()
        self.snapshots = {}
        for version in range(1, VERSIONS + 1):
            self.write(version)
            if version in (50, 150):
                self.snapshots[version] = _snapshots.encode_object(
                    self.author[0]
                )

    def write(self, version):
        change = test_journal_machine.build_change(
            f'c{version % NAMES}', {'written': version}
        )
        journal = self.author[1]
        assert journal.propose([change], version - 1).unwrap() == version

    def create_replica(self):
        fleet = _fleet.Fleet()
        return fleet, _journal.Journal(self.table, fleet, self.clock, 'name')


@pytest.fixture(scope='module')
def system():
    return System()


def test_log_is_trimmed_in_table_and_replica(system):
    first = VERSIONS - _fleet.RETAINED_RECORDS + 1
    kept = [row['key'] for row in system.table.rows.scan('log/', '', 1000)]
    assert kept[0] == _journal.format_log_key(first)
    fleet = system.author[0]
    assert fleet.read_records(first - 2, 10) == []
    held = fleet.read_records(first - 1, VERSIONS)
    assert [r['version'] for r in held] == list(range(first, VERSIONS + 1))
    assert fleet.read_records(VERSIONS, 10) == []


# The log begins after version 100, so the snapshot of version 50 is too old
# to continue from.
@pytest.mark.parametrize('start', [0, 50, 150])
def test_replica_reaches_the_state_of_the_author(system, start):
    fleet, journal = system.create_replica()
    if start:
        objects = fakes.FakeObjects()
        objects.write(_snapshots.KEY, system.snapshots[start])
        loaded = _snapshots.Snapshots(fleet).load_object(objects.read)
        assert loaded == result.Success(start)
    assert journal.refresh() == result.Success(VERSIONS)
    assert fleet.list(KIND) == system.author[0].list(KIND)
    assert len(fleet.list(KIND)) == NAMES
    # An older snapshot must not replace the state.
    assert not fleet.load([], VERSIONS - 1)
    assert fleet.version == VERSIONS


def test_refresh_fails_while_the_table_is_down(system):
    fleet, journal = system.create_replica()
    system.table.down = True
    failure = journal.refresh().failure()
    system.table.down = False
    assert failure.kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
    assert fleet.version == 0


# The very first snapshot is written on the condition that none exists.
@pytest.mark.parametrize('first', [True, False])
def test_stored_snapshot_never_goes_back(first):
    objects = fakes.FakeObjects()
    fleets = [_fleet.Fleet() for _ in range(3)]
    for version, fleet in zip((100, 200, 300), fleets, strict=True):
        fleet.load([], version)
    writers = [
        _reconciler.SnapshotWriter(fleet, objects, 100) for fleet in fleets
    ]
    if not first:
        writers[0].step()
    objects.before_write = writers[2].step
    writers[1].step()
    writers[0].step()
    read = _fleet.Fleet()
    loaded = _snapshots.Snapshots(read).load_object(objects.read)
    assert loaded == result.Success(300)
