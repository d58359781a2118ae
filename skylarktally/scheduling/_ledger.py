"""Group commit of a shard's changes, conditional on the owner's term.

One green thread commits all changes of a shard, several per transaction.
Each transaction is a compare-and-set on the term row: it expects the version
that the previous transaction left and writes the row again. A transaction
whose answer is lost is retried unchanged: either it is applied now, or the
term row shows that an earlier attempt was. A duplicate that the store
applies later is rejected because the term row has changed.
"""

import collections
from collections.abc import Callable
import datetime
import enum
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _signals

_LOG = logging.getLogger(__name__)

# The term is renewed this long after the start of its last transaction.
RENEWAL_INTERVAL = datetime.timedelta(seconds=0.4)
# The holder may send orders for this long after the start of its last
# applied transaction. Must be shorter than ``TERM_EXPIRY``, so that two
# holders never send orders at the same time.
TERM_VALIDITY = datetime.timedelta(seconds=1.5)
# Other entry instances may claim a shard whose term row has not changed for
# this long.
TERM_EXPIRY = datetime.timedelta(seconds=1.8)
# Changes that are not urgent wait this long, to be batched with others.
_BATCH_DELAY = datetime.timedelta(seconds=0.06)
_RETRY_DELAY = datetime.timedelta(seconds=0.1)
# The store accepts 100 items per transaction. The margin covers the term row
# and the last write of a batch, which may have several rows.
_BATCH_ROWS = 90
# The store accepts 1 MB per transaction, in base64 and with all names. The
# margin covers the term row and the last row of a batch.
_BATCH_BYTES = 400000

Put = tuple[_rows.RowKey, bytes]


class WriteOutcome(enum.Enum):
    """Outcome of a write."""

    APPLIED = 'applied'
    # It has not been applied and never will be.
    DISCARDED = 'dropped'
    # It may have been applied or may still be applied.
    UNKNOWN = 'unknown'


class Changes(NamedTuple):
    """Pending row changes, with a callback for their commit."""

    puts: list[Put]
    removals: list[_rows.RowKey]
    note_applied: Callable[[], None]
    # False if the source has further changes.
    is_complete: bool = True


class ChangeSource(Protocol):
    """Provides the ledger with pending changes and the lease holders."""

    def take_changes(self, limit: int, max_bytes: int) -> Changes:
        """Remove and return pending changes of at most ``limit`` rows.

        No row is added once their values have ``max_bytes``.
        """

    def list_lease_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""

    def list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        """Return the possible lease holders that cannot be reached."""

    def confirm_holders(self, workers: tuple[str, ...]) -> None:
        """Note that the stored term row names these workers."""


class _Write:
    """A write whose outcome a caller waits for."""

    def __init__(
        self, puts: list[Put], on_outcome: Callable[[WriteOutcome], None]
    ) -> None:
        self.puts = puts
        self.done = _loop.Event()
        self._on_outcome = on_outcome

    def resolve(self, outcome: WriteOutcome) -> None:
        try:
            self._on_outcome(outcome)
        except Exception:
            # The outcome stands, whatever its receiver makes of it.
            _guards.record_error('outcome of a write')
        self.done.send(outcome)


