"""Requests of a pool owner to the advisor service."""

import datetime
import logging

from returns import result

from skylarktally import _clock
from skylarktally import _guards
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _sessions

_LOG = logging.getLogger(__name__)

_POLL_INTERVAL = datetime.timedelta(seconds=0.05)
_RETRY_DELAY = datetime.timedelta(seconds=0.2)


class AdviceRequester:
    """Asks which workers may run the waiting steps, one step at a time."""

    def __init__(
        self,
        host: _sessions.Host,
        advisor: _advice.Advisor,
        clock: _clock.Clock,
    ) -> None:
        self._host = host
        self._advisor = advisor
        self._clock = clock

    def run(self) -> None:
        """Send questions until the term of the owner ends."""
        guard = _guards.Guard('advice', self._clock)
        while not self._host.ledger.is_over:
            guard.attempt(self._ask_or_wait)

    def _ask_or_wait(self) -> None:
        if not self._ask():
            self._clock.sleep(_POLL_INTERVAL)

    def _ask(self) -> bool:
        """Send the most urgent question; False if there is none."""
        pool_state = self._host.pool_state
        now = self._clock.monotonic()
        question = _advice.choose_question(
            _planning.rank_groups(pool_state, now),
            pool_state.worker_states.values(),
            now,
        )
        if question is None:
            return False
        outcome = self._advisor.advise(
            question.group.id,
            tuple(record.id for record in question.workers),
            question.answer_time,
        )
        if isinstance(outcome, result.Success):
            _advice.record_answer(question, outcome.unwrap(), now)
            self._host.request_planning()
            return True
        _LOG.info(
            'advisor request failed',
            extra={
                'step': question.group.id,
                'failure': outcome.failure().kind.value,
            },
        )
        self._clock.sleep(_RETRY_DELAY)
        return True
