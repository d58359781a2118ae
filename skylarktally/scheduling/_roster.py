"""Workers of a pool: their sessions, and which of them may hold leases."""

from collections.abc import Mapping
import datetime
from typing import NamedTuple

from skylarktally import _clock
from skylarktally import _loop
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _records
from skylarktally.scheduling import _sessions
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_MILLISECOND = datetime.timedelta(milliseconds=1)
# A worker that is missing in the table for this long is gone.
_MISSING_LIMIT = datetime.timedelta(seconds=2.5)
# A request to vacate an instance is forgotten unless it is repeated.
_VACATE_LIMIT = datetime.timedelta(seconds=3)
# A worker that was found empty is about to go with its instance; its entry
# may stay for some seconds.
_GONE_LIMIT = datetime.timedelta(seconds=6)


class UnresolvedLease(NamedTuple):
    """A worker that may hold leases which this owner cannot end."""

    # The leases have ended by then.
    lapse_at: datetime.timedelta
    # The last term in which the worker was in contact. It runs no task of
    # a job that was accepted in a later one.
    generation: int


class Roster:
    """Follows the workers of a pool for its owner."""

    def __init__(
        self,
        host: _sessions.Host,
        calls: _orders.WorkerClient,
        clock: _clock.Clock,
    ) -> None:
        self._host = host
        self._board = host.board
        self._calls = calls
        self._clock = clock
        self._sessions: dict[str, _sessions.Session] = {}
        self._missing: dict[str, datetime.timedelta] = {}
        self._vacating: dict[str, datetime.timedelta] = {}
        # Workers that may hold leases that this owner cannot end, and when
        # these have ended.
        self._suspects: dict[str, UnresolvedLease] = {}

    def suspect(self, suspects: Mapping[str, UnresolvedLease]) -> None:
        """Take workers for holders of leases of earlier owners."""
        self._suspects = dict(suspects)

    def list_silent(self) -> dict[str, UnresolvedLease]:
        """Return suspects that have not reported."""
        seats = self._board.seats
        return {
            worker: suspicion
            for worker, suspicion in self._suspects.items()
            if worker not in seats or not seats[worker].is_known
        }

    def have_reported(self) -> bool:
        """Tell whether all suspects that are reached have reported."""
        return all(
            seat.is_known
            for id_, seat in self._board.seats.items()
            if id_ in self._suspects
        )

    def find_session(self, worker: str) -> _sessions.Session | None:
        """Return the session with a worker."""
        return self._sessions.get(worker)

    def end(self) -> None:
        """End all sessions."""
        for session in self._sessions.values():
            session.end()

    def sync(self, workers: Mapping[str, _work.WorkerRecord]) -> None:
        """Follow the entries of the pool's workers."""
        now = self._clock.monotonic()
        for id_, record in workers.items():
            self._missing.pop(id_, None)
            seat = self._board.seats.get(id_)
            if seat is not None and _is_other_life(seat.record, record):
                # The former life has ended with all it ran.
                self._drop(id_, now)
                seat = None
            if seat is None:
                self._add(record)
            else:
                seat.record = record
        for id_ in list(self._board.seats):
            if id_ not in workers:
                self._note_missing(id_, now)
        for id_, seat in self._board.seats.items():
            seat.is_vacating = self._vacating.get(id_, now) > now

    def _add(self, record: _work.WorkerRecord) -> None:
        seat = _states.Seat(record)
        self._board.seats[record.id] = seat
        session = _sessions.Session(self._host, seat, self._calls, self._clock)
        self._sessions[record.id] = session
        _loop.spawn_logging_errors(session.run)

    def _note_missing(self, id_: str, now: datetime.timedelta) -> None:
        since = self._missing.setdefault(id_, now)
        seat = self._board.seats[id_]
        seat.avoided_until = now + _MISSING_LIMIT
        if now - since >= _MISSING_LIMIT or not seat.runs:
            del self._missing[id_]
            self._drop(id_, self._sessions[id_].lapse_at)

    def _drop(self, id_: str, free_at: datetime.timedelta) -> None:
        self._sessions.pop(id_).end()
        if self._board.seats[id_].runs:
            self._suspects[id_] = self._suspect_now(free_at)
        self._board.drop_seat(id_, free_at)

    def vacate(self, id_: str) -> bool:
        """Empty a worker; tell whether its instance can go now."""
        seat = self._board.seats.get(id_)
        if seat is None:
            return False
        now = self._clock.monotonic()
        is_vacating = seat.is_vacating
        seat.is_vacating = True
        is_vacant = _planning.is_vacant(seat)
        limit = _GONE_LIMIT if is_vacant else _VACATE_LIMIT
        self._vacating[id_] = now + limit
        if not is_vacating:
            self._host.request_planning()
        return is_vacant

    def list_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""
        now = self._clock.monotonic()
        for id_, suspicion in list(self._suspects.items()):
            if suspicion.lapse_at <= now:
                del self._suspects[id_]
        holders = dict.fromkeys(
            id_ for id_ in self._suspects if id_ not in self._sessions
        )
        for id_, seat in self._board.seats.items():
            if self._may_hold(id_, seat, now):
                holders[id_] = None
            else:
                # It gets no run before it is named again.
                seat.is_recorded = False
        return tuple(holders)

    def list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        """Return the holders that are out of contact."""
        suspects = self.list_silent()
        for id_, seat in self._board.seats.items():
            if seat.is_known and seat.is_silent and seat.runs:
                lapse_at = self._sessions[id_].lapse_at
                suspects[id_] = self._suspect_now(lapse_at)
        now = self._clock.monotonic()
        return tuple(
            _records.UnreachableWorker(
                id_,
                suspicion.generation,
                max(int((suspicion.lapse_at - now) / _MILLISECOND) + 1, 0),
            )
            for id_, suspicion in suspects.items()
        )

    def _suspect_now(self, lapse_at: datetime.timedelta) -> UnresolvedLease:
        return UnresolvedLease(lapse_at, self._host.ledger.generation)

    def _may_hold(
        self, id_: str, seat: _states.Seat, now: datetime.timedelta
    ) -> bool:
        """Tell whether a worker has a run, or may get one at any time."""
        if seat.runs:
            return True
        if not seat.is_known:
            # Only an earlier owner can have given it a lease.
            return id_ in self._suspects
        is_avoided = seat.is_silent or seat.avoided_until > now
        is_leaving = seat.is_vacating or seat.record.is_draining
        return not is_avoided and not is_leaving

    def note_recorded(self, workers: tuple[str, ...]) -> None:
        """Open the workers that a successor will know of."""
        for id_ in workers:
            seat = self._board.seats.get(id_)
            if seat is not None and not seat.is_recorded:
                seat.is_recorded = True
                self._host.request_planning()


def _is_other_life(
    known: _work.WorkerRecord, record: _work.WorkerRecord
) -> bool:
    return (known.born_ms, known.address) != (record.born_ms, record.address)