class Ledger:
    """Commits the changes of one shard for the duration of one term."""

    def __init__(
        self,
        store: _rows.Store,
        clock: _clock.Clock,
        shard: str,
        term: _records.Term,
        version: int,
        renewed_at: datetime.timedelta,
    ) -> None:
        """Create the ledger of a claimed term.

        :param version: of the term row; the fencing token of the term
        :param renewed_at: start of the transaction that claimed the term
        """
        self.shard = shard
        self.token = version
        # When the transaction that claimed the term was sent.
        self.claimed_at = renewed_at
        self.is_over = False
        self._store = store
        self._clock = clock
        self._term = term
        self._version = version
        self._renewed_at = renewed_at
        self._queued_writes: collections.deque[_Write] = collections.deque()
        # Events of callers that wait for the next transaction, and for the
        # one in progress.
        self._flushes: list[_loop.Event] = []
        self._sending_flushes: list[_loop.Event] = []
        self._is_sending = False
        # Writes of the transaction in progress.
        self._sending_writes: list[_Write] = []
        self._signal = _signals.Signal()
        self._commit_due: datetime.timedelta | None = None
        self._source: ChangeSource | None = None
        self._is_releasing = False

    @property
    def generation(self) -> int:
        """Number of the term; each term of the shard has the next one."""
        return self._term.generation

    @property
    def renewed_at(self) -> datetime.timedelta:
        """Start of the last transaction that is known to be applied."""
        return self._renewed_at

    def set_source(self, source: ChangeSource) -> None:
        """Set the source that is asked for changes on each commit."""
        self._source = source

    def holds_term(self) -> bool:
        """Tell whether the term is certain not to have been taken over."""
        return self.find_time_left() > datetime.timedelta()

    def find_time_left(self) -> datetime.timedelta:
        """Return how long the term certainly lasts; zero if it may be over."""
        if self.is_over or self._is_releasing:
            return datetime.timedelta()
        age = self._clock.monotonic() - self._renewed_at
        return max(TERM_VALIDITY - age, datetime.timedelta())

    def request_commit(self, is_urgent: bool = False) -> None:
        """Request a commit after the batch delay, or immediately."""
        delay = datetime.timedelta() if is_urgent else _BATCH_DELAY
        due = self._clock.monotonic() + delay
        if self._commit_due is None or due < self._commit_due:
            self._commit_due = due
            self._signal.set()

    def write(
        self,
        puts: list[Put],
        timeout: datetime.timedelta,
        on_outcome: Callable[[WriteOutcome], None],
    ) -> WriteOutcome:
        """Write rows with the next transaction and return the outcome.

        :param on_outcome: called with the outcome of a write that was sent
            or that the end of the term discards, also after the timeout; not
            called for a write discarded at the timeout or after the term
        """
        if self.is_over or self._is_releasing:
            return WriteOutcome.DISCARDED
        write = _Write(puts, on_outcome)
        self._queued_writes.append(write)
        self.request_commit(is_urgent=True)
        with _loop.Timeout(timeout.total_seconds(), False):
            outcome: WriteOutcome = write.done.wait()
            return outcome
        if write not in self._queued_writes:
            return WriteOutcome.UNKNOWN
        self._queued_writes.remove(write)
        return WriteOutcome.DISCARDED

    def flush(self, has_changes: bool, is_urgent: bool = False) -> bool:
        """Wait until all current changes are stored; False if they are not.

        :param has_changes: whether the source has pending changes; those
            that it no longer has are in the transaction in progress
        """
        if self.is_over:
            return False
        if not has_changes and not self._is_sending:
            return True
        done = _loop.Event()
        if has_changes:
            self._flushes.append(done)
            self.request_commit(is_urgent)
        else:
            self._sending_flushes.append(done)
        return bool(done.wait())

    def release(self) -> None:
        """Release the term, so that it can be claimed before it expires."""
        self._is_releasing = True
        self.request_commit(is_urgent=True)

    def end(self) -> None:
        """Stop committing; the outcome of a write in progress is unknown."""
        self.is_over = True
        self._signal.set()

    def run(self) -> None:
        """Commit changes until the term is over.

        An unexpected error ends the term: what it has taken from the source
        may not be stored, and only a new owner reads what is.
        """
        try:
            while not self.is_over:
                self._wait_until_due()
                if not self.is_over:
                    self.commit()
        except Exception:
            _guards.record_error('commit', shard=self.shard)
        finally:
            self.end()
            # Empty unless an unexpected error has ended the term.
            self._resolve_sent(False)
            self._discard_queued()

    def _wait_until_due(self) -> None:
        while not self.is_over:
            now = self._clock.monotonic()
            due = self._renewed_at + RENEWAL_INTERVAL
            if self._commit_due is not None:
                due = min(due, self._commit_due)
            if due <= now:
                return
            self._signal.wait(due - now)

    def commit(self) -> None:
        """Commit pending changes in one transaction, which renews the term."""
        self._commit_due = None
        puts = self._take_writes()
        size = _measure(puts)
        changes = self._take_changes(
            _BATCH_ROWS - len(puts), max(_BATCH_BYTES - size, 0)
        )
        is_complete = changes.is_complete and not self._queued_writes
        if changes.is_complete:
            self._sending_flushes, self._flushes = self._flushes, []
        if not is_complete:
            self._commit_due = self._clock.monotonic()
        term = self._term._replace(
            sequence=self._term.sequence + 1,
            is_released=self._is_releasing and is_complete,
            workers=self._list_lease_holders(),
            unreachable=self._list_unreachable(),
        )
        term_key = _records.make_term_key(self.shard)
        transaction = _rows.Transaction(
            expected=((term_key, self._version),),
            puts=(
                (term_key, _records.encode_term(term)),
                *puts,
                *changes.puts,
            ),
            removals=tuple(changes.removals),
        )
        self._is_sending = True
        is_applied = self._send(transaction, term)
        self._is_sending = False
        if is_applied:
            changes.note_applied()
            if self._source is not None:
                self._source.confirm_holders(term.workers)
        self._resolve_sent(is_applied)
        # A release requested during this transaction is written by the next.
        if is_applied and term.is_released:
            self.is_over = True

    def _take_writes(self) -> list[Put]:
        """Move queued writes to the transaction in progress."""
        puts: list[Put] = []
        while (
            self._queued_writes
            and len(puts) < _BATCH_ROWS
            and _measure(puts) < _BATCH_BYTES
        ):
            write = self._queued_writes.popleft()
            self._sending_writes.append(write)
            puts.extend(write.puts)
        return puts

    def _list_lease_holders(self) -> tuple[str, ...]:
        if self._source is None:
            return self._term.workers
        return self._source.list_lease_holders()

    def _list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        if self._source is None:
            return self._term.unreachable
        return self._source.list_unreachable()

    def _take_changes(self, limit: int, max_bytes: int) -> Changes:
        if self._source is None:
            return Changes([], [], lambda: None)
        return self._source.take_changes(limit, max_bytes)

    def _send(
        self, transaction: _rows.Transaction, term: _records.Term
    ) -> bool:
        """Retry until the outcome is known; False when the term is lost."""
        failures = 0
        first_started_at = self._clock.monotonic()
        while not self.is_over:
            started_at = self._clock.monotonic()
            outcome = self._store.commit(transaction)
            if isinstance(outcome, result.Success):
                if failures:
                    _LOG.info(
                        'store commit succeeded after retries',
                        extra={'shard': self.shard, 'failures': failures},
                    )
                committed = outcome.unwrap()
                if not committed.is_applied:
                    # An earlier attempt may have been applied; others count
                    # the term from the first time they saw its row.
                    started_at = first_started_at
                return self._conclude_commit(committed, term, started_at)
            failure = outcome.failure()
            if failure.kind in _rows.REFUSAL_KINDS:
                # Whatever makes it invalid is lost with the term.
                self._log_failure('store refuses a transaction', failure)
                self.is_over = True
                return False
            if not failures:
                self._log_failure('store commit failed, retrying', failure)
            failures += 1
            self._clock.sleep(_RETRY_DELAY)
        return False

    def _log_failure(self, message: str, failure: _errors.Failure) -> None:
        _LOG.warning(
            message,
            extra={
                'shard': self.shard,
                'failure': failure.kind.value,
                'reason': failure.message,
            },
        )

    def _conclude_commit(
        self,
        committed: _rows.CommitResult,
        term: _records.Term,
        started_at: datetime.timedelta,
    ) -> bool:
        version = committed.version
        if not committed.is_applied:
            found = self._find_term(committed)
            if found is None or found[0] != term:
                _LOG.warning(
                    'term lost',
                    extra={'shard': self.shard, 'token': self.token},
                )
                self.is_over = True
                return False
            # An earlier attempt was applied, but its answer was lost.
            version = found[1]
        self._version = version
        self._term = term
        self._renewed_at = started_at
        return True

    def _find_term(
        self, committed: _rows.CommitResult
    ) -> tuple[_records.Term, int] | None:
        term_key = _records.make_term_key(self.shard)
        for row in committed.rows:
            if row.row_key == term_key and row.value:
                try:
                    term = _records.decode_term(row.value)
                except _errors.MalformedInput:
                    return None
                return term, row.version
        return None

    def _resolve_sent(self, is_applied: bool) -> None:
        """Tell the callers whose changes were in the last transaction."""
        outcome = WriteOutcome.APPLIED if is_applied else WriteOutcome.UNKNOWN
        writes, self._sending_writes = self._sending_writes, []
        flushes, self._sending_flushes = self._sending_flushes, []
        for write in writes:
            write.resolve(outcome)
        for done in flushes:
            done.send(is_applied)

    def _discard_queued(self) -> None:
        for write in self._queued_writes:
            write.resolve(WriteOutcome.DISCARDED)
        for done in self._flushes:
            if not done.ready():
                done.send(False)
        self._queued_writes.clear()
        self._flushes.clear()


def _measure(puts: list[Put]) -> int:
    """Return the size of the values, in bytes."""
    return sum(len(value) for _, value in puts)


def claim(
    store: _rows.Store,
    clock: _clock.Clock,
    shard: str,
    term: _records.Term,
    version: int,
) -> result.Result[Ledger | None, _errors.Failure]:
    """Claim a shard whose term row has the given version.

    Returns None when the row has changed. After a failure with an unknown
    outcome, the caller has to read the term row to learn whether the claim
    was applied.
    """
    term_key = _records.make_term_key(shard)
    started_at = clock.monotonic()
    outcome = store.commit(
        _rows.Transaction(
            ((term_key, version),), ((term_key, _records.encode_term(term)),)
        )
    )
    if not isinstance(outcome, result.Success):
        return result.Failure(outcome.failure())
    committed = outcome.unwrap()
    if not committed.is_applied:
        return result.Success(None)
    return result.Success(
        Ledger(store, clock, shard, term, committed.version, started_at)
    )
