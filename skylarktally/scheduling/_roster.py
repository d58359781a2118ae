"""Workers of a pool: their sessions, and which may hold leases."""

from collections.abc import Mapping
import datetime
import logging
from typing import NamedTuple

from skylarktally import _clock
from skylarktally import _loop
from skylarktally.scheduling import _order_limits
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _records
from skylarktally.scheduling import _sessions
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# A worker that is missing from the list for this long is removed.
_MISSING_TIMEOUT = datetime.timedelta(seconds=2.5)
# A request to vacate an instance expires unless it is repeated.
_VACATE_TIMEOUT = datetime.timedelta(seconds=3)
# An evacuated worker is about to be taken down with its instance, but may stay
# listed for some seconds. It must not get tasks during that time.
_VACANT_TIMEOUT = datetime.timedelta(seconds=6)


class UnresolvedLease(NamedTuple):
    """Leases that a worker may hold and that this owner cannot revoke."""

    # When the leases have certainly expired.
    expires_at: datetime.timedelta
    # Last term in which the worker was in contact. The worker runs no task
    # of a job that was accepted in a later term.
    generation: int


def make_records(
    leases: Mapping[str, UnresolvedLease], now: datetime.timedelta
) -> tuple[_records.UnreachableWorker, ...]:
    """Return the entries of a term row that is written now, or later."""
    return tuple(
        _records.UnreachableWorker(
            id_,
            lease.generation,
            max(int((lease.expires_at - now) / _MILLISECOND) + 1, 0),
        )
        for id_, lease in leases.items()
    )


