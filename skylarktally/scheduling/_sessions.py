"""Session between the owner of a pool and one worker.

A session renews the leases of all runs on the worker, reads its reports and
reconciles the pool state with them. The leases bound how long a run can
continue after contact with the worker is lost.
"""

import contextlib
import datetime
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _order_limits
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _reports
from skylarktally.scheduling import _signals
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

# Long enough for runs to survive the failure of an owner until its successor
# renews their leases.
LEASE_DURATION = datetime.timedelta(seconds=6)
# A start names the lease that was last renewed unless less is left of it.
_MIN_START_LEASE = datetime.timedelta(seconds=3)
# No lease ends later than this after the start of the transaction that last
# renewed the term, so that a successor can tell the end from the term row. A
# renewal on time makes no lease shorter.
_TERM_LEASE = LEASE_DURATION + _ledger.RENEWAL_INTERVAL
# Workers shorten longer leases to this.
_LONGEST_LEASE = datetime.timedelta(seconds=10)
# A worker's clock may run slow by up to this fraction.
_CLOCK_DRIFT = 0.02
_EXPIRY_MARGIN = datetime.timedelta(seconds=0.5)
# Long poll: a worker delays its report by this while no run ends.
_REPORT_WAIT = datetime.timedelta(seconds=1)
# Shorter while batch tasks run, since the loss of a report is noticed only
# after this time, and the ends of all runs on the worker stay unknown until
# then. Also for filler tasks, whose pace depends on recent reports.
_SHORT_REPORT_WAIT = datetime.timedelta(seconds=0.25)
# Workers answer in about 1 ms. The loss of an answer is noticed after this.
_ANSWER_TIME = datetime.timedelta(seconds=0.4)
# Of a worker that did not answer in time. It gets no new work meanwhile, and a
# worker that is only slow keeps the leases of its runs.
_LONG_ANSWER_TIME = datetime.timedelta(seconds=1.2)
_IDLE_WAIT = datetime.timedelta(seconds=5)
_RETRY_DELAY = datetime.timedelta(seconds=0.2)
# Of a task whose start was rejected for a reason that is not the worker's.
_REJECTION_DELAY = datetime.timedelta(seconds=0.1)
# Many terms may skip numbers; the sum has to stay below 2**53.
_MAX_SKIPPED_NUMBERS = 10**6
# Backoff of a worker with failures; doubles up to the maximum.
_AVOIDANCE = datetime.timedelta(seconds=1)
_MAX_AVOIDANCE = datetime.timedelta(seconds=8)
# A long-running task may have no other worker, and has to run at all times.
_MAX_LONG_RUNNING_AVOIDANCE = datetime.timedelta(seconds=2)


def compute_lease_expiry(
    sent_at: datetime.timedelta,
    duration: datetime.timedelta = LEASE_DURATION,
) -> datetime.timedelta:
    """Return when a lease sent at that time has certainly expired.

    Includes the clock drift of the worker and a margin.
    """
    return sent_at + duration / (1 - _CLOCK_DRIFT) + _EXPIRY_MARGIN


def compute_term_expiry(renewed_at: datetime.timedelta) -> datetime.timedelta:
    """Return when all leases of a term have certainly expired.

    :param renewed_at: when the term was last renewed, or later
    """
    return compute_lease_expiry(renewed_at, _TERM_LEASE)


class _Lease(NamedTuple):
    """A lease that was named in a request."""

    # In the worker's clock.
    until: datetime.timedelta
    # When it has certainly expired.
    expires_at: datetime.timedelta


class Host(Protocol):
    """The owner of the pool, as seen by sessions."""

    pool_state: _pool_state.PoolState
    ledger: _ledger.Ledger

    def request_planning(self) -> None:
        """Request planning after runs or available workers have changed."""

    def abandon_term(self, reason: str) -> None:
        """End the term, since another entry instance may own the shard."""


