"""Orders on instances: maintenance waves and moves between pools.

One entry does this for all pools. It has the owner of each pool empty a
worker before it takes the instance down, and it takes an instance for down
from the order on until the platform lists it as up again.
"""

from collections.abc import Callable, Mapping
import datetime
import json
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# The shard of this duty; the rows of the operator have no partition either.
SHARD = ''
_TABLE = 'maintenance'
_INTERVAL = datetime.timedelta(seconds=0.2)
_WRITE_TIMEOUT = datetime.timedelta(seconds=3)
# A move that is not listed as made after this has not been made.
_MOVE_LIMIT = datetime.timedelta(seconds=5)
# The platform may list an instance as up for this long after the order.
_LIST_LAG = datetime.timedelta(seconds=1)
# Instances that are emptied ahead of time, beside those that are down.
_AHEAD = 2
_UP = 'up'


class Waves(Protocol):
    """How the operator learns the state of a wave."""

    def place_wave_status(self, wave: int) -> _rows.RowKey:
        """Return the row of the state."""

    def encode_wave_status(self, wave: int, is_completed: bool) -> bytes:
        """Return the value of the row."""


class Surroundings(NamedTuple):
    """What the duty asks of the other parts of the system."""

    get_waves: Callable[[], Mapping[int, _work.Wave]]
    get_configuration: Callable[[], _work.Configuration | None]
    # Empties a worker of a pool; tells whether it is empty.
    vacate: Callable[[str, str], bool]
    # Returns the load of a pool, given what it could be lent in millicores;
    # None if its owner does not answer.
    measure: Callable[[str, int], _lending.PoolLoad | None]


class _Motion(NamedTuple):
    """Where an instance goes, and when that was ordered."""

    pool: str
    at: datetime.timedelta


class Turn(NamedTuple):
    """What to do next for a wave."""

    # Instances to empty and to take down once they are empty.
    instances: tuple[_work.InstanceRecord, ...]
    # How many of them may go down now.
    allowance: int
    is_completed: bool


def plan_turn(
    wave: _work.Wave,
    listed: Mapping[str, _work.InstanceRecord],
    done: Mapping[str, datetime.timedelta],
    now: datetime.timedelta,
) -> Turn:
    """Return what to do next for a wave.

    :param listed: the platform's list of instances by id
    :param done: when each instance of the wave was ordered down
    """
    down = 0
    waiting: list[_work.InstanceRecord] = []
    is_open = False
    for id_ in wave.instances:
        record = listed.get(id_)
        if id_ in done:
            is_fresh = now - done[id_] < _LIST_LAG
            down += is_fresh or (record is not None and record.state != _UP)
        elif record is not None:
            is_open = True
            if record.state == _UP:
                waiting.append(record)
    ranked = sorted(waiting, key=lambda record: _rank(record, waiting))
    allowance = max(wave.limit - down, 0)
    return Turn(tuple(ranked[: allowance + _AHEAD]), allowance, not is_open)


def _rank(
    record: _work.InstanceRecord, others: list[_work.InstanceRecord]
) -> tuple[int, str]:
    """Return a key that takes the pools in turn."""
    position = sum(
        other.pool == record.pool and other.id < record.id for other in others
    )
    return position, record.pool


