"""Submissions of jobs whose outcome is not known, or that came too late."""

import collections
import datetime

from skylarktally import _loop
from skylarktally.scheduling import _ledger

# A request to submit a job may be under way for this long; callers wait a few
# seconds.
_WITHDRAWAL_PERIOD = datetime.timedelta(seconds=60)
# Jobs that callers have cancelled before they arrived; the oldest is
# forgotten first.
_MAX_WITHDRAWN_JOBS = 5000
_NO_WAIT = datetime.timedelta()


class PendingSubmission:
    """A job that is being stored: it may exist already."""

    def __init__(self) -> None:
        # Whether it is to be cancelled as soon as it is known to be stored.
        self.is_cancelled = False
        self._outcome = _loop.Event()

    def resolve(self, outcome: _ledger.WriteOutcome) -> None:
        """Tell the outcome to all who wait for it."""
        if not self._outcome.ready():
            self._outcome.send(outcome)

    def wait(self, timeout: datetime.timedelta) -> _ledger.WriteOutcome:
        """Wait for the outcome of storing the job; UNKNOWN on timeout."""
        with _loop.Timeout(max(timeout, _NO_WAIT).total_seconds(), False):
            outcome: _ledger.WriteOutcome = self._outcome.wait()
            return outcome
        return _ledger.WriteOutcome.UNKNOWN


class PendingSubmissions:
    """The jobs of a pool that are being stored, by id."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingSubmission] = {}

    def __contains__(self, id_: str) -> bool:
        return id_ in self._pending

    def add(self, id_: str) -> PendingSubmission:
        """Note that a job is being stored from now on."""
        self._pending[id_] = PendingSubmission()
        return self._pending[id_]

    def find(self, id_: str) -> PendingSubmission | None:
        """Return the submission of a job; None if it is not being stored."""
        return self._pending.get(id_)

    def resolve(self, id_: str, outcome: _ledger.WriteOutcome) -> None:
        """Remove a job, and tell the outcome to all who wait for it."""
        pending = self._pending.pop(id_, None)
        if pending is not None:
            pending.resolve(outcome)

    def end(self) -> None:
        """Remove all jobs; whether they are stored is not known."""
        for id_ in list(self._pending):
            self.resolve(id_, _ledger.WriteOutcome.UNKNOWN)


class Withdrawals:
    """Jobs that callers cancelled and were told not to exist.

    A request to submit one may still be under way, held up by another entry
    instance, and must not start the job afterwards.
    """

    def __init__(self) -> None:
        # When the callers were told so, the oldest first.
        self._withdrawn: collections.OrderedDict[str, datetime.timedelta] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._withdrawn)

    def note(self, id_: str, now: datetime.timedelta) -> None:
        """Note that a caller was told that a job does not exist."""
        self._withdrawn[id_] = now
        self._withdrawn.move_to_end(id_)
        while self._is_oldest_dispensable(now):
            self._withdrawn.popitem(last=False)

    def _is_oldest_dispensable(self, now: datetime.timedelta) -> bool:
        noted_at = next(iter(self._withdrawn.values()))
        is_late = now - noted_at > _WITHDRAWAL_PERIOD
        return is_late or len(self._withdrawn) > _MAX_WITHDRAWN_JOBS

    def covers(self, id_: str, sent_at: datetime.timedelta | None) -> bool:
        """Tell whether a job was cancelled after it was submitted.

        :param sent_at: when it was submitted; None if that is not known
        """
        withdrawn_at = self._withdrawn.get(id_)
        if withdrawn_at is None or sent_at is None:
            return False
        return sent_at <= withdrawn_at
