"""Rows of the transactional table, kept in memory."""

import bisect
import json
from typing import Any

# Bounds of one transaction and of one page, as the platform documents.
TRANSACTION_WRITES_LIMIT = 100
PAGE_ROWS_LIMIT = 1000


class RowStore:
    """Transactional rows with versions that never repeat."""

    def __init__(self) -> None:
        self._last_version = 0
        # Values are kept encoded, so that no caller shares them.
        self._rows: dict[str, tuple[str, int]] = {}
        self._keys: list[str] = []

    def commit(self, transaction: dict[str, Any]) -> dict[str, Any]:
        """Apply all writes if every condition holds, otherwise none.

        :returns: the body of the answer; every row written gets its version
        """
        if len(transaction['writes']) > TRANSACTION_WRITES_LIMIT:
            raise ValueError('too many writes in one transaction')
        conflicts = [
            {'key': key, 'version': actual}
            for key, expected, actual in (
                (c['key'], c['version'], self._find_version(c['key']))
                for c in transaction['conditions']
            )
            if expected != actual
        ]
        if conflicts:
            return {'committed': False, 'conflicts': conflicts}
        self._last_version += 1
        for write in transaction['writes']:
            self._write(write['key'], write['value'])
        return {'committed': True, 'version': self._last_version}

    def read(self, key: str) -> dict[str, Any] | None:
        """Return the key, value and version of a row, if present."""
        if key not in self._rows:
            return None
        encoded, version = self._rows[key]
        return {'key': key, 'value': json.loads(encoded), 'version': version}

    def scan(self, prefix: str, after: str, limit: int) -> list[dict]:
        """Return rows in key order, at most one page."""
        limit = min(limit, PAGE_ROWS_LIMIT)
        if after < prefix:
            start = bisect.bisect_left(self._keys, prefix)
        else:
            start = bisect.bisect_right(self._keys, after)
        rows = []
        for key in self._keys[start : start + limit]:
            row = self.read(key) if key.startswith(prefix) else None
            if row is None:
                break
            rows.append(row)
        return rows

    def _find_version(self, key: str) -> int:
        return self._rows[key][1] if key in self._rows else 0

    def _write(self, key: str, value: dict | None) -> None:
        if value is None:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, key)]
            return
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = (json.dumps(value), self._last_version)
