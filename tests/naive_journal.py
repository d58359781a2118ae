"""Baseline without transaction ids: resends when a response is lost."""

from returns import result

from skylarktally import _errors
from skylarktally import _journal

_RETRIED = (_errors.ErrorKind.CONFLICT, _errors.ErrorKind.OUTCOME_UNKNOWN)


class NaiveJournal(_journal.Journal):
    """Journal that treats an unknown outcome like a conflict.

    It keeps the condition on the head, so it differs from the real one only
    in that it doesn't look up the transaction id in the log.
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
            if outcome.failure().kind not in _RETRIED or not backoff.wait():
                return outcome

    def _commit_until_resolved(self, transaction, record):
        return self._table.commit(transaction).map(lambda _: record['version'])
