"""Local copy of the configuration, workers, waves and shard terms.

All of it is read from the platform's table service. A row that cannot be
decoded is logged and does not affect other rows.
"""

import collections
from collections.abc import Callable, Mapping
import datetime
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _signals
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# How long the store may hold back a read while nothing changes. A silent
# connection is detected after this time plus the timeout of a read.
_CONFIGURATION_WAIT = datetime.timedelta(seconds=1)
# Polled, since the rows of workers change with each heartbeat and a wait
# for the next change would return at once.
_WORKERS_INTERVAL = datetime.timedelta(seconds=0.4)
_TERMS_INTERVAL = datetime.timedelta(seconds=0.35)
# Requests that wait for a new owner do not cause reads more often than this.
_MIN_TERMS_INTERVAL = datetime.timedelta(seconds=0.05)
# An entry instance that owns no pool reads workers less often, to limit the
# growth of the store's load with the number of entry instances.
_IDLE_WORKERS_INTERVAL = datetime.timedelta(seconds=2)

# Between reads of the terms that are further apart, the renewals of a live
# holder may have been missed.
_MAX_READ_GAP = datetime.timedelta(seconds=1.2)
_RETRY_DELAY = datetime.timedelta(seconds=0.15)
# Departed workers are kept this long; no lease lasts longer.
_DEPARTURE_RETENTION = datetime.timedelta(seconds=20)
_NO_WAIT = datetime.timedelta()


class Layout(Protocol):
    """Tables that the operator and the workers write, and their decoding."""

    operator_table: str
    workers_table: str

    def is_configuration(self, key: str) -> bool:
        """Return whether the key is that of the configuration."""

    def is_wave(self, key: str) -> bool:
        """Return whether the key is that of a maintenance wave."""

    def decode_configuration(self, value: bytes) -> _work.Configuration:
        """Decode the configuration; one of DECODING_ERRORS if damaged."""

    def decode_worker(self, id_: str, value: bytes) -> _work.WorkerRecord:
        """Decode a worker's row; one of DECODING_ERRORS if damaged."""

    def strip_heartbeat(self, value: bytes) -> bytes:
        """Return a worker's row without what each heartbeat changes."""

    def decode_wave(self, value: bytes) -> _work.Wave:
        """Decode a maintenance wave; one of DECODING_ERRORS if damaged."""


class ObservedTerm(NamedTuple):
    """The term of a shard as last read, with the version of its row."""

    term: _records.Term
    version: int
    # When this version was first read by this process.
    seen_at: datetime.timedelta


class DepartedWorker(NamedTuple):
    """A worker whose row has been removed, and when that was seen."""

    record: _work.WorkerRecord
    departed_at: datetime.timedelta


