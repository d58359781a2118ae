"""Stand-in of the platform's store: rows, transactions and the feed."""

import base64
import json
import threading
import time
from typing import Any

from common import servers

Key = tuple[str, str, str]

_TRANSACTION_SECONDS = 0.006
_MAX_ENTRIES = 100
_MAX_CALL_BYTES = 1000000
_MAX_ROW_BYTES = 65536
_MAX_PAGE_ROWS = 500
_READ_ONLY = frozenset({'op', 'servers'})


class Store:
    """Rows of all tables; all transactions share one version counter."""

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.version = 0
        # Transactions that were refused since they break a limit.
        self.refused: list[str] = []
        self._changes: list[tuple[int, Key, bytes | None]] = []
        self._changed = threading.Condition()
        self.server = servers.JsonServer(self._answer)

    def put(self, table: str, key: str, value: dict[str, Any]) -> int:
        """Write a row as the operator or a worker, who use other calls."""
        with self._changed:
            return self._apply(
                {(table, '', key): json.dumps(value).encode()}, []
            )

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        with self._changed:
            self._apply({}, [(table, '', key)])

    def find(self, table: str, part: str, key: str) -> Any:
        """Return the decoded value of a row; None if there is none."""
        with self._changed:
            row = self.rows.get((table, part, key))
        return None if row is None else json.loads(row[0])

    def _apply(self, puts: dict[Key, bytes], removals: list[Key]) -> int:
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = value, self.version
            self._changes.append((self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self._changes.append((self.version, key, None))
        self._changed.notify_all()
        return self.version

    def _answer(self, request: servers.Request) -> servers.Answer:
        calls = {
            '/-/rows-tx': self._commit,
            '/-/rows-get': self._read,
            '/-/rows-parts': self._list_parts,
            '/-/rows-feed': self._follow,
        }
        call = calls.get(request.path)
        if call is None:
            return 404, {}
        return call(request)

    def _commit(self, request: servers.Request) -> servers.Answer:
        body = request.body
        puts = {
            _read_key(row): base64.b64decode(row['value'])
            for row in body.get('set_keys', [])
        }
        removals = [_read_key(row) for row in body.get('remove', [])]
        expected = body.get('expected', [])
        fault = _find_fault(request.size, expected, puts, removals)
        if fault:
            self.refused.append(fault)
            return 400, {'reason': fault}
        if any(key[0] in _READ_ONLY for key in (*puts, *removals)):
            return 403, {}
        time.sleep(_TRANSACTION_SECONDS)
        with self._changed:
            for row in expected:
                found = self.rows.get(_read_key(row), (b'', 0))
                if found[1] != row['row_version']:
                    return 412, self._describe(map(_read_key, expected))
            version = self._apply(puts, removals)
        return 200, {'row_version': version, 'now_ms': _now_ms()}

    def _describe(self, keys: Any, **fields: Any) -> dict[str, Any]:
        rows = [
            _make_row(key, *self.rows[key]) for key in keys if key in self.rows
        ]
        return {
            'rows': rows,
            'row_version': self.version,
            'now_ms': _now_ms(),
            **fields,
        }

    def _read(self, request: servers.Request) -> servers.Answer:
        query = request.query
        scope = query['table'], query.get('part', '')
        limit = min(int(query.get('limit', _MAX_PAGE_ROWS)), _MAX_PAGE_ROWS)
        with self._changed:
            keys = sorted(
                key
                for key in self.rows
                if key[:2] == scope and key[2] >= query.get('from', '')
            )
            shown = keys[:limit]
            return 200, self._describe(shown, has_more=len(keys) > limit)

    def _list_parts(self, request: servers.Request) -> servers.Answer:
        table, after = request.query['table'], request.query.get('after')
        with self._changed:
            parts = sorted({key[1] for key in self.rows if key[0] == table})
            if after is not None:
                parts = [part for part in parts if part > after]
            return 200, {
                'parts': parts[:1000],
                'has_more': len(parts) > 1000,
                'row_version': self.version,
                'now_ms': _now_ms(),
            }

    def _follow(self, request: servers.Request) -> servers.Answer:
        query = request.query
        table, after = query['table'], int(query['after'])
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self._changed:
            rows = self._list_changes(table, after)
            while not rows and time.monotonic() < end:
                self._changed.wait(end - time.monotonic())
                rows = self._list_changes(table, after)
            return 200, {
                'rows': rows,
                'row_version': self.version,
                'now_ms': _now_ms(),
            }

    def _list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = []
        for version, key, value in reversed(self._changes):
            if version <= after:
                break
            if key[0] == table:
                rows.append(_make_row(key, value, version))
        return rows[::-1]


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


def _read_key(row: dict[str, Any]) -> Key:
    return row['table'], row.get('part', ''), row['key']


def _make_row(key: Key, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = dict(zip(('table', 'part', 'key'), key, strict=True))
    row['row_version'] = version
    if value is None:
        row['deleted'] = True
    else:
        row['value'] = base64.b64encode(value).decode()
    return row


def _find_fault(
    size: int,
    expected: list[dict[str, Any]],
    puts: dict[Key, bytes],
    removals: list[Key],
) -> str:
    """Return which limit of a transaction is broken; empty if none is."""
    if len(expected) + len(puts) + len(removals) > _MAX_ENTRIES:
        return 'more than 100 entries'
    if size > _MAX_CALL_BYTES:
        return 'more than 1 MB'
    if any(len(value) > _MAX_ROW_BYTES for value in puts.values()):
        return 'a row is above max_row_bytes'
    parts = {key[1] for key in (*puts, *removals)}
    return 'more than one part' if len(parts) > 1 else ''
