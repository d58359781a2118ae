"""Table service calls, relayed through other entry instances on failure.

The store may refuse some entry instances while it serves the others. An
entry instance that is refused sends its calls through one that reaches the
store, so that it can renew its terms and keep its pools. A call may be
made twice without harm: each write is conditional on the previous version
of the term row.
"""

from collections.abc import Callable, Iterable
import datetime
import logging
from typing import Any, Protocol, TypeVar

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _calls
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Failure = _errors.Failure
Answer = TypeVar('Answer')
Outcome = result.Result[Answer, Failure]

# Interval between probes of the direct connection while it fails.
_PROBE_INTERVAL = datetime.timedelta(seconds=0.2)
# Covers the call to the other entry instance and its call to the store.
_RELAY_TIMEOUT = datetime.timedelta(seconds=1)
# Entry instances that are tried for one call.
_MAX_RELAYS = 2
_NO_WAIT = datetime.timedelta()
_KINDS = frozenset(kind.value for kind in ErrorKind)


class RelayClient(Protocol):
    """Client of other entry instances, which may reach the store."""

    def carry(
        self,
        address: str,
        call: _calls.StoreCall,
        timeout: datetime.timedelta,
    ) -> Outcome[_calls.StoreReply]:
        """Ask an entry instance to make a table service call."""


class RelayedStore:
    """Table service client that falls back to other entry instances."""

    def __init__(
        self,
        direct: _rows.Store,
        relay_client: RelayClient,
        list_addresses: Callable[[], Iterable[str]],
        clock: _clock.Clock,
    ) -> None:
        """Create the client.

        :param list_addresses: returns the addresses of entry instances
        """
        self._direct = direct
        self._relay_client = relay_client
        self._list_addresses = list_addresses
        self._clock = clock
        self._failing_since: datetime.timedelta | None = None
        self._probed_at = clock.monotonic()
        self._is_probing = False
        # Address of the entry instance that last relayed a call with success.
        self._last_relay = ''

    def commit(
        self, transaction: _rows.Transaction
    ) -> Outcome[_rows.CommitResult]:
        """Apply a transaction if its expected row versions match."""
        call = _calls.StoreCall(
            'commit',
            expected=[
                _encode_row_key(row_key, version=version)
                for row_key, version in transaction.expected
            ],
            puts=[
                _encode_row_key(row_key, value)
                for row_key, value in transaction.puts
            ],
            removals=[
                _encode_row_key(row_key) for row_key in transaction.removals
            ],
        )
        return self._call(
            lambda: self._direct.commit(transaction),
            call,
            _decode_commit_result,
        )

    def read(self, table: str, partition: str) -> Outcome[_rows.Changes]:
        """Return all rows of a partition."""
        call = _calls.StoreCall('read', table=table, partition=partition)
        return self._call(
            lambda: self._direct.read(table, partition), call, _decode_changes
        )

    def list_partitions(self, table: str) -> Outcome[tuple[str, ...]]:
        """Return the partitions of a table."""
        call = _calls.StoreCall('list_partitions', table=table)
        return self._call(
            lambda: self._direct.list_partitions(table),
            call,
            lambda reply: tuple(reply.partitions),
        )

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> Outcome[_rows.Changes]:
        """Return the changes after a version.

        :param wait: how long to wait for the first change
        """
        milliseconds = int(wait.total_seconds() * 1000)
        call = _calls.StoreCall(
            'follow', table=table, after=after, wait_ms=milliseconds
        )
        return self._call(
            lambda: self._direct.follow(table, after, wait),
            call,
            _decode_changes,
            wait,
        )

    def _call(
        self,
        call_directly: Callable[[], Outcome[Answer]],
        call: _calls.StoreCall,
        decode: Callable[[_calls.StoreReply], Answer],
        wait: datetime.timedelta = _NO_WAIT,
    ) -> Outcome[Answer]:
        failure = Failure(
            ErrorKind.PLATFORM_UNAVAILABLE,
            'the store does not answer this entry instance',
        )
        if self._failing_since is None:
            outcome = call_directly()
            self._record_outcome(outcome)
            if _is_answer(outcome):
                return outcome
            failure = outcome.failure()
        else:
            self._start_probe()
        for address in self._rank_relays():
            relayed = self._relay_client.carry(
                address, call, wait + _RELAY_TIMEOUT
            ).bind(_check_reply)
            if isinstance(relayed, result.Success):
                self._last_relay = address
                return result.Success(decode(relayed.unwrap()))
            if _is_answer(relayed):
                return result.Failure(relayed.failure())
            if relayed.failure().kind is ErrorKind.OUTCOME_UNKNOWN:
                failure = relayed.failure()
        return result.Failure(failure)

    def _start_probe(self) -> None:
        """Probe the direct connection in the background, if due.

        A probe may hang until its timeout, so no call waits for it.
        """
        now = self._clock.monotonic()
        if self._is_probing or now - self._probed_at < _PROBE_INTERVAL:
            return
        self._probed_at = now
        self._is_probing = True
        _loop.spawn_logging_errors(self._probe)

    def _probe(self) -> None:
        try:
            self._record_outcome(self._direct.list_partitions(_records.TERMS))
        finally:
            self._is_probing = False

    def _record_outcome(self, outcome: Outcome[Answer]) -> None:
        is_failing = not _is_answer(outcome)
        if is_failing == (self._failing_since is not None):
            return
        now = self._clock.monotonic()
        self._failing_since = now if is_failing else None
        self._probed_at = now
        _LOG.info(
            'direct connection to the store fails'
            if is_failing
            else 'direct connection to the store works again'
        )

    def _rank_relays(self) -> list[str]:
        """Return the addresses to try, starting with the last that worked."""
        ranked = sorted(
            self._list_addresses(),
            key=lambda address: (address != self._last_relay, address),
        )
        return ranked[:_MAX_RELAYS]

    def carry(self, call: _calls.StoreCall) -> _calls.StoreReply:
        """Make a call for another entry instance.

        Uses only the direct connection, and fails at once while that is
        failing. A relayed call is never relayed again.
        """
        if self._failing_since is not None:
            kind = ErrorKind.PLATFORM_UNAVAILABLE
            return _encode_failure(
                Failure(
                    kind,
                    'the store does not answer this entry instance either',
                )
            )
        return _execute(self._direct, call)