class Directory:
    """Local copy of the platform's tables, updated in the background."""

    def __init__(
        self, store: _rows.Store, layout: Layout, clock: _clock.Clock
    ) -> None:
        self.configuration: _work.Configuration | None = None
        self.workers: dict[str, _work.WorkerRecord] = {}
        # The same by pool, since owners ask ten times a second.
        self._workers_by_pool: dict[str, dict[str, _work.WorkerRecord]] = (
            collections.defaultdict(dict)
        )
        # What the rows of these workers say apart from their heartbeats.
        self._worker_values: dict[str, bytes] = {}
        self._departed: dict[str, DepartedWorker] = {}
        self.waves: dict[int, _work.Wave] = {}
        self.observed_terms: dict[str, ObservedTerm] = {}
        # When the terms were last read with success, and since when without
        # a gap above _MAX_READ_GAP.
        self.terms_read_at: datetime.timedelta | None = None
        self.terms_gapless_since = clock.monotonic()
        # When the workers were first read; None before that.
        self.workers_known_since: datetime.timedelta | None = None
        self._store = store
        self._layout = layout
        self._clock = clock
        self._is_refreshing = False
        self._owns_pools = False
        self._ownership_gained = _signals.Signal()
        self._terms_requested = _signals.Signal()
        self._terms_version: int | None = None

    def start(self) -> None:
        """Start to follow the tables in the background."""
        layout = self._layout
        _loop.spawn_logging_errors(
            self._follow,
            layout.operator_table,
            _CONFIGURATION_WAIT,
            lambda: None,
            self._reset_operator,
            self._apply_operator,
        )
        _loop.spawn_logging_errors(
            self._follow,
            layout.workers_table,
            _NO_WAIT,
            self._wait_before_reading_workers,
            self._reset_workers,
            self._apply_worker,
        )
        _loop.spawn_logging_errors(self._poll_terms)

    def record_ownership(self, owns_pools: bool) -> None:
        """Record whether this entry instance owns pools.

        The first pool triggers a read of the workers at once.
        """
        if owns_pools and not self._owns_pools:
            self._ownership_gained.set()
        self._owns_pools = owns_pools

    def list_workers(self, pool: str) -> Mapping[str, _work.WorkerRecord]:
        """Return the present workers of a pool by id; it is no copy."""
        return self._workers_by_pool.get(pool, {})

    def list_departed_workers(
        self, pool: str
    ) -> dict[str, _work.WorkerRecord]:
        """Return the recently departed workers of a pool by id."""
        # A worker with the same instance shows that the departed one has
        # ended.
        alive = {record.instance for record in self.workers.values()}
        return {
            id_: departed.record
            for id_, departed in self._departed.items()
            if departed.record.pool == pool
            and (departed.record.instance or None) not in alive
        }

    def find_address(self, shard: str) -> str | None:
        """Return the peer address of a shard's owner; None without one."""
        observed = self.observed_terms.get(shard)
        if observed is None or observed.term.is_released:
            return None
        return observed.term.address

    def _follow(
        self,
        table: str,
        wait: datetime.timedelta,
        pause: Callable[[], None],
        reset: Callable[[], None],
        apply: Callable[[_rows.Row], None],
    ) -> None:
        version: int | None = None
        is_failing = False
        while True:
            if version is None:
                outcome = self._store.read(table, '')
            else:
                outcome = self._store.follow(table, version, wait)
            is_success = isinstance(outcome, result.Success)
            if is_success == is_failing:
                is_failing = not is_success
                _LOG.info(
                    'table cannot be read'
                    if is_failing
                    else 'table can be read again',
                    extra={'table': table},
                )
            if not is_success:
                self._clock.sleep(_RETRY_DELAY)
                continue
            changes = outcome.unwrap()
            if changes.is_truncated:
                version = None
                continue
            if version is None:
                reset()
            for row in changes.rows:
                apply(row)
            version = changes.version
            pause()

    def _wait_before_reading_workers(self) -> None:
        """Wait until the next read of the workers is due."""
        if self._owns_pools:
            self._clock.sleep(_WORKERS_INTERVAL)
        else:
            self._ownership_gained.wait(_IDLE_WORKERS_INTERVAL)

    def _reset_operator(self) -> None:
        self.waves = {}

    def _apply_operator(self, row: _rows.Row) -> None:
        key = row.row_key.key
        if self._layout.is_configuration(key) and not row.is_deleted:
            self._apply_configuration(row)
        elif self._layout.is_wave(key):
            self._apply_wave(row)

    def _apply_configuration(self, row: _rows.Row) -> None:
        try:
            found = self._layout.decode_configuration(row.value)
        except _errors.DECODING_ERRORS as error:
            _log_unreadable_row(row, error)
            return
        known = self.configuration
        if known is not None and known.version >= found.version:
            return
        self.configuration = found
        _LOG.info(
            'configuration in force',
            extra={'version': found.version, 'queues': len(found.queues)},
        )

    def _apply_wave(self, row: _rows.Row) -> None:
        if row.is_deleted:
            return
        try:
            wave = self._layout.decode_wave(row.value)
        except _errors.DECODING_ERRORS as error:
            _log_unreadable_row(row, error)
            return
        self.waves[wave.id] = wave

    def _reset_workers(self) -> None:
        for id_ in list(self.workers):
            self._remove_worker(id_)
        if self.workers_known_since is None:
            self.workers_known_since = self._clock.monotonic()

    def _remove_worker(self, id_: str) -> None:
        record = self.workers.pop(id_, None)
        if record is None:
            return
        del self._worker_values[id_]
        pool_workers = self._workers_by_pool[record.pool]
        del pool_workers[id_]
        if not pool_workers:
            del self._workers_by_pool[record.pool]
        now = self._clock.monotonic()
        self._departed[id_] = DepartedWorker(record, now)
        for known, departed in list(self._departed.items()):
            if now - departed.departed_at > _DEPARTURE_RETENTION:
                del self._departed[known]

    def _apply_worker(self, row: _rows.Row) -> None:
        id_ = row.row_key.key
        value = self._layout.strip_heartbeat(row.value)
        if not row.is_deleted and self._worker_values.get(id_) == value:
            # Nearly all rows are heartbeats: each worker of the fleet sends
            # one every 1.5 s, also to entry instances that own no pool.
            return
        self._remove_worker(id_)
        if row.is_deleted:
            return
        try:
            record = self._layout.decode_worker(id_, row.value)
        except _errors.DECODING_ERRORS as error:
            _log_unreadable_row(row, error)
            return
        self.workers[id_] = record
        self._worker_values[id_] = value
        self._workers_by_pool[record.pool][id_] = record
        self._departed.pop(id_, None)

    def _poll_terms(self) -> None:
        while True:
            self.refresh_terms()
            self._clock.sleep(_MIN_TERMS_INTERVAL)
            self._terms_requested.wait(_TERMS_INTERVAL - _MIN_TERMS_INTERVAL)

    def request_terms(self) -> None:
        """Request a read of the terms, and do not wait for it."""
        self._terms_requested.set()

    def refresh_terms(self) -> bool:
        """Read the changed terms; return whether that succeeded."""
        if self._is_refreshing:
            return False
        self._is_refreshing = True
        try:
            return self._read_terms()
        finally:
            self._is_refreshing = False

    def _read_terms(self) -> bool:
        if self._terms_version is None:
            outcome = _rows.read_table(self._store, _records.TERMS)
        else:
            outcome = self._store.follow(
                _records.TERMS, self._terms_version, _NO_WAIT
            )
        if not isinstance(outcome, result.Success):
            return False
        changes = outcome.unwrap()
        if changes.is_truncated:
            self._terms_version = None
            return False
        for row in changes.rows:
            self._apply_term(row)
        self._terms_version = changes.version
        now = self._clock.monotonic()
        last = self.terms_read_at
        if last is None or now - last > _MAX_READ_GAP:
            self.terms_gapless_since = now
        self.terms_read_at = now
        return True

    def _apply_term(self, row: _rows.Row) -> None:
        shard = row.row_key.partition
        known = self.observed_terms.get(shard)
        if known is not None and known.version >= row.version:
            return
        try:
            term = _records.decode_term(row.value)
        except _errors.DECODING_ERRORS as error:
            _log_unreadable_row(row, error)
            return
        now = self._clock.monotonic()
        self.observed_terms[shard] = ObservedTerm(term, row.version, now)

    def record_term(
        self, shard: str, term: _records.Term, version: int
    ) -> None:
        """Record a term that this entry instance has claimed."""
        now = self._clock.monotonic()
        self.observed_terms[shard] = ObservedTerm(term, version, now)


def _log_unreadable_row(row: _rows.Row, error: Exception) -> None:
    _LOG.error(
        'unreadable row',
        extra={
            'row': row.row_key,
            'version': row.version,
            'reason': repr(error),
        },
    )
