"""Writes of the owner of a shard, under the condition that it owns it.

All changes of a shard are committed by one green thread, several in one
transaction. Each transaction expects the term row as the one before left
it and writes it anew. A transaction whose answer is lost is sent again
unchanged: either it is applied now, or the term row shows that it was. A
copy that the store carries out later finds the term row changed.
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
from skylarktally import _loop
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _signals

_LOG = logging.getLogger(__name__)

# A term is renewed this long after its last transaction.
RENEWAL_INTERVAL = datetime.timedelta(seconds=0.4)
# The holder gives no orders this long after the start of its last
# transaction that was applied.
TERM_VALIDITY = datetime.timedelta(seconds=1.5)
# Others may claim a term that has not changed for this long.
TERM_EXPIRY = datetime.timedelta(seconds=1.8)
# Progress waits this long for more to be written with it.
_BATCH_DELAY = datetime.timedelta(seconds=0.06)
_RETRY_DELAY = datetime.timedelta(seconds=0.1)
# The store takes 100 entries in a transaction.
_BATCH_ROWS = 90

Put = tuple[_rows.RowKey, bytes]


class WriteOutcome(enum.Enum):
    """What became of a write."""

    APPLIED = 'applied'
    # It is not and will not be applied.
    DISCARDED = 'dropped'
    UNKNOWN = 'unknown'


class Changes(NamedTuple):
    """Rows to write, and what to do once they are written."""

    puts: list[Put]
    removals: list[_rows.RowKey]
    note_applied: Callable[[], None]
    # Whether no other changes wait.
    is_complete: bool = True


class ChangeSource(Protocol):
    """Where the ledger finds changes that wait to be written."""

    def take_changes(self, limit: int) -> Changes:
        """Return changes of at most so many rows."""

    def list_lease_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""

    def list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        """Return those of them that are out of contact."""

    def confirm_holders(self, workers: tuple[str, ...]) -> None:
        """Note that a successor will know of these workers."""


class _Write:
    """A row that a caller waits for."""

    def __init__(
        self, puts: list[Put], on_outcome: Callable[[WriteOutcome], None]
    ) -> None:
        self.puts = puts
        self.done = _loop.Event()
        self._on_outcome = on_outcome

    def resolve(self, outcome: WriteOutcome) -> None:
        self._on_outcome(outcome)
        self.done.send(outcome)


class Ledger:
    """Group commit of one shard for the time of one term."""

    def __init__(
        self,
        store: _rows.Store,
        clock: _clock.Clock,
        shard: str,
        term: _records.Term,
        version: int,
        renewed_at: datetime.timedelta,
    ) -> None:
        """Create the ledger of a term that has been claimed.

        :param version: of the term row; the fencing token of the term
        :param renewed_at: start of the transaction that claimed the term
        """
        self.shard = shard
        self.token = version
        self.is_over = False
        self._store = store
        self._clock = clock
        self._term = term
        self._version = version
        self._renewed_at = renewed_at
        self._queued_writes: collections.deque[_Write] = collections.deque()
        # Events of those who wait for the next transaction, and for the
        # one on its way.
        self._flushes: list[_loop.Event] = []
        self._sending_flushes: list[_loop.Event] = []
        self._is_sending = False
        self._signal = _signals.Signal()
        self._commit_due: datetime.timedelta | None = None
        self._source: ChangeSource | None = None
        self._is_releasing = False

    @property
    def generation(self) -> int:
        """Number of the term among those of the shard."""
        return self._term.generation

    def set_source(self, source: ChangeSource) -> None:
        """Take changes from the source from now on."""
        self._source = source

    def holds_term(self) -> bool:
        """Tell whether no other entry can own the shard yet."""
        if self.is_over or self._is_releasing:
            return False
        return self._clock.monotonic() - self._renewed_at < TERM_VALIDITY

    def request_commit(self, is_urgent: bool = False) -> None:
        """Ask for a transaction soon, or at once."""
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
        """Write rows at once and return what became of that.

        :param take_fate: called with the fate of a write that was sent,
            also after the timeout
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
        """Wait until all present changes are written; False if not.

        :param has_changes: whether the source has changes to take; those
            that it has given already are in the transaction on its way
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
        """End the term so that another entry may claim it at once."""
        self._is_releasing = True
        self.request_commit(is_urgent=True)

    def end(self) -> None:
        """Stop writing; what is in progress has an unknown fate."""
        self.is_over = True
        self._signal.set()

    def run(self) -> None:
        """Commit changes until the term is over."""
        while not self.is_over:
            self._wait()
            if not self.is_over:
                self.commit()
        self._abandon()

    def _wait(self) -> None:
        while not self.is_over:
            now = self._clock.monotonic()
            due = self._renewed_at + RENEWAL_INTERVAL
            if self._commit_due is not None:
                due = min(due, self._commit_due)
            if due <= now:
                return
            self._signal.wait(due - now)

    def commit(self) -> None:
        """Commit what waits in one transaction, and renew the term."""
        self._commit_due = None
        writes: list[_Write] = []
        puts: list[Put] = []
        while self._queued_writes and len(puts) < _BATCH_ROWS:
            write = self._queued_writes.popleft()
            writes.append(write)
            puts.extend(write.puts)
        changes = self._take_changes(_BATCH_ROWS - len(puts))
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
        place = _records.make_term_key(self.shard)
        transaction = _rows.Transaction(
            expected=((place, self._version),),
            puts=(
                (place, _records.encode_term(term)),
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
        for write in writes:
            write.resolve(
                WriteOutcome.APPLIED if is_applied else WriteOutcome.UNKNOWN
            )
        for done in self._sending_flushes:
            done.send(is_applied)
        self._sending_flushes = []
        # A release that was asked for meanwhile goes with the next one.
        if is_applied and term.is_released:
            self.is_over = True

    def _list_lease_holders(self) -> tuple[str, ...]:
        if self._source is None:
            return self._term.workers
        return self._source.list_lease_holders()

    def _list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        if self._source is None:
            return self._term.unreachable
        return self._source.list_unreachable()

    def _take_changes(self, limit: int) -> Changes:
        if self._source is None:
            return Changes([], [], lambda: None)
        return self._source.take_changes(limit)

    def _send(
        self, transaction: _rows.Transaction, term: _records.Term
    ) -> bool:
        """Send until the fate is known; False when the term is lost."""
        failures = 0
        while not self.is_over:
            begin = self._clock.monotonic()
            outcome = self._store.commit(transaction)
            if isinstance(outcome, result.Success):
                if failures:
                    _LOG.info(
                        'store answers again',
                        extra={'shard': self.shard, 'failures': failures},
                    )
                return self._conclude_commit(outcome.unwrap(), term, begin)
            if not failures:
                _LOG.warning(
                    'store does not answer',
                    extra={
                        'shard': self.shard,
                        'failure': outcome.failure().kind.value,
                        'reason': outcome.failure().message,
                    },
                )
            failures += 1
            self._clock.sleep(_RETRY_DELAY)
        return False

    def _conclude_commit(
        self,
        committed: _rows.CommitResult,
        term: _records.Term,
        begin: datetime.timedelta,
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
            # An earlier try was applied and its answer lost.
            version = found[1]
        self._version = version
        self._term = term
        self._renewed_at = begin
        return True

    def _find_term(
        self, committed: _rows.CommitResult
    ) -> tuple[_records.Term, int] | None:
        place = _records.make_term_key(self.shard)
        for row in committed.rows:
            if row.row_key == place and row.value:
                try:
                    term = _records.decode_term(row.value)
                except (ValueError, TypeError):
                    return None
                return term, row.version
        return None

    def _abandon(self) -> None:
        for write in self._queued_writes:
            write.resolve(WriteOutcome.DISCARDED)
        for done in self._flushes:
            if not done.ready():
                done.send(False)
        self._queued_writes.clear()
        self._flushes.clear()


def claim(
    store: _rows.Store,
    clock: _clock.Clock,
    shard: str,
    term: _records.Term,
    version: int,
) -> result.Result[Ledger | None, _errors.Failure]:
    """Claim a shard whose term row has the given version.

    Returns None when the row has changed, and a failure with an unknown
    outcome when the claim has to be looked up.
    """
    place = _records.make_term_key(shard)
    begin = clock.monotonic()
    outcome = store.commit(
        _rows.Transaction(
            ((place, version),), ((place, _records.encode_term(term)),)
        )
    )
    if not isinstance(outcome, result.Success):
        return result.Failure(outcome.failure())
    committed = outcome.unwrap()
    if not committed.is_applied:
        return result.Success(None)
    return result.Success(
        Ledger(store, clock, shard, term, committed.version, begin)
    )
