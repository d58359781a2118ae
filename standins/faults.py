"""Faults and rate limits that the platform stand-in can be given."""

import collections
import random
from typing import Any


class Faults:
    """Injected faults; every field can be set while requests run."""

    def __init__(self) -> None:
        self.down = False
        self.delay_seconds = 0.0
        self.list_lag_seconds = 0.0
        self._lose_answers = 0.0
        self._random = random.Random(0)

    def update(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Set the given fields and return all of them."""
        self.down = bool(fields.get('down', self.down))
        self.delay_seconds = float(
            fields.get('delay_seconds', self.delay_seconds)
        )
        self.list_lag_seconds = float(
            fields.get('list_lag_seconds', self.list_lag_seconds)
        )
        self._lose_answers = float(
            fields.get('lose_answers', self._lose_answers)
        )
        if 'seed' in fields:
            self._random = random.Random(fields['seed'])
        return {
            'down': self.down,
            'delay_seconds': self.delay_seconds,
            'list_lag_seconds': self.list_lag_seconds,
            'lose_answers': self._lose_answers,
        }

    def loses_answer(self) -> bool:
        """Decide whether the next answer is lost."""
        return self._random.random() < self._lose_answers


class RateWindow:
    """Limit on the requests accepted in any one second."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._accepted: collections.deque[float] = collections.deque()
        self.total = 0
        self.refused = 0
        self.peak = 0

    def admit(self, now: float) -> bool:
        """Count a request at a time in seconds, unless over the limit."""
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
        """Return the counts since the start."""
        return {
            'total': self.total,
            'refused': self.refused,
            'peak_per_second': self.peak,
        }
