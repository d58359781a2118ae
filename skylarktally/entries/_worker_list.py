"""The workers that the platform lists, and those that left it recently.

A row that cannot be decoded names no new worker. If its worker is known, the
last good record counts for some seconds more: another writer has left the
row, the worker itself is alive, and its next heartbeat replaces the row. To
drop it at once would start its running work elsewhere.
"""

import collections
from collections.abc import Callable, Mapping
import datetime
import logging
from typing import NamedTuple, Protocol

from skylarktally import _clock
from skylarktally import _errors
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# Departed workers are kept this long; no lease lasts longer.
_DEPARTURE_RETENTION = datetime.timedelta(seconds=20)
# A worker whose row stays unreadable for this long writes no heartbeats: it
# sends one every 1.5 s, and after three missing ones its row is removed.
_UNREADABLE_RETENTION = datetime.timedelta(seconds=5)


class WorkerLayout(Protocol):
    """Decodes the rows of workers."""

    def decode_worker(self, id_: str, value: bytes) -> _work.WorkerRecord:
        """Decode a worker's row; MalformedInput if damaged."""

    def strip_heartbeat(self, value: bytes) -> bytes:
        """Return a worker's row without what each heartbeat changes."""


class DepartedWorker(NamedTuple):
    """A worker whose row has been removed, and when that was seen."""

    record: _work.WorkerRecord
    departed_at: datetime.timedelta


class UnreadableRow(NamedTuple):
    """A row that cannot be decoded, without its heartbeat, and why."""

    # Since when the table could be read and showed no readable row.
    since: datetime.timedelta
    value: bytes
    reason: str


class WorkerList:
    """Subscriber of the table of workers."""

    def __init__(
        self,
        layout: WorkerLayout,
        clock: _clock.Clock,
        wait: Callable[[], None],
    ) -> None:
        """Create an empty list.

        :param wait: waits until the table is to be read again
        """
        self.records: dict[str, _work.WorkerRecord] = {}
        self.unreadable: dict[str, UnreadableRow] = {}
        # When the table was first read; None before that.
        self.known_since: datetime.timedelta | None = None
        self._layout = layout
        self._clock = clock
        self._wait = wait
        # The records by pool, since owners ask ten times a second.
        self._by_pool: dict[str, dict[str, _work.WorkerRecord]] = (
            collections.defaultdict(dict)
        )
        # What the rows of these workers say apart from their heartbeats.
        self._values: dict[str, bytes] = {}
        self._departed: dict[str, DepartedWorker] = {}

    def list_pool(self, pool: str) -> Mapping[str, _work.WorkerRecord]:
        """Return the present workers of a pool by id; it is no copy."""
        return self._by_pool.get(pool, {})

    def list_departed(self, pool: str) -> dict[str, _work.WorkerRecord]:
        """Return the recently departed workers of a pool by id."""
        # A worker with the same instance shows that the departed one has
        # ended.
        alive = {record.instance for record in self.records.values()}
        return {
            id_: departed.record
            for id_, departed in self._departed.items()
            if departed.record.pool == pool
            and (departed.record.instance or None) not in alive
        }

    # Implementation of _followers.Subscriber.

    def retain(self, keys: frozenset[str]) -> None:
        """Drop all workers but these, which a complete read has listed."""
        for id_ in self.records.keys() - keys:
            self._remove(id_)
        for id_ in self.unreadable.keys() - keys:
            del self.unreadable[id_]
        if self.known_since is None:
            self.known_since = self._clock.monotonic()

    def apply(self, row: _rows.Row) -> None:
        """Take over the row of a worker."""
        id_ = row.row_key.key
        if row.is_deleted:
            self.unreadable.pop(id_, None)
            self._remove(id_)
            return
        value = self._layout.strip_heartbeat(row.value)
        if self._values.get(id_) == value:
            # Nearly all rows are heartbeats: each worker of the fleet sends
            # one every 1.5 s, also to entry instances that own no pool.
            self.unreadable.pop(id_, None)
            return
        try:
            record = self._layout.decode_worker(id_, row.value)
        except _errors.MalformedInput as error:
            self._note_unreadable(row, value, str(error))
            return
        self.unreadable.pop(id_, None)
        self._remove(id_)
        self._departed.pop(id_, None)
        self.records[id_] = record
        self._values[id_] = value
        self._by_pool[record.pool][id_] = record

    def resume(self) -> None:
        """Count the time of unreadable rows anew.

        While the store was away, no heartbeat could replace them.
        """
        now = self._clock.monotonic()
        for id_, unreadable in self.unreadable.items():
            self.unreadable[id_] = unreadable._replace(since=now)

    def finish(self) -> None:
        """Remove workers that have no readable row, and wait."""
        self.expire()
        self._wait()

    def expire(self) -> None:
        """Remove the workers whose rows have been unreadable for too long."""
        now = self._clock.monotonic()
        for id_, unreadable in self.unreadable.items():
            if now - unreadable.since > _UNREADABLE_RETENTION:
                self._remove(id_)

    def _remove(self, id_: str) -> None:
        record = self.records.pop(id_, None)
        if record is None:
            return
        del self._values[id_]
        pool_workers = self._by_pool[record.pool]
        del pool_workers[id_]
        if not pool_workers:
            del self._by_pool[record.pool]
        now = self._clock.monotonic()
        self._departed[id_] = DepartedWorker(record, now)
        for known, departed in list(self._departed.items()):
            if now - departed.departed_at > _DEPARTURE_RETENTION:
                del self._departed[known]

    def _note_unreadable(
        self, row: _rows.Row, value: bytes, reason: str
    ) -> None:
        """Note a row; it is logged once, and not with each heartbeat."""
        id_ = row.row_key.key
        known = self.unreadable.get(id_)
        since = self._clock.monotonic() if known is None else known.since
        self.unreadable[id_] = UnreadableRow(since, value, reason)
        if known is None or known.value != value:
            _LOG.error(
                'unreadable row of a worker',
                extra={
                    'worker': id_,
                    'version': row.version,
                    'reason': reason,
                    'keeps_record': id_ in self.records,
                },
            )
