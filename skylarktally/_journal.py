"""Commits control transactions and replays the log into a replica.

Each transaction is conditioned on the version of the head row (optimistic
concurrency), so at most one author writes a given log version. An author
that doesn't know whether its transaction took effect finds out from the
transaction id in the log.
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

# Key of the row that holds the version of the newest log entry.
HEAD_KEY = 'head'
# Log entries per scan.
_PAGE_ROWS = 200
# How long a transaction is retried until its outcome is known.
_RESOLVE_TIMEOUT = datetime.timedelta(seconds=10)

_Failure = _errors.Failure
_Kind = _errors.ErrorKind


def format_log_key(version: int) -> str:
    """Return the key of a log entry; keys sort in order of versions."""
    return f'log/{version:012d}'


class Journal:
    """Commits transactions of one author and updates a replica.

    :param fleet: the replica that log entries are applied to
    :param author: name that the log entries of this process carry
    :param source: random source for transaction ids and backoff
    :param resolve_timeout: how long to retry a transaction until its outcome
        is known, and how long ``transact`` repeats one that conflicted
    """

    def __init__(
        self,
        table: _table.Table,
        fleet: _fleet.Fleet,
        clock: _clock.Clock,
        author: str,
        source: random.Random | None = None,
        resolve_timeout: datetime.timedelta = _RESOLVE_TIMEOUT,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._clock = clock
        self._author = author
        self._random = source or random.Random()
        self._resolve_timeout = resolve_timeout
        # Log version and row version of the head row when last seen.
        self._head = (0, 0)

    def refresh(self) -> result.Result[int, _Failure]:
        """Apply all log entries of the table and return the version.

        Loads all resources instead if the log no longer holds the entry
        that follows the replica's version.
        """
        while True:
            after = self._fleet.version
            scanned = self._table.scan(
                'log/', after=format_log_key(after), limit=_PAGE_ROWS
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
                self._apply(row)
            if len(rows) < _PAGE_ROWS:
                return result.Success(self._fleet.version)

    def propose(
        self,
        changes: Iterable[_resources.Change],
        base_version: int,
        lease_conditions: Iterable[_table.Condition] = (),
    ) -> result.Result[int, _Failure]:
        """Commit changes decided at a version and return the new version.

        :param base_version: log version that the changes were decided on
        :param lease_conditions: versions of lease rows (fencing tokens)
            that must still hold

        CONFLICT means that another author committed first, LEASE_LOST that
        a lease condition no longer holds; neither took effect.
        OUTCOME_UNKNOWN means that the outcome couldn't be determined in
        time.
        """
        proposed = list(changes)
        if len(proposed) > _resources.CHANGES_LIMIT:
            return result.Failure(
                _Failure(_Kind.INVALID_REQUEST, 'too many changes at once')
            )
        head = self._find_head_row_version(base_version)
        if not isinstance(head, result.Success):
            return result.Failure(head.failure())
        record = self._build_record(proposed, base_version + 1)
        transaction = _build_transaction(
            record, head.unwrap(), tuple(lease_conditions)
        )
        return self._commit_until_resolved(transaction, record)

    def transact(
        self,
        decide: Callable[
            [_fleet.Fleet],
            result.Result[list[_resources.Change], _Failure],
        ],
        lease_conditions: Iterable[_table.Condition] = (),
    ) -> result.Result[int, _Failure]:
        """Decide on the newest state, commit, and repeat on a conflict.

        :param decide: returns the changes for a state; an empty list
            commits nothing
        """
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
        return _limits.Backoff(
            self._clock, self._random, self._resolve_timeout
        )

    def _find_head_row_version(
        self, base_version: int
    ) -> result.Result[int, _Failure]:
        """Return the head's row version if it is at a log version."""
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

    def _commit_until_resolved(
        self, transaction: _table.Transaction, record: _resources.LogRecord
    ) -> result.Result[int, _Failure]:
        """Retry a transaction until it is known whether it took effect."""
        backoff = self._start_backoff()
        # Whether an earlier attempt may have taken effect.
        unknown = False
        while True:
            sent = self._table.commit(transaction)
            if isinstance(sent, result.Success):
                row = _table.Row('', dict(record), sent.unwrap())
                self._apply(row)
                return result.Success(record['version'])
            kind = sent.failure().kind
            if kind in (_Kind.CONFLICT, _Kind.OUTCOME_UNKNOWN):
                unknown = True
                resolved = self._look_up_outcome(
                    record, bool(transaction.conditions[1:]), kind
                )
                if resolved is not None:
                    return resolved
            elif not unknown and kind is not _Kind.RATE_LIMITED:
                return sent
            if not backoff.wait():
                return _report_unresolved(sent, unknown)

    def _look_up_outcome(
        self, record: _resources.LogRecord, fenced: bool, kind: _Kind
    ) -> result.Result[int, _Failure] | None:
        """Determine a transaction's outcome from the log.

        :param fenced: whether the transaction has lease conditions
        :param kind: how the attempt failed, CONFLICT or OUTCOME_UNKNOWN
        :returns: None if the outcome is still unknown
        """
        read = self._table.read(format_log_key(record['version']))
        if not isinstance(read, result.Success):
            return None
        row = read.unwrap()
        if row is None:
            if kind is not _Kind.CONFLICT:
                return None
            return self._explain_conflict(record['version'] - 1, fenced)
        if row.value['transaction_id'] == record['transaction_id']:
            self._apply(row)
            return result.Success(record['version'])
        return result.Failure(
            _Failure(_Kind.CONFLICT, f'{row.value["author"]} committed first')
        )

    def _explain_conflict(
        self, base_version: int, fenced: bool
    ) -> result.Result[int, _Failure] | None:
        """Determine why a transaction without a log entry conflicted.

        Returns None if that is unknown.
        """
        read = self._table.read(HEAD_KEY)
        if not isinstance(read, result.Success):
            return None
        row = read.unwrap()
        version = row.value['version'] if row else 0
        if version == base_version:
            # The head hasn't changed, so a lease condition failed. Row
            # versions never repeat: an earlier attempt that is still on its
            # way to the table can't take effect later.
            kind = _Kind.LEASE_LOST if fenced else _Kind.CONFLICT
            return result.Failure(
                _Failure(kind, 'a lease condition no longer holds')
            )
        if version > base_version + _fleet.RETAINED_RECORDS:
            return result.Failure(
                _Failure(
                    _Kind.OUTCOME_UNKNOWN, 'the log entry has been trimmed'
                )
            )
        return None

    def _apply(self, row: _table.Row) -> None:
        """Apply a log row and record the head version that it implies.

        The transaction that wrote the row wrote the head with the same row
        version.
        """
        version = row.value['version']
        if version >= self._head[0]:
            self._head = (version, row.version)
        self._fleet.apply(row.value)  # type: ignore[arg-type]

    def _load_snapshot(self) -> result.Result[int, _Failure]:
        """Replace the replica by all resources in the table.

        The scan takes several reads, so log entries that are committed
        meanwhile are replayed over its result. An entry holds whole
        resources, so replaying one that the scan has already seen is
        idempotent.
        """
        head = self._table.read(HEAD_KEY)
        if not isinstance(head, result.Success):
            return result.Failure(head.failure())
        row = head.unwrap()
        start = row.value['version'] if row else 0
        scanned = self._scan_all('resource/', '')
        if not isinstance(scanned, result.Success):
            return result.Failure(scanned.failure())
        values = {r.key: r.value for r in scanned.unwrap()}
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
                values[_format_key(change)] = change['value']
        resources = [value for value in values.values() if value is not None]
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
    # A copy, because the replica shares the value with its readers while
    # the caller may still change its own.
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


def _report_unresolved(
    sent: result.Result[int, _Failure], unknown: bool
) -> result.Result[int, _Failure]:
    if not unknown:
        return sent
    return result.Failure(
        _Failure(
            _Kind.OUTCOME_UNKNOWN,
            'the outcome of the transaction could not be determined in time',
        )
    )