class Session:
    """Leases, orders and reports of one worker."""

    def __init__(
        self,
        host: Host,
        worker_state: _states.WorkerState,
        calls: _orders.WorkerClient,
        clock: _clock.Clock,
        order_limits: _order_limits.OrderLimits | None = None,
    ) -> None:
        """Create the session; it does nothing before ``run``.

        :param order_limits: shared by all owners of the process
        """
        self.worker_state = worker_state
        self._orders = _order_limits.WorkerOrders(
            order_limits or _order_limits.OrderLimits(), clock
        )
        self.is_over = False
        # When the last request for a report that failed was sent. Only a
        # failure after the leases have expired shows that the worker is
        # silent; before, an answer may be waiting in a process that is late.
        self.last_failure_at: datetime.timedelta | None = None
        self._host = host
        self._calls = calls
        self._clock = clock
        # Sequence numbers of the last end whose effect is stored, and of the
        # last one that was applied.
        self._acknowledged = 0
        self._applied = 0
        # Successive exchanges without a report.
        self._lost_reports = 0
        # When the last report arrived.
        self._reported_at: datetime.timedelta | None = None
        # Reports that were requested before do not show what runs there.
        self._reports_count_from = clock.monotonic()
        # Whether a start waits for a report that shows that the worker lives.
        self._is_report_requested = False
        # When the last start was sent.
        self._start_sent_at: datetime.timedelta | None = None
        # Last clock value reported by the worker, and when it arrived.
        self._clock_reading: (
            tuple[datetime.timedelta, datetime.timedelta] | None
        ) = None
        # Last lease named to the present incarnation.
        self._lease: _Lease | None = None
        # Whether the last report listed only a part of the ended runs.
        self._is_report_partial = False
        self._signal = _signals.Signal()

    @property
    def leases_expire_at(self) -> datetime.timedelta:
        """When the last lease that the worker may hold has expired."""
        return self.worker_state.leases_expire_at

    def _extend_leases(self, expires_at: datetime.timedelta) -> None:
        """Note when a lease expires; it never shortens an earlier one."""
        worker_state = self.worker_state
        worker_state.leases_expire_at = max(
            worker_state.leases_expire_at, expires_at
        )

    @property
    def _token(self) -> int:
        return self._host.ledger.token

    def wake(self) -> None:
        """Wake the session if it is idle, so that it requests a report."""
        self._signal.set()

    def request_report(self) -> None:
        """Request a report also of an idle worker, and planning after it."""
        self._is_report_requested = True
        self._signal.set()

    def has_recent_report(self) -> bool:
        """Tell whether the worker was alive a moment ago."""
        if self._reported_at is None:
            return False
        age = self._clock.monotonic() - self._reported_at
        return age <= _states.MAX_REPORT_AGE

    def await_report(self) -> None:
        """Start nothing before the next report, and request it.

        For a worker whose entry shows another incarnation or address. Its
        former runs stay registered until it reports without them. A report
        that is under way may be of the former incarnation.
        """
        self._reports_count_from = self._clock.monotonic()
        self.worker_state.has_reported = False
        self._signal.set()

    def has_overlong_lease(self) -> bool:
        """Tell whether a lease may last longer than a successor assumes."""
        now = self._clock.monotonic()
        return self.leases_expire_at > compute_term_expiry(now)

    def end(self) -> None:
        """Stop the session."""
        self.is_over = True
        self._signal.set()

    def run(self) -> None:
        """Renew leases and read reports until the session ends."""
        guard = _guards.Guard(
            'session', self._clock, worker=self.worker_state.record.id
        )
        while not self.is_over and not self._host.ledger.is_over:
            sent_at = self._clock.monotonic()
            if not guard.attempt(self._step):
                self._treat_as_lost(sent_at)

    def _step(self) -> None:
        """Wait until an exchange is due, or make one."""
        if not self._host.ledger.holds_term():
            self._clock.sleep(_RETRY_DELAY)
        elif self._is_idle():
            self._signal.wait(_IDLE_WAIT)
        elif self.exchange():
            self._lost_reports = 0
        else:
            self._lost_reports += 1
            # A single lost answer says little about the next request.
            if self._lost_reports > 1:
                self._clock.sleep(_RETRY_DELAY)

    def _treat_as_lost(self, sent_at: datetime.timedelta) -> None:
        """Treat an exchange that raised an error like one without answer."""
        self.last_failure_at = sent_at
        kind = _errors.ErrorKind.INTERNAL
        self._mark_unresponsive(
            _errors.Failure(kind, 'unexpected error in an exchange')
        )
        self._release_expired(sent_at)

    def _is_idle(self) -> bool:
        worker_state = self.worker_state
        return (
            worker_state.has_reported
            and not worker_state.is_unresponsive
            and not self._is_report_requested
            and not self._host.pool_state.awaits_leases
            and not worker_state.has_any_runs
        )

    def _choose_report_wait(self) -> datetime.timedelta:
        """Return how long the worker may delay its next report."""
        worker_state = self.worker_state
        if not worker_state.has_reported or worker_state.is_unresponsive:
            return datetime.timedelta()
        if self._is_report_requested:
            return datetime.timedelta()
        if worker_state.has_unstored_ends:
            # They are stored with the next report.
            return datetime.timedelta()
        if not worker_state.may_extend_leases:
            # The next request extends the leases.
            return _SHORT_REPORT_WAIT
        steps = (run.task.group.step for run in worker_state.runs.values())
        if all(step.is_long_running and not step.is_filler for step in steps):
            return _REPORT_WAIT
        return _SHORT_REPORT_WAIT

    def _choose_answer_time(self) -> datetime.timedelta:
        """Return after which time the loss of a report is noticed.

        Also long while no request extends the leases, until the stored term
        allows it. Otherwise a worker that is only slow would be unresponsive
        again before that, and the leases of its runs would never be extended.
        """
        worker_state = self.worker_state
        if worker_state.is_unresponsive or not worker_state.may_extend_leases:
            return _LONG_ANSWER_TIME
        return _ANSWER_TIME

    def _compute_lease_end(self) -> datetime.timedelta | None:
        """Return the end of a new lease in the worker's clock.

        None before the first report. Also updates ``leases_expire_at``.
        """
        if self._clock_reading is None:
            return None
        clock, at = self._clock_reading
        now = self._clock.monotonic()
        latest = self._host.ledger.renewed_at + _TERM_LEASE
        duration = min(LEASE_DURATION, latest - now)
        # Assume the slowest clock. Otherwise the lease of a worker whose clock
        # was read long ago could last longer than ``leases_expire_at``.
        until = clock + (now - at) * (1 - _CLOCK_DRIFT) + duration
        self._lease = _Lease(until, compute_lease_expiry(now, duration))
        self._extend_leases(self._lease.expires_at)
        return until

    def _choose_start_lease(self) -> datetime.timedelta | None:
        """Return the end of the lease of a start, in the worker's clock.

        Starts would otherwise extend the leases of a worker that is lost and
        not known to be silent. None before the first report.
        """
        lease, now = self._lease, self._clock.monotonic()
        if lease is not None and lease.expires_at >= compute_lease_expiry(
            now, _MIN_START_LEASE
        ):
            return lease.until
        return self._compute_lease_end()

    def exchange(self) -> bool:
        """Renew the leases once; False if the worker sent no report."""
        sent_at = self._clock.monotonic()
        former_lease = self._lease
        former_expiry = self.leases_expire_at
        # The leases of an unresponsive worker are not extended, so that its
        # tasks can be started elsewhere once they expire. Nor are those that
        # end early by the stored term: a successor would count on that.
        until = (
            None
            if self.worker_state.is_unresponsive
            or not self.worker_state.may_extend_leases
            else self._compute_lease_end()
        )
        acknowledged = self._acknowledged if self._is_report_recent() else 0
        order = _orders.RenewOrder(
            until,
            acknowledged,
            self._choose_report_wait(),
            self._choose_answer_time(),
        )
        outcome = self._calls.renew_leases(
            self.worker_state.record, self._token, order
        )
        if self._is_report_requested:
            # Planning has its turn once this outcome has been handled.
            self._is_report_requested = False
            self._host.request_planning()
        if self.is_over or self._host.ledger.is_over:
            return True
        if not isinstance(outcome, result.Success):
            self.last_failure_at = sent_at
            self._mark_unresponsive(outcome.failure())
            self._release_expired(sent_at)
            return False
        answer = outcome.unwrap()
        if isinstance(answer, _work.WorkerReport):
            self._mark_responsive()
            if answer.started_ms != self.worker_state.reported_start_ms:
                self._note_incarnation(answer.started_ms, until is not None)
            self._apply_report(answer, sent_at)
            self._acknowledge(answer, acknowledged)
            return True
        self.last_failure_at = sent_at
        if (
            answer.rejection is _orders.Rejection.OTHER_INCARNATION
            and not self._has_sent_starts(since=sent_at)
        ):
            # Another worker was asked, so that no lease was extended.
            self._lease = former_lease
            self.worker_state.leases_expire_at = former_expiry
        self._handle_rejection(answer, sent_at)
        return False

    def _is_report_recent(self) -> bool:
        """Tell whether ends can be acknowledged.

        Numbers of ends count anew in each incarnation. A worker that has
        restarted since its last report would forget ends that it has not
        reported.
        """
        if self._reported_at is None:
            return False
        return self._clock.monotonic() - self._reported_at <= _ANSWER_TIME

    def _note_incarnation(self, started_ms: int, has_renewed: bool) -> None:
        """Note which incarnation of the worker has sent a report.

        :param has_renewed: whether the request for it has renewed the leases
        """
        worker_state = self.worker_state
        former, worker_state.reported_start_ms = (
            worker_state.reported_start_ms,
            started_ms,
        )
        if former is None:
            return
        has_lease = has_renewed or self._has_sent_starts(self._reported_at)
        _LOG.info(
            'worker restarted',
            extra={
                'worker': worker_state.record.id,
                'former_start_ms': former,
                'start_ms': started_ms,
                'listed_start_ms': worker_state.record.started_ms,
                'runs': len(worker_state.runs),
                'has_lease': has_lease,
            },
        )
        self._acknowledged = self._applied = 0
        self._lease = None
        worker_state.failures = 0
        worker_state.backoff_until = datetime.timedelta()
        worker_state.batch_backoff_until = datetime.timedelta()
        if has_lease:
            # The lease that it got ends by the clock of the former one.
            now = self._clock.monotonic()
            self._extend_leases(compute_lease_expiry(now, _LONGEST_LEASE))
            # What starts now runs for as long: a successor has to know.
            worker_state.may_extend_leases = False
            worker_state.has_unnamed_lease = True
            self._request_recording()

    def _has_sent_starts(self, since: datetime.timedelta | None) -> bool:
        """Tell whether a start was sent since a time; False if it is None."""
        if self._start_sent_at is None or since is None:
            return False
        return self._start_sent_at >= since

    def _mark_unresponsive(self, failure: _errors.Failure) -> None:
        if self.worker_state.is_unresponsive:
            return
        self.worker_state.is_unresponsive = True
        self._host.pool_state.allow_duplicate_starts(self.worker_state)
        self._host.request_planning()
        _LOG.info(
            'worker does not answer',
            extra={
                'worker': self.worker_state.record.id,
                'failure': failure.kind.value,
                'reason': failure.message,
                'runs': len(self.worker_state.runs),
            },
        )

    def _release_expired(self, sent_at: datetime.timedelta) -> None:
        """Remove the runs of an unresponsive worker once its leases expire.

        :param sent_at: when the request for a report that failed was sent
        """
        if sent_at < self.leases_expire_at or not self.worker_state.runs:
            return
        self._remove_expired(list(self.worker_state.runs.values()))

    def release_long_running(self) -> None:
        """Remove the long-running runs of a silent worker at the lease end.

        A batch task may have ended done, which a late answer would show. A
        long-running task cannot, so that no further request has to fail.
        """
        worker_state = self.worker_state
        now = self._clock.monotonic()
        if not worker_state.is_unresponsive or now < self.leases_expire_at:
            return
        runs = [
            run
            for run in worker_state.runs.values()
            if run.task.group.step.is_long_running
        ]
        if runs:
            self._remove_expired(runs)

    def _remove_expired(self, runs: list[_states.Run]) -> None:
        now = self._clock.monotonic()
        reported_at = self._reported_at
        _LOG.info(
            'leases of an unresponsive worker expired',
            extra={
                'worker': self.worker_state.record.id,
                'runs': len(runs),
                # None: it has not reported in this term.
                'silent_s': None
                if reported_at is None
                else _to_seconds(now - reported_at),
                'expired_s_ago': _to_seconds(now - self.leases_expire_at),
            },
        )
        for run in runs:
            self._host.pool_state.remove_run(run)
        self._host.request_planning()

    def _mark_responsive(self) -> None:
        if self.worker_state.is_unresponsive:
            _LOG.info(
                'worker answers again',
                extra={'worker': self.worker_state.record.id},
            )
            self._request_recording()
        self.worker_state.is_unresponsive = False

    def _request_recording(self) -> None:
        """Request a commit that adds the worker to the term row.

        The worker gets no runs before a successor can learn of its leases.
        """
        self._host.ledger.request_commit(is_urgent=True)

    def _handle_rejection(
        self, answer: _orders.OrderResult, sent_at: datetime.timedelta
    ) -> None:
        """Handle the rejection of a request for a report.

        Like no answer: neither are the leases renewed, nor is it known what
        runs on the worker.
        """
        rejection = answer.rejection
        if rejection is _orders.Rejection.FENCED:
            self._host.abandon_term('worker has seen a higher token')
            return
        self.worker_state.backoff_until = self._clock.monotonic() + _AVOIDANCE
        message = 'request for a report rejected'
        if rejection is not None:
            message += f': {rejection.value}'
        kind = _errors.ErrorKind.WORKER_UNREACHABLE
        self._mark_unresponsive(_errors.Failure(kind, message))
        self._release_expired(sent_at)

    def _apply_report(
        self, report: _work.WorkerReport, sent_at: datetime.timedelta
    ) -> None:
        now = self._clock.monotonic()
        self._reported_at = now
        self._clock_reading = report.clock, now
        ended = [end for end in report.ended if end.sequence > self._applied]
        for end in ended:
            self._track_failures(end, now)
            self._host.pool_state.note_end(self.worker_state.record.id, end)
        self._applied = max(
            (end.sequence for end in ended), default=self._applied
        )
        unwanted = _reports.reconcile(
            self._host.pool_state, self.worker_state, report, sent_at, now
        )
        for active in unwanted:
            _loop.spawn_logging_errors(self._stop_unneeded, active)
        self._note_completeness(report, sent_at)
        if ended:
            self.worker_state.has_unstored_ends = True
            self._host.request_planning()

    def _note_completeness(
        self, report: _work.WorkerReport, sent_at: datetime.timedelta
    ) -> None:
        """Note whether the runs of the worker are known.

        Before, tasks that are neither active nor listed as ended may be done.
        """
        if report.is_complete:
            if sent_at >= self._reports_count_from:
                self._mark_reported()
        elif not self._is_report_partial:
            _LOG.info(
                'report lists only a part of the ended runs',
                extra={
                    'worker': self.worker_state.record.id,
                    'listed': len(report.ended),
                    'active': len(report.active),
                    'runs': len(self.worker_state.runs),
                    'has_reported': self.worker_state.has_reported,
                },
            )
        self._is_report_partial = not report.is_complete

    def _mark_reported(self) -> None:
        if not self.worker_state.has_reported:
            self._request_recording()
        self.worker_state.has_reported = True

    def _acknowledge(
        self, report: _work.WorkerReport, acknowledged: int
    ) -> None:
        """Acknowledge ended runs once their effect is stored.

        The worker reports them again until they are acknowledged.

        :param acknowledged: what the request for the report acknowledged
        """
        if not self.worker_state.has_unstored_ends:
            return
        if report.ended and acknowledged < self._acknowledged:
            # Storing them took so long that the worker was asked first
            # whether it has restarted. The next request acknowledges them; it
            # would be as late if it waited for the ends of this report.
            return
        pool_state = self._host.pool_state
        is_urgent = any(job.is_final for job in pool_state.changed.values())
        has_changes = bool(pool_state.changed)
        if not self._host.ledger.flush(has_changes, is_urgent):
            return
        self.worker_state.has_unstored_ends = False
        self._acknowledged = self._applied

    def _track_failures(
        self, end: _work.EndedRun, now: datetime.timedelta
    ) -> None:
        if end.kind is _work.EndKind.DONE:
            self.worker_state.failures = 0
        elif end.kind is _work.EndKind.FAILED:
            self._back_off(now)

    def _back_off(self, now: datetime.timedelta) -> None:
        """Start nothing on the worker for a time, from the second failure on.

        The time doubles with each further failure. A run that is done resets
        the number of failures. For long-running tasks the time is short, and
        failures that follow meanwhile do not extend it.
        """
        worker_state = self.worker_state
        worker_state.failures += 1
        if worker_state.failures < 2:
            return
        delay = min(
            _AVOIDANCE * 2 ** (worker_state.failures - 2), _MAX_AVOIDANCE
        )
        worker_state.batch_backoff_until = now + delay
        if worker_state.backoff_until <= now:
            worker_state.backoff_until = now + min(
                delay, _MAX_LONG_RUNNING_AVOIDANCE
            )

    def _stop_unneeded(self, active: _work.ActiveRun) -> None:
        if self._stop(active.task, active.number):
            self.wake()

    def start(self, run: _states.Run) -> None:
        """Send the start of a run when it is its turn; handle the result."""
        sent_at = self._clock.monotonic()
        step = run.task.group.step
        # A long-running task has to run at all times, and the members of a
        # gang start together.
        is_prompt = step.is_long_running or step.is_gang
        try:
            with self._orders.await_start(is_prompt):
                sent_at = self._clock.monotonic()
                outcome = self._send_start(run)
            if outcome is not None:
                self._handle_start_outcome(run, sent_at, outcome)
        except Exception:
            _guards.record_error(
                'start', task=run.task.id, run=run.number, worker=run.worker
            )
            # It may have been sent.
            kind = _errors.ErrorKind.INTERNAL
            failure = _errors.Failure(kind, 'unexpected error in a start')
            self._handle_unanswered_start(run, sent_at, failure)

    def _send_start(self, run: _states.Run) -> _orders.OrderOutcome | None:
        """Send the start of a run; None if it is not sent."""
        if not self._is_start_due(run):
            return None
        may_extend_leases = self.worker_state.may_extend_leases
        until = self._choose_start_lease() if may_extend_leases else None
        if until is None or not self._host.ledger.holds_term():
            self._host.pool_state.remove_run(run)
            return None
        task = run.task
        group = task.group
        now = self._clock.monotonic()
        self._start_sent_at = now
        order = _orders.StartOrder(
            task.id,
            run.number,
            task.group.job.spec.task_spec,
            until,
            task.checkpoint,
            _advice.find_ticket(group, self.worker_state, now) or '',
        )
        return self._calls.start(self.worker_state.record, self._token, order)

    def _handle_start_outcome(
        self,
        run: _states.Run,
        sent_at: datetime.timedelta,
        outcome: _orders.OrderOutcome,
    ) -> None:
        if isinstance(outcome, result.Success):
            self._orders.note_answer()
        if self.is_over or not self._is_registered(run):
            return
        if isinstance(outcome, result.Success):
            self._handle_start_result(run, outcome.unwrap())
        elif outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN:
            self._handle_unanswered_start(run, sent_at, outcome.failure())
        else:
            self._host.pool_state.remove_run(run)
            self._mark_unresponsive(outcome.failure())
            self._host.request_planning()
            self.wake()

    def _is_start_due(self, run: _states.Run) -> bool:
        """Tell whether a start is to be sent after it has waited.

        If the worker may get no starts by now, since it is silent, closed or
        another incarnation, the task may start elsewhere at once.
        """
        if self.is_over or not self._is_registered(run):
            return False
        if run.state is not _states.RunState.SENT:
            # It is being stopped, and a report without it ends it.
            return False
        label = run.task.group.step.required_label
        if self.worker_state.is_schedulable and self.worker_state.has_label(
            label
        ):
            return True
        self._host.pool_state.remove_run(run)
        self._host.request_planning()
        return False

    def _is_registered(self, run: _states.Run) -> bool:
        """Tell whether a run may be on the worker.

        Its task may have another run, if it may run twice.
        """
        return self.worker_state.runs.get(run.task.id) is run

    def _handle_unanswered_start(
        self,
        run: _states.Run,
        sent_at: datetime.timedelta,
        failure: _errors.Failure,
    ) -> None:
        """Stop a run that may still start, unless a report shows it."""
        if run.state is _states.RunState.ACTIVE:
            return
        _LOG.info(
            'start without answer',
            extra={
                'task': run.task.id,
                'run': run.number,
                'worker': run.worker,
            },
        )
        run.state = _states.RunState.UNCONFIRMED
        self._host.pool_state.allow_duplicate_start(run)
        self._host.request_planning()
        # A worker that has reported since then has lost a single answer.
        if self._reported_at is None or self._reported_at <= sent_at:
            self._mark_unresponsive(failure)
        self.stop(run)

    def _handle_start_result(
        self, run: _states.Run, answer: _orders.OrderResult
    ) -> None:
        now = self._clock.monotonic()
        if answer.rejection is None:
            run.answered_at = now
            if run.state is _states.RunState.SENT:
                run.state = _states.RunState.ACTIVE
            self._host.pool_state.note_began(run.task)
            self.wake()
            return
        if answer.rejection is _orders.Rejection.FENCED:
            self._host.abandon_term('worker has seen a higher token')
            return
        _LOG.info(
            'start rejected',
            extra={
                'task': run.task.id,
                'run': run.number,
                'worker': run.worker,
                'rejection': answer.rejection.value,
            },
        )
        self._host.pool_state.remove_run(run)
        if answer.rejection is _orders.Rejection.TICKET:
            # Without the cached ticket, a new one is requested.
            run.task.group.worker_advice.pop(run.worker, None)
            has_advice = run.task.group.job.queue.advice is not None
            self._delay_task(
                run.task, _REJECTION_DELAY if has_advice else _AVOIDANCE
            )
        elif answer.rejection is _orders.Rejection.STALE:
            self._skip_numbers(run)
            self._delay_task(run.task, _REJECTION_DELAY)
        else:
            self.worker_state.backoff_until = now + _AVOIDANCE
        if answer.clock is not None:
            self._clock_reading = answer.clock, now
            # It may have ended by that clock.
            self._lease = None
        self._host.request_planning()

    def _skip_numbers(self, run: _states.Run) -> None:
        """Give the next run of a task a number well above a rejected one.

        The range of a term's run numbers begins below those of a former term
        in which the task was started more often than the range is wide.
        """
        skipped = min(run.number, _MAX_SKIPPED_NUMBERS)
        self._host.pool_state.reserve_numbers(run.task, run.number + skipped)

    def _delay_task(
        self, task: _states.Task, delay: datetime.timedelta
    ) -> None:
        """Start a task on no worker for a time.

        Otherwise a start that is rejected would be repeated with each plan.
        """
        earliest = self._clock.monotonic() + delay
        task.lost_until = max(task.lost_until, earliest)

    def pace(self, run: _states.Run, percent: int) -> None:
        """Set the pace of a run, in per cent of its full speed."""
        if not self._host.ledger.holds_term():
            return
        before, run.pace = run.pace, percent
        with self._await_order():
            if not self._host.ledger.holds_term():
                run.pace = before
                return
            outcome = self._calls.pace(
                self.worker_state.record,
                self._token,
                run.task.id,
                run.number,
                percent,
            )
        if (
            isinstance(outcome, result.Success)
            and outcome.unwrap().rejection is None
        ):
            return
        # Planning sees the old pace and sends the order again.
        run.pace = before
        _LOG.info(
            'pace not set',
            extra={
                'task': run.task.id,
                'worker': run.worker,
                'percent': percent,
            },
        )

    def stop(self, run: _states.Run) -> None:
        """Stop a run; a later report without it confirms that it has ended."""
        run.state = _states.RunState.STOPPING
        run.answered_at = None
        if self._stop(run.task.id, run.number):
            run.answered_at = self._clock.monotonic()
            self.wake()

    def _stop(self, task: _work.TaskId, number: int) -> bool:
        """Retry a stop until it is answered; False if it never is.

        Nothing is sent without a valid term: the successor may count on the
        run, as one of those that an availability budget needs.
        """
        while not self.is_over and not self._host.ledger.is_over:
            with self._await_order():
                if self._host.ledger.holds_term() and self._send_stop(
                    task, number
                ):
                    return True
            self._clock.sleep(_RETRY_DELAY)
        return False

    def _await_order(self) -> contextlib.AbstractContextManager[None]:
        return self._orders.await_other(self.worker_state.is_unresponsive)

    def _send_stop(self, task: _work.TaskId, number: int) -> bool:
        """Send a stop; False unless the worker has carried it out."""
        worker = self.worker_state.record
        try:
            outcome = self._calls.stop(worker, self._token, task, number)
        except Exception:
            _guards.record_error(
                'stop', task=task, run=number, worker=worker.id
            )
            return False
        if not isinstance(outcome, result.Success):
            return False
        rejection = outcome.unwrap().rejection
        if rejection is _orders.Rejection.FENCED:
            self._host.abandon_term('worker has seen a higher token')
            return False
        return rejection is not _orders.Rejection.UNHEALTHY


def _to_seconds(value: datetime.timedelta) -> float:
    return round(value.total_seconds(), 2)
