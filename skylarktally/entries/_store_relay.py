"""The table service by way of other entries.

The store may turn some entries away while it serves the others. An entry
that is turned away has its calls made by one that reaches the store, so
that it keeps its pools. A call that is made twice does no harm: each write
expects the term row as it was before.
"""

from collections.abc import Callable, Iterable
import datetime
import logging
from typing import Protocol, TypeVar

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

# While the own way fails it is tried again this often.
_PROBE_INTERVAL = datetime.timedelta(seconds=0.2)
# For the way to the other entry and its call to the store.
_RELAY_TIMEOUT = datetime.timedelta(seconds=1)
# Entries that are asked to make one call.
_MAX_RELAYS = 2
_NO_WAIT = datetime.timedelta()


class RelayClient(Protocol):
    """Other entries, which may reach the store."""

    def carry(
        self,
        address: str,
        call: _calls.StoreCall,
        timeout: datetime.timedelta,
    ) -> Outcome[_calls.StoreReply]:
        """Have an entry make a call to the table service."""


class RelayedStore:
    """The table service, directly or by way of other entries."""

    def __init__(
        self,
        direct: _rows.Store,
        relays: RelayClient,
        list_addresses: Callable[[], Iterable[str]],
        clock: _clock.Clock,
    ) -> None:
        """Create the client.

        :param list_addresses: returns where other entries are reached
        """
        self._direct = direct
        self._relays = relays
        self._list_addresses = list_addresses
        self._clock = clock
        self._failing_since: datetime.timedelta | None = None
        self._probed_at = clock.monotonic()
        self._is_probing = False
        # The entry that made the last call.
        self._last_relay = ''

    def commit(
        self, transaction: _rows.Transaction
    ) -> Outcome[_rows.CommitResult]:
        """Apply a transaction."""
        call = _calls.StoreCall(
            'commit',
            expected=[
                _encode_row_key(place, version=version)
                for place, version in transaction.expected
            ],
            puts=[
                _encode_row_key(place, value)
                for place, value in transaction.puts
            ],
            removals=[
                _encode_row_key(place) for place in transaction.removals
            ],
        )
        return self._call(
            lambda: self._direct.commit(transaction), call, _decode_committed
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
        """Return the changes after a version, waiting for the first."""
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
            ErrorKind.PLATFORM_UNAVAILABLE, 'the store turns this entry away'
        )
        if self._failing_since is None:
            outcome = call_directly()
            self._record_outcome(outcome)
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
        else:
            self._start_probe()
        for address in self._rank_relays():
            relayed = self._relays.carry(
                address, call, wait + _RELAY_TIMEOUT
            ).bind(_check_reply)
            if isinstance(relayed, result.Success):
                self._last_relay = address
                return result.Success(decode(relayed.unwrap()))
            if relayed.failure().kind is ErrorKind.OUTCOME_UNKNOWN:
                failure = relayed.failure()
        return result.Failure(failure)

    def _start_probe(self) -> None:
        """Try the own way beside the calls, which it may hold up for long."""
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
        is_failing = not isinstance(outcome, result.Success)
        if is_failing == (self._failing_since is not None):
            return
        now = self._clock.monotonic()
        self._failing_since = now if is_failing else None
        self._probed_at = now
        _LOG.info(
            'own way to the store fails'
            if is_failing
            else 'own way to the store is back'
        )

    def _rank_relays(self) -> list[str]:
        """Return whom to ask, the entry that answered last first."""
        ranked = sorted(
            self._list_addresses(),
            key=lambda address: (address != self._last_relay, address),
        )
        return ranked[:_MAX_RELAYS]

    def carry(self, call: _calls.StoreCall) -> _calls.StoreReply:
        """Make a call for another entry, if the own way is sound."""
        if self._failing_since is not None:
            kind = ErrorKind.PLATFORM_UNAVAILABLE
            return _encode_failure(Failure(kind, 'no way to the store'))
        return _execute(self._direct, call)


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
            return _encode_committed(committed.unwrap())
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
        return result.Failure(Failure(ErrorKind(reply.error), reply.message))
    return result.Success(reply)


def _encode_row_key(
    place: _rows.RowKey, value: bytes = b'', version: int = 0
) -> _calls.StoredRow:
    return _calls.StoredRow(*place, value, version, False)


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


def _encode_committed(committed: _rows.CommitResult) -> _calls.StoreReply:
    return _create_reply(
        committed.is_applied, committed.version, committed.rows
    )


def _decode_committed(reply: _calls.StoreReply) -> _rows.CommitResult:
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
