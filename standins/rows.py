"""In-memory stand-in of the platform's transactional table.

All partitions share one version counter. Tests can inject the faults of the
real table: a transaction that is refused, a request or a response that is
lost, and a transaction that is applied only after later ones.
"""

import datetime
import enum
from typing import Any

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _rows

ErrorKind = _errors.ErrorKind


class Fault(enum.Enum):
    """Fault to inject into a transaction."""

    # It is not applied and fails with PLATFORM_UNAVAILABLE. The other faults
    # fail with OUTCOME_UNKNOWN.
    REFUSE = 'refuse'
    # The request is lost, so that it is never applied.
    DROP_REQUEST = 'drop'
    # It is applied, but the response is lost.
    LOSE_RESPONSE = 'lose'
    # It is applied when the test calls ``deliver``, if its condition still
    # holds then.
    DELAY = 'delay'


# Limits of a row and of a transaction, in which values are in base64.
_MAX_ROW_BYTES = 65536
_MAX_BYTES = 1000000
_MAX_ITEMS = 100


class RowTable:
    """Transactional table with fault injection.

    Each transaction takes the first item of ``faults``; None and an empty
    list mean no fault. ``is_down`` makes every call fail.
    """

    def __init__(self) -> None:
        self.rows: dict[_rows.RowKey, _rows.Row] = {}
        self.version = 0
        self.faults: list[Fault | None] = []
        self.delayed: list[_rows.Transaction] = []
        self.commits = 0
        self.is_down = False
        self._history: list[_rows.Row] = []

    def commit(
        self, transaction: _rows.Transaction
    ) -> result.Result[_rows.CommitResult, _errors.Failure]:
        """Apply a transaction, unless the next fault prevents it."""
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else None
        if self.is_down or fault is Fault.REFUSE:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        if _is_above_limits(transaction):
            return _fail(ErrorKind.INVALID_REQUEST)
        if fault is Fault.DELAY:
            self.delayed.append(transaction)
        if fault is Fault.LOSE_RESPONSE:
            self._apply(transaction)
        if fault is not None:
            return _fail(ErrorKind.OUTCOME_UNKNOWN)
        return result.Success(self._apply(transaction))

    def deliver(self) -> _rows.CommitResult:
        """Apply the oldest delayed transaction if its condition holds."""
        return self._apply(self.delayed.pop(0))

    def _apply(self, transaction: _rows.Transaction) -> _rows.CommitResult:
        for row_key, version in transaction.expected:
            row = self.rows.get(row_key)
            if (row.version if row else 0) != version:
                return self._reject(transaction)
        self.version += 1
        for row_key, value in transaction.puts:
            self._store(_rows.Row(row_key, value, self.version))
        for row_key in transaction.removals:
            self._store(_rows.Row(row_key, b'', self.version, True))
        return _rows.CommitResult(True, self.version)

    def _reject(self, transaction: _rows.Transaction) -> _rows.CommitResult:
        current_rows = tuple(
            self.rows[row_key]
            for row_key, _ in transaction.expected
            if row_key in self.rows
        )
        return _rows.CommitResult(False, self.version, current_rows)

    def _store(self, row: _rows.Row) -> None:
        self._history.append(row)
        if row.is_deleted:
            self.rows.pop(row.row_key, None)
        else:
            self.rows[row.row_key] = row

    def put(self, row_key: _rows.RowKey, value: bytes) -> None:
        """Write a row without a condition and without using up a fault."""
        self._apply(_rows.Transaction((), ((row_key, value),)))

    def read(
        self, table: str, partition: str
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return the rows of a partition, sorted by key."""
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        rows = tuple(
            row
            for row_key, row in sorted(self.rows.items())
            if row_key[:2] == (table, partition)
        )
        return result.Success(_rows.Changes(rows, self.version))

    def list_partitions(
        self, table: str
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Return the names of all partitions of a table that hold rows."""
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        names = {
            row_key.partition for row_key in self.rows if row_key[0] == table
        }
        return result.Success(tuple(sorted(names)))

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return all changes after a version at once, without waiting."""
        del wait
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        rows = tuple(
            row
            for row in self._history
            if row.row_key.table == table and row.version > after
        )
        return result.Success(_rows.Changes(rows, self.version))


def _is_above_limits(transaction: _rows.Transaction) -> bool:
    sizes = [len(value) for _, value in transaction.puts]
    items = len(sizes) + len(transaction.expected) + len(transaction.removals)
    return (
        items > _MAX_ITEMS
        or max(sizes, default=0) > _MAX_ROW_BYTES
        or sum(sizes) * 4 // 3 > _MAX_BYTES
    )


def _fail(kind: ErrorKind) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, kind.value))
