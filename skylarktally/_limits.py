"""Limits on the rate of platform requests, and on the request path."""

import collections
import datetime
import random
from typing import NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors

# A request that would wait longer for a token is refused, so that its caller
# can do other work.
_MAX_TOKEN_WAIT = datetime.timedelta(seconds=2)
# Live entry instances assumed until they have been counted.
_ASSUMED_ENTRIES = 24
# Share of the rates that is divided among the known entry instances. The rest
# is for a zone of three entry instances that the others do not see yet, with
# 24 entry instances as the target.
_DIVIDED_SHARE = 7 / 8
# Time for which a higher count stays in force. A network partition between
# regions can last an hour, and the entry instances on its other side must keep
# their shares for longer than that.
_COUNT_RETENTION = datetime.timedelta(hours=2)


class TokenBucket:
    """Token bucket whose burst is a quarter of its rate per second."""

    def __init__(self, clock: _clock.Clock, per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        # All processes may use their burst in the same second, on top of
        # their rate. A quarter keeps the sum below the platform's limits.
        self._burst = max(per_second / 4, 1.0)
        self._tokens = self._burst
        self._refilled_at = clock.monotonic()

    def set_rate(self, per_second: float) -> None:
        """Change the rate and the burst from now on."""
        self._refill()
        self._per_second = per_second
        self._burst = max(per_second / 4, 1.0)

    def acquire(self) -> result.Result[None, _errors.Failure]:
        """Take a token, sleeping until it is available.

        Fails with RATE_LIMITED, without taking it, if the wait is too long.
        """
        self._refill()
        wait = datetime.timedelta(
            seconds=max(0.0, (1 - self._tokens) / self._per_second)
        )
        if wait > _MAX_TOKEN_WAIT:
            return result.Failure(
                _errors.Failure(
                    _errors.ErrorKind.RATE_LIMITED,
                    'this process has used up its share of the platform rate',
                    retry_after=wait,
                )
            )
        # The count may become negative: later callers wait longer.
        self._tokens -= 1
        if wait:
            self._clock.sleep(wait)
        return result.Success(None)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        elapsed = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(
            self._burst, self._tokens + elapsed * self._per_second
        )


class Rates(NamedTuple):
    """Requests per second."""

    writes: float
    reads: float


class PlatformLimits:
    """Rate limits and timeouts shared by a process's platform clients."""

    def __init__(
        self,
        clock: _clock.Clock,
        writes_per_second: float,
        reads_per_second: float,
        connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1),
        response_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> None:
        self.rates = Rates(writes_per_second, reads_per_second)
        self.writes = TokenBucket(clock, writes_per_second)
        self.reads = TokenBucket(clock, reads_per_second)
        self.connect_timeout = connect_timeout
        self.response_timeout = response_timeout


# Rates for all routers together and all controllers together, section 6 of
# the design.
ROUTER_RATES = Rates(100, 250)
CONTROLLER_RATES = Rates(50, 250)


class RateShares:
    """Divides rates by the live entry instances, as one process counts them.

    If the processes counted too few entry instances, the sum of their shares
    would exceed the rates. The count is therefore at least an assumed number
    until the process has reached the platform for the settle time, and a
    lower count replaces a higher one only after two hours.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        limits: PlatformLimits,
        rates: Rates,
        settle: datetime.timedelta,
        assumed: int = _ASSUMED_ENTRIES,
    ) -> None:
        """Set the limits to the share for the assumed entry instances.

        :param limits: limits to adjust; their initial rates are the maximum
            for this process
        :param rates: rates to divide
        :param settle: time that the process needs to discover the other
            entry instances
        :param assumed: assumed number of entry instances
        """
        self._clock = clock
        self._limits = limits
        self._rates = rates
        self._max_rates = limits.rates
        self._settle = settle
        self._assumed = assumed
        self._reached_since: datetime.timedelta | None = None
        # Time and value of each count that no later count has reached, the
        # highest and oldest first: the window of a sliding maximum.
        self._counts: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )
        self.current = self._max_rates
        self._set_limits(assumed)

    def update(self, live: int | None, reached: bool) -> None:
        """Record the number of live entry instances and adjust the limits.

        :param live: None when the number is unknown
        :param reached: whether the last call of the platform succeeded
        """
        now = self._clock.monotonic()
        if not reached or live is None:
            self._reached_since = None
        elif self._reached_since is None:
            self._reached_since = now
        if live is not None:
            while self._counts and self._counts[-1][1] <= live:
                self._counts.pop()
            self._counts.append((now, live))
        while self._counts and now - self._counts[0][0] > _COUNT_RETENTION:
            self._counts.popleft()
        count = self._counts[0][1] if self._counts else 0
        since = self._reached_since
        if since is None or now - since < self._settle:
            count = max(count, self._assumed)
        self._set_limits(max(count, 1))

    def _set_limits(self, entries: int) -> None:
        self.current = Rates(
            min(
                self._rates.writes * _DIVIDED_SHARE / entries,
                self._max_rates.writes,
            ),
            min(
                self._rates.reads * _DIVIDED_SHARE / entries,
                self._max_rates.reads,
            ),
        )
        self._limits.writes.set_rate(self.current.writes)
        self._limits.reads.set_rate(self.current.reads)


class Backoff:
    """Exponential backoff with full jitter, up to a total time."""

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
        self._deadline = clock.monotonic() + limit
        self._max_delay = first
        self._longest = longest

    def wait(self) -> bool:
        """Sleep before the next attempt.

        Return False, without sleeping, when the delay would exceed the total
        time.
        """
        delay = self._max_delay * self._random.random()
        if self._clock.monotonic() + delay >= self._deadline:
            return False
        self._max_delay = min(self._max_delay * 2, self._longest)
        self._clock.sleep(delay)
        return True


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


class ServingLimits(NamedTuple):
    """Timeouts, sizes and counts that limit the request path of a router."""

    lease_ttl: datetime.timedelta = _seconds(10)
    # A lease is no longer used this long before its expiry. Covers a pause
    # of the router between the check and the arrival of the task at the
    # worker.
    lease_margin: datetime.timedelta = _seconds(2)
    lease_idle_timeout: datetime.timedelta = _seconds(1)
    # A lease held for longer is released after its task, so that a busy
    # router does not keep all slots from the other routers of the zone.
    max_lease_hold: datetime.timedelta = _seconds(3)
    # The 64 connections of a worker, divided among at most 4 routers in a
    # zone.
    max_connections_per_worker: int = 16
    routers_per_zone: int = 4
    connect_timeout: datetime.timedelta = _seconds(1)
    # Time without a byte after which the worker is probed on a new
    # connection, to detect that the old one is silent.
    response_timeout: datetime.timedelta = _seconds(2)
    probe_timeout: datetime.timedelta = _seconds(1)
    connection_idle_timeout: datetime.timedelta = _seconds(5)
    queue_limit: int = 256
    # Interval at which the first request in the queue tries again when no
    # worker has a free slot.
    poll_interval: datetime.timedelta = _seconds(0.05)
    default_deadline: datetime.timedelta = _seconds(10)
    max_deadline: datetime.timedelta = _seconds(3600)
    retry_ratio: float = 0.1
    # Maximum number of retries in the retry budget of a pool. 10 were used
    # up in the first second of a short fault; see docs/notes/retries.md.
    retry_budget_limit: int = 300
    retry_base_delay: datetime.timedelta = _seconds(0.025)
    max_retry_delay: datetime.timedelta = _seconds(1)
    max_attempts: int = 4
    ejection_threshold: int = 5
    min_ejection_time: datetime.timedelta = _seconds(1)
    max_ejection_time: datetime.timedelta = _seconds(30)
    max_ejected_share: float = 0.5
    chunk_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    max_client_connections: int = 1024
    header_timeout: datetime.timedelta = _seconds(10)
    progress_timeout: datetime.timedelta = _seconds(30)
    max_recorded_answer_bytes: int = 64 * 1024
    max_recorded_answers: int = 10000
    key_retention: datetime.timedelta = _seconds(600)
