"""Streams of log records to watching clients."""

from collections.abc import Iterator
import json
from typing import Any, Protocol

from skylarktally import _declarations
from skylarktally import _loop
from skylarktally import _resources
from skylarktally import _tokens

Kind = _resources.Kind
# An empty line this often lets both sides notice a dead connection.
HEARTBEAT_SECONDS = 5.0
_PIECE = 100


class Replica(_declarations.Replica, Protocol):
    """The part of the fleet that a watch reads."""

    def read_records(
        self, after: int, limit: int
    ) -> list[_resources.LogRecord]:
        """Return the records after a version, none when trimmed."""


def encode(message: dict[str, Any]) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(',', ':')).encode() + b'\n'


class VersionNotifier:
    """Wakes every waiting watch when the version grows."""

    def __init__(self) -> None:
        self._event = _loop.Event()

    def notify(self, version: int = 0) -> None:
        """Wake all who wait; suits the callback of a fleet."""
        event, self._event = self._event, _loop.Event()
        event.send(version)

    def wait(self, seconds: float) -> None:
        """Return at the next ring or after the time."""
        self._event.wait(timeout=seconds)


class Watch:
    """One client's stream, from a version on.

    Each line is {"version", "changes"} or, when the records after the
    version are gone, {"version", "snapshot"}, which replaces whatever the
    client has. An empty line is a sign of life.
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
        self._position = after
        # What a team has been shown; deletions carry no owner.
        self._seen: set[tuple[str, str]] | None = None
        if not identity.is_operator and after == fleet.version:
            self._seen = self._find_visible()
        self.closed = False

    def _find_visible(self) -> set[tuple[str, str]]:
        return {
            (item['kind'], item['name']) for item in self._list_resources()
        }

    def _list_resources(self) -> list[_resources.Resource]:
        return [
            item
            for kind in Kind
            for item in self._fleet.list(kind)
            if _declarations.covers(self._fleet, self._identity, item)
        ]

    def stream(self) -> Iterator[bytes]:
        """Yield lines until the client leaves or the watch is closed."""
        while not self.closed:
            pieces = list(self._read())
            yield from pieces
            if not pieces:
                self._notifier.wait(HEARTBEAT_SECONDS)
                if self._fleet.version <= self._position:
                    yield b'\n'

    def _read(self) -> Iterator[bytes]:
        if self._fleet.version <= self._position:
            return
        records = self._fleet.read_records(self._position, _PIECE)
        restricted = not self._identity.is_operator
        if not records or records[0]['version'] != self._position + 1:
            yield self._take_snapshot()
        elif restricted and self._seen is None:
            yield self._take_snapshot()
        else:
            for record in records:
                yield self._show(record)
                if self._position > record['version']:
                    return

    def _take_snapshot(self) -> bytes:
        self._position = self._fleet.version
        self._seen = self._find_visible()
        return encode(
            {'version': self._position, 'snapshot': self._list_resources()}
        )

    def _show(self, record: _resources.LogRecord) -> bytes:
        changes = record['changes']
        if not self._identity.is_operator:
            if any(map(self._is_transfer, changes)):
                return self._take_snapshot()
            changes = [
                shown for item in changes if (shown := self._restrict(item))
            ]
        self._position = record['version']
        return encode({**record, 'changes': changes})

    def _is_visible(self, change: _resources.Change) -> bool:
        value = change['value']
        return value is not None and _declarations.covers(
            self._fleet, self._identity, value
        )

    def _is_transfer(self, change: _resources.Change) -> bool:
        """Tell whether a pool, and with it its jobs, changes hands."""
        if change['kind'] != Kind.POOL.value or change['value'] is None:
            return False
        key = (change['kind'], change['name'])
        return (key in (self._seen or ())) != self._is_visible(change)

    def _restrict(self, change: _resources.Change) -> _resources.Change | None:
        assert self._seen is not None
        key = (change['kind'], change['name'])
        if self._is_visible(change):
            self._seen.add(key)
            return change
        if key not in self._seen:
            return None
        self._seen.discard(key)
        return _resources.Change(
            kind=change['kind'], name=change['name'], value=None
        )