class Roster:
    """Tracks the workers of a pool and runs a session for each."""

    def __init__(
        self,
        host: _sessions.Host,
        calls: _orders.WorkerClient,
        clock: _clock.Clock,
        order_limits: _order_limits.OrderLimits | None = None,
    ) -> None:
        self._host = host
        self._order_limits = order_limits or _order_limits.OrderLimits()
        self._pool_state = host.pool_state
        self._calls = calls
        self._clock = clock
        self._sessions: dict[str, _sessions.Session] = {}
        self._missing_since: dict[str, datetime.timedelta] = {}
        self._vacating_until: dict[str, datetime.timedelta] = {}
        # By worker; not all of these workers are listed or have a session.
        self._unresolved_leases: dict[str, UnresolvedLease] = {}
        # Workers whose leases end early by the last term row that was made.
        self._limited_workers: set[str] = set()

    def set_unresolved_leases(
        self, leases: Mapping[str, UnresolvedLease]
    ) -> None:
        """Set the workers that may hold leases of earlier owners."""
        self._unresolved_leases = dict(leases)

    def list_unreported(self) -> dict[str, UnresolvedLease]:
        """Return unresolved leases of workers that have not reported."""
        self._drop_resolved_leases()
        return dict(self._unresolved_leases)

    def _drop_resolved_leases(self) -> None:
        """Drop the leases of workers that have reported or are silent."""
        now = self._clock.monotonic()
        for id_, lease in list(self._unresolved_leases.items()):
            if self._has_reported(id_) or self._is_silent(id_, lease, now):
                del self._unresolved_leases[id_]

    def _has_reported(self, id_: str) -> bool:
        worker_state = self._pool_state.worker_states.get(id_)
        return worker_state is not None and worker_state.has_reported

    def _is_silent(
        self, id_: str, lease: UnresolvedLease, now: datetime.timedelta
    ) -> bool:
        """Tell whether a worker did not report before its lease expired.

        A worker that is listed must also have left a request unanswered that
        was sent after the expiry; any other cannot be asked.
        """
        session = self._sessions.get(id_)
        if session is None:
            return lease.expires_at <= now
        failed_at = session.last_failure_at
        return failed_at is not None and failed_at >= lease.expires_at

    def find_session(self, worker: str) -> _sessions.Session | None:
        """Return the session with a worker."""
        return self._sessions.get(worker)

    def request_reports_after_loss(self) -> None:
        """Ask all idle workers for reports if some worker is silent.

        Others may have gone with it. Asked one after the other, each would
        delay a start by the time after which its loss is noticed.
        """
        sessions = list(self._sessions.values())
        if not any(item.worker_state.is_unresponsive for item in sessions):
            return
        for session in sessions:
            if not session.has_recent_report():
                session.request_report()

    def end(self) -> None:
        """End all sessions."""
        for session in self._sessions.values():
            session.end()

    def sync(self, workers: Mapping[str, _work.WorkerRecord]) -> None:
        """Add, update and remove workers according to the list of records."""
        now = self._clock.monotonic()
        for id_, record in workers.items():
            self._missing_since.pop(id_, None)
            worker_state = self._pool_state.worker_states.get(id_)
            if worker_state is None:
                self._add(record)
            elif worker_state.record != record:
                self._update(worker_state, record)
        for id_ in list(self._pool_state.worker_states):
            if id_ not in workers:
                self._note_missing(id_, now)
        for id_, worker_state in self._pool_state.worker_states.items():
            worker_state.is_evacuating = (
                self._vacating_until.get(id_, now) > now
            )
            _note_silence(worker_state, now)
        for session in self._sessions.values():
            session.release_long_running()
        self._note_lost_tasks(now)

    def _note_lost_tasks(self, now: datetime.timedelta) -> None:
        """Ask idle workers for reports while lost tasks wait for leases."""
        was_waiting = self._pool_state.awaits_leases
        self._pool_state.awaits_leases = self._pool_state.has_lost_tasks(now)
        if self._pool_state.awaits_leases and not was_waiting:
            for session in self._sessions.values():
                session.wake()

    def _add(self, record: _work.WorkerRecord) -> None:
        worker_state = _states.WorkerState(record)
        lease = self._unresolved_leases.get(record.id)
        if lease is not None:
            # It holds that lease also after it has reported.
            worker_state.leases_expire_at = lease.expires_at
        self._pool_state.worker_states[record.id] = worker_state
        session = _sessions.Session(
            self._host,
            worker_state,
            self._calls,
            self._clock,
            self._order_limits,
        )
        self._sessions[record.id] = session
        _loop.spawn_logging_errors(session.run)

    def _update(
        self, worker_state: _states.WorkerState, record: _work.WorkerRecord
    ) -> None:
        """Replace the record of a worker.

        Its entry lags behind its reports, so that it never shows which runs
        have ended: only a report does.
        """
        former, worker_state.record = worker_state.record, record
        worker_state.set_aside_reason = ''
        is_restarted = record.started_ms not in (
            former.started_ms,
            worker_state.reported_start_ms,
        )
        if is_restarted or record.address != former.address:
            # What the worker has reported stays known.
            self._drop_resolved_leases()
            self._sessions[record.id].await_report()
            _LOG.info(
                'other incarnation or address of a worker listed',
                extra={
                    'worker': record.id,
                    'former_start_ms': former.started_ms,
                    'start_ms': record.started_ms,
                    'reported_start_ms': worker_state.reported_start_ms,
                    'runs': len(worker_state.runs),
                },
            )

    def _note_missing(self, id_: str, now: datetime.timedelta) -> None:
        since = self._missing_since.setdefault(id_, now)
        worker_state = self._pool_state.worker_states[id_]
        worker_state.backoff_until = now + _MISSING_TIMEOUT
        is_lost = now - since >= _MISSING_TIMEOUT
        # A worker that left the list just before may still be reachable.
        is_awaited = id_ in self._unresolved_leases
        if is_lost or not (worker_state.has_open_runs or is_awaited):
            del self._missing_since[id_]
            self._remove(id_, self._sessions[id_].leases_expire_at)

    def _remove(self, id_: str, expires_at: datetime.timedelta) -> None:
        # What a worker has reported stays known after it has left.
        self._drop_resolved_leases()
        self._sessions.pop(id_).end()
        if self._pool_state.worker_states[id_].has_open_runs:
            self._unresolved_leases[id_] = self._make_unresolved_lease(
                expires_at
            )
        self._pool_state.remove_worker(id_, expires_at)

    def vacate(self, id_: str) -> bool:
        """Evacuate a worker; True once its instance may be taken away."""
        worker_state = self._pool_state.worker_states.get(id_)
        if worker_state is None:
            return False
        now = self._clock.monotonic()
        is_evacuating = worker_state.is_evacuating
        worker_state.is_evacuating = True
        is_evacuated = _planning.is_evacuated(worker_state)
        limit = _VACANT_TIMEOUT if is_evacuated else _VACATE_TIMEOUT
        self._vacating_until[id_] = now + limit
        if not is_evacuating:
            self._host.request_planning()
        return is_evacuated

    def list_lease_holders(self) -> tuple[str, ...]:
        """Return the workers that may hold a lease."""
        now = self._clock.monotonic()
        self._drop_resolved_leases()
        holders = dict.fromkeys(
            id_ for id_ in self._unresolved_leases if id_ not in self._sessions
        )
        for id_, worker_state in self._pool_state.worker_states.items():
            if self._may_hold_lease(id_, worker_state, now):
                holders[id_] = None
            else:
                # No starts until a stored term row names the worker again.
                worker_state.may_extend_leases = False
        return tuple(holders)

    def list_unreachable(self) -> tuple[_records.UnreachableWorker, ...]:
        """Return the possible lease holders whose leases a successor awaits.

        They cannot be reached, or have restarted and hold a longer lease than
        the successor would assume.
        """
        leases = self.list_unreported()
        for id_, worker_state in self._pool_state.worker_states.items():
            has_reported = worker_state.reported_start_ms is not None
            if not has_reported:
                continue
            session = self._sessions[id_]
            if worker_state.is_unresponsive:
                is_awaited = worker_state.has_open_runs
            else:
                # Also without runs: those that are started get that lease.
                is_awaited = session.has_overlong_lease()
            if is_awaited:
                expires_at = session.leases_expire_at
                leases[id_] = self._make_unresolved_lease(expires_at)
        unreachable = make_records(leases, self._clock.monotonic())
        self._take_back_extensions(unreachable)
        return unreachable

    def _take_back_extensions(
        self, unreachable: tuple[_records.UnreachableWorker, ...]
    ) -> None:
        """Allow no lease beyond the end that a term row names."""
        self._limited_workers = {
            worker.worker
            for worker in unreachable
            if _ends_leases_early(worker)
        }
        for id_, worker_state in self._pool_state.worker_states.items():
            worker_state.has_unnamed_lease = False
            if id_ in self._limited_workers:
                worker_state.may_extend_leases = False

    def _make_unresolved_lease(
        self, expires_at: datetime.timedelta
    ) -> UnresolvedLease:
        return UnresolvedLease(expires_at, self._host.ledger.generation)

    def _may_hold_lease(
        self,
        id_: str,
        worker_state: _states.WorkerState,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a worker has a run, or can be given one at any time."""
        if worker_state.has_open_runs:
            return True
        if not worker_state.has_reported:
            # Only an earlier owner can have given this worker a lease.
            return id_ in self._unresolved_leases
        is_avoided = (
            worker_state.is_unresponsive or worker_state.backoff_until > now
        )
        is_leaving = (
            worker_state.is_evacuating or worker_state.record.is_draining
        )
        return not is_avoided and not is_leaving

    def confirm_holders(self, workers: tuple[str, ...]) -> None:
        """Allow leases of workers that the stored term row names.

        Not of those whose leases end early by that row: a successor would not
        wait for the end of a later one.
        """
        for id_ in workers:
            worker_state = self._pool_state.worker_states.get(id_)
            if worker_state is None or worker_state.has_unnamed_lease:
                continue
            if id_ not in self._limited_workers and (
                not worker_state.may_extend_leases
            ):
                worker_state.may_extend_leases = True
                self._host.request_planning()


def _ends_leases_early(worker: _records.UnreachableWorker) -> bool:
    """Tell whether the entry ends before a lease sent after it could."""
    remaining = worker.remaining_ms * _MILLISECOND
    return remaining < _sessions.compute_term_expiry(datetime.timedelta())


def _note_silence(
    worker_state: _states.WorkerState, now: datetime.timedelta
) -> None:
    """Note since when a worker does not respond."""
    if not worker_state.is_unresponsive:
        worker_state.silent_since = None
    elif worker_state.silent_since is None:
        worker_state.silent_since = now
