"""Decides whether and when a failed attempt is retried."""

import datetime
import enum
import random
from typing import NamedTuple

from skylarktally import _clock
from skylarktally import _limits


class FailureClass(enum.Enum):
    """Kind of failure, which decides whether a retry can help."""

    # The worker refused before the task started, so a retry is safe.
    NOT_STARTED = 'not_started'
    # The connection failed, went silent or ended too early.
    TRANSPORT = 'transport'
    # Status 502, 503 or 504: the worker or one of its dependencies failed.
    UNAVAILABLE = 'unavailable'
    # Status 500: the fault is in the worker or in the request itself.
    TASK = 'task'


def classify_status(status: int) -> FailureClass | None:
    """Return the failure class of a response status, None for no failure."""
    if status in (502, 503, 504):
        return FailureClass.UNAVAILABLE
    return FailureClass.TASK if status == 500 else None


class RetryRules(NamedTuple):
    """Rules in addition to jittered exponential delays and the deadline.

    docs/notes/retries.md gives the measurements behind the defaults.
    """

    # Retries a request only once after status 500.
    retry_task_failure_once: bool = True
    # Waits at least as long as Retry-After asks for.
    honour_retry_after: bool = True
    # Limits retries to a share of the pool's requests.
    budget: bool = True
    # Reserves half of the budget for urgent requests.
    reserve_for_urgent: bool = True


class FailedAttempt(NamedTuple):
    """What the decision about a retry needs to know of an attempt."""

    pool: str
    urgent: bool
    failure_class: FailureClass
    # False when the request may have run and must not run twice, or when
    # its body is no longer in memory.
    resendable: bool
    # Number of this attempt, starting at 1.
    attempt: int
    # On the monotonic clock.
    deadline: datetime.timedelta
    retry_after: datetime.timedelta | None = None


class RetryBudget:
    """Token bucket that limits retries to a share of a pool's requests."""

    def __init__(self, limits: _limits.ServingLimits) -> None:
        self._ratio = limits.retry_ratio
        self._capacity = float(limits.retry_budget_limit)
        self._tokens = self._capacity

    def note_request(self) -> None:
        """Add the tokens that one request earns."""
        self._tokens = min(self._tokens + self._ratio, self._capacity)

    def spend(self, min_reserve: float = 0.0) -> bool:
        """Take the token of one retry; return False if there are too few.

        :param min_reserve: share of the capacity that must remain
        """
        if self._tokens < 1 + min_reserve * self._capacity:
            return False
        self._tokens -= 1
        return True


class RetryPolicy:
    """Retries with jittered exponential delays, a deadline and a budget."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        rng: random.Random,
        rules: RetryRules | None = None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._random = rng
        self._rules = rules or RetryRules()
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, pool: str) -> None:
        """Add the share of a new request to the retry budget of its pool."""
        self._find_budget(pool).note_request()

    def _find_budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self._limits)
        return self._budgets[pool]

    def decide(self, failure: FailedAttempt) -> datetime.timedelta | None:
        """Return the delay before the next attempt, or None to give up."""
        if not failure.resendable or self._is_exhausted(failure):
            return None
        exponent = failure.attempt - 1
        max_delay = self._limits.retry_base_delay * 2**exponent
        max_delay = min(max_delay, self._limits.max_retry_delay)
        delay = max_delay * self._random.random()
        if self._rules.honour_retry_after and failure.retry_after:
            # The jitter spreads the retries of requests refused together.
            delay += failure.retry_after
        if self._clock.monotonic() + delay >= failure.deadline:
            return None
        return delay if self._spend_budget(failure) else None

    def _is_exhausted(self, failure: FailedAttempt) -> bool:
        if failure.attempt >= self._limits.max_attempts:
            return True
        task_failed = failure.failure_class is FailureClass.TASK
        # If a second worker fails it as well, the request is at fault.
        return (
            self._rules.retry_task_failure_once
            and task_failed
            and failure.attempt >= 2
        )

    def _spend_budget(self, failure: FailedAttempt) -> bool:
        not_started = failure.failure_class is FailureClass.NOT_STARTED
        if not_started or not self._rules.budget:
            return True
        min_reserve = 0.0
        if self._rules.reserve_for_urgent and not failure.urgent:
            min_reserve = 0.5
        return self._find_budget(failure.pool).spend(min_reserve)
