"""Which pools may hold jobs of a queue.

A job stays in the pool that accepted it when its queue is configured to use
another one. Before a pool accepts the first job of a queue, its owner adds the
pool to the stored list of that queue, so that every later owner knows which
other pools may have accepted a job that is submitted again.
"""

from collections.abc import Iterable
import datetime
import hashlib
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# Former pools are asked for this long after the owner has learned of them. By
# then no caller submits a job again that they have accepted, and they have
# forgotten those that have ended.
_INQUIRY_PERIOD = datetime.timedelta(seconds=150)
# Stands for all pools in the list of a queue whose row cannot be read.
_ANY_POOL = ''
# Claims of one queue by several owners at the same time.
_MAX_ATTEMPTS = 5


class _Entry(NamedTuple):
    """Stored pools of a queue, and since when this owner knows them."""

    row: _records.QueuePools
    # Version of the row; 0 if there is none.
    row_version: int
    known_since: datetime.timedelta


def make_queue_id(queue: _work.Queue) -> str:
    """Return the id of a queue: callers know it by its host and prefix."""
    location = f'{queue.host}\0{queue.prefix}'
    return hashlib.sha256(location.encode()).hexdigest()[:32]


class QueueRegistry:
    """The queues of one pool, for the duration of one term."""

    def __init__(
        self, store: _rows.Store, clock: _clock.Clock, pool: str
    ) -> None:
        self._store = store
        self._clock = clock
        self._pool = pool
        # By queue id; None until the table has been read.
        self._entries: dict[str, _Entry] | None = None
        # Latest configuration known to send a queue to another pool.
        self._moved: dict[str, int] = {}
        self._lock = _loop.Semaphore()

    def claim(
        self, queue: _work.Queue, version: int, pools: Iterable[str]
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Make this pool the one that accepts jobs of a queue.

        :param version: of the configuration that sends the queue here
        :param pools: all pools, for a queue whose row cannot be read
        :return: other pools that may hold jobs of the queue; LEASE_LOST if
            the row cannot be written, or a later configuration has sent the
            queue elsewhere
        """
        id_ = make_queue_id(queue)
        if not self._serves(id_):
            with self._lock:
                outcome = self._claim(queue, version, pools)
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
        return result.Success(self._list_others(id_, pools))

    def _claim(
        self, queue: _work.Queue, version: int, pools: Iterable[str]
    ) -> result.Result[None, _errors.Failure]:
        id_ = make_queue_id(queue)
        for _ in range(_MAX_ATTEMPTS):
            outcome = self._load()
            if not isinstance(outcome, result.Success) or self._serves(id_):
                return outcome
            outcome = self._write(queue, version, pools)
            if not isinstance(outcome, result.Success):
                return outcome
        return _fail('other pools claim the queue at the same time')

    def load(self) -> None:
        """Read the rows of all queues ahead of the first request."""
        with self._lock:
            self._load()

    def list_others(
        self, queue: _work.Queue, pools: Iterable[str]
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Return the other pools that may hold jobs of a queue.

        :param pools: all pools, for a queue whose row cannot be read
        """
        with self._lock:
            loaded = self._load()
        id_ = make_queue_id(queue)
        return loaded.map(lambda _: self._list_others(id_, pools))

    def note_move(self, queue_id: str, version: int) -> None:
        """Note that a configuration sends a queue to another pool."""
        if version > self._moved.get(queue_id, 0):
            self._moved[queue_id] = version
            # The other pool has written the row; the queue may come back.
            self._entries = None

    def accepts(self, queue: _work.Queue, version: int) -> bool:
        """Tell whether jobs of a queue may be accepted.

        False if another pool already accepts them.

        :param version: of the configuration that sends the queue here
        """
        return version >= self._moved.get(make_queue_id(queue), 0)

    def _serves(self, id_: str) -> bool:
        entry = (self._entries or {}).get(id_)
        return entry is not None and entry.row.pools[-1] == self._pool

    def _list_others(self, id_: str, pools: Iterable[str]) -> tuple[str, ...]:
        entry = (self._entries or {}).get(id_)
        if entry is None:
            return ()
        if self._clock.monotonic() - entry.known_since > _INQUIRY_PERIOD:
            return ()
        return self._select_others(entry.row, pools)

    def _select_others(
        self, row: _records.QueuePools, pools: Iterable[str]
    ) -> tuple[str, ...]:
        listed = pools if _ANY_POOL in row.pools else row.pools
        return tuple(pool for pool in listed if pool != self._pool)

    def _load(self) -> result.Result[None, _errors.Failure]:
        """Read the rows of all queues, unless they have been read."""
        if self._entries is not None:
            return result.Success(None)
        outcome = self._store.read(_records.QUEUES, _records.QUEUES)
        if not isinstance(outcome, result.Success):
            return _fail('the pools of the queues cannot be read')
        now = self._clock.monotonic()
        self._entries = {
            row.row_key.key: _Entry(_decode(row), row.version, now)
            for row in outcome.unwrap().rows
        }
        return result.Success(None)

    def _write(
        self, queue: _work.Queue, version: int, pools: Iterable[str]
    ) -> result.Result[None, _errors.Failure]:
        """Add this pool to a row, unless another owner has changed the row."""
        id_ = make_queue_id(queue)
        entry = (self._entries or {}).get(id_)
        row = _records.QueuePools(0, ()) if entry is None else entry.row
        if row.version > version:
            return _fail('a later configuration sends the queue elsewhere')
        others = self._select_others(row, pools)
        record = _records.QueuePools(version, (*others, self._pool))
        key = _rows.RowKey(_records.QUEUES, _records.QUEUES, id_)
        outcome = self._store.commit(
            _rows.Transaction(
                ((key, entry.row_version if entry else 0),),
                ((key, _records.encode_queue_pools(record)),),
            )
        )
        if not isinstance(outcome, result.Success):
            # It may have been written.
            self._entries = None
            return _fail('the pools of the queue cannot be written')
        committed = outcome.unwrap()
        if not committed.is_applied or self._entries is None:
            self._entries = None
            return result.Success(None)
        now = self._clock.monotonic()
        self._entries[id_] = _Entry(record, committed.version, now)
        _LOG.info(
            'queue claimed',
            extra={
                'queue': queue.name,
                'pool': self._pool,
                'version': version,
                'others': others,
            },
        )
        return result.Success(None)


def _decode(row: _rows.Row) -> _records.QueuePools:
    """Return the pools of a row; any pool may be listed in a damaged one."""
    try:
        return _records.decode_queue_pools(row.value)
    except _errors.MalformedInput as error:
        _LOG.error(
            'unreadable row',
            extra={'row': row.row_key, 'reason': str(error)},
        )
        return _records.QueuePools(0, (_ANY_POOL,))


def _fail(message: str) -> result.Result[Any, _errors.Failure]:
    kind = _errors.ErrorKind.LEASE_LOST
    return result.Failure(_errors.Failure(kind, message))
