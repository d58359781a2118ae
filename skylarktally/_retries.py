"""Whether and when a failed attempt is made again."""

import datetime
import enum
import random

from skylarktally import _clock
from skylarktally import _limits


class FailureClass(enum.Enum):
    """What a failed attempt says about the request and the worker."""

    # The worker refused before starting; a resend is always safe.
    NOT_STARTED = 'not_started'
    # The connection failed, went silent or was cut short.
    TRANSPORT = 'transport'
    # The task answered 500, 502, 503 or 504.
    TASK = 'task'


class RetryBudget:
    """Retries of one pool, as a share of its requests."""

    def __init__(self, limits: _limits.ServingLimits) -> None:
        self._ratio = limits.retry_ratio
        self._most = float(limits.retry_reserve)
        self._tokens = self._most

    def note_request(self) -> None:
        """Earn the share of one request."""
        self._tokens = min(self._tokens + self._ratio, self._most)

    def spend(self) -> bool:
        """Pay for one retry; False when the budget is used up."""
        if self._tokens < 1:
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
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._random = source
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, pool: str) -> None:
        """Count a new request of a pool."""
        self._find_budget(pool).note_request()

    def _find_budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self._limits)
        return self._budgets[pool]

    def decide(
        self,
        pool: str,
        failure: FailureClass,
        resendable: bool,
        attempt: int,
        deadline: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Return the delay before the next attempt, or None to give up.

        :param resendable: False when the request may have run and must
            not run twice, or when its body cannot be sent again
        :param attempt: number of attempts made, from 1
        :param deadline: on the monotonic clock
        """
        refused = failure is FailureClass.NOT_STARTED
        if not resendable or attempt >= self._limits.attempts:
            return None
        ceiling = self._limits.retry_base * 2 ** (attempt - 1)
        ceiling = min(ceiling, self._limits.retry_cap)
        delay = ceiling * self._random.random()
        if self._clock.monotonic() + delay >= deadline:
            return None
        if not refused and not self._find_budget(pool).spend():
            return None
        return delay
