"""Orders on instances: maintenance waves and moves between pools.

One entry instance does this for all pools, as the holder of a term of its own.
It asks the owner of the pool to evacuate a worker before it orders the
instance down, and counts the instance as down from the order until the
platform lists it as up again.
"""

from collections.abc import Callable, Iterable, Mapping
import datetime
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _waves
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# Shard of the maintenance term. The rows of the operator are in the same
# partition, so that one transaction can write both.
SHARD = ''
_CYCLE_INTERVAL = datetime.timedelta(seconds=0.2)
_WRITE_TIMEOUT = datetime.timedelta(seconds=3)
# A move that the platform does not list after this time has failed.
_MOVE_TIMEOUT = datetime.timedelta(seconds=5)
# The platform accepts some tens of orders a second and answers within some ms.
_CONCURRENT_MOVES = 4
_UP = 'up'

InstancesById = Mapping[str, _work.InstanceRecord]


class WaveStatusLayout(Protocol):
    """Encodes the row in which the operator reads the state of a wave."""

    def make_wave_status_key(self, wave: int) -> _rows.RowKey:
        """Return the key of the row."""

    def encode_wave_status(self, wave: int, is_completed: bool) -> bytes:
        """Return the value of the row."""


class Dependencies(NamedTuple):
    """Functions of the entry instance that maintenance calls."""

    get_waves: Callable[[], Mapping[int, _work.Wave]]
    get_configuration: Callable[[], _work.Configuration | None]
    # Evacuates a worker, given its pool and id; True once it is empty.
    vacate: Callable[[str, str], bool]
    # Returns the load of a pool, given the millicores that it could be lent;
    # None if its owner does not answer.
    measure: Callable[[str, int], _lending.PoolLoad | None]


class _PendingMove(NamedTuple):
    """Target pool of a move, and when the move was ordered."""

    pool: str
    at: datetime.timedelta


