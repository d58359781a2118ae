"""Leases on the shards of a zone, held by its controllers.

Leases only avoid duplicate work. Safety comes from the fencing token: the
holder conditions each transaction on the version of the lease row.
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
# If more time than this passes between two scans, a candidate restarts the
# expiry times of all leases: in an outage of the table the holders can't
# write heartbeats either.
_MAX_SCAN_GAP = datetime.timedelta(seconds=4)
# Minimum time between scans while no lease is free. Steps run every second,
# so every second step scans; half a second allows for steps that run late.
_SCAN_INTERVAL = datetime.timedelta(seconds=1.5)
# Time between scans of all zones, which count the live controllers. In 16 s
# a live controller writes at least three heartbeats.
_COUNT_INTERVAL = datetime.timedelta(seconds=16)
# A heartbeat row that hasn't changed for this long is deleted.
_DELETE_AFTER = datetime.timedelta(minutes=10)


@functools.lru_cache(4096)
def find_shard(pool: str) -> int:
    """Return the number of the shard that a pool belongs to in each zone."""
    return xxhash.xxh64_intdigest(pool.encode()) % SHARDS


def format_heartbeat_key(zone: str, controller: str) -> str:
    """Return the key of a controller's heartbeat row.

    It has the same prefix as the leases of its zone, so one scan reads
    both.
    """
    return f'lease/{zone}/beat/{controller}'


class LeaseTimes(NamedTuple):
    """Times of the lease protocol; must be the same for all controllers."""

    heartbeat_interval: datetime.timedelta = datetime.timedelta(seconds=4)
    # How long a holder may act after its last heartbeat. The difference to
    # the expiry covers pauses of the holder and the drift between clocks.
    hold: datetime.timedelta = datetime.timedelta(seconds=8)
    # How long a candidate must see no heartbeat before it takes a lease.
    expiry: datetime.timedelta = datetime.timedelta(seconds=12)


class _Observation(NamedTuple):
    """Versions of a lease and its holder's heartbeat row."""

    lease_version: int
    # 0 if the holder's incarnation has no heartbeat row.
    heartbeat_version: int
    # Monotonic time since which neither version has changed.
    since: datetime.timedelta


