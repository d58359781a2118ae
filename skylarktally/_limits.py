"""A process's share of the platform's rates, and the request path's limits."""

import collections
import datetime
import random
from typing import NamedTuple

from returns import result

from skylarktally import _clock
from skylarktally import _errors

# A caller that would wait longer is refused and may do other work.
_WAIT_LIMIT = datetime.timedelta(seconds=2)
# Entries that are assumed while they have not been counted.
_ASSUMED_ENTRIES = 24
# Part of the rates that is divided; the rest is for a zone of three entries
# that the others do not see yet, at the target of 24.
_DIVIDED = 7 / 8
# A cut between regions lasts an hour now and then; the entries on its other
# side keep their part for longer than that.
_KEEP_COUNT = datetime.timedelta(hours=2)


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

    def set_rate(self, per_second: float) -> None:
        """Change the rate from now on."""
        self._fill()
        self._per_second = per_second
        self._burst = max(per_second / 4, 1.0)

    def acquire(self) -> result.Result[None, _errors.Failure]:
        """Take a token, waiting for it; RATE_LIMITED if that takes long."""
        self._fill()
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

    def _fill(self) -> None:
        now = self._clock.monotonic()
        elapsed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(
            self._burst, self._tokens + elapsed * self._per_second
        )


class Rates(NamedTuple):
    """Requests a second."""

    writes: float
    reads: float


class PlatformLimits:
    """Rates and timeouts that all platform clients of a process share."""

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


# What all routers and all controllers may use, section 6 of the design.
ROUTER_RATES = Rates(100, 250)
CONTROLLER_RATES = Rates(50, 250)


class RateShares:
    """Divides rates by the number of live entries, as one process sees it.

    A view that is too small would let the sum exceed the rates. An assumed
    number of entries therefore counts until the process has reached the
    platform for some time, and a lower count replaces a higher one only
    after two hours.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        limits: PlatformLimits,
        rates: Rates,
        settle: datetime.timedelta,
        assumed: int = _ASSUMED_ENTRIES,
    ) -> None:
        """Create the shares and set the limits for the assumed entries.

        :param limits: their first rates are the most this process may use
        :param settle: time in which the others become known
        """
        self._clock = clock
        self._limits = limits
        self._rates = rates
        self._caps = limits.rates
        self._settle = settle
        self._assumed = assumed
        self._reached_since: datetime.timedelta | None = None
        # Counts that are highest from their time on, the highest first.
        self._counts: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )
        self.current = self._caps
        self._set(assumed)

    def update(self, live: int | None, reached: bool) -> None:
        """Take in the live entries, None when they are not known.

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
        while self._counts and now - self._counts[0][0] > _KEEP_COUNT:
            self._counts.popleft()
        count = self._counts[0][1] if self._counts else 0
        since = self._reached_since
        if since is None or now - since < self._settle:
            count = max(count, self._assumed)
        self._set(max(count, 1))

    def _set(self, entries: int) -> None:
        self.current = Rates(
            min(self._rates.writes * _DIVIDED / entries, self._caps.writes),
            min(self._rates.reads * _DIVIDED / entries, self._caps.reads),
        )
        self._limits.writes.set_rate(self.current.writes)
        self._limits.reads.set_rate(self.current.reads)


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
    lease_idle_timeout: datetime.timedelta = _seconds(1)
    # A lease held longer is given back after its task, so that a busy
    # router does not keep the slots from the other routers of the zone.
    max_lease_hold: datetime.timedelta = _seconds(3)
    # 64 connections of a worker over at most 4 routers in a zone.
    max_connections_per_worker: int = 16
    routers_per_zone: int = 4
    connect_timeout: datetime.timedelta = _seconds(1)
    # Longest time without a byte before the connection is checked
    # against a probe on a new one.
    response_timeout: datetime.timedelta = _seconds(2)
    probe_timeout: datetime.timedelta = _seconds(1)
    connection_idle_timeout: datetime.timedelta = _seconds(5)
    queue_limit: int = 256
    # How soon the first waiter asks again when no worker has room.
    poll_interval: datetime.timedelta = _seconds(0.05)
    default_deadline: datetime.timedelta = _seconds(10)
    max_deadline: datetime.timedelta = _seconds(3600)
    retry_ratio: float = 0.1
    # Retries that the budget holds at most. 10 ran out in the first
    # second of a short fault; see docs/notes/retries.md.
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
