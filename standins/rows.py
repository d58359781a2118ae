"""Stand-in of the platform's transactional table, in memory.

It keeps rows in partitions under one counter of versions and brings about
the faults of the real one: a transaction that is refused, one whose answer
is lost, and one that is carried out after later ones.
"""

import datetime
import enum
from typing import Any

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _rows

ErrorKind = _errors.ErrorKind


class Fault(enum.Enum):
    """What goes wrong with a transaction."""

    REFUSE = 'refuse'
    # It never arrives.
    DROP_REQUEST = 'drop'
    # It is applied and its answer lost.
    LOSE_RESPONSE = 'lose'
    # It is applied by ``deliver`` if its condition still holds.
    DELAY = 'delay'


class RowTable:
    """The table; ``faults`` holds one entry for each coming transaction."""

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
        """Apply a transaction, or bring about the next fault."""
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else None
        if self.is_down or fault is Fault.REFUSE:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        if fault is Fault.DELAY:
            self.delayed.append(transaction)
        if fault is Fault.LOSE_RESPONSE:
            self._apply(transaction)
        if fault is not None:
            return _fail(ErrorKind.OUTCOME_UNKNOWN)
        return result.Success(self._apply(transaction))

    def deliver(self) -> _rows.CommitResult:
        """Carry out the oldest transaction that was delayed."""
        return self._apply(self.delayed.pop(0))

    def _apply(self, transaction: _rows.Transaction) -> _rows.CommitResult:
        for place, version in transaction.expected:
            row = self.rows.get(place)
            if (row.version if row else 0) != version:
                return self._reject(transaction)
        self.version += 1
        for place, value in transaction.puts:
            self._note(_rows.Row(place, value, self.version))
        for place in transaction.removals:
            self._note(_rows.Row(place, b'', self.version, True))
        return _rows.CommitResult(True, self.version)

    def _reject(self, transaction: _rows.Transaction) -> _rows.CommitResult:
        found = tuple(
            self.rows[place]
            for place, _ in transaction.expected
            if place in self.rows
        )
        return _rows.CommitResult(False, self.version, found)

    def _note(self, row: _rows.Row) -> None:
        self._history.append(row)
        if row.is_deleted:
            self.rows.pop(row.row_key, None)
        else:
            self.rows[row.row_key] = row

    def put(self, place: _rows.RowKey, value: bytes) -> None:
        """Write a row without condition or fault."""
        self._apply(_rows.Transaction((), ((place, value),)))

    def read(
        self, table: str, partition: str
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return the rows of a partition in the order of their keys."""
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        rows = tuple(
            row
            for place, row in sorted(self.rows.items())
            if place[:2] == (table, partition)
        )
        return result.Success(_rows.Changes(rows, self.version))

    def list_partitions(
        self, table: str
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Return the partitions of a table."""
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        names = {place.partition for place in self.rows if place[0] == table}
        return result.Success(tuple(sorted(names)))

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return the changes after a version, without waiting."""
        del wait
        if self.is_down:
            return _fail(ErrorKind.PLATFORM_UNAVAILABLE)
        rows = tuple(
            row
            for row in self._history
            if row.row_key.table == table and row.version > after
        )
        return result.Success(_rows.Changes(rows, self.version))


def _fail(kind: ErrorKind) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, kind.value))
