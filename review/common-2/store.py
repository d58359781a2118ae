"""Stand-in of the platform's store of rows, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import random
import time
from typing import Any
from typing import NamedTuple

import http_server

_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000
_MAX_ENTRIES = 100
_MAX_ROW_BYTES = 65536
_TRANSACTION_SECONDS = 0.006
_READ_SECONDS = 0.004
_SILENT_SECONDS = 20.0
_FOREIGN_TABLES = ('op', 'servers')

Key = tuple[str, str, str]

_random = random.Random()


class Change(NamedTuple):
    """A row as one transaction has left it."""

    key: Key
    # In base64; None if the row was removed.
    value: str | None
    version: int

    def encode(self) -> dict[str, Any]:
        """Return the row as responses show it."""
        table, part, key = self.key
        row = {'table': table, 'part': part, 'key': key}
        if self.value is None:
            return {**row, 'row_version': self.version, 'deleted': True}
        return {**row, 'value': self.value, 'row_version': self.version}


class Store:
    """Rows with transactions, pages and a feed of changes."""

    def __init__(self) -> None:
        self.server = http_server.Server(self._handle)
        # Added to the time of each transaction and each read.
        self.delay_seconds = 0.0
        # Share of the transactions that are done and not answered.
        self.lost_share = 0.0
        self.version = 0
        self.rows: dict[Key, Change] = {}
        self._history: list[Change] = []
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of the operator or of a worker."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply({(table, '', key): encoded})

    async def drop(self, table: str, key: str) -> None:
        """Remove a row of the operator or of a worker."""
        await self._apply({(table, '', key): None})

    def read_json(self, table: str, key: str) -> Any:
        """Return the value of a row in the empty part; None without one."""
        row = self.rows.get((table, '', key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    async def _apply(self, values: dict[Key, str | None]) -> None:
        self.version += 1
        for key, value in values.items():
            change = Change(key, value, self.version)
            self._history.append(change)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = change
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        if request.path == '/-/rows-tx':
            await asyncio.sleep(_TRANSACTION_SECONDS + self.delay_seconds)
            reply = await self._commit(request.body)
            if _random.random() < self.lost_share:
                # A channel on which a response is lost delivers nothing more.
                await asyncio.sleep(_SILENT_SECONDS)
                return http_server.Reply(0, {})
            return reply
        await asyncio.sleep(_READ_SECONDS + self.delay_seconds)
        if request.path == '/-/rows-get':
            return self._reply(200, self._read(request.query))
        if request.path == '/-/rows-parts':
            table, after = request.query['table'], request.query.get('after')
            parts = sorted({key[1] for key in self.rows if key[0] == table})
            parts = [item for item in parts if after is None or item > after]
            return self._reply(200, {'parts': parts[:1000]})
        if request.path == '/-/rows-feed':
            return await self._feed(request.query)
        return self._reply(400, {})

    def _reply(self, status: int, body: dict[str, Any]) -> http_server.Reply:
        now = int(time.monotonic() * 1000)
        body = {'row_version': self.version, 'now_ms': now, **body}
        return http_server.Reply(status, body)

    async def _commit(self, body: dict[str, Any]) -> http_server.Reply:
        expected = {
            _read_key(item): item['row_version']
            for item in body.get('expected', [])
        }
        values: dict[Key, str | None] = {
            _read_key(item): item['value'] for item in body.get('set_keys', [])
        }
        values |= {_read_key(item): None for item in body.get('remove', [])}
        if len(expected) + len(values) > _MAX_ENTRIES:
            return self._reply(400, {})
        if len({key[1] for key in (*expected, *values)}) > 1:
            return self._reply(400, {})
        if any(key[0] in _FOREIGN_TABLES for key in values):
            return self._reply(403, {})
        if any(
            len(base64.b64decode(value or '')) > _MAX_ROW_BYTES
            for value in values.values()
        ):
            return self._reply(400, {})
        found = {key: self.rows.get(key) for key in expected}
        if any(
            (row.version if row else 0) != expected[key]
            for key, row in found.items()
        ):
            rows = [row.encode() for row in found.values() if row]
            return self._reply(412, {'rows': rows})
        await self._apply(values)
        return self._reply(200, {})

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query['table'], query.get('part', '')
        start, end = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', _PAGE_ROWS)), _PAGE_ROWS)
        rows = sorted(
            row
            for key, row in self.rows.items()
            if key[:2] == (table, part)
            and key[2] >= start
            and (end is None or key[2] < end)
        )
        page: list[dict[str, Any]] = []
        size = 0
        for row in rows[:limit]:
            size += len(row.value or '')
            if page and size > _PAGE_BYTES:
                break
            page.append(row.encode())
        return {'rows': page, 'has_more': len(page) < len(rows)}

    async def _feed(self, query: dict[str, str]) -> http_server.Reply:
        table, after = query['table'], int(query['after'])
        wait = int(query.get('wait_ms', 0)) / 1000

        def list_changes() -> list[dict[str, Any]]:
            newest = {
                change.key: change
                for change in self._history
                if change.key[0] == table and change.version > after
            }
            return [change.encode() for change in newest.values()]

        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(list_changes)
        except TimeoutError:
            pass
        return self._reply(200, {'rows': list_changes()})


def _read_key(item: dict[str, Any]) -> Key:
    return item['table'], item.get('part', ''), item['key']
