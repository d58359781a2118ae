"""Baseline without transaction ids: sends again when an answer is lost."""

from returns import result

from skylarktally import _errors
from skylarktally import _journal

_RESENT = (_errors.ErrorKind.CONFLICT, _errors.ErrorKind.OUTCOME_UNKNOWN)


class NaiveJournal(_journal.Journal):
    """Journal that treats an unknown outcome like a conflict.

    It keeps the condition on the head, so that only the missing look-up of
    the transaction id distinguishes it.
    """

    def transact(self, decide, lease_conditions=()):
        backoff = self._start_backoff()
        while True:
            refreshed = self.refresh()
            if not isinstance(refreshed, result.Success):
                return refreshed
            changes = decide(self._fleet).unwrap()
            outcome = self.propose(
                changes, self._fleet.version, lease_conditions
            )
            if isinstance(outcome, result.Success):
                return outcome
            if outcome.failure().kind not in _RESENT or not backoff.wait():
                return outcome

    def _settle(self, transaction, record):
        return self._table.commit(transaction).map(lambda _: record['version'])
