"""Discovery of the zone's routers, and the calls to them.

A controller pushes log records to them and reads their observations.
"""

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

# A router whose heartbeat has not changed for this long counts as dead.
_DEAD_AFTER = datetime.timedelta(seconds=10)


class _KnownRouter(NamedTuple):
    address: str
    heartbeat: int
    heartbeat_changed_at: datetime.timedelta


class ZoneRouters:
    """The live routers of the zone, the local one first."""

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
        self._known_routers: dict[str, _KnownRouter] = {}

    def list_addresses(self) -> list[str]:
        """Return the live routers of the zone, the local one first."""
        oldest = self._clock.monotonic() - _DEAD_AFTER
        self._known_routers = {
            name: known
            for name, known in self._known_routers.items()
            if known.heartbeat_changed_at >= oldest
        }
        found = {known.address for known in self._known_routers.values()}
        return [self._local, *sorted(found - {self._local})]

    def discover(self, version: int) -> None:
        """Ask routers in turn for the members, until one responds.

        The request names no sender, so that the controller does not become
        a member of the gossip itself.

        :param version: log version of this controller
        """
        request = ttypes.SyncRequest(
            sender=ttypes.Member(name=''), members=[], log_version=version
        )
        for address in self._list_addresses_to_try():
            outcome = self._calls.sync(address, request)
            if isinstance(outcome, result.Success):
                response = outcome.unwrap()
                self._record_members(
                    [response.responder, *(response.members or [])]
                )
                return

    def _list_addresses_to_try(self) -> list[str]:
        return list(dict.fromkeys([*self.list_addresses(), *self._seeds]))

    def _record_members(self, members: list[ttypes.Member]) -> None:
        now = self._clock.monotonic()
        for message in members:
            member = _messages.decode_member(message)
            if member is None or member.zone != self._zone:
                continue
            if not member.peer_address or member.leaving:
                continue
            known = self._known_routers.get(member.name)
            if known is None or member.heartbeat != known.heartbeat:
                self._known_routers[member.name] = _KnownRouter(
                    member.peer_address, member.heartbeat, now
                )

    def push_records(
        self, records: Iterable[_resources.LogRecord]
    ) -> int | None:
        """Push log records to the first router that responds.

        Routers are tried in the order local, others of the zone, seeds.

        :returns: the log version of that router afterwards, None if no
            router responded
        """
        entries = _messages.encode_entries(records)
        for address in self._list_addresses_to_try():
            outcome = self._calls.push_log(address, entries)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
        return None

    def fetch_observations(self) -> list[tuple[str, dict[str, Any]]]:
        """Return the observations of the zone's routers, by address.

        Routers that do not respond, or send no valid JSON, are left out.
        """
        reports = []
        for address in self.list_addresses():
            outcome = self._calls.get_observations(address)
            if not isinstance(outcome, result.Success):
                continue
            try:
                reports.append((address, json.loads(outcome.unwrap())))
            except ValueError:
                log.warning('malformed observations from %s', address)
        return reports
