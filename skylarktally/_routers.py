"""The routers of the zone, as a controller finds, feeds and reads them."""

from collections.abc import Iterable
import datetime
import json
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally._gen.peer import ttypes
from skylarktally import _messages
from skylarktally import _peers
from skylarktally import _resources

log = logging.getLogger(__name__)

# A router whose counter has not grown for this long counts as dead.
_FORGET_AFTER = datetime.timedelta(seconds=10)


class _Known(NamedTuple):
    address: str
    heartbeat: int
    grown_at: datetime.timedelta


class ZoneRouters:
    """The routers that this controller knows, its local one first."""

    def __init__(
        self,
        calls: _peers.ThriftPeerClient,
        local: str,
        seeds: Iterable[str],
        zone: str,
        clock: _clock.Clock,
    ) -> None:
        self._calls = calls
        self._local = local
        self._seeds = list(seeds)
        self._zone = zone
        self._clock = clock
        self._known: dict[str, _Known] = {}

    def list_addresses(self) -> list[str]:
        """Return the live routers of the zone, the local one first."""
        limit = self._clock.monotonic() - _FORGET_AFTER
        self._known = {
            name: known
            for name, known in self._known.items()
            if known.grown_at >= limit
        }
        found = {known.address for known in self._known.values()}
        return [self._local, *sorted(found - {self._local})]

    def discover(self, version: int) -> None:
        """Learn the routers of the zone from one that answers.

        The request names no sender, so that the controller does not become
        a member itself.
        """
        request = ttypes.SyncRequest(
            sender=ttypes.Member(name=''), members=[], log_version=version
        )
        for address in self._list_candidates():
            synced = self._calls.sync(address, request)
            if isinstance(synced, result.Success):
                reply = synced.unwrap()
                self._learn([reply.responder, *(reply.members or [])])
                return

    def _list_candidates(self) -> list[str]:
        return list(dict.fromkeys([*self.list_addresses(), *self._seeds]))

    def _learn(self, members: list[ttypes.Member]) -> None:
        now = self._clock.monotonic()
        for message in members:
            member = _messages.decode_member(message)
            if member is None or member.zone != self._zone:
                continue
            if not member.peer_address or member.leaving:
                continue
            known = self._known.get(member.name)
            if known is None or member.heartbeat != known.heartbeat:
                self._known[member.name] = _Known(
                    member.peer_address, member.heartbeat, now
                )

    def push_records(
        self, records: Iterable[_resources.LogRecord]
    ) -> int | None:
        """Give log entries to the local router, or to one that answers.

        Returns the version of that router afterwards.
        """
        entries = _messages.encode_entries(records)
        for address in self._list_candidates():
            pushed = self._calls.push_log(address, entries)
            if isinstance(pushed, result.Success):
                return pushed.unwrap()
        return None

    def fetch_observations(self) -> list[tuple[str, dict[str, Any]]]:
        """Return the observations of each router of the zone."""
        reports = []
        for address in self.list_addresses():
            read = self._calls.get_observations(address)
            if not isinstance(read, result.Success):
                continue
            try:
                reports.append((address, json.loads(read.unwrap())))
            except ValueError:
                log.warning('malformed observations from %s', address)
        return reports
