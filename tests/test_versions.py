"""Guards against routers whose log version or resources go back.

Routers exchange log entries and snapshots over a simulated network. Reads
of the table and the object store may return older states, and messages may
be delivered again.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _objects
from skylarktally import _resources
from skylarktally import _snapshots
from skylarktally import _table
from tests import naive_replica
from tools import peer_network

ZONES = 'abc'
_Draw = strategies.integers(0, 10**6)
# Methods of Run, repeated by their relative frequency.
OPERATIONS = (
    ['commit'] * 4
    + ['step'] * 6
    + ['poll'] * 2
    + ['poll_stale', 'repeat_old', 'load_old_object', 'store_object']
    + ['cut', 'cut_one_way', 'heal', 'restart', 'pause', 'trim']
)


class StaleTable:
    """Table whose reads may return an earlier state."""

    def __init__(self):
        self.records = []
        # Version of the oldest log entry that hasn't been trimmed.
        self.first_retained = 1
        # Version of the state that the next reads return.
        self.shown_version = 0

    def scan(self, prefix, after='', limit=1000):
        rows = self._list_rows()
        found = [row for row in rows if row.key.startswith(prefix)]
        return result.Success(
            [row for row in found if row.key > after][:limit]
        )

    def read(self, key):
        found = [row for row in self._list_rows() if row.key == key]
        return result.Success(found[0] if found else None)

    def _list_rows(self):
        fleet = _fleet.Fleet()
        records = self.records[: self.shown_version]
        for record in records:
            fleet.apply(record)
        rows = {
            f'resource/{r["kind"]}/{r["name"]}': r
            for kind in _resources.Kind
            for r in fleet.list(kind)
        }
        rows['head'] = {'version': self.shown_version}
        for record in records[self.first_retained - 1 :]:
            rows[_journal.format_log_key(record['version'])] = record
        return [_table.Row(key, rows[key], 1) for key in sorted(rows)]


class Run:
    """Applies operations and checks all replicas after each one."""

    def __init__(self, fleet_type):
        self.network = peer_network.Network(0, fleet_type=fleet_type)
        self.network.add_nodes(ZONES, 2, entries=3)
        self.nodes = list(self.network.nodes.values())
        self.table = StaleTable()
        self.objects = []
        # Version of each process at the last check.
        self.seen = {}
        self.reference = _fleet.Fleet()
        # Expected resources of each log version.
        self.contents = [[]]
        self.network.run(3)

    def apply(self, operation, first, second):
        node = self.nodes[first % len(self.nodes)]
        getattr(self, operation)(node, second)
        self.network.settle()
        self.check()

    def commit(self, _node, _number):
        record = peer_network.build_record(len(self.table.records) + 1)
        self.table.records.append(record)
        assert self.reference.apply(record)
        self.contents.append(peer_network.read_content(self.reference))

    def step(self, node, number):
        self.network.clock.advance(0.1 + number % 9 / 10)
        if node.is_running:
            node.gossip.step()

    def poll(self, node, _number, shown=None):
        records = len(self.table.records)
        self.table.shown_version = records if shown is None else shown
        journal = _journal.Journal(
            self.table, node.fleet, self.network.clock, 'x'
        )
        journal.refresh()

    def poll_stale(self, node, number):
        self.poll(node, 0, number % (len(self.table.records) + 1))

    def repeat_old(self, node, number):
        history = self.network.history
        if history:
            message = history[number % len(history)]
            if hasattr(message, 'body'):
                node.snapshots.load(message)
            else:
                node.gossip.handle_push(message.entries or [])

    def store_object(self, node, _number):
        self.objects.append(_snapshots.encode_object(node.fleet))

    def load_old_object(self, node, number):
        if self.objects:
            data = self.objects[number % len(self.objects)]
            stored = _objects.StoredObject(data, '')
            node.snapshots.load_object(lambda key: result.Success(stored))

    def cut(self, _node, number):
        self.cut_one_way(None, number)
        self.network.cuts |= {(b, a) for a, b in self.network.cuts}

    def cut_one_way(self, _node, number):
        zones = [(a, b) for a in ZONES for b in ZONES if a != b]
        self.network.cuts.add(zones[number % len(zones)])

    def heal(self, _node, _number):
        self.network.cuts.clear()

    def restart(self, node, _number):
        node.restart()

    def pause(self, node, number):
        node.is_running = not node.is_running
        self.network.clock.advance(number % 100)

    def trim(self, _node, number):
        last = len(self.table.records)
        self.table.first_retained = max(
            self.table.first_retained, last - number % 5
        )

    def check(self):
        for node in self.nodes:
            version = node.fleet.version
            key = (node.name, node.incarnation)
            if self.seen.get(key) == version:
                continue
            assert version >= self.seen.get(key, 0), 'version went back'
            self.seen[key] = version
            content = peer_network.read_content(node.fleet)
            assert content == self.contents[version], 'content differs'

    def finish(self):
        """Check that all reach the newest version once one has read it."""
        self.network.cuts.clear()
        for node in self.nodes:
            node.is_running = True
        self.poll(self.nodes[0], 0)
        self.network.run(10)
        self.check()
        newest = len(self.table.records)
        assert {n.fleet.version for n in self.nodes} == {newest}


def run_operations(fleet_type, operations):
    run = Run(fleet_type)
    for operation in operations:
        run.apply(*operation)
    run.finish()


@hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(OPERATIONS), _Draw, _Draw),
        min_size=30,
        max_size=100,
    )
)
def test_versions_never_go_back(operations):
    run_operations(_fleet.Fleet, operations)


@pytest.mark.parametrize('seed', range(5))
def test_a_naive_replica_fails_the_check(seed):
    # Shows that the operations above make a replica without version checks
    # fail.
    source = random.Random(seed)
    operations = [
        (source.choice(OPERATIONS), source.randrange(99), source.randrange(99))
        for _ in range(100)
    ]
    run_operations(_fleet.Fleet, operations)
    with pytest.raises(AssertionError, match='went back|differs'):
        run_operations(naive_replica.NaiveReplica, operations)
