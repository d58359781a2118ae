"""In-memory rows of the transactional table."""

import bisect
import json
from typing import Any

# Limits of one transaction and of one page, as the platform documents them.
TRANSACTION_WRITES_LIMIT = 100
PAGE_ROWS_LIMIT = 1000


class RowStore:
    """Rows with atomic transactions and versions that are never reused.

    All rows share one version counter; a missing row has version 0.
    """

    def __init__(self) -> None:
        self._last_version = 0
        # Values are stored as JSON text, so that callers cannot change them
        # through a shared reference.
        self._rows: dict[str, tuple[str, int]] = {}
        self._keys: list[str] = []

    def commit(self, transaction: dict[str, Any]) -> dict[str, Any]:
        """Apply all writes if every condition holds, otherwise none.

        :returns: the body of the response; all rows written get its version
        :raises ValueError: if there are more than TRANSACTION_WRITES_LIMIT
            writes
        """
        if len(transaction['writes']) > TRANSACTION_WRITES_LIMIT:
            raise ValueError('too many writes in one transaction')
        conflicts = [
            {'key': key, 'version': current}
            for key, expected, current in (
                (c['key'], c['version'], self._find_version(c['key']))
                for c in transaction['conditions']
            )
            if expected != current
        ]
        if conflicts:
            return {'committed': False, 'conflicts': conflicts}
        self._last_version += 1
        for write in transaction['writes']:
            self._write(write['key'], write['value'])
        return {'committed': True, 'version': self._last_version}

    def read(self, key: str) -> dict[str, Any] | None:
        """Return the key, value and version of a row, or None if missing."""
        if key not in self._rows:
            return None
        encoded, version = self._rows[key]
        return {'key': key, 'value': json.loads(encoded), 'version': version}

    def scan(self, prefix: str, after: str, limit: int) -> list[dict]:
        """Return the rows with a key prefix in key order, at most one page.

        :param after: key after which the page starts
        """
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