class ShardLeases:
    """Takes and renews leases of a zone for one controller.

    :param incarnation: start time of the process in nanoseconds since the
        epoch; a newer process of the same name replaces this one
    """

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
        self._heartbeat_key = format_heartbeat_key(zone, controller)
        self._heartbeat_version: int | None = None
        self._heartbeat_count = 0
        # Monotonic times at which the last successful heartbeat was sent
        # and the last successful scan ended; None before the first one.
        self._last_heartbeat_at: datetime.timedelta | None = None
        self._scanned_at: datetime.timedelta | None = None
        # Version of the lease row of each shard that is held.
        self._held: dict[int, int] = {}
        self._observations: dict[int, _Observation] = {}
        # Whether the last step tried to take a lease. If so, the next step
        # scans again at once, since more leases may be free.
        self._tried_to_take = False
        self._counted_at: datetime.timedelta | None = None
        # Version of each heartbeat row of all zones, and the monotonic time
        # since which it has had this version.
        self._heartbeats: dict[str, tuple[int, datetime.timedelta]] = {}
        # Live controllers of all zones at the last count, including this
        # one; None before the first count.
        self.live_controller_count: int | None = None
        # Whether the last scan succeeded.
        self.is_table_reachable = False
        self._stopped = False

    def renew(self) -> None:
        """Run one step of the lease protocol.

        Writes a heartbeat if due, scans the leases if due and takes at most
        one that is free.
        """
        if self._stopped:
            return
        now = self._clock.monotonic()
        if (
            self._last_heartbeat_at is None
            or now - self._last_heartbeat_at >= self._times.heartbeat_interval
        ):
            self._write_heartbeat(now)
        self._scan_leases(now)

    def holds(self, shard: int) -> bool:
        """Return whether this controller may act for a shard now."""
        return (
            shard in self._held
            and self._last_heartbeat_at is not None
            and self._clock.monotonic() - self._last_heartbeat_at
            < self._times.hold
        )

    def find_fencing_condition(self, shard: int) -> _table.Condition | None:
        """Return the condition for transactions on behalf of a shard.

        It requires that the lease row still has the version at which this
        controller holds it. Returns None if the lease isn't held.
        """
        if not self.holds(shard):
            return None
        return _table.Condition(f'{self._prefix}{shard}', self._held[shard])

    def release(self) -> None:
        """Delete all held leases, so others can take them without waiting.

        Further calls of ``renew`` do nothing.
        """
        held, self._held = self._held, {}
        self._stopped = True
        for shard, version in held.items():
            self._commit(f'{self._prefix}{shard}', version, None)
        if self._heartbeat_version:
            self._commit(self._heartbeat_key, self._heartbeat_version, None)

    def _write_heartbeat(self, sent_at: datetime.timedelta) -> None:
        if self._heartbeat_version is None and not self._read_own_heartbeat():
            return
        value = {
            'incarnation': self._incarnation,
            'count': self._heartbeat_count + 1,
        }
        written = self._commit(
            self._heartbeat_key, self._heartbeat_version or 0, value
        )
        if isinstance(written, result.Success):
            self._heartbeat_count += 1
            self._heartbeat_version = written.unwrap()
            self._last_heartbeat_at = sent_at
        elif written.failure().kind in (
            _errors.ErrorKind.CONFLICT,
            _errors.ErrorKind.OUTCOME_UNKNOWN,
        ):
            # Whether the write took effect is unknown: read the row before
            # the next heartbeat.
            self._heartbeat_version = None

    def _read_own_heartbeat(self) -> bool:
        """Read the version of the own heartbeat row.

        Returns False if it can't be read, or if a newer process uses the
        same name; this process then stops.
        """
        read = self._table.read(self._heartbeat_key)
        if not isinstance(read, result.Success):
            return False
        row = read.unwrap()
        self._heartbeat_version = row.version if row else 0
        if row is None:
            return True
        if row.value['incarnation'] > self._incarnation:
            log.warning(
                'a newer process uses the name %s; stopped renewing leases',
                self._controller,
            )
            self._stopped = True
            self._held.clear()
            return False
        if row.value['incarnation'] == self._incarnation:
            self._heartbeat_count = max(
                self._heartbeat_count, row.value['count']
            )
        return True

    def _scan_leases(self, now: datetime.timedelta) -> None:
        seen = self._scanned_at
        if seen and not self._tried_to_take and now - seen < _SCAN_INTERVAL:
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
        if self._scanned_at is None or now - self._scanned_at > _MAX_SCAN_GAP:
            self._observations.clear()
        self._scanned_at = now
        rows = {row.key: row for row in scanned.unwrap()}
        if counting:
            self._count_controllers(rows, now)
        self._update_held(rows)
        self._tried_to_take = False
        for shard in self._order_shards():
            row = rows.get(f'{self._prefix}{shard}')
            if shard not in self._held and self._is_free(shard, row, rows):
                self._tried_to_take = True
                self._take(shard, row)
                return

    def _count_controllers(
        self, rows: dict[str, _table.Row], now: datetime.timedelta
    ) -> None:
        """Count the live controllers and delete at most one stale row.

        A controller is live if its heartbeat has changed since the last
        count. A row seen for the first time counts as changed, so the
        number isn't too low after a process has started.
        """
        self._counted_at = now
        heartbeats = {k: row for k, row in rows.items() if '/beat/' in k}
        former, self._heartbeats = self._heartbeats, {}
        for key, row in heartbeats.items():
            known = former.get(key)
            same = known is not None and known[0] == row.version
            since = known[1] if known and same else now
            self._heartbeats[key] = (row.version, since)
        self.live_controller_count = sum(
            since == now or key == self._heartbeat_key
            for key, (_, since) in self._heartbeats.items()
        )
        for key, (version, since) in self._heartbeats.items():
            if now - since >= _DELETE_AFTER:
                self._commit(key, version, None)
                return

    def _update_held(self, rows: dict[str, _table.Row]) -> None:
        own = {'holder': self._controller, 'incarnation': self._incarnation}
        held = {
            shard: row.version
            for shard in range(SHARDS)
            if (row := rows.get(f'{self._prefix}{shard}')) and row.value == own
        }
        for shard in sorted(self._held.keys() - held.keys()):
            log.warning('lost lease %s%d', self._prefix, shard)
        self._held = held

    def _is_free(
        self,
        shard: int,
        row: _table.Row | None,
        rows: dict[str, _table.Row],
    ) -> bool:
        if row is None:
            return True
        heartbeat = rows.get(f'{self._prefix}beat/{row.value["holder"]}')
        alive = (
            heartbeat is not None
            and heartbeat.value['incarnation'] == row.value['incarnation']
        )
        heartbeat_version = (
            heartbeat.version if heartbeat is not None and alive else 0
        )
        now = self._clock.monotonic()
        seen = self._observations.get(shard)
        if seen is None or seen[:2] != (row.version, heartbeat_version):
            seen = _Observation(row.version, heartbeat_version, now)
            self._observations[shard] = seen
        return now - seen.since >= self._times.expiry

    def _take(self, shard: int, row: _table.Row | None) -> None:
        if self._last_heartbeat_at is None:
            return
        key = f'{self._prefix}{shard}'
        value = {'holder': self._controller, 'incarnation': self._incarnation}
        taken = self._commit(key, row.version if row else 0, value)
        if isinstance(taken, result.Success):
            self._held[shard] = taken.unwrap()
            self._observations.pop(shard, None)
            log.info('took lease %s', key)

    def _order_shards(self) -> list[int]:
        """Return the shards in an order that depends on the controller.

        Controllers that start together therefore rarely try to take the
        same shard.
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
