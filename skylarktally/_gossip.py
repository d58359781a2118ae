"""Gossip of heartbeats and log entries between routers."""

from collections.abc import Callable
import logging
import random
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _loop
from skylarktally import _membership
from skylarktally import _messages

log = logging.getLogger(__name__)

# Every n-th period calls a seed or a dead member, so that the two sides of
# a network partition, which consider each other dead, find each other again.
_UNREACHED_RATIO = 8
# How long after a member became known its static fields are sent along with
# the heartbeat, since some peers may not know them yet. They spread in about
# log2(24) periods of 0.5 s, and lost messages delay that.
_NEW_MEMBER_SECONDS = 10.0
# A peer that is contacted for the first time is sent up to this many times
# the usual bytes of members.
_NEW_PEER_FACTOR = 16
# Maximum number of consecutive exchanges with a peer that has newer log
# entries; 10 times 200 entries are all that a peer retains.
_MAX_ROUNDS = 10


class PeerClient(Protocol):
    """Calls to peers by address, each with a time limit."""

    def sync(
        self, address: str, request: ttypes.SyncRequest
    ) -> result.Result[ttypes.SyncReply, _errors.Failure]:
        """Exchange heartbeats, log versions and log entries."""

    def push_log(
        self, address: str, entries: list[ttypes.LogEntry]
    ) -> result.Result[int, _errors.Failure]:
        """Send log entries and return the peer's version afterwards."""

    def fetch_snapshot(
        self, address: str
    ) -> result.Result[ttypes.Snapshot, _errors.Failure]:
        """Return a snapshot of all resources of the peer."""


class GossipLimits(NamedTuple):
    """Sizes of messages and how often peers are called."""

    # Every n-th period calls a router of another zone.
    zone_ratio: int = 1
    # Maximum size of the members in a message.
    members_bytes: int = 1024
    # Maximum number of log entries in a message.
    entries: int = 200
    # Every n-th period calls a router of the own zone. Calls to other zones
    # spread the heartbeats of all zones; calls within the own zone only
    # repeat them among its three routers.
    own_zone_ratio: int = 2


