"""Rows of the platform's table service, as the scheduler uses them."""

import datetime
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors


class RowKey(NamedTuple):
    """Place of a row; a transaction is confined to one partition."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A row; a version of 0 means that there is none."""

    row_key: RowKey
    value: bytes
    version: int
    is_deleted: bool = False


class Transaction(NamedTuple):
    """Changes that are applied together, or not at all."""

    # Versions that rows must have; 0 for rows that must not exist.
    expected: tuple[tuple[RowKey, int], ...]
    puts: tuple[tuple[RowKey, bytes], ...]
    removals: tuple[RowKey, ...] = ()


class CommitResult(NamedTuple):
    """Result of a transaction."""

    is_applied: bool
    version: int
    # The expected rows as they are, when the transaction was not applied.
    rows: tuple[Row, ...] = ()


class Changes(NamedTuple):
    """Changed rows of a table, and the version to continue from."""

    rows: tuple[Row, ...]
    version: int
    # The history after the given version is gone; read the table again.
    is_truncated: bool = False


class Store(Protocol):
    """The table service."""

    def commit(
        self, transaction: Transaction
    ) -> result.Result[CommitResult, _errors.Failure]:
        """Apply a transaction.

        OUTCOME_UNKNOWN means that it may be applied now or later; any other
        failure means that it was not applied.
        """

    def read(
        self, table: str, partition: str
    ) -> result.Result[Changes, _errors.Failure]:
        """Return all rows of a partition."""

    def list_partitions(
        self, table: str
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Return the partitions of a table."""

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[Changes, _errors.Failure]:
        """Return the changes after a version, waiting for the first."""


def read_table(
    store: Store, table: str
) -> result.Result[Changes, _errors.Failure]:
    """Return all rows of all partitions, as of the oldest read."""
    partitions = store.list_partitions(table)
    if not isinstance(partitions, result.Success):
        return result.Failure(partitions.failure())
    rows: list[Row] = []
    version: int | None = None
    for partition in partitions.unwrap() or ('',):
        part = store.read(table, partition)
        if not isinstance(part, result.Success):
            return part
        rows.extend(part.unwrap().rows)
        found = part.unwrap().version
        version = found if version is None else min(version, found)
    return result.Success(Changes(tuple(rows), version or 0))
