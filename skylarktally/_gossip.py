"""Exchange of heartbeat counters and log entries between routers."""

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

# In every n-th period a seed or dead member is called, so that two sides of
# a cut that took each other for dead meet again.
_UNHEARD_RATIO = 8
# A member's static fields are repeated while they may be news to some; the
# spread takes about log2(24) periods of 0.5 s, and losses some more.
_NEW_SECONDS = 10.0
# A peer met for the first time is sent this many times the usual bytes.
_NEW_FACTOR = 16
# Exchanges in a row with a peer that is ahead; 10 times 200 entries are
# all that a peer retains.
_ROUNDS = 10


class PeerClient(Protocol):
    """Calls to peers by address, each with a time limit."""

    def sync(
        self, address: str, request: ttypes.SyncRequest
    ) -> result.Result[ttypes.SyncReply, _errors.Failure]:
        """Exchange counters and versions."""

    def push_log(
        self, address: str, entries: list[ttypes.LogEntry]
    ) -> result.Result[int, _errors.Failure]:
        """Send log entries and return the peer's version afterwards."""

    def fetch_snapshot(
        self, address: str
    ) -> result.Result[ttypes.Snapshot, _errors.Failure]:
        """Return the peer's whole resource state."""


class GossipLimits(NamedTuple):
    """Sizes of messages and how often other zones are called."""

    # A router of another zone is called in every n-th period.
    zone_ratio: int = 1
    members_bytes: int = 1024
    entries: int = 200
    # A router of the own zone is called in every n-th period. Calls of
    # other zones mix the counters of all; those of the own zone repeat
    # them among three.
    own_zone_ratio: int = 2


