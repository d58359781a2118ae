"""Injected faults and rate limits of the platform stand-in."""

import collections
import random
from typing import Any


class Faults:
    """Injected faults, which can be changed while requests are running."""

    def __init__(self) -> None:
        self.down = False
        self.delay_seconds = 0.0
        self.list_lag_seconds = 0.0
        self._response_loss_ratio = 0.0
        self._random = random.Random(0)

    def update(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Set the given fields and return all of them.

        :param fields: any of ``down`` (refuse every request),
            ``delay_seconds`` (of every request),
            ``list_lag_seconds`` (age of the instance list), ``lose_answers``
            (ratio of responses to lose, from 0 to 1) and ``seed`` (of the
            random choice of lost responses)
        """
        self.down = bool(fields.get('down', self.down))
        self.delay_seconds = float(
            fields.get('delay_seconds', self.delay_seconds)
        )
        self.list_lag_seconds = float(
            fields.get('list_lag_seconds', self.list_lag_seconds)
        )
        self._response_loss_ratio = float(
            fields.get('lose_answers', self._response_loss_ratio)
        )
        if 'seed' in fields:
            self._random = random.Random(fields['seed'])
        return {
            'down': self.down,
            'delay_seconds': self.delay_seconds,
            'list_lag_seconds': self.list_lag_seconds,
            'lose_answers': self._response_loss_ratio,
        }

    def should_lose_response(self) -> bool:
        """Decide at random whether to lose the next response."""
        return self._random.random() < self._response_loss_ratio


class RateWindow:
    """Rate limit: a sliding window of one second."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._accepted: collections.deque[float] = collections.deque()
        self.total = 0
        self.refused = 0
        self.peak = 0

    def admit(self, now: float) -> bool:
        """Accept a request unless the window is full, and count it.

        :param now: monotonic time in seconds
        """
        while self._accepted and self._accepted[0] <= now - 1:
            self._accepted.popleft()
        if len(self._accepted) >= self._limit:
            self.refused += 1
            return False
        self._accepted.append(now)
        self.total += 1
        self.peak = max(self.peak, len(self._accepted))
        return True

    def report(self) -> dict[str, int]:
        """Return the counts of requests since the start, and the peak rate."""
        return {
            'total': self.total,
            'refused': self.refused,
            'peak_per_second': self.peak,
        }
