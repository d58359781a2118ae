"""Routers in memory, joined by a network that loses and cuts messages."""

import collections
import datetime
import heapq
import json
import random

from returns import result
from thrift.protocol import TCompactProtocol
from thrift import TSerialization

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _gossip
from skylarktally import _membership
from skylarktally import _snapshots
from tools import clocks

PERIOD = 0.5
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
# Frame length, record length and authentication code of one message, and
# the name and number of the call.
_MESSAGE_OVERHEAD = 4 + 4 + 16 + 10


class Node:
    """One router; a restart replaces its whole state."""

    def __init__(self, network, name, zone, fleet_type, **limits):
        self.network = network
        self.name = name
        self.zone = zone
        self.address = f'127.0.0.1:{len(network.nodes) + 1}'
        self.fleet_type = fleet_type
        self.limits = _gossip.GossipLimits(**limits)
        self.is_running = True
        self.restart()

    def restart(self):
        """Discard all state, as a restart of the process does."""
        network = self.network
        network.incarnations += 1
        self.incarnation = network.incarnations
        self.fleet = self.fleet_type()
        own = _membership.Member(
            self.name, self.zone, self.incarnation, self.address, self.address
        )
        self.membership = _membership.Membership(
            network.clock, own, network.seeds
        )
        self.snapshots = _snapshots.Snapshots(self.fleet)
        self.gossip = _gossip.Gossip(
            self.membership,
            self.fleet,
            Calls(network, self),
            network.random,
            self.limits,
            self.snapshots.load,
            network.spawn,
        )
        self.gossip.loaded = True


class Calls:
    """Calls of one node; encodes every message and counts its bytes."""

    def __init__(self, network, node):
        self.network = network
        self.node = node
        self.incarnation = node.incarnation

    def sync(self, address, request):
        """Exchange heartbeat counters and log entries."""
        return self._call(
            address, request, ttypes.SyncReply, lambda n: n.gossip.handle_sync
        )

    def push_log(self, address, entries):
        """Send log entries; return the version in force after them."""
        message = ttypes.SyncReply(entries=entries)
        reply = self._call(
            address,
            message,
            ttypes.SyncRequest,
            lambda node: (
                lambda sent: ttypes.SyncRequest(
                    log_version=node.gossip.handle_push(sent.entries)
                )
            ),
        )
        return reply.map(lambda answer: answer.log_version)

    def fetch_snapshot(self, address):
        """Return the whole state of the other node."""
        return self._call(
            address,
            ttypes.SyncRequest(),
            ttypes.Snapshot,
            lambda node: lambda _: node.snapshots.build(),
        )

    def _call(self, address, message, reply_type, find_handler):
        network = self.network
        target = network.nodes[address]
        if self.node.incarnation != self.incarnation:
            return _fail(address)
        if not network.carry(self.node, target, message):
            return _fail(address)
        # A copy as decoded: nothing is shared between nodes.
        received = _copy(message, type(message))
        reply = find_handler(target)(received)
        if not network.carry(target, self.node, reply):
            return _fail(address)
        return result.Success(_copy(reply, reply_type))


class Network:
    """Nodes by address, with a clock, losses and cuts between zones."""

    def __init__(self, seed, loss=0.0, fleet_type=_fleet.Fleet):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.loss = loss
        self.fleet_type = fleet_type
        # As long on the wire as a start time in nanoseconds.
        self.incarnations = 1_767_225_600_000_000_000
        self.nodes = {}
        self.seeds = ()
        # Pairs of zone or name, from and to, that no message passes.
        self.cuts = set()
        # Messages and bytes sent by each address.
        self.messages = collections.Counter()
        self.bytes = collections.Counter()
        self.received = collections.Counter()
        self.largest = 0
        # Pushed entries and snapshots, for late and repeated delivery.
        self.history = []
        self._tasks = collections.deque()
        self._due = []

    def add_nodes(self, zones, per_zone, **limits):
        """Add nodes that know the first node of each zone as seeds."""
        places = [
            (f'{zone}{number}', zone)
            for zone in zones
            for number in range(per_zone)
        ]
        self.seeds = tuple(
            f'127.0.0.1:{1 + place * per_zone}' for place in range(len(zones))
        )
        for name, zone in places:
            node = Node(self, name, zone, self.fleet_type, **limits)
            self.nodes[node.address] = node
            heapq.heappush(
                self._due, (self.random.uniform(0, PERIOD), node.address)
            )

    def find(self, name):
        """Return a node by name."""
        return next(n for n in self.nodes.values() if n.name == name)

    def spawn(self, function, *arguments):
        """Queue a call, to be made by ``settle``."""
        self._tasks.append((function, arguments))

    def settle(self):
        """Make all queued calls."""
        while self._tasks:
            function, arguments = self._tasks.popleft()
            function(*arguments)

    def run(self, seconds, observe=lambda node: None):
        """Let each running node gossip at its interval, with jitter."""
        end = self.clock.elapsed.total_seconds() + seconds
        while self._due[0][0] <= end:
            moment, address = heapq.heappop(self._due)
            moment = max(moment, self.clock.elapsed.total_seconds())
            self.clock.elapsed = datetime.timedelta(seconds=moment)
            node = self.nodes[address]
            observe(node)
            if node.is_running:
                node.gossip.step()
                self.settle()
            jitter = self.random.uniform(0.75, 1.25)
            heapq.heappush(self._due, (moment + PERIOD * jitter, address))
        self.clock.elapsed = datetime.timedelta(seconds=end)

    def carry(self, sender, receiver, message):
        """Count a message; False if it does not arrive."""
        data = TSerialization.serialize(message, _FACTORY)
        size = len(data) + _MESSAGE_OVERHEAD
        self.messages[sender.address] += 1
        self.bytes[sender.address] += size
        self.largest = max(self.largest, size)
        if isinstance(message, (ttypes.Snapshot, ttypes.SyncReply)):
            self.history.append(message)
        self.received[receiver.address] += size
        ends = (
            (sender.zone, receiver.zone),
            (sender.name, receiver.name),
        )
        return (
            receiver.is_running
            and not self.cuts.intersection(ends)
            and self.random.random() >= self.loss
        )

    def list_states(self, name):
        """Return the state of a member, as each running node knows it."""
        return [
            node.membership.find_state(name)
            for node in self.nodes.values()
            if node.is_running and node.name != name
        ]


def build_record(version):
    """Return the log record of a version, always the same one."""
    name = f'setting-{version % 7}'
    deleted = version % 11 == 0
    value = {
        'kind': 'configuration',
        'name': name,
        'spec': {'data': {'number': version}},
        'status': {},
        'resource_version': version,
    }
    return {
        'version': version,
        'transaction_id': str(version),
        'author': 'test',
        'accepted_at': '2026-01-01T00:00:00+00:00',
        'changes': [
            {
                'kind': 'configuration',
                'name': name,
                'value': None if deleted else value,
            }
        ],
    }


def read_content(fleet):
    """Return all resources of a fleet in a comparable form."""
    return json.loads(_snapshots.encode_object(fleet))['resources']


def _copy(message, kind):
    data = TSerialization.serialize(message, _FACTORY)
    return TSerialization.deserialize(kind(), data, _FACTORY)


def _fail(address):
    return result.Failure(
        _errors.Failure(_errors.ErrorKind.PEER_UNREACHABLE, address)
    )
