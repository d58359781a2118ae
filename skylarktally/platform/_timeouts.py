"""Timeouts that follow the response times of a server."""

import datetime

# Weights of a new response time, as for the retransmission timer of TCP.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
# The timeout is this multiple of the mean, and of the mean deviation.
_MEAN_FACTOR = 2
_DEVIATION_FACTOR = 4
# Growth with each request without an answer.
_BACKOFF_FACTOR = 1.5


class AdaptiveTimeout:
    """Timeout of a kind of request, between two limits.

    It starts at the upper limit, grows with each request without an answer,
    and follows the response times again with the next answer.
    """

    def __init__(
        self, minimum: datetime.timedelta, maximum: datetime.timedelta
    ) -> None:
        self.current = maximum
        self._minimum = minimum
        self._maximum = maximum
        self._mean: datetime.timedelta | None = None
        self._deviation = datetime.timedelta()

    def record_answer(self, elapsed: datetime.timedelta) -> None:
        """Record the time from a request to its answer."""
        if self._mean is None:
            self._mean, self._deviation = elapsed, elapsed / 2
        else:
            difference = abs(elapsed - self._mean)
            self._deviation += _DEVIATION_WEIGHT * (
                difference - self._deviation
            )
            self._mean += _MEAN_WEIGHT * (elapsed - self._mean)
        self._set(
            _MEAN_FACTOR * self._mean + _DEVIATION_FACTOR * self._deviation
        )

    def record_loss(self) -> None:
        """Record a request without an answer."""
        self._set(_BACKOFF_FACTOR * self.current)

    def _set(self, timeout: datetime.timedelta) -> None:
        self.current = min(max(timeout, self._minimum), self._maximum)
