"""Shard leases of a zone, held by its controllers.

Leases only avoid duplicate work. Safety comes from the fencing token, the
version of the lease row, on which the holder conditions each transaction.
"""

import datetime
import functools
import logging
from typing import NamedTuple
import uuid

from returns import result
import xxhash

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _table

log = logging.getLogger(__name__)

SHARDS = 4
# After a longer gap in its reads a candidate watches anew, because in an
# outage of the table the holder cannot beat either.
_WATCH_GAP = datetime.timedelta(seconds=4)
# Time between scans while there is nothing to take. Steps come every second
# and a little late, so that half a second is left for that.
_WATCH_INTERVAL = datetime.timedelta(seconds=1.5)
# A scan that covers all zones tells how many controllers there are. In 16 s
# a live one beats at least three times.
_COUNT_INTERVAL = datetime.timedelta(seconds=16)
# The row of a controller that never returns is deleted after this time.
_FORGET_AFTER = datetime.timedelta(minutes=10)


@functools.lru_cache(4096)
def find_shard(pool: str) -> int:
    """Return the shard, of each zone, that a pool belongs to."""
    return xxhash.xxh64_intdigest(pool.encode()) % SHARDS


def format_heartbeat_key(zone: str, controller: str) -> str:
    """Return the key of a beat, next to the leases of its zone.

    One scan of the zone's prefix thus reads leases and beats.
    """
    return f'lease/{zone}/beat/{controller}'


class LeaseTimes(NamedTuple):
    """Times of the lease protocol, the same for all controllers."""

    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=4)
    # Since the last beat. The difference to the expiry covers pauses of the
    # holder and the drift between clocks.
    hold: datetime.timedelta = datetime.timedelta(seconds=8)
    expiry: datetime.timedelta = datetime.timedelta(seconds=12)


class _Sighting(NamedTuple):
    """A lease and its holder's beat, unchanged since a time."""

    lease_version: int
    beat_version: int
    since: datetime.timedelta


