"""A process's share of the platform's rates, and the request path's limits."""

import datetime
import random
from typing import NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors

# A caller that would wait longer is refused and may do other work.
_WAIT_LIMIT = datetime.timedelta(seconds=2)


class TokenBucket:
    """Limit on a rate, with a burst of a quarter of a second's worth."""

    def __init__(self, clock: _clock.Clock, per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        # All processes may spend their burst in the same second, on top of
        # their rate; a quarter keeps the sum below the platform's limits.
        self._burst = max(per_second / 4, 1.0)
        self._tokens = self._burst
        self._filled_at = clock.monotonic()

    def acquire(self) -> result.Result[None, _errors.Failure]:
        """Take a token, waiting for it; RATE_LIMITED if that takes long."""
        now = self._clock.monotonic()
        elapsed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(
            self._burst, self._tokens + elapsed * self._per_second
        )
        wait = datetime.timedelta(
            seconds=max(0.0, (1 - self._tokens) / self._per_second)
        )
        if wait > _WAIT_LIMIT:
            return result.Failure(
                _errors.Failure(
                    _errors.ErrorKind.RATE_LIMITED,
                    'own share of the platform rate is used up',
                    retry_after=wait,
                )
            )
        # Tokens may go below zero: later callers queue behind this one.
        self._tokens -= 1
        if wait:
            self._clock.sleep(wait)
        return result.Success(None)


class Limits:
    """Rates and timeouts that all platform clients of a process share."""

    def __init__(
        self,
        clock: _clock.Clock,
        writes_per_second: float,
        reads_per_second: float,
        connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1),
        response_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> None:
        self.writes = TokenBucket(clock, writes_per_second)
        self.reads = TokenBucket(clock, reads_per_second)
        self.connect_timeout = connect_timeout
        self.response_timeout = response_timeout


class Backoff:
    """Growing delays with full jitter, up to a total time."""

    def __init__(
        self,
        clock: _clock.Clock,
        source: random.Random,
        limit: datetime.timedelta,
        first: datetime.timedelta = datetime.timedelta(milliseconds=100),
        longest: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> None:
        self._clock = clock
        self._random = source
        self._end = clock.monotonic() + limit
        self._next = first
        self._longest = longest

    def wait(self) -> bool:
        """Sleep before the next attempt; False when time is up."""
        delay = self._next * self._random.random()
        if self._clock.monotonic() + delay >= self._end:
            return False
        self._next = min(self._next * 2, self._longest)
        self._clock.sleep(delay)
        return True


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


class ServingLimits(NamedTuple):
    """Times, sizes and counts that bound the request path."""

    lease_ttl: datetime.timedelta = _seconds(10)
    # A lease is not used this long before its expiry, which covers a
    # pause between the check and the arrival of the task at the worker.
    lease_margin: datetime.timedelta = _seconds(2)
    lease_idle: datetime.timedelta = _seconds(1)
    # A lease held longer is given back after its task, so that a busy
    # router does not keep the slots from the other routers of the zone.
    lease_tenure: datetime.timedelta = _seconds(3)
    # 64 connections of a worker over at most 4 routers in a zone.
    worker_connections: int = 16
    routers_per_zone: int = 4
    connect_timeout: datetime.timedelta = _seconds(1)
    # Longest time without a byte before the connection is checked
    # against a probe on a new one.
    response_timeout: datetime.timedelta = _seconds(2)
    probe_timeout: datetime.timedelta = _seconds(1)
    idle_connection: datetime.timedelta = _seconds(5)
    queue_limit: int = 256
    # How soon the first waiter asks again when no worker has room.
    poll_interval: datetime.timedelta = _seconds(0.05)
    default_deadline: datetime.timedelta = _seconds(10)
    longest_deadline: datetime.timedelta = _seconds(3600)
    retry_ratio: float = 0.1
    # Retries that the budget holds at most. 10 ran out in the first
    # second of a short fault; see docs/notes/retries.md.
    retry_reserve: int = 300
    retry_base: datetime.timedelta = _seconds(0.025)
    retry_cap: datetime.timedelta = _seconds(1)
    attempts: int = 4
    eject_after: int = 5
    eject_first: datetime.timedelta = _seconds(1)
    eject_longest: datetime.timedelta = _seconds(30)
    ejected_share: float = 0.5
    piece_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_bytes: int = 16 * 1024
    client_connections: int = 1024
    header_timeout: datetime.timedelta = _seconds(10)
    progress_timeout: datetime.timedelta = _seconds(30)
    answer_bytes: int = 64 * 1024
    answers: int = 10000
    key_age: datetime.timedelta = _seconds(600)
