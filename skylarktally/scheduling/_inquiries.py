"""Requests of pool owners to the advisor service.

The service answers the questions of one entry instance one after the other,
and all owners of a process ask as that entry instance. A question that is
sent while another one is open would wait for its answer and could be given
up before its turn; the service would go on to answer what nobody waits for.
"""

from collections.abc import Callable
import datetime
import logging
from typing import NamedTuple

import prometheus_client
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _sessions

_LOG = logging.getLogger(__name__)

QUESTIONS = prometheus_client.Counter(
    'skylarktally_advisor_questions',
    'Questions to the advisor service',
    ['outcome'],
)
QUESTION_SECONDS = prometheus_client.Histogram(
    'skylarktally_advisor_question_seconds',
    'Time from a question to its answer, or until it is given up',
    buckets=(0.1, 0.2, 0.5, 1, 2, 3, 5, 8, 13),
)

_POLL_INTERVAL = datetime.timedelta(seconds=0.05)
_RETRY_DELAY = datetime.timedelta(seconds=0.2)
# Added to the time that the service needs for an answer.
_MARGIN = datetime.timedelta(seconds=1)
# How long a question waits at most for those that were given up, unless each
# needs more.
_MAX_BACKLOG = datetime.timedelta(seconds=3)
_NONE = datetime.timedelta()

ChooseQuestion = Callable[[], _advice.Question | None]


class Reply(NamedTuple):
    """A question and its outcome."""

    question: _advice.Question
    outcome: result.Result[_advice.Answer, _errors.Failure]
    sent_at: datetime.timedelta


class AdvisorQueue:
    """Sends the questions of all owners in a process one at a time."""

    def __init__(self, advisor: _advice.Advisor, clock: _clock.Clock) -> None:
        self._advisor = advisor
        self._clock = clock
        # Grants the waiting owners their turns in the order of arrival.
        self._turn = _loop.Semaphore()
        # Time that the service may still need for questions that were given
        # up since its last answer: it may not notice that nobody waits, or be
        # slower than its policy says.
        self._backlog = _NONE

    def ask(self, choose: ChooseQuestion) -> Reply | None:
        """Wait for the turn of the caller, then ask; None without a question.

        :param choose: called when it is the caller's turn, since what is
            missing changes while it waits
        """
        with self._turn:
            question = choose()
            if question is None:
                return None
            sent_at = self._clock.monotonic()
            outcome = self._advisor.advise(
                question.group.id,
                tuple(record.id for record in question.workers),
                question.answer_time + self._backlog + _MARGIN,
            )
            self._note_outcome(question, outcome, sent_at)
        return Reply(question, outcome, sent_at)

    def _note_outcome(
        self,
        question: _advice.Question,
        outcome: result.Result[_advice.Answer, _errors.Failure],
        sent_at: datetime.timedelta,
    ) -> None:
        elapsed = self._clock.monotonic() - sent_at
        QUESTION_SECONDS.observe(elapsed.total_seconds())
        if isinstance(outcome, result.Success):
            QUESTIONS.labels('answered').inc()
            self._backlog = _NONE
            return
        failure = outcome.failure()
        QUESTIONS.labels(failure.kind.value).inc()
        if failure.kind is _errors.ErrorKind.OUTCOME_UNKNOWN:
            limit = max(_MAX_BACKLOG, question.answer_time)
            self._backlog = min(self._backlog + elapsed, limit)
        _LOG.info(
            'advisor request failed',
            extra={
                'step': question.group.id,
                'workers': len(question.workers),
                'failure': failure.kind.value,
                'reason': failure.message,
                'waited_s': round(elapsed.total_seconds(), 2),
                'backlog_s': round(self._backlog.total_seconds(), 2),
            },
        )


class AdviceRequester:
    """Asks which workers may run the waiting steps of a pool."""

    def __init__(
        self,
        host: _sessions.Host,
        advisor: AdvisorQueue,
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
        reply = self._advisor.ask(self._choose)
        if reply is None:
            self._clock.sleep(_POLL_INTERVAL)
        elif isinstance(reply.outcome, result.Success):
            _advice.record_answer(
                reply.question, reply.outcome.unwrap(), reply.sent_at
            )
            self._host.request_planning()
        else:
            self._clock.sleep(_RETRY_DELAY)

    def _choose(self) -> _advice.Question | None:
        """Return the most urgent question; None if nothing is missing."""
        if not self._host.ledger.holds_term():
            return None
        pool_state = self._host.pool_state
        now = self._clock.monotonic()
        return _advice.choose_question(
            _planning.rank_groups(pool_state, now),
            pool_state.worker_states.values(),
            now,
        )
