"""Local copy of the configuration, workers, waves and shard terms.

All of it is read from the platform's table service. A row that cannot be
decoded is logged and does not affect other rows.
"""

from collections.abc import Callable, Mapping
import datetime
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.entries import _followers
from skylarktally.entries import _worker_list
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
# An entry instance that owns no pool has no use for the workers. It reads them
# from time to time, so that it knows those that left just before a takeover.
# All heartbeats of the fleet would cost each instance as much as an owner.
_IDLE_WORKERS_INTERVAL = datetime.timedelta(seconds=15)
# Interval between looks whether a read is complete.
_POLL_INTERVAL = datetime.timedelta(seconds=0.02)

# Between reads of the terms that are further apart, the renewals of a live
# holder may have been missed.
_MAX_READ_GAP = datetime.timedelta(seconds=1.2)
_NO_WAIT = datetime.timedelta()


class Layout(_worker_list.WorkerLayout, Protocol):
    """Tables that the operator and the workers write, and their decoding."""

    operator_table: str
    workers_table: str

    def is_configuration(self, key: str) -> bool:
        """Return whether the key is that of the configuration."""

    def is_wave(self, key: str) -> bool:
        """Return whether the key is that of a maintenance wave."""

    def decode_configuration(self, value: bytes) -> _work.Configuration:
        """Decode the configuration; MalformedInput if damaged."""

    def decode_wave(self, value: bytes) -> _work.Wave:
        """Decode a maintenance wave; MalformedInput if damaged."""


class ObservedTerm(NamedTuple):
    """The term of a shard as last read, with the version of its row."""

    term: _records.Term
    version: int
    # When this version was first read by this process.
    seen_at: datetime.timedelta


class _OperatorRows:
    """Subscriber of the table of the operator."""

    def __init__(self, layout: Layout) -> None:
        self.configuration: _work.Configuration | None = None
        self.waves: dict[int, _work.Wave] = {}
        # Waves by the key of their row.
        self._wave_ids: dict[str, int] = {}
        self._layout = layout

    def retain(self, keys: frozenset[str]) -> None:
        for key in self._wave_ids.keys() - keys:
            self.waves.pop(self._wave_ids.pop(key), None)

    def apply(self, row: _rows.Row) -> None:
        key = row.row_key.key
        if row.is_deleted:
            return
        if self._layout.is_configuration(key):
            self._apply_configuration(row)
        elif self._layout.is_wave(key):
            self._apply_wave(row)

    def resume(self) -> None:
        """Do nothing: no row of the operator expires."""

    def finish(self) -> None:
        """Do nothing: the store holds the next answer back."""

    def _apply_configuration(self, row: _rows.Row) -> None:
        try:
            found = self._layout.decode_configuration(row.value)
        except _errors.MalformedInput as error:
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
        try:
            wave = self._layout.decode_wave(row.value)
        except _errors.MalformedInput as error:
            _log_unreadable_row(row, error)
            return
        self.waves[wave.id] = wave
        self._wave_ids[row.row_key.key] = wave.id


class Directory:
    """Local copy of the platform's tables, updated in the background."""

    def __init__(
        self, store: _rows.Store, layout: Layout, clock: _clock.Clock
    ) -> None:
        self.operator_rows = _OperatorRows(layout)
        self.worker_list = _worker_list.WorkerList(
            layout, clock, self._wait_before_reading_workers
        )
        self.observed_terms: dict[str, ObservedTerm] = {}
        # When the terms were last read with success, and since when without
        # a gap above _MAX_READ_GAP.
        self.terms_read_at: datetime.timedelta | None = None
        self.terms_gapless_since = clock.monotonic()
        self._store = store
        self._clock = clock
        self._operator_follower = _followers.TableFollower(
            store,
            clock,
            layout.operator_table,
            _CONFIGURATION_WAIT,
            self.operator_rows,
        )
        self._workers_follower = _followers.TableFollower(
            store, clock, layout.workers_table, _NO_WAIT, self.worker_list
        )
        self._is_refreshing = False
        self._owns_pools = False
        self._ownership_gained = _signals.Signal()
        self._terms_requested = _signals.Signal()
        self._terms_version: int | None = None

    def start(self) -> None:
        """Start to follow the tables in the background."""
        _loop.spawn_logging_errors(self._operator_follower.run)
        _loop.spawn_logging_errors(self._workers_follower.run)
        _loop.spawn_logging_errors(self._poll_terms)

    @property
    def configuration(self) -> _work.Configuration | None:
        """The newest configuration; None before the first one is read."""
        return self.operator_rows.configuration

    @property
    def waves(self) -> Mapping[int, _work.Wave]:
        """The maintenance waves of the operator."""
        return self.operator_rows.waves

    @property
    def workers(self) -> Mapping[str, _work.WorkerRecord]:
        """The present workers of all pools by id."""
        return self.worker_list.records

    def record_ownership(self, owns_pools: bool) -> None:
        """Record whether this entry instance owns pools.

        The first pool triggers a read of the workers at once.
        """
        if owns_pools and not self._owns_pools:
            self._ownership_gained.set()
        self._owns_pools = owns_pools

    def await_workers(
        self, since: datetime.timedelta, is_over: Callable[[], bool]
    ) -> None:
        """Wait until the workers are known as they were at some time.

        :param is_over: whether nobody needs them any more
        """
        while not is_over():
            known_as_of = self._workers_follower.known_as_of
            if known_as_of is not None and known_as_of >= since:
                return
            self._clock.sleep(_POLL_INTERVAL)

    def find_address(self, shard: str) -> str | None:
        """Return the peer address of a shard's owner; None without one."""
        observed = self.observed_terms.get(shard)
        if observed is None or observed.term.is_released:
            return None
        return observed.term.address

    def _wait_before_reading_workers(self) -> None:
        """Wait until the next read of the workers is due."""
        if self._owns_pools:
            self._clock.sleep(_WORKERS_INTERVAL)
            return
        self._ownership_gained.wait(_IDLE_WORKERS_INTERVAL)
        self._workers_follower.read_all_next()

    def _poll_terms(self) -> None:
        guard = _guards.Guard('terms', self._clock)
        while True:
            guard.attempt(self.refresh_terms)
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
        now = self._clock.monotonic()
        try:
            term = _records.decode_term(row.value)
        except _errors.MalformedInput as error:
            _log_unreadable_row(row, error)
            if known is None:
                return
            # The holder loses its term at its next commit. A claim expects
            # the version of this row and takes over from the last good one.
            term = known.term
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
            'reason': str(error),
        },
    )
