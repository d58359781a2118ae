"""Which routers are known, and which of them are alive."""

import datetime
import enum
import logging
from typing import Any, NamedTuple

from skylarktally import _clock
from skylarktally import _settings

log = logging.getLogger(__name__)

_SUSPECT_AFTER = datetime.timedelta(seconds=4)
_DEAD_AFTER = datetime.timedelta(seconds=8)
# A dead member is remembered for as long as an old counter of it may still
# travel, and is called now and then in case only the path to it was cut.
_FORGET_AFTER = datetime.timedelta(minutes=10)
# 24 routers run at the target size; the rest are replaced ones.
_MEMBERS_LIMIT = 1024


class Member(NamedTuple):
    """One router, as its peers know it."""

    name: str
    zone: str
    # Start time in nanoseconds since the epoch; tells a restart apart.
    incarnation: int
    peer_address: str
    serving_address: str
    # Grows by one with each gossip period of the member itself.
    heartbeat: int = 0
    # True once the member has begun a graceful shutdown.
    leaving: bool = False


class State(enum.Enum):
    """What is believed of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class ObservedMember(NamedTuple):
    """A member with the time of its last sign of life."""

    member: Member
    # Time that the own process was awake, see Membership.
    last_heard_at: datetime.timedelta
    # When its static fields became known, in the same time.
    known_since: datetime.timedelta


class Membership:
    """Members by name, with a failure detector over heartbeat counters.

    Ages are measured in the time that the own process was awake: a gap of
    more than half of suspect_after between two calls counts as that half.
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
        # Incarnation of another process under the own name, if newer.
        self.superseded_by: int | None = None
        self._clock = clock
        self._seeds = tuple(s for s in seeds if s != own.peer_address)
        self._suspect_after = suspect_after
        self._dead_after = dead_after
        self._others: dict[str, ObservedMember] = {}
        self._states: dict[str, State] = {}
        self._awake = datetime.timedelta()
        self._last = clock.monotonic()

    def advance_heartbeat(self) -> None:
        """Raise the own counter and log the members that changed state."""
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        now = self._advance()
        for name, heard in list(self._others.items()):
            if now - heard.last_heard_at > _FORGET_AFTER:
                del self._others[name]
                self._states.pop(name, None)
            else:
                self._note_state(heard)

    def leave(self) -> None:
        """Announce the graceful shutdown of the own process."""
        self.own = self.own._replace(leaving=True)

    def merge(self, member: Member) -> bool:
        """Take in what a peer knows of a member; False if nothing is new.

        A member without addresses is a counter alone, which is of use only
        when the rest is known already.
        """
        now = self._advance()
        if member.name == self.own.name:
            self._merge_own_name(member)
            return False
        heard = self._others.get(member.name)
        if heard is None or member.incarnation > heard.member.incarnation:
            return self._admit(member, now)
        known = heard.member
        if member.incarnation < known.incarnation:
            return False
        leaving = known.leaving or member.leaving
        if member.heartbeat <= known.heartbeat and leaving == known.leaving:
            return False
        grown = member.heartbeat > known.heartbeat
        self._others[member.name] = ObservedMember(
            known._replace(
                heartbeat=max(member.heartbeat, known.heartbeat),
                leaving=leaving,
            ),
            now if grown else heard.last_heard_at,
            heard.known_since,
        )
        self._note_state(self._others[member.name])
        return True

    def record_contact(self, name: str, incarnation: int) -> None:
        """Count a successful call to a member as a sign of its life."""
        heard = self._others.get(name)
        if heard is not None and heard.member.incarnation == incarnation:
            self._others[name] = heard._replace(last_heard_at=self._advance())
            self._note_state(self._others[name])

    def knows(self, name: str, incarnation: int) -> bool:
        """Tell whether this incarnation of a member is known."""
        heard = self._others.get(name)
        return heard is not None and heard.member.incarnation == incarnation

    def find_state(self, name: str) -> State | None:
        """Return what is believed of a member, or None if unknown."""
        if name == self.own.name:
            return State.ALIVE
        heard = self._others.get(name)
        return None if heard is None else self._find_state(heard)

    def list_not_dead(self, zone: str | None = None) -> list[Member]:
        """Return all members that are not dead, the own one included."""
        members = [self.own, *(h.member for h in self._list_not_dead())]
        return [m for m in members if zone is None or m.zone == zone]

    def list_alive(self, zone: str | None = None) -> list[Member]:
        """Return the other members that are alive, leaving ones included."""
        return [
            heard.member
            for heard in self._list_not_dead()
            if self._find_state(heard) is State.ALIVE
            and (zone is None or heard.member.zone == zone)
        ]

    def count_states(self) -> dict[str, int]:
        """Return the number of other members in each state."""
        counts = {state.value: 0 for state in State}
        for heard in self._others.values():
            counts[self._find_state(heard).value] += 1
        return counts

    def list_recently_heard(self) -> list[ObservedMember]:
        """Return other members that are not dead, last heard first."""
        return sorted(
            self._list_not_dead(), key=lambda h: h.last_heard_at, reverse=True
        )

    def list_unheard_addresses(self) -> list[str]:
        """Return the addresses of seeds and dead members not heard from."""
        live = {heard.member.peer_address for heard in self._list_not_dead()}
        dead = (
            heard.member.peer_address
            for heard in self._others.values()
            if self._find_state(heard) is State.DEAD
        )
        addresses = {*self._seeds, *dead} - live - {self.own.peer_address}
        return sorted(addresses)

    def calculate_age(self, heard: ObservedMember) -> datetime.timedelta:
        """Return the awake time since a member became known."""
        return self._advance() - heard.known_since

    def dump(self) -> dict[str, Any]:
        """Return all members with their state, for the state dump."""
        now = self._advance()
        return {
            'own': self.own._asdict(),
            'superseded_by': self.superseded_by,
            'others': [
                {
                    **heard.member._asdict(),
                    'state': self._find_state(heard),
                    'heard_seconds_ago': now - heard.last_heard_at,
                }
                for heard in self._others.values()
            ],
        }

    def _advance(self) -> datetime.timedelta:
        now = self._clock.monotonic()
        self._awake += min(now - self._last, self._suspect_after / 2)
        self._last = now
        return self._awake

    def _list_not_dead(self) -> list[ObservedMember]:
        return [
            heard
            for heard in self._others.values()
            if self._find_state(heard) is not State.DEAD
        ]

    def _find_state(self, heard: ObservedMember) -> State:
        silent = self._advance() - heard.last_heard_at
        if silent < self._suspect_after:
            return State.ALIVE
        if silent < self._dead_after:
            return State.SUSPECT
        return State.DEAD

    def _merge_own_name(self, member: Member) -> None:
        if member.incarnation <= max(
            self.own.incarnation, self.superseded_by or 0
        ):
            return
        self.superseded_by = member.incarnation
        log.warning(
            'a newer process uses the name of this one',
            extra={'incarnation': member.incarnation},
        )

    def _admit(self, member: Member, now: datetime.timedelta) -> bool:
        """Add a member, or replace its older incarnation."""
        if not is_complete(member):
            return False
        if member.name not in self._others:
            if len(self._others) >= _MEMBERS_LIMIT:
                return False
        for name, heard in list(self._others.items()):
            # The address is that of one process, and of the newer one.
            if heard.member.peer_address == member.peer_address:
                if heard.member.incarnation > member.incarnation:
                    return False
                del self._others[name]
                self._states.pop(name, None)
        self._others[member.name] = ObservedMember(member, now, now)
        self._states[member.name] = State.ALIVE
        log.info('member is new', extra={'member': member._asdict()})
        return True

    def _note_state(self, heard: ObservedMember) -> None:
        name, state = heard.member.name, self._find_state(heard)
        if self._states.get(name) is not state:
            self._states[name] = state
            log.info(
                'member is %s',
                state.value,
                extra={
                    'member': name,
                    'incarnation': heard.member.incarnation,
                },
            )


def is_complete(member: Member) -> bool:
    """Tell whether a member can be admitted and called."""
    try:
        _settings.split_address(member.peer_address)
        _settings.split_address(
            _settings.strip_https(member.serving_address)[1]
        )
    except ValueError:
        return False
    return bool(0 < len(member.name) <= 63 and 0 < len(member.zone) <= 63)
