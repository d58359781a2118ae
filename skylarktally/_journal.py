"""Proposes control transactions and follows the log.

A transaction is conditioned on the version of the head row, so at most one
author writes a given version. An author that does not know whether its
transaction took effect finds out from the transaction id in the log.
"""

import copy
import datetime
import random
import uuid
from collections.abc import Callable, Iterable

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _limits
from skylarktally import _resources
from skylarktally import _table

HEAD_KEY = 'head'
_PAGE = 200
_SETTLE_LIMIT = datetime.timedelta(seconds=10)

_Failure = _errors.Failure
_Kind = _errors.ErrorKind


def format_log_key(version: int) -> str:
    """Return the key of a log entry; keys sort like versions."""
    return f'log/{version:012d}'


class Journal:
    """Proposes transactions for one author and keeps a fleet up to date."""

    def __init__(
        self,
        table: _table.Table,
        fleet: _fleet.Fleet,
        clock: _clock.Clock,
        author: str,
        source: random.Random | None = None,
        settle_limit: datetime.timedelta = _SETTLE_LIMIT,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._clock = clock
        self._author = author
        self._random = source or random.Random()
        self._settle_limit = settle_limit
        # Log version and row version of the head as last seen.
        self._head = (0, 0)

    def refresh(self) -> result.Result[int, _Failure]:
        """Bring the fleet to the table's head and return its version."""
        while True:
            after = self._fleet.version
            scanned = self._table.scan(
                'log/', after=format_log_key(after), limit=_PAGE
            )
            if not isinstance(scanned, result.Success):
                return result.Failure(scanned.failure())
            rows = scanned.unwrap()
            if rows and rows[0].value['version'] > self._fleet.version + 1:
                loaded = self._load_snapshot()
                if not isinstance(loaded, result.Success):
                    return result.Failure(loaded.failure())
                continue
            for row in rows:
                self._accept(row)
            if len(rows) < _PAGE:
                return result.Success(self._fleet.version)

    def propose(
        self,
        changes: Iterable[_resources.Change],
        base_version: int,
        lease_conditions: Iterable[_table.Condition] = (),
    ) -> result.Result[int, _Failure]:
        """Commit changes decided at a version and return the new version.

        CONFLICT means that the head moved on, LEASE_LOST that a fence no
        longer holds; neither took effect. OUTCOME_UNKNOWN means that the
        table did not tell in time.
        """
        listed = list(changes)
        if len(listed) > _resources.CHANGES_LIMIT:
            return result.Failure(
                _Failure(_Kind.INVALID_REQUEST, 'too many changes at once')
            )
        head = self._find_head(base_version)
        if not isinstance(head, result.Success):
            return result.Failure(head.failure())
        record = self._build_record(listed, base_version + 1)
        transaction = _build_transaction(
            record, head.unwrap(), tuple(lease_conditions)
        )
        return self._settle(transaction, record)

    def transact(
        self,
        decide: Callable[
            [_fleet.Fleet],
            result.Result[list[_resources.Change], _Failure],
        ],
        lease_conditions: Iterable[_table.Condition] = (),
    ) -> result.Result[int, _Failure]:
        """Decide on the newest state and commit, again on a conflict."""
        conditions = tuple(lease_conditions)
        backoff = self._start_backoff()
        while True:
            refreshed = self.refresh()
            if not isinstance(refreshed, result.Success):
                return result.Failure(refreshed.failure())
            version = self._fleet.version
            decided = decide(self._fleet)
            if not isinstance(decided, result.Success):
                return result.Failure(decided.failure())
            changes = decided.unwrap()
            if not changes:
                return result.Success(version)
            outcome = self.propose(changes, version, conditions)
            if not _failed_with(outcome, _Kind.CONFLICT):
                return outcome
            if not backoff.wait():
                return outcome

    def _start_backoff(self) -> _limits.Backoff:
        return _limits.Backoff(self._clock, self._random, self._settle_limit)

    def _find_head(self, base_version: int) -> result.Result[int, _Failure]:
        """Return the row version of the head at a log version."""
        if base_version > 0 and self._head[0] == base_version:
            return result.Success(self._head[1])
        read = self._table.read(HEAD_KEY)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        row = read.unwrap()
        version = row.value['version'] if row else 0
        if version != base_version:
            return result.Failure(
                _Failure(_Kind.CONFLICT, f'the head is at {version}')
            )
        self._head = (version, row.version if row else 0)
        return result.Success(self._head[1])

    def _build_record(
        self, changes: list[_resources.Change], version: int
    ) -> _resources.LogRecord:
        return _resources.LogRecord(
            version=version,
            transaction_id=str(
                uuid.UUID(int=self._random.getrandbits(128), version=4)
            ),
            author=self._author,
            accepted_at=self._clock.now().isoformat(),
            changes=[_set_version(change, version) for change in changes],
        )

    def _settle(
        self, transaction: _table.Transaction, record: _resources.LogRecord
    ) -> result.Result[int, _Failure]:
        """Send a transaction until it is known whether it took effect."""
        backoff = self._start_backoff()
        unknown = False
        while True:
            sent = self._table.commit(transaction)
            if isinstance(sent, result.Success):
                row = _table.Row('', dict(record), sent.unwrap())
                self._accept(row)
                return result.Success(record['version'])
            kind = sent.failure().kind
            if kind in (_Kind.CONFLICT, _Kind.OUTCOME_UNKNOWN):
                unknown = True
                settled = self._resolve(
                    record, bool(transaction.conditions[1:]), kind
                )
                if settled is not None:
                    return settled
            elif not unknown and kind is not _Kind.RATE_LIMITED:
                return sent
            if not backoff.wait():
                return _report_unsettled(sent, unknown)

    def _resolve(
        self, record: _resources.LogRecord, fenced: bool, kind: _Kind
    ) -> result.Result[int, _Failure] | None:
        """Learn from the log what became of a transaction, if possible."""
        read = self._table.read(format_log_key(record['version']))
        if not isinstance(read, result.Success):
            return None
        row = read.unwrap()
        if row is None:
            if kind is not _Kind.CONFLICT:
                return None
            return self._explain_conflict(record['version'] - 1, fenced)
        if row.value['transaction_id'] == record['transaction_id']:
            self._accept(row)
            return result.Success(record['version'])
        return result.Failure(
            _Failure(_Kind.CONFLICT, f'{row.value["author"]} was first')
        )

    def _explain_conflict(
        self, base_version: int, fenced: bool
    ) -> result.Result[int, _Failure] | None:
        """Tell why a transaction whose log entry is absent conflicted."""
        read = self._table.read(HEAD_KEY)
        if not isinstance(read, result.Success):
            return None
        row = read.unwrap()
        version = row.value['version'] if row else 0
        if version == base_version:
            # Row versions never repeat, so no earlier copy can follow.
            kind = _Kind.LEASE_LOST if fenced else _Kind.CONFLICT
            return result.Failure(_Failure(kind, 'a fence does not hold'))
        if version > base_version + _fleet.RETAINED_RECORDS:
            return result.Failure(
                _Failure(_Kind.OUTCOME_UNKNOWN, 'the log entry is trimmed')
            )
        return None

    def _accept(self, row: _table.Row) -> None:
        """Apply a log row and remember the head that it implies."""
        version = row.value['version']
        if version >= self._head[0]:
            self._head = (version, row.version)
        self._fleet.apply(row.value)  # type: ignore[arg-type]

    def _load_snapshot(self) -> result.Result[int, _Failure]:
        """Load all resources from the table.

        The scan takes several reads, so that entries written meanwhile are
        replayed over what it found. An entry holds whole resources, which
        makes replaying one that the scan has already seen harmless.
        """
        head = self._table.read(HEAD_KEY)
        if not isinstance(head, result.Success):
            return result.Failure(head.failure())
        row = head.unwrap()
        start = row.value['version'] if row else 0
        scanned = self._scan_all('resource/', '')
        if not isinstance(scanned, result.Success):
            return result.Failure(scanned.failure())
        held = {r.key: r.value for r in scanned.unwrap()}
        entries = self._scan_all('log/', format_log_key(start))
        if not isinstance(entries, result.Success):
            return result.Failure(entries.failure())
        version = start
        for entry in entries.unwrap():
            if entry.value['version'] != version + 1:
                return result.Failure(
                    _Failure(
                        _Kind.PLATFORM_UNAVAILABLE,
                        'the log was trimmed during the snapshot',
                    )
                )
            version += 1
            for change in entry.value['changes']:
                held[_format_key(change)] = change['value']
        resources = [value for value in held.values() if value is not None]
        self._fleet.load(resources, version)
        return result.Success(version)

    def _scan_all(
        self, prefix: str, after: str
    ) -> result.Result[list[_table.Row], _Failure]:
        rows: list[_table.Row] = []
        while True:
            scanned = self._table.scan(prefix, after=after)
            if not isinstance(scanned, result.Success):
                return result.Failure(scanned.failure())
            page = scanned.unwrap()
            rows.extend(page)
            if not page:
                return result.Success(rows)
            after = page[-1].key


def _build_transaction(
    record: _resources.LogRecord,
    head_row_version: int,
    lease_conditions: tuple[_table.Condition, ...],
) -> _table.Transaction:
    version = record['version']
    writes = [
        _table.Write(HEAD_KEY, {'version': version}),
        _table.Write(format_log_key(version), dict(record)),
    ]
    trimmed = version - _fleet.RETAINED_RECORDS
    if trimmed > 0:
        writes.append(_table.Write(format_log_key(trimmed), None))
    for change in record['changes']:
        value = change['value']
        writes.append(
            _table.Write(
                _format_key(change), None if value is None else dict(value)
            )
        )
    head = _table.Condition(HEAD_KEY, head_row_version)
    return _table.Transaction(
        record['transaction_id'], (head, *lease_conditions), tuple(writes)
    )


def _set_version(change: _resources.Change, version: int) -> _resources.Change:
    value = change['value']
    if value is None:
        return change
    # The caller keeps its own; the fleet shares this one with its readers.
    versioned = copy.deepcopy(value)
    versioned['resource_version'] = version
    return _resources.Change(
        kind=change['kind'], name=change['name'], value=versioned
    )


def _format_key(change: _resources.Change) -> str:
    return f'resource/{change["kind"]}/{change["name"]}'


def _failed_with(outcome: result.Result[int, _Failure], kind: _Kind) -> bool:
    return (
        not isinstance(outcome, result.Success)
        and outcome.failure().kind is kind
    )


def _report_unsettled(
    sent: result.Result[int, _Failure], unknown: bool
) -> result.Result[int, _Failure]:
    if not unknown:
        return sent
    return result.Failure(
        _Failure(_Kind.OUTCOME_UNKNOWN, 'the table did not tell in time')
    )