class Gossip:
    """Synchronizes membership and replica with those of the peers.

    The replica changes only through Fleet.apply and Fleet.load, which
    never go back to an older version.

    :param load_snapshot: loads a peer's snapshot into the replica; False
        if that failed
    :param spawn: runs a function with its arguments in a new green thread
    """

    def __init__(
        self,
        membership: _membership.Membership,
        fleet: _fleet.Fleet,
        calls: PeerClient,
        rng: random.Random,
        limits: GossipLimits,
        load_snapshot: Callable[[ttypes.Snapshot], bool],
        spawn: Callable[..., Any] = _loop.spawn,
    ) -> None:
        self._membership = membership
        self._fleet = fleet
        self._calls = calls
        self._random = rng
        self._limits = limits
        self._load_snapshot = load_snapshot
        self._spawn = spawn
        self._periods = 0
        self._round_robin_index = 0
        # Version up to which log entries were pushed.
        self._pushed = fleet.version
        self._push_due = False
        self._pushing: set[str] = set()
        self._fetching = False
        # Whether the replica has been loaded, possibly at version 0.
        self.loaded = False
        self.counts = {'calls': 0, 'failures': 0, 'pushes': 0, 'snapshots': 0}
        fleet.subscribe(self._schedule_push)

    def step(self) -> None:
        """Run one gossip period: exchange state with the chosen peers."""
        self._membership.advance_heartbeat()
        for address in self.choose_addresses():
            self._spawn(self.exchange, address)

    def exchange(self, address: str) -> int | None:
        """Exchange state with a peer until both have the same version.

        :returns: the peer's log version, -1 if its replica isn't loaded
            yet, or None if the exchange failed
        """
        peer_version = None
        for _ in range(_MAX_ROUNDS):
            before = self._fleet.version
            reply = self._sync(address)
            if reply is None:
                return None
            peer_version = _read_version(reply.log_version)
            if peer_version <= self._fleet.version:
                self._push(address, peer_version)
                break
            if self._fleet.version == before:
                # The peer has trimmed the entry that follows.
                return peer_version if self._fetch_snapshot(address) else None
        return peer_version

    def _sync(self, address: str) -> ttypes.SyncReply | None:
        self.counts['calls'] += 1
        response = self._calls.sync(
            address,
            ttypes.SyncRequest(
                sender=_messages.encode_member(self._membership.own),
                members=self._encode_chosen_members(False, {}),
                log_version=self._get_version(),
            ),
        )
        if not isinstance(response, result.Success):
            self.counts['failures'] += 1
            return None
        reply = response.unwrap()
        responder = _messages.decode_member(reply.responder)
        if responder is None:
            return None
        self._membership.merge(responder)
        self._membership.record_contact(responder.name, responder.incarnation)
        self._merge_members(reply.members)
        self._apply(_messages.decode_entries(reply.entries))
        return reply

    def handle_sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Return the reply to a peer's exchange."""
        sender = _messages.decode_member(request.sender)
        is_new = sender is not None and not self._membership.knows(
            sender.name, sender.incarnation
        )
        listed = request.members or []
        if sender is not None:
            self._membership.merge(sender)
        self._merge_members(listed)
        version = _read_version(request.log_version)
        return ttypes.SyncReply(
            responder=_messages.encode_member(self._membership.own),
            members=self._encode_chosen_members(
                is_new,
                {(m.name, m.incarnation): m.heartbeat or 0 for m in listed},
            ),
            log_version=self._get_version(),
            entries=self._read_entries(version),
        )

    def handle_push(self, entries: list[ttypes.LogEntry]) -> int:
        """Apply pushed log entries and return the version afterwards."""
        self._apply(_messages.decode_entries(entries))
        return self._fleet.version

    def _get_version(self) -> int:
        return self._fleet.version if self.loaded else -1

    def _encode_chosen_members(
        self, full: bool, listed: dict[tuple[str, int], int]
    ) -> list[ttypes.Member]:
        """Choose members to send, latest heard first, and encode them.

        One member in turn is sent first and with all its fields, for peers
        that have only received its heartbeat.

        :param full: whether all members are sent with all their fields
        :param listed: heartbeats by name and incarnation that the peer has
            just sent; members with no newer heartbeat here are left out
        """
        recent = self._membership.list_recently_heard()
        self._round_robin_index += 1
        names = sorted(observed.member.name for observed in recent)
        in_turn = names[self._round_robin_index % len(names)] if names else ''
        chosen: list[tuple[_membership.Member, bool]] = []
        for observed in recent:
            member = observed.member
            key = (member.name, member.incarnation)
            if listed.get(key, -1) >= member.heartbeat:
                continue
            is_new = (
                self._membership.calculate_age(observed).total_seconds()
                < _NEW_MEMBER_SECONDS
            )
            if member.name == in_turn:
                chosen.insert(0, (member, True))
            else:
                chosen.append((member, full or is_new))
        limit = self._limits.members_bytes * (_NEW_PEER_FACTOR if full else 1)
        return _messages.encode_members(chosen, limit)

    def _merge_members(self, members: list[ttypes.Member] | None) -> None:
        for message in members or ():
            member = _messages.decode_member(message)
            if member is not None:
                self._membership.merge(member)

    def choose_addresses(self) -> list[str]:
        """Choose a random peer of the own zone and one of another zone.

        Every n-th period, a seed or dead member replaces the former. The
        ratios of the limits leave out either peer in some periods.
        """
        self._periods += 1
        own = self._membership.own
        others = [
            observed.member
            for observed in self._membership.list_recently_heard()
        ]
        own_zone = [m.peer_address for m in others if m.zone == own.zone]
        other_zones = [m.peer_address for m in others if m.zone != own.zone]
        unreached = self._membership.list_unheard_addresses()
        if unreached and (self._periods % _UNREACHED_RATIO == 0 or not others):
            own_zone = unreached
        if self._periods % self._limits.zone_ratio:
            other_zones = []
        if self._periods % self._limits.own_zone_ratio and other_zones:
            own_zone = []
        return [
            self._random.choice(group)
            for group in (own_zone, other_zones)
            if group
        ]

    def _read_entries(self, after: int) -> list[ttypes.LogEntry]:
        if after >= self._fleet.version:
            return []
        records = self._fleet.read_records(after, self._limits.entries)
        return _messages.encode_entries(records)

    def _apply(self, records: list[Any]) -> None:
        for record in records:
            self._fleet.apply(record)

    def _fetch_snapshot(self, address: str) -> bool:
        if self._fetching:
            return False
        self._fetching = True
        try:
            response = self._calls.fetch_snapshot(address)
        finally:
            self._fetching = False
        if not isinstance(response, result.Success):
            self.counts['failures'] += 1
            return False
        self.counts['snapshots'] += 1
        return self._load_snapshot(response.unwrap())

    def _schedule_push(self, version: int) -> None:
        # Several entries are often applied together; one push sends all.
        if not self._push_due:
            self._push_due = True
            self._spawn(self._push_new)

    def _push_new(self) -> None:
        """Push new log entries to the chosen peers."""
        self._push_due = False
        after, self._pushed = self._pushed, self._fleet.version
        for member in self._choose_push_targets():
            self._spawn(self._push, member.peer_address, after)

    def _choose_push_targets(self) -> list[_membership.Member]:
        """Return all routers of the own zone and one of each other zone."""
        own = self._membership.own
        zones: dict[str, list[_membership.Member]] = {}
        for observed in self._membership.list_recently_heard():
            zones.setdefault(observed.member.zone, []).append(observed.member)
        targets = zones.pop(own.zone, [])
        targets += [self._random.choice(zone) for zone in zones.values()]
        return targets

    def _push(self, address: str, after: int) -> None:
        """Push the entries after a version until the peer has all of them.

        Does nothing while another push to the same peer is in progress.
        """
        if address in self._pushing:
            return
        self._pushing.add(address)
        try:
            self._push_until_current(address, after)
        finally:
            self._pushing.discard(address)

    def _push_until_current(self, address: str, after: int) -> None:
        while after < self._fleet.version:
            entries = self._read_entries(after)
            if not entries:
                return
            self.counts['pushes'] += 1
            response = self._calls.push_log(address, entries)
            if not isinstance(response, result.Success):
                self.counts['failures'] += 1
                return
            peer_version = response.unwrap()
            if peer_version < entries[-1].version and peer_version >= after:
                # The peer stopped at an entry that it can't decode.
                return
            after = peer_version


def _read_version(version: int | None) -> int:
    return -1 if version is None else version
