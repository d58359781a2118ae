"""Follows a table of the store and passes its rows on."""

import datetime
import logging
from typing import Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _guards
from skylarktally.scheduling import _rows

_LOG = logging.getLogger(__name__)

_RETRY_DELAY = datetime.timedelta(seconds=0.15)


class Subscriber(Protocol):
    """Receives the rows of a table."""

    def retain(self, keys: frozenset[str]) -> None:
        """Drop all rows but these, which a complete read has listed.

        They are passed on next.
        """

    def apply(self, row: _rows.Row) -> None:
        """Take over a new, changed or deleted row."""

    def resume(self) -> None:
        """Note that the table can be read again after failures."""

    def finish(self) -> None:
        """Note that all rows of an answer were passed on.

        May wait until the table is to be read again.
        """


class TableFollower:
    """Reads a table, then its changes, and again after a gap in them."""

    def __init__(
        self,
        store: _rows.Store,
        clock: _clock.Clock,
        table: str,
        wait: datetime.timedelta,
        subscriber: Subscriber,
    ) -> None:
        """Create the follower of a table with one partition.

        :param wait: how long the store may hold back an answer while
            nothing changes
        """
        self._store = store
        self._clock = clock
        self._table = table
        self._wait = wait
        self._subscriber = subscriber
        # When the last answer was asked for; what it says is at least as new.
        self.known_as_of: datetime.timedelta | None = None
        # Up to which the changes are known; None before the first read.
        self._version: int | None = None
        self._is_failing = False

    def run(self) -> None:
        """Follow the table until the process ends."""
        guard = _guards.Guard('follow', self._clock, table=self._table)
        while True:
            guard.attempt(self.step)

    def step(self) -> None:
        """Read once and pass on what the answer says."""
        asked_at = self._clock.monotonic()
        if self._version is None:
            outcome = self._store.read(self._table, '')
        else:
            outcome = self._store.follow(
                self._table, self._version, self._wait
            )
        self._record_outcome(isinstance(outcome, result.Success))
        if not isinstance(outcome, result.Success):
            self._clock.sleep(_RETRY_DELAY)
            return
        changes = outcome.unwrap()
        if changes.is_truncated:
            self._version = None
            return
        if self._version is None:
            self._subscriber.retain(
                frozenset(row.row_key.key for row in changes.rows)
            )
        for row in changes.rows:
            self._apply(row)
        self._version = changes.version
        self.known_as_of = asked_at
        self._subscriber.finish()

    def read_all_next(self) -> None:
        """Read the whole table next.

        Takes less than all changes since a read that is long ago.
        """
        self._version = None

    def _apply(self, row: _rows.Row) -> None:
        """Pass on a row; a fault with one must not keep the others away."""
        try:
            self._subscriber.apply(row)
        except Exception:
            _guards.record_error('row', row=row.row_key, version=row.version)

    def _record_outcome(self, is_success: bool) -> None:
        if is_success != self._is_failing:
            return
        self._is_failing = not is_success
        if is_success:
            self._subscriber.resume()
        _LOG.info(
            'table can be read again'
            if is_success
            else 'table cannot be read',
            extra={'table': self._table},
        )