class Maintenance:
    """Executes waves and moves for the duration of one term."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        store: _rows.Store,
        instances: _orders.InstanceClient,
        waves: WaveStatusLayout,
        clock: _clock.Clock,
        holder: str,
    ) -> None:
        self.ledger = ledger
        self._store = store
        self._instances = instances
        self._waves = waves
        self._clock = clock
        self._permit = _orders.Permit(
            holder, ledger.token, ledger.find_time_left
        )
        self._progress: dict[int, _waves.WaveProgress] = {}
        self._stored_statuses: dict[int, bool] = {}
        self._lender = _lending.Lender()
        # Unsettled moves by instance.
        self._pending_moves: dict[str, _PendingMove] = {}
        # Instances that no pool needed in the last cycle.
        self._spare_instances: frozenset[str] = frozenset()

    def run(self, dependencies: Dependencies) -> None:
        """Execute waves and moves until the term ends."""
        _loop.spawn_logging_errors(self.ledger.run)
        try:
            self._run(dependencies)
        finally:
            # After an error, another entry instance or a new term takes
            # over.
            self.ledger.end()

    def _run(self, dependencies: Dependencies) -> None:
        if not self._load():
            return
        guard = _guards.Guard('maintenance', self._clock)
        while not self.ledger.is_over:
            guard.attempt(self._list_and_run_cycle, dependencies)
            self._clock.sleep(_CYCLE_INTERVAL)

    def _list_and_run_cycle(self, dependencies: Dependencies) -> None:
        outcome = self._instances.list_instances()
        configuration = dependencies.get_configuration()
        if isinstance(outcome, result.Success) and configuration is not None:
            listed = {record.id: record for record in outcome.unwrap()}
            self._run_cycle(listed, configuration, dependencies)

    def _load(self) -> bool:
        """Load the progress of waves; False when the term ends first."""
        while not self.ledger.is_over:
            outcome = self._store.read(_records.MAINTENANCE, SHARD)
            if isinstance(outcome, result.Success):
                for row in outcome.unwrap().rows:
                    self._restore(row)
                return True
            self._clock.sleep(_CYCLE_INTERVAL)
        return False

    def _restore(self, row: _rows.Row) -> None:
        try:
            record = _records.decode_wave(row.value)
            wave = _records.parse_wave_key(row.row_key.key)
        except _errors.MalformedInput as error:
            _LOG.error(
                'unreadable row',
                extra={'row': row.row_key, 'reason': str(error)},
            )
            return
        now = self._clock.monotonic()
        age = self._clock.now().timestamp() - record.began_at_ms / 1000
        self._progress[wave] = _waves.WaveProgress(
            now - datetime.timedelta(seconds=max(age, 0)),
            # The orders may be recent: the platform may not list the
            # instances as down yet.
            dict.fromkeys(record.done, now),
            {},
        )

    def _run_cycle(
        self,
        listed: InstancesById,
        configuration: _work.Configuration,
        dependencies: Dependencies,
    ) -> None:
        """Move instances between pools by load, then advance the waves."""
        waves = [
            wave
            for wave in dependencies.get_waves().values()
            if not self._stored_statuses.get(wave.id, False)
        ]
        if not self.ledger.holds_term():
            return
        self._remove_settled_moves(listed)
        standby = frozenset(
            pool.name for pool in configuration.pools if pool.is_standby
        )
        moving = {id_: item.pool for id_, item in self._pending_moves.items()}
        lendable = _lending.count_lendable(
            [pool.name for pool in configuration.pools if not pool.is_standby],
            listed.values(),
            self._spare_instances,
            moving,
        )
        loads = _measure_all(lendable, dependencies.measure)
        plan = self._lender.plan(
            loads,
            listed.values(),
            standby,
            moving,
            self._clock.monotonic(),
            self._list_remaining(waves),
        )
        self._spare_instances = plan.spare
        self._order_moves(plan.moves, dependencies.vacate)
        fleet_usage = _waves.FleetUsage(
            _find_usage(listed, loads), plan.spare, self._pending_moves
        )
        for wave in waves:
            self._advance_wave(wave, listed, fleet_usage, dependencies.vacate)

    def _list_remaining(self, waves: list[_work.Wave]) -> frozenset[str]:
        """Return the instances that waves still have to take down."""
        return frozenset(
            id_
            for wave in waves
            for id_ in wave.instances
            if id_ not in self._find_progress(wave.id).done
        )

    def _find_progress(self, wave: int) -> _waves.WaveProgress:
        now = self._clock.monotonic()
        return self._progress.setdefault(
            wave, _waves.WaveProgress(now, {}, {})
        )

    def _remove_settled_moves(self, listed: InstancesById) -> None:
        """Remove moves that the platform lists as made, or that timed out."""
        now = self._clock.monotonic()
        for id_, move in list(self._pending_moves.items()):
            record = listed.get(id_)
            is_there = (
                record is not None
                and record.pool == move.pool
                and record.state == _UP
            )
            if is_there or now - move.at >= _MOVE_TIMEOUT:
                del self._pending_moves[id_]

    def _order_moves(
        self,
        moves: Iterable[_lending.Move],
        vacate: Callable[[str, str], bool],
    ) -> None:
        """Evacuate and move instances, several at the same time.

        An order whose answer is lost would otherwise hold up the others.
        Those that the platform does not accept now are left for the next
        cycle, and their workers are not evacuated before.
        """
        may_continue = True

        def order(move: _lending.Move) -> None:
            nonlocal may_continue
            instance = move.instance
            if not may_continue:
                return
            if not instance.worker or vacate(instance.pool, instance.worker):
                may_continue &= self._order_move(instance, move.pool)

        # Waits for all of them, and raises what one of them raises.
        list(_loop.GreenPool(_CONCURRENT_MOVES).imap(order, moves))

    def _order_move(self, instance: _work.InstanceRecord, pool: str) -> bool:
        """Order a move; False if no further orders should be sent now."""
        if not self.ledger.holds_term():
            return False
        outcome = self._instances.move(instance.id, pool, self._permit)
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
        elif rejection is None:
            self._pending_moves[instance.id] = _PendingMove(pool, now)
        return rejection not in (
            _orders.Rejection.FENCED,
            _orders.Rejection.UNHEALTHY,
        )

    def _advance_wave(
        self,
        wave: _work.Wave,
        listed: InstancesById,
        fleet_usage: _waves.FleetUsage,
        vacate: Callable[[str, str], bool],
    ) -> None:
        progress = self._find_progress(wave.id)
        wave_plan = _waves.plan_wave(
            wave,
            listed,
            progress,
            fleet_usage,
            self._clock.monotonic(),
        )
        self._store_wave_status(wave.id, wave_plan.is_completed)
        for record in wave_plan.instances:
            # An instance that is off has no worker to evacuate.
            is_empty = not record.worker or vacate(record.pool, record.worker)
            if is_empty and not self._order_maintenance(wave, record):
                return

    def _order_maintenance(
        self, wave: _work.Wave, record: _work.InstanceRecord
    ) -> bool:
        """Order maintenance of an instance; False if the term is lost."""
        if not self.ledger.holds_term():
            return False
        progress = self._find_progress(wave.id)
        # Until the order is answered, the instance may go down at any time.
        earlier_attempt = progress.unconfirmed.get(record.id)
        progress.unconfirmed[record.id] = self._clock.monotonic()
        outcome = self._instances.maintain(record.id, wave.id, self._permit)
        rejection = None
        if isinstance(outcome, result.Success):
            rejection = outcome.unwrap().rejection
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
        if _may_still_apply(outcome):
            return True
        del progress.unconfirmed[record.id]
        if rejection is not None or not isinstance(outcome, result.Success):
            # This says nothing about an earlier order without an answer.
            if earlier_attempt is not None:
                progress.unconfirmed[record.id] = earlier_attempt
            return True
        progress.done[record.id] = self._clock.monotonic()
        self.ledger.write(
            [self._encode_progress(wave.id)], _WRITE_TIMEOUT, _ignore_outcome
        )
        return True

    def _encode_progress(self, wave: int) -> _ledger.Put:
        progress = self._find_progress(wave)
        age = self._clock.monotonic() - progress.begun_at
        began_at = self._clock.now() - age
        record = _records.WaveRecord(
            int(began_at.timestamp() * 1000), tuple(sorted(progress.done))
        )
        row_key = _rows.RowKey(_records.MAINTENANCE, SHARD, str(wave))
        return row_key, _records.encode_wave(record)

    def _store_wave_status(self, wave: int, is_completed: bool) -> None:
        """Store the state of a wave for the operator, unless it is stored."""
        if self._stored_statuses.get(wave) == is_completed:
            return
        row_key = self._waves.make_wave_status_key(wave)
        value = self._waves.encode_wave_status(wave, is_completed)
        puts = [(row_key, value), self._encode_progress(wave)]
        outcome = self.ledger.write(puts, _WRITE_TIMEOUT, _ignore_outcome)
        if outcome is _ledger.WriteOutcome.APPLIED:
            self._stored_statuses[wave] = is_completed
            _LOG.info(
                'wave completed' if is_completed else 'wave started',
                extra={'wave': wave},
            )


def _measure_all(
    lendable: Mapping[str, int],
    measure: Callable[[str, int], _lending.PoolLoad | None],
) -> dict[str, _lending.PoolLoad]:
    """Ask the owners of all pools at the same time.

    :param lendable: millicores that each pool could be lent
    """
    loads: dict[str, _lending.PoolLoad] = {}

    def ask(pool: str, millicores: int) -> None:
        load = measure(pool, millicores)
        if load is not None:
            loads[pool] = load

    threads = [_loop.spawn(ask, *item) for item in lendable.items()]
    for thread in threads:
        thread.wait()
    return loads


def _find_usage(
    listed: InstancesById, loads: Mapping[str, _lending.PoolLoad]
) -> dict[str, _waves.InstanceUsage]:
    """Return what each instance runs, where the owner reported it."""
    usage = {
        worker.worker: _waves.InstanceUsage(
            worker.runs, worker.long_runs, worker.is_leaving
        )
        for load in loads.values()
        for worker in load.workers
    }
    return {
        id_: usage[record.worker]
        for id_, record in listed.items()
        if record.worker in usage
    }


def _may_still_apply(outcome: _orders.OrderOutcome) -> bool:
    """Tell whether an order without an answer may still be executed."""
    return (
        not isinstance(outcome, result.Success)
        and outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN
    )


def _ignore_outcome(outcome: _ledger.WriteOutcome) -> None:
    """Ignore the outcome, which ``write`` also returns to its caller."""
    del outcome