class Maintenance:
    """Carries out the waves for the time of one term."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        store: _rows.Store,
        instances: _orders.Instances,
        waves: Waves,
        clock: _clock.Clock,
        holder: str,
    ) -> None:
        self.ledger = ledger
        self._store = store
        self._instances = instances
        self._waves = waves
        self._clock = clock
        self._holder = holder
        self._done: dict[int, dict[str, datetime.timedelta]] = {}
        self._statuses: dict[int, bool] = {}
        self._lender = _lending.Lender()
        # Pool that each instance goes to, and when that was ordered.
        self._moving: dict[str, _Motion] = {}

    def run(self, surroundings: Surroundings) -> None:
        """Carry out waves and moves until the term ends."""
        _loop.spawn_guarded(self.ledger.run)
        try:
            self._run(surroundings)
        finally:
            # After an error another entry, or a new term, takes over.
            self.ledger.end()

    def _run(self, surroundings: Surroundings) -> None:
        if not self._load():
            return
        while not self.ledger.is_over:
            outcome = self._instances.list_instances()
            if isinstance(outcome, result.Success):
                listed = {record.id: record for record in outcome.unwrap()}
                for wave in list(surroundings.get_waves().values()):
                    if not self._statuses.get(wave.id, False):
                        self._advance(wave, listed, surroundings.vacate)
                self._lend(listed, surroundings)
            self._clock.sleep(_INTERVAL)

    def _load(self) -> bool:
        while not self.ledger.is_over:
            outcome = self._store.read(_TABLE, SHARD)
            if isinstance(outcome, result.Success):
                now = self._clock.monotonic()
                for row in outcome.unwrap().rows:
                    done = json.loads(row.value)
                    # Their orders may have been given just now.
                    self._done[int(row.place.key)] = dict.fromkeys(done, now)
                return True
            self._clock.sleep(_INTERVAL)
        return False

    def _lend(
        self,
        listed: Mapping[str, _work.InstanceRecord],
        surroundings: Surroundings,
    ) -> None:
        """Move instances to where the demand is."""
        configuration = surroundings.get_configuration()
        if configuration is None or not self.ledger.may_order():
            return
        self._settle_moves(listed)
        standby = frozenset(
            pool.name for pool in configuration.pools if pool.is_standby
        )
        lendable = _lending.count_lendable(listed.values(), standby)
        loads = {}
        for pool in configuration.pools:
            if pool.is_standby:
                continue
            load = surroundings.measure(pool.name, lendable)
            if load is not None:
                loads[pool.name] = load
        targets = {id_: item.pool for id_, item in self._moving.items()}
        now = self._clock.monotonic()
        moves = self._lender.plan(
            loads, listed.values(), standby, targets, now
        )
        for instance, target in moves:
            is_empty = not instance.worker or surroundings.vacate(
                instance.pool, instance.worker
            )
            if is_empty and not self._move(instance, target):
                return

    def _settle_moves(
        self, listed: Mapping[str, _work.InstanceRecord]
    ) -> None:
        """Forget moves that the platform lists as made, or that failed."""
        now = self._clock.monotonic()
        for id_, motion in list(self._moving.items()):
            record = listed.get(id_)
            is_there = (
                record is not None
                and record.pool == motion.pool
                and record.state == _UP
            )
            if is_there or now - motion.at >= _MOVE_LIMIT:
                del self._moving[id_]

    def _move(self, instance: _work.InstanceRecord, pool: str) -> bool:
        """Order a move; False if no more orders may be given."""
        if not self.ledger.may_order():
            return False
        outcome = self._instances.move(
            instance.id, pool, self._holder, self.ledger.token
        )
        now = self._clock.monotonic()
        rejection = None
        if isinstance(outcome, result.Success):
            rejection = outcome.unwrap().rejection
        _LOG.info(
            'move ordered',
            extra={
                'instance': instance.id,
                'from': instance.pool,
                'to': pool,
                'rejection': rejection and rejection.value,
                'is_known': isinstance(outcome, result.Success),
            },
        )
        if rejection is _orders.Rejection.FENCED:
            self.ledger.end()
            return False
        if rejection is None:
            self._moving[instance.id] = _Motion(pool, now)
        return True

    def _advance(
        self,
        wave: _work.Wave,
        listed: Mapping[str, _work.InstanceRecord],
        vacate: Callable[[str, str], bool],
    ) -> None:
        done = self._done.setdefault(wave.id, {})
        turn = plan_turn(wave, listed, done, self._clock.monotonic())
        self._report(wave.id, turn.is_completed)
        allowance = turn.allowance
        for record in turn.instances:
            # An instance that is off has no worker.
            is_empty = not record.worker or vacate(record.pool, record.worker)
            if not is_empty or not allowance:
                continue
            allowance -= 1
            if not self._take_down(wave, record):
                return

    def _take_down(
        self, wave: _work.Wave, record: _work.InstanceRecord
    ) -> bool:
        """Order an instance down; False if no more orders may be given."""
        if not self.ledger.may_order():
            return False
        done = self._done[wave.id]
        done[record.id] = self._clock.monotonic()
        outcome = self._instances.maintain(
            record.id, wave.id, self._holder, self.ledger.token
        )
        rejection = None
        if isinstance(outcome, result.Success):
            rejection = outcome.unwrap().rejection
        elif outcome.failure().kind is not _errors.ErrorKind.OUTCOME_UNKNOWN:
            del done[record.id]
            return True
        _LOG.info(
            'maintenance ordered',
            extra={
                'wave': wave.id,
                'instance': record.id,
                'worker': record.worker,
                'rejection': rejection and rejection.value,
                'is_known': isinstance(outcome, result.Success),
            },
        )
        if rejection is _orders.Rejection.FENCED:
            self.ledger.end()
            return False
        if rejection is not None or not isinstance(outcome, result.Success):
            del done[record.id]
            return True
        self._store_done(wave.id)
        return True

    def _store_done(self, wave: int) -> None:
        place = _rows.RowKey(_TABLE, SHARD, str(wave))
        value = json.dumps(sorted(self._done[wave])).encode()
        self.ledger.write([(place, value)], _WRITE_TIMEOUT, _ignore)

    def _report(self, wave: int, is_completed: bool) -> None:
        """Tell the operator the state of a wave, once."""
        if self._statuses.get(wave) == is_completed:
            return
        place = self._waves.place_wave_status(wave)
        value = self._waves.encode_wave_status(wave, is_completed)
        fate = self.ledger.write([(place, value)], _WRITE_TIMEOUT, _ignore)
        if fate is _ledger.Fate.APPLIED:
            self._statuses[wave] = is_completed
            _LOG.info(
                'wave completed' if is_completed else 'wave begun',
                extra={'wave': wave},
            )


def _ignore(fate: _ledger.Fate) -> None:
    """Take the fate of a write whose caller waits for it anyway."""
    del fate