class Gossip:
    """Keeps members and fleet in step with those of the peers.

    Log entries only ever enter through Fleet.apply and Fleet.load, which
    refuse to go back.
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
        self._steps = 0
        self._turn = 0
        # Version up to which entries were pushed to the chosen peers.
        self._pushed = fleet.version
        self._push_due = False
        self._pushing: set[str] = set()
        self._fetching = False
        # True once a whole state is in force, possibly that of version 0.
        self.loaded = False
        self.counts = {'calls': 0, 'failures': 0, 'pushes': 0, 'snapshots': 0}
        fleet.subscribe(self._schedule_push)

    def step(self) -> None:
        """Count one gossip period and exchange state with some peers."""
        self._membership.advance_heartbeat()
        for address in self.choose_addresses():
            self._spawn(self.exchange, address)

    def exchange(self, address: str) -> int | None:
        """Exchange state with the peer at an address until both agree.

        :returns: the peer's version, -1 if it has none in force yet, or
            None when it did not answer
        """
        peer_version = None
        for _ in range(_ROUNDS):
            before = self._fleet.version
            reply = self._sync(address)
            if reply is None:
                return None
            peer_version = _read_version(reply.log_version)
            if peer_version <= self._fleet.version:
                self._push(address, peer_version)
                break
            if self._fleet.version == before:
                # The peer no longer has the entry that follows.
                return peer_version if self._fetch_snapshot(address) else None
        return peer_version

    def _sync(self, address: str) -> ttypes.SyncReply | None:
        self.counts['calls'] += 1
        answer = self._calls.sync(
            address,
            ttypes.SyncRequest(
                sender=_messages.encode_member(self._membership.own),
                members=self._choose_members(False, {}),
                log_version=self._get_version(),
            ),
        )
        if not isinstance(answer, result.Success):
            self.counts['failures'] += 1
            return None
        reply = answer.unwrap()
        responder = _messages.decode_member(reply.responder)
        if responder is None:
            return None
        self._membership.merge(responder)
        self._membership.record_contact(responder.name, responder.incarnation)
        self._merge_members(reply.members)
        self._apply(_messages.decode_entries(reply.entries))
        return reply

    def handle_sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Answer the exchange that a peer began."""
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
            members=self._choose_members(
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

    def _choose_members(
        self, full: bool, listed: dict[tuple[str, int], int]
    ) -> list[ttypes.Member]:
        """Choose members to send, the last heard first.

        Members that the peer has just listed with the same counter are
        left out. One member in turn is sent with all its fields, for peers
        that know its counter alone.
        """
        recent = self._membership.list_recently_heard()
        self._turn += 1
        names = sorted(heard.member.name for heard in recent)
        in_turn = names[self._turn % len(names)] if names else ''
        chosen: list[tuple[_membership.Member, bool]] = []
        for heard in recent:
            member = heard.member
            key = (member.name, member.incarnation)
            if listed.get(key, -1) >= member.heartbeat:
                continue
            young = (
                self._membership.calculate_age(heard).total_seconds()
                < _NEW_SECONDS
            )
            if member.name == in_turn:
                chosen.insert(0, (member, True))
            else:
                chosen.append((member, full or young))
        limit = self._limits.members_bytes * (_NEW_FACTOR if full else 1)
        return _messages.encode_members(chosen, limit)

    def _merge_members(self, members: list[ttypes.Member] | None) -> None:
        for message in members or ():
            member = _messages.decode_member(message)
            if member is not None:
                self._membership.merge(member)

    def choose_addresses(self) -> list[str]:
        """Choose a random peer of the own zone and one of another.

        Now and then one not heard from takes the place of the former.
        """
        self._steps += 1
        own = self._membership.own
        others = [
            heard.member for heard in self._membership.list_recently_heard()
        ]
        near = [m.peer_address for m in others if m.zone == own.zone]
        far = [m.peer_address for m in others if m.zone != own.zone]
        unheard = self._membership.list_unheard_addresses()
        if unheard and (self._steps % _UNHEARD_RATIO == 0 or not others):
            near = unheard
        if self._steps % self._limits.zone_ratio:
            far = []
        if self._steps % self._limits.own_zone_ratio and far:
            near = []
        return [self._random.choice(group) for group in (near, far) if group]

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
            answer = self._calls.fetch_snapshot(address)
        finally:
            self._fetching = False
        if not isinstance(answer, result.Success):
            self.counts['failures'] += 1
            return False
        self.counts['snapshots'] += 1
        return self._load_snapshot(answer.unwrap())

    def _schedule_push(self, version: int) -> None:
        # Entries often come several at a time; one push carries them all.
        if not self._push_due:
            self._push_due = True
            self._spawn(self._push_new)

    def _push_new(self) -> None:
        """Send new entries to the peers chosen for them."""
        self._push_due = False
        after, self._pushed = self._pushed, self._fleet.version
        for member in self._choose_push_targets():
            self._spawn(self._push, member.peer_address, after)

    def _choose_push_targets(self) -> list[_membership.Member]:
        """Return the own zone's routers and one of each other zone."""
        own = self._membership.own
        zones: dict[str, list[_membership.Member]] = {}
        for heard in self._membership.list_recently_heard():
            zones.setdefault(heard.member.zone, []).append(heard.member)
        targets = zones.pop(own.zone, [])
        targets += [self._random.choice(zone) for zone in zones.values()]
        return targets

    def _push(self, address: str, after: int) -> None:
        """Send the entries after a version until the peer has them all."""
        if address in self._pushing:
            return
        self._pushing.add(address)
        try:
            self._push_until_level(address, after)
        finally:
            self._pushing.discard(address)

    def _push_until_level(self, address: str, after: int) -> None:
        while after < self._fleet.version:
            entries = self._read_entries(after)
            if not entries:
                return
            self.counts['pushes'] += 1
            answer = self._calls.push_log(address, entries)
            if not isinstance(answer, result.Success):
                self.counts['failures'] += 1
                return
            reached = answer.unwrap()
            if reached < entries[-1].version and reached >= after:
                # A peer that stopped within the range cannot read the rest.
                return
            after = reached


def _read_version(version: int | None) -> int:
    return -1 if version is None else version
