"""Streams the records of the control log to watching clients."""

from collections.abc import Iterator
import json
from typing import Any, Protocol

from skylarktally import _declarations
from skylarktally import _loop
from skylarktally import _resources
from skylarktally import _tokens

Kind = _resources.Kind
# Interval of the empty lines by which both sides detect a dead connection.
HEARTBEAT_SECONDS = 5.0
_RECORDS_PER_READ = 100


class Replica(_declarations.Replica, Protocol):
    """Methods of the fleet replica that a watch needs."""

    def read_records(
        self, after: int, limit: int
    ) -> list[_resources.LogRecord]:
        """Return the records after a version, none if they were trimmed."""


def encode(message: dict[str, Any]) -> bytes:
    """Encode a message as one line of JSON."""
    return json.dumps(message, separators=(',', ':')).encode() + b'\n'


class VersionNotifier:
    """Wakes all waiters when the fleet version increases."""

    def __init__(self) -> None:
        self._event = _loop.Event()

    def notify(self, version: int = 0) -> None:
        """Wake all waiters; can be subscribed to a fleet replica."""
        event, self._event = self._event, _loop.Event()
        event.send(version)

    def wait(self, seconds: float) -> None:
        """Return at the next notification or after the timeout."""
        self._event.wait(timeout=seconds)


class Watch:
    """Stream of the changes after a version to one client.

    Each line is {"version", "changes"} or, if the records after the version
    have been trimmed, {"version", "snapshot"}, which replaces the state of
    the client. An empty line is a heartbeat.
    """

    def __init__(
        self,
        fleet: Replica,
        notifier: VersionNotifier,
        identity: _tokens.Identity,
        after: int,
    ) -> None:
        self._fleet = fleet
        self._notifier = notifier
        self._identity = identity
        self._last_version = after
        # Keys of the resources that a team has been sent: a deletion does
        # not say who owned the resource. None until they are known.
        self._shown_keys: set[tuple[str, str]] | None = None
        if not identity.is_operator and after == fleet.version:
            self._shown_keys = self._list_visible_keys()
        self.closed = False

    def _list_visible_keys(self) -> set[tuple[str, str]]:
        return {
            (item['kind'], item['name']) for item in self._list_resources()
        }

    def _list_resources(self) -> list[_resources.Resource]:
        return [
            item
            for kind in Kind
            for item in self._fleet.list(kind)
            if _declarations.can_access(self._fleet, self._identity, item)
        ]

    def stream(self) -> Iterator[bytes]:
        """Yield lines until the client disconnects or the watch is closed."""
        while not self.closed:
            messages = list(self._read_messages())
            yield from messages
            if not messages:
                self._notifier.wait(HEARTBEAT_SECONDS)
                if self._fleet.version <= self._last_version:
                    yield b'\n'

    def _read_messages(self) -> Iterator[bytes]:
        if self._fleet.version <= self._last_version:
            return
        records = self._fleet.read_records(
            self._last_version, _RECORDS_PER_READ
        )
        restricted = not self._identity.is_operator
        if not records or records[0]['version'] != self._last_version + 1:
            yield self._take_snapshot()
        elif restricted and self._shown_keys is None:
            yield self._take_snapshot()
        else:
            for record in records:
                yield self._encode_record(record)
                if self._last_version > record['version']:
                    return

    def _take_snapshot(self) -> bytes:
        self._last_version = self._fleet.version
        self._shown_keys = self._list_visible_keys()
        return encode(
            {'version': self._last_version, 'snapshot': self._list_resources()}
        )

    def _encode_record(self, record: _resources.LogRecord) -> bytes:
        changes = record['changes']
        if not self._identity.is_operator:
            if any(map(self._changes_owner, changes)):
                return self._take_snapshot()
            changes = [
                shown for item in changes if (shown := self._restrict(item))
            ]
        self._last_version = record['version']
        return encode({**record, 'changes': changes})

    def _is_visible(self, change: _resources.Change) -> bool:
        value = change['value']
        return value is not None and _declarations.can_access(
            self._fleet, self._identity, value
        )

    def _changes_owner(self, change: _resources.Change) -> bool:
        """Tell whether a pool enters or leaves the view of the team.

        The visibility of its jobs and instances then changes without a
        change of their own, so that the client needs a snapshot.
        """
        if change['kind'] != Kind.POOL.value or change['value'] is None:
            return False
        key = (change['kind'], change['name'])
        return (key in (self._shown_keys or ())) != self._is_visible(change)

    def _restrict(self, change: _resources.Change) -> _resources.Change | None:
        assert self._shown_keys is not None
        key = (change['kind'], change['name'])
        if self._is_visible(change):
            self._shown_keys.add(key)
            return change
        if key not in self._shown_keys:
            return None
        self._shown_keys.discard(key)
        return _resources.Change(
            kind=change['kind'], name=change['name'], value=None
        )