def _is_answer(outcome: Outcome[Any]) -> bool:
    """Tell whether the store has answered, if only to refuse the call."""
    if isinstance(outcome, result.Success):
        return True
    return outcome.failure().kind in _rows.REFUSAL_KINDS


def _execute(store: _rows.Store, call: _calls.StoreCall) -> _calls.StoreReply:
    if call.operation == 'commit':
        committed = store.commit(
            _rows.Transaction(
                tuple(
                    (_decode_row_key(row), row.version)
                    for row in call.expected
                ),
                tuple((_decode_row_key(row), row.value) for row in call.puts),
                tuple(_decode_row_key(row) for row in call.removals),
            )
        )
        if isinstance(committed, result.Success):
            return _encode_commit_result(committed.unwrap())
        return _encode_failure(committed.failure())
    if call.operation == 'list_partitions':
        listed = store.list_partitions(call.table)
        if isinstance(listed, result.Success):
            return _create_reply(partitions=list(listed.unwrap()))
        return _encode_failure(listed.failure())
    if call.operation == 'read':
        found = store.read(call.table, call.partition)
    else:
        wait = datetime.timedelta(milliseconds=call.wait_ms)
        found = store.follow(call.table, call.after, wait)
    if isinstance(found, result.Success):
        return _encode_changes(found.unwrap())
    return _encode_failure(found.failure())


def _check_reply(reply: _calls.StoreReply) -> Outcome[_calls.StoreReply]:
    if reply.error:
        kind = ErrorKind.OUTCOME_UNKNOWN
        if reply.error in _KINDS:
            kind = ErrorKind(reply.error)
        return result.Failure(Failure(kind, reply.message or ''))
    if not _is_complete(reply):
        message = 'a relayed answer lacks a field'
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, message))
    return result.Success(reply)


def _is_complete(reply: _calls.StoreReply) -> bool:
    """Tell whether a message has all fields, which thrift leaves optional."""
    fields = [reply.is_applied, reply.version, reply.rows, reply.partitions]
    if None in fields:
        return False
    return not any(
        None in (row.table, row.partition, row.key, row.value, row.version)
        for row in reply.rows
    )


def _encode_row_key(
    row_key: _rows.RowKey, value: bytes = b'', version: int = 0
) -> _calls.StoredRow:
    return _calls.StoredRow(*row_key, value, version, False)


def _decode_row_key(row: _calls.StoredRow) -> _rows.RowKey:
    return _rows.RowKey(row.table, row.partition, row.key)


def _encode_row(row: _rows.Row) -> _calls.StoredRow:
    return _calls.StoredRow(
        *row.row_key, row.value, row.version, row.is_deleted
    )


def _decode_rows(reply: _calls.StoreReply) -> tuple[_rows.Row, ...]:
    return tuple(
        _rows.Row(_decode_row_key(row), row.value, row.version, row.is_deleted)
        for row in reply.rows
    )


def _create_reply(
    is_applied: bool = False,
    version: int = 0,
    rows: Iterable[_rows.Row] = (),
    is_truncated: bool = False,
    partitions: Iterable[str] = (),
) -> _calls.StoreReply:
    return _calls.StoreReply(
        '',
        '',
        is_applied,
        version,
        [_encode_row(row) for row in rows],
        is_truncated,
        list(partitions),
    )


def _encode_failure(failure: Failure) -> _calls.StoreReply:
    return _calls.StoreReply(
        failure.kind.value, failure.message, False, 0, [], False, []
    )


def _encode_commit_result(committed: _rows.CommitResult) -> _calls.StoreReply:
    return _create_reply(
        committed.is_applied, committed.version, committed.rows
    )


def _decode_commit_result(reply: _calls.StoreReply) -> _rows.CommitResult:
    return _rows.CommitResult(
        reply.is_applied, reply.version, _decode_rows(reply)
    )


def _encode_changes(changes: _rows.Changes) -> _calls.StoreReply:
    return _create_reply(
        version=changes.version,
        rows=changes.rows,
        is_truncated=changes.is_truncated,
    )


def _decode_changes(reply: _calls.StoreReply) -> _rows.Changes:
    return _rows.Changes(
        _decode_rows(reply), reply.version, reply.is_truncated
    )