class ShardLeases:
    """The leases of a zone as one controller sees and takes them."""

    def __init__(
        self,
        table: _table.Table,
        clock: _clock.Clock,
        zone: str,
        controller: str,
        incarnation: int,
        times: LeaseTimes | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._prefix = f'lease/{zone}/'
        self._controller = controller
        self._incarnation = incarnation
        self._times = times or LeaseTimes()
        self._beat_key = format_heartbeat_key(zone, controller)
        self._beat_version: int | None = None
        self._count = 0
        # Monotonic times; None before the first success.
        self._beat_at: datetime.timedelta | None = None
        self._scanned_at: datetime.timedelta | None = None
        self._held: dict[int, int] = {}
        self._sightings: dict[int, _Sighting] = {}
        # Whether a lease was taken in the last step; there may be more.
        self._taking = False
        self._counted_at: datetime.timedelta | None = None
        # Beat rows of all zones: their version and since when they have it.
        self._beats: dict[str, tuple[int, datetime.timedelta]] = {}
        # Controllers of all zones at the last count, the own one included;
        # None until they were counted.
        self.live_controller_count: int | None = None
        # Whether the last scan succeeded.
        self.is_table_reachable = False
        self._stopped = False

    def renew(self) -> None:
        """Take one step: beat when due, watch, take at most one lease."""
        if self._stopped:
            return
        now = self._clock.monotonic()
        if (
            self._beat_at is None
            or now - self._beat_at >= self._times.heartbeat_interval
        ):
            self._beat(now)
        self._watch(now)

    def holds(self, shard: int) -> bool:
        """Tell whether this controller may act for a shard now."""
        return (
            shard in self._held
            and self._beat_at is not None
            and self._clock.monotonic() - self._beat_at < self._times.hold
        )

    def find_fencing_condition(self, shard: int) -> _table.Condition | None:
        """Return the condition for transactions on behalf of a shard."""
        if not self.holds(shard):
            return None
        return _table.Condition(f'{self._prefix}{shard}', self._held[shard])

    def release(self) -> None:
        """Give all leases back, so that no one has to wait for expiry."""
        held, self._held = self._held, {}
        self._stopped = True
        for shard, version in held.items():
            self._commit(f'{self._prefix}{shard}', version, None)
        if self._beat_version:
            self._commit(self._beat_key, self._beat_version, None)

    def _beat(self, sent_at: datetime.timedelta) -> None:
        if self._beat_version is None and not self._adopt_beat():
            return
        value = {'incarnation': self._incarnation, 'count': self._count + 1}
        written = self._commit(self._beat_key, self._beat_version or 0, value)
        if isinstance(written, result.Success):
            self._count += 1
            self._beat_version = written.unwrap()
            self._beat_at = sent_at
        elif written.failure().kind in (
            _errors.ErrorKind.CONFLICT,
            _errors.ErrorKind.OUTCOME_UNKNOWN,
        ):
            # The row tells whether the write took effect; read it anew.
            self._beat_version = None

    def _adopt_beat(self) -> bool:
        """Find the version of the own beat row; False when unknown."""
        read = self._table.read(self._beat_key)
        if not isinstance(read, result.Success):
            return False
        row = read.unwrap()
        self._beat_version = row.version if row else 0
        if row is None:
            return True
        if row.value['incarnation'] > self._incarnation:
            log.warning('a newer process runs as %s', self._controller)
            self._stopped = True
            self._held.clear()
            return False
        if row.value['incarnation'] == self._incarnation:
            self._count = max(self._count, row.value['count'])
        return True

    def _watch(self, now: datetime.timedelta) -> None:
        seen = self._scanned_at
        if seen and not self._taking and now - seen < _WATCH_INTERVAL:
            return
        counting = (
            self._counted_at is None
            or now - self._counted_at >= _COUNT_INTERVAL
        )
        scanned = self._table.scan('lease/' if counting else self._prefix)
        self.is_table_reachable = isinstance(scanned, result.Success)
        if not isinstance(scanned, result.Success):
            return
        now = self._clock.monotonic()
        if self._scanned_at is None or now - self._scanned_at > _WATCH_GAP:
            self._sightings.clear()
        self._scanned_at = now
        rows = {row.key: row for row in scanned.unwrap()}
        if counting:
            self._count_controllers(rows, now)
        self._read_held(rows)
        self._taking = False
        for shard in self._order_shards():
            row = rows.get(f'{self._prefix}{shard}')
            if shard not in self._held and self._is_free(shard, row, rows):
                self._taking = True
                self._take(shard, row)
                return

    def _count_controllers(
        self, rows: dict[str, _table.Row], now: datetime.timedelta
    ) -> None:
        """Count the beats that have changed, and drop one long unchanged.

        A row seen for the first time counts, so that the number is never
        too low because a process has just started.
        """
        self._counted_at = now
        beats = {k: row for k, row in rows.items() if '/beat/' in k}
        former, self._beats = self._beats, {}
        for key, row in beats.items():
            known = former.get(key)
            same = known is not None and known[0] == row.version
            since = known[1] if known and same else now
            self._beats[key] = (row.version, since)
        self.live_controller_count = sum(
            since == now or key == self._beat_key
            for key, (_, since) in self._beats.items()
        )
        for key, (version, since) in self._beats.items():
            if now - since >= _FORGET_AFTER:
                self._commit(key, version, None)
                return

    def _read_held(self, rows: dict[str, _table.Row]) -> None:
        own = {'holder': self._controller, 'incarnation': self._incarnation}
        held = {
            shard: row.version
            for shard in range(SHARDS)
            if (row := rows.get(f'{self._prefix}{shard}')) and row.value == own
        }
        for shard in sorted(self._held.keys() - held.keys()):
            log.warning('lost the lease %s%d', self._prefix, shard)
        self._held = held

    def _is_free(
        self,
        shard: int,
        row: _table.Row | None,
        rows: dict[str, _table.Row],
    ) -> bool:
        if row is None:
            return True
        beat = rows.get(f'{self._prefix}beat/{row.value["holder"]}')
        alive = (
            beat is not None
            and beat.value['incarnation'] == row.value['incarnation']
        )
        beat_version = beat.version if beat is not None and alive else 0
        now = self._clock.monotonic()
        seen = self._sightings.get(shard)
        if seen is None or seen[:2] != (row.version, beat_version):
            seen = _Sighting(row.version, beat_version, now)
            self._sightings[shard] = seen
        return now - seen.since >= self._times.expiry

    def _take(self, shard: int, row: _table.Row | None) -> None:
        if self._beat_at is None:
            return
        key = f'{self._prefix}{shard}'
        value = {'holder': self._controller, 'incarnation': self._incarnation}
        taken = self._commit(key, row.version if row else 0, value)
        if isinstance(taken, result.Success):
            self._held[shard] = taken.unwrap()
            self._sightings.pop(shard, None)
            log.info('took the lease %s', key)

    def _order_shards(self) -> list[int]:
        """Return the shards in an order of this controller's own.

        Controllers that start together thus seldom try the same shard.
        """
        return sorted(
            range(SHARDS),
            key=lambda shard: xxhash.xxh64_intdigest(
                f'{self._controller}/{shard}'.encode()
            ),
        )

    def _commit(
        self, key: str, version: int, value: dict | None
    ) -> result.Result[int, _errors.Failure]:
        return self._table.commit(
            _table.Transaction(
                str(uuid.uuid4()),
                (_table.Condition(key, version),),
                (_table.Write(key, value),),
            )
        )
