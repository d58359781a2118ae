"""Gossip membership: known routers and a failure detector for them."""

import datetime
import enum
import logging
from typing import Any, NamedTuple

from skylarktally import _clock
from skylarktally import _settings

log = logging.getLogger(__name__)

_SUSPECT_AFTER = datetime.timedelta(seconds=4)
_DEAD_AFTER = datetime.timedelta(seconds=8)
# How long a dead member is kept. Peers may still pass on old heartbeats of
# it in this time, which must not admit it again; it is also called now and
# then, in case only the network path to it was interrupted.
_FORGET_AFTER = datetime.timedelta(minutes=10)
# Maximum number of known members. 24 routers run at the target size; the
# others are dead processes that have been replaced.
_MAX_MEMBERS = 1024


class Member(NamedTuple):
    """A router as known to its peers, sent with these field names."""

    name: str
    zone: str
    # Start time in nanoseconds since the epoch, which identifies a process
    # of this name.
    incarnation: int
    peer_address: str
    serving_address: str
    # Counter that the member itself increments in each gossip period.
    heartbeat: int = 0
    # True once the member has begun a graceful shutdown.
    leaving: bool = False


class State(enum.Enum):
    """State of a member according to the failure detector."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class ObservedMember(NamedTuple):
    """A member and when it was last heard from, in awake time.

    Awake time is explained at ``Membership``.
    """

    member: Member
    # When its heartbeat last increased or a call to it last succeeded.
    last_heard_at: datetime.timedelta
    # When its static fields became known.
    known_since: datetime.timedelta


class Membership:
    """Members by name, with a failure detector over heartbeat counters.

    Ages are measured in awake time, so that a pause of this process isn't
    taken for the silence of the others: a gap between two calls that is
    longer than half of ``suspect_after`` counts as that half.

    :param own: this process
    :param seeds: peer addresses that are called until a member with that
        address is known
    """

    def __init__(
        self,
        clock: _clock.Clock,
        own: Member,
        seeds: tuple[str, ...] = (),
        suspect_after: datetime.timedelta = _SUSPECT_AFTER,
        dead_after: datetime.timedelta = _DEAD_AFTER,
    ) -> None:
        self.own = own
        # Incarnation of a newer process that uses the own name, if any.
        self.superseded_by: int | None = None
        self._clock = clock
        self._seeds = tuple(s for s in seeds if s != own.peer_address)
        self._suspect_after = suspect_after
        self._dead_after = dead_after
        self._others: dict[str, ObservedMember] = {}
        self._states: dict[str, State] = {}
        self._awake_time = datetime.timedelta()
        self._advanced_at = clock.monotonic()

    def advance_heartbeat(self) -> None:
        """Increment the own heartbeat and update the states of the others.

        Logs changed states and removes members that have been dead for long.
        """
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        now = self._advance_awake_time()
        for name, observed in list(self._others.items()):
            if now - observed.last_heard_at > _FORGET_AFTER:
                del self._others[name]
                self._states.pop(name, None)
            else:
                self._update_state(observed)

    def leave(self) -> None:
        """Announce the graceful shutdown of the own process."""
        self.own = self.own._replace(leaving=True)

    def merge(self, member: Member) -> bool:
        """Merge a member as known to a peer; return whether it was news.

        A member without addresses carries only the heartbeat; it is ignored
        unless its other fields are already known.
        """
        now = self._advance_awake_time()
        if member.name == self.own.name:
            self._merge_own_name(member)
            return False
        observed = self._others.get(member.name)
        if (
            observed is None
            or member.incarnation > observed.member.incarnation
        ):
            return self._admit(member, now)
        known = observed.member
        if member.incarnation < known.incarnation:
            return False
        leaving = known.leaving or member.leaving
        if member.heartbeat <= known.heartbeat and leaving == known.leaving:
            return False
        increased = member.heartbeat > known.heartbeat
        self._others[member.name] = ObservedMember(
            known._replace(
                heartbeat=max(member.heartbeat, known.heartbeat),
                leaving=leaving,
            ),
            now if increased else observed.last_heard_at,
            observed.known_since,
        )
        self._update_state(self._others[member.name])
        return True

    def record_contact(self, name: str, incarnation: int) -> None:
        """Record that a call to a member succeeded."""
        observed = self._others.get(name)
        if observed is not None and observed.member.incarnation == incarnation:
            self._others[name] = observed._replace(
                last_heard_at=self._advance_awake_time()
            )
            self._update_state(self._others[name])

    def knows(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation of a member is known."""
        observed = self._others.get(name)
        return (
            observed is not None and observed.member.incarnation == incarnation
        )

    def find_state(self, name: str) -> State | None:
        """Return the state of a member, or None if it is unknown."""
        if name == self.own.name:
            return State.ALIVE
        observed = self._others.get(name)
        return None if observed is None else self._find_state(observed)

    def list_not_dead(self, zone: str | None = None) -> list[Member]:
        """Return all members that are not dead, including the own one."""
        members = [self.own, *(h.member for h in self._list_not_dead())]
        return [m for m in members if zone is None or m.zone == zone]

    def list_alive(self, zone: str | None = None) -> list[Member]:
        """Return the other members that are alive, including leaving ones."""
        return [
            observed.member
            for observed in self._list_not_dead()
            if self._find_state(observed) is State.ALIVE
            and (zone is None or observed.member.zone == zone)
        ]

    def count_states(self) -> dict[str, int]:
        """Return the number of other members in each state."""
        counts = {state.value: 0 for state in State}
        for observed in self._others.values():
            counts[self._find_state(observed).value] += 1
        return counts

    def list_recently_heard(self) -> list[ObservedMember]:
        """Return the other members that are not dead, latest heard first."""
        return sorted(
            self._list_not_dead(), key=lambda h: h.last_heard_at, reverse=True
        )

    def list_unheard_addresses(self) -> list[str]:
        """Return the addresses of seeds and dead members.

        Addresses of members that are not dead are left out.
        """
        live = {
            observed.member.peer_address for observed in self._list_not_dead()
        }
        dead = (
            observed.member.peer_address
            for observed in self._others.values()
            if self._find_state(observed) is State.DEAD
        )
        addresses = {*self._seeds, *dead} - live - {self.own.peer_address}
        return sorted(addresses)

    def calculate_age(self, observed: ObservedMember) -> datetime.timedelta:
        """Return how long a member has been known, in awake time."""
        return self._advance_awake_time() - observed.known_since

    def dump(self) -> dict[str, Any]:
        """Return all members and their states for the state dump."""
        now = self._advance_awake_time()
        return {
            'own': self.own._asdict(),
            'superseded_by': self.superseded_by,
            'others': [
                {
                    **observed.member._asdict(),
                    'state': self._find_state(observed),
                    'heard_seconds_ago': now - observed.last_heard_at,
                }
                for observed in self._others.values()
            ],
        }

    def _advance_awake_time(self) -> datetime.timedelta:
        now = self._clock.monotonic()
        self._awake_time += min(
            now - self._advanced_at, self._suspect_after / 2
        )
        self._advanced_at = now
        return self._awake_time

    def _list_not_dead(self) -> list[ObservedMember]:
        return [
            observed
            for observed in self._others.values()
            if self._find_state(observed) is not State.DEAD
        ]

    def _find_state(self, observed: ObservedMember) -> State:
        silence = self._advance_awake_time() - observed.last_heard_at
        if silence < self._suspect_after:
            return State.ALIVE
        if silence < self._dead_after:
            return State.SUSPECT
        return State.DEAD

    def _merge_own_name(self, member: Member) -> None:
        if member.incarnation <= max(
            self.own.incarnation, self.superseded_by or 0
        ):
            return
        self.superseded_by = member.incarnation
        log.warning(
            'a newer process uses the name of this process',
            extra={'incarnation': member.incarnation},
        )

    def _admit(self, member: Member, now: datetime.timedelta) -> bool:
        """Add a member or replace its older incarnation.

        Returns False if the member is incomplete, if the limit of members
        is reached, or if its address belongs to a newer process.
        """
        if not is_complete(member):
            return False
        if member.name not in self._others:
            if len(self._others) >= _MAX_MEMBERS:
                return False
        for name, observed in list(self._others.items()):
            # An address belongs to one process at a time; the newest one
            # keeps it.
            if observed.member.peer_address == member.peer_address:
                if observed.member.incarnation > member.incarnation:
                    return False
                del self._others[name]
                self._states.pop(name, None)
        self._others[member.name] = ObservedMember(member, now, now)
        self._states[member.name] = State.ALIVE
        log.info('member is new', extra={'member': member._asdict()})
        return True

    def _update_state(self, observed: ObservedMember) -> None:
        name, state = observed.member.name, self._find_state(observed)
        if self._states.get(name) is not state:
            self._states[name] = state
            log.info(
                'member is %s',
                state.value,
                extra={
                    'member': name,
                    'incarnation': observed.member.incarnation,
                },
            )


def is_complete(member: Member) -> bool:
    """Return whether a member has all fields, each of them valid."""
    try:
        _settings.split_address(member.peer_address)
        _settings.split_address(
            _settings.strip_https(member.serving_address)[1]
        )
    except ValueError:
        return False
    return bool(0 < len(member.name) <= 63 and 0 < len(member.zone) <= 63)
