"""Interface of the platform's table service, as the scheduler uses it."""

import datetime
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors

# Failures with which the store refuses a call for good, without effect.
REFUSAL_KINDS = frozenset(
    {_errors.ErrorKind.INVALID_REQUEST, _errors.ErrorKind.FORBIDDEN}
)


class RowKey(NamedTuple):
    """Key of a row; all rows of a transaction share one partition."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A stored row; a version of 0 means that the row does not exist."""

    row_key: RowKey
    value: bytes
    version: int
    is_deleted: bool = False


class Transaction(NamedTuple):
    """Changes that are applied atomically if their condition holds."""

    # Versions that these rows must have; 0 if the row must not exist.
    expected: tuple[tuple[RowKey, int], ...]
    puts: tuple[tuple[RowKey, bytes], ...]
    removals: tuple[RowKey, ...] = ()


class CommitResult(NamedTuple):
    """Result of a transaction."""

    is_applied: bool
    version: int
    # Current state of the expected rows if the transaction was rejected.
    rows: tuple[Row, ...] = ()


class Changes(NamedTuple):
    """Changed rows of a table, and the version to continue from."""

    rows: tuple[Row, ...]
    version: int
    # History since the requested version was discarded; the table has to be
    # read again.
    is_truncated: bool = False


class Store(Protocol):
    """The table service."""

    def commit(
        self, transaction: Transaction
    ) -> result.Result[CommitResult, _errors.Failure]:
        """Apply a transaction.

        OUTCOME_UNKNOWN means that it was applied, or may still be applied
        later, or never is. Any other failure means that it was not applied,
        and one of ``REFUSAL_KINDS`` that it never will be.
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
        """Return the changes after a version, or wait for the first one."""


def read_table(
    store: Store, table: str
) -> result.Result[Changes, _errors.Failure]:
    """Return all rows of all partitions.

    The version is the lowest of all reads, so that following the table from
    it misses no change.
    """
    partitions = store.list_partitions(table)
    if not isinstance(partitions, result.Success):
        return result.Failure(partitions.failure())
    rows: list[Row] = []
    version: int | None = None
    for partition in partitions.unwrap() or ('',):
        outcome = store.read(table, partition)
        if not isinstance(outcome, result.Success):
            return outcome
        rows.extend(outcome.unwrap().rows)
        found = outcome.unwrap().version
        version = found if version is None else min(version, found)
    return result.Success(Changes(tuple(rows), version or 0))
