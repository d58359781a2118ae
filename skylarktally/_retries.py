"""Whether and when a failed attempt is made again."""

import datetime
import enum
import random
from typing import NamedTuple

from skylarktally import _clock
from skylarktally import _limits


class FailureClass(enum.Enum):
    """What a failed attempt says about the request and the worker."""

    # The worker refused before starting; a resend is always safe.
    NOT_STARTED = 'not_started'
    # The connection failed, went silent or was cut short.
    TRANSPORT = 'transport'
    # The task answered 502, 503 or 504: the worker or what it needs.
    UNAVAILABLE = 'unavailable'
    # The task answered 500: the worker or the request itself.
    TASK = 'task'


def classify_status(status: int) -> FailureClass | None:
    """Return the class of a task's answer, or None if it is no failure."""
    if status in (502, 503, 504):
        return FailureClass.UNAVAILABLE
    return FailureClass.TASK if status == 500 else None


class RetryRules(NamedTuple):
    """Rules on top of jittered exponential delays within the deadline.

    The defaults are those that docs/notes/retries.md measured as better.
    """

    # Sends a request that failed with 500 once more and no further.
    retry_task_failure_once: bool = True
    # Waits as long as the answer asks for.
    honour_retry_after: bool = True
    # Limits retries to a share of the requests of the pool.
    budget: bool = True
    # Keeps half of the budget for urgent requests.
    reserve_for_urgent: bool = True


class FailedAttempt(NamedTuple):
    """A failed attempt, as the decision sees it."""

    pool: str
    urgent: bool
    failure_class: FailureClass
    # False when the request may have run and must not run twice, or when
    # its body cannot be sent again.
    resendable: bool
    # Number of attempts made, from 1.
    attempt: int
    # On the monotonic clock.
    deadline: datetime.timedelta
    retry_after: datetime.timedelta | None = None


class RetryBudget:
    """Retries of one pool, as a share of its requests."""

    def __init__(self, limits: _limits.ServingLimits) -> None:
        self._ratio = limits.retry_ratio
        self._most = float(limits.retry_budget_limit)
        self._tokens = self._most

    def note_request(self) -> None:
        """Earn the share of one request."""
        self._tokens = min(self._tokens + self._ratio, self._most)

    def spend(self, kept: float = 0.0) -> bool:
        """Pay for one retry; False when the budget is used up.

        :param kept: share of the reserve that must remain afterwards
        """
        if self._tokens < 1 + kept * self._most:
            return False
        self._tokens -= 1
        return True


class RetryPolicy:
    """Jittered exponential delays within deadline and budget."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        source: random.Random,
        rules: RetryRules | None = None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._random = source
        self._rules = rules or RetryRules()
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, pool: str) -> None:
        """Count a new request of a pool."""
        self._find_budget(pool).note_request()

    def _find_budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self._limits)
        return self._budgets[pool]

    def decide(self, failure: FailedAttempt) -> datetime.timedelta | None:
        """Return the delay before the next attempt, or None to give up."""
        if not failure.resendable or self._is_hopeless(failure):
            return None
        exponent = failure.attempt - 1
        ceiling = self._limits.retry_base_delay * 2**exponent
        ceiling = min(ceiling, self._limits.max_retry_delay)
        delay = ceiling * self._random.random()
        if self._rules.honour_retry_after and failure.retry_after:
            # The jitter keeps callers that were refused together apart.
            delay += failure.retry_after
        if self._clock.monotonic() + delay >= failure.deadline:
            return None
        return delay if self._pay(failure) else None

    def _is_hopeless(self, failure: FailedAttempt) -> bool:
        if failure.attempt >= self._limits.max_attempts:
            return True
        task = failure.failure_class is FailureClass.TASK
        # When a second worker has failed it too, it is the request.
        return (
            self._rules.retry_task_failure_once
            and task
            and failure.attempt >= 2
        )

    def _pay(self, failure: FailedAttempt) -> bool:
        free = failure.failure_class is FailureClass.NOT_STARTED
        if free or not self._rules.budget:
            return True
        kept = 0.0
        if self._rules.reserve_for_urgent and not failure.urgent:
            kept = 0.5
        return self._find_budget(failure.pool).spend(kept)
