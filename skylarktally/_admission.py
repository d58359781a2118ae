"""Bounded request queues of the pools, with early refusal.

Each pool has a queue of its own. Urgent requests go before deferrable ones,
and each urgency has its own length limit. A request that is expected to
wait beyond its deadline is refused on arrival.
"""

import datetime
import heapq
import itertools

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _loop

URGENCIES = ('urgent', 'deferrable')
# Weight of a new sample in the exponential moving averages.
_NEWEST_SAMPLE_WEIGHT = 0.1


class Waiter:
    """One request in the queue of its pool."""

    def __init__(
        self, rank: int, number: int, deadline: datetime.timedelta
    ) -> None:
        self.rank = rank
        self.number = number
        self.deadline = deadline
        self.event: _loop.Event | None = None
        # Whether the request counts towards the length of the queue.
        self.counted = False

    def __lt__(self, other: 'Waiter') -> bool:
        return (self.rank, self.number) < (other.rank, other.number)


class _RateMeter:
    """Arrival rate in requests per second, averaged over a few seconds."""

    def __init__(self, now: datetime.timedelta) -> None:
        self.arrivals = 0
        self._rate = 0.0
        self._updated_at = now

    def read(self, now: datetime.timedelta) -> float:
        elapsed = (now - self._updated_at).total_seconds()
        if elapsed >= 1:
            rate = self.arrivals / elapsed
            self._rate += (rate - self._rate) * min(0.3 * elapsed, 1)
            self.arrivals = 0
            self._updated_at = now
        return self._rate


class PoolQueue:
    """Waiting requests of one pool, urgent ones first."""

    def __init__(
        self, clock: _clock.Clock, limits: _limits.ServingLimits
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._numbers = itertools.count()
        self._heap: list[Waiter] = []
        self._lengths = [0, 0]
        # Number of running tasks by rank, which is an index of URGENCIES.
        self._running = [0, 0]
        self.refused = 0
        now = clock.monotonic()
        self._rate_meters = (_RateMeter(now), _RateMeter(now))
        # Mean time that a task occupies a slot; None until one has ended.
        self._mean_hold_seconds: float | None = None
        self._mean_hold_seconds_by_rank: list[float | None] = [None, None]

    @property
    def running(self) -> int:
        """Return the number of running tasks of both urgencies."""
        return sum(self._running)

    def count_waiting(self) -> int:
        """Count the waiting requests of both urgencies."""
        return sum(self._lengths)

    def observe(self, now: datetime.timedelta) -> dict[str, float]:
        """Return totals of the queue, and the deferrable part of each."""
        urgent, deferrable = (meter.read(now) for meter in self._rate_meters)
        urgent_hold, deferrable_hold = self._mean_hold_seconds_by_rank
        deferrable_load = deferrable * (deferrable_hold or 0.0)
        return {
            'queue_length': self.count_waiting(),
            'arrival_rate': urgent + deferrable,
            'running': self.running,
            'refused': self.refused,
            'deferrable_queue_length': self._lengths[1],
            'deferrable_arrival_rate': deferrable,
            'deferrable_running': self._running[1],
            # Slots needed to keep up: arrival rate times mean hold time.
            'load': urgent * (urgent_hold or 0.0) + deferrable_load,
            'deferrable_load': deferrable_load,
        }

    def estimate_wait(self, rank: int, slots: int) -> datetime.timedelta:
        """Estimate how long a new request of this rank would wait.

        The requests of the same and of more urgent ranks run first, as
        many at a time as the pool has slots.

        :param slots: number of tasks that the pool can run at once
        """
        ahead = sum(self._lengths[: rank + 1])
        if self._mean_hold_seconds is None or (
            ahead == 0 and self.running < slots
        ):
            return datetime.timedelta()
        turns = (ahead + 1) / max(slots, 1)
        return datetime.timedelta(seconds=turns * self._mean_hold_seconds)

    def admit(
        self, urgency: str, deadline: datetime.timedelta, slots: int
    ) -> result.Result[Waiter, _errors.Failure]:
        """Admit a request, or refuse it if it cannot be served in time.

        :param deadline: on the monotonic clock
        :param slots: number of tasks that the pool can run at once
        :returns: a waiter that is not queued yet; QUEUE_FULL when the
            queue of its urgency is at its limit, or DEADLINE_EXCEEDED,
            both with a delay after which to retry
        """
        rank = URGENCIES.index(urgency)
        now = self._clock.monotonic()
        wait = self.estimate_wait(rank, slots)
        self._rate_meters[rank].arrivals += 1
        self._rate_meters[rank].read(now)
        kind = None
        if self._lengths[rank] >= self._limits.queue_limit:
            kind = _errors.ErrorKind.QUEUE_FULL
        elif now + wait > deadline:
            kind = _errors.ErrorKind.DEADLINE_EXCEEDED
        if kind is not None:
            self.refused += 1
            retry_after = max(wait, datetime.timedelta(seconds=1))
            message = f'the estimated wait is {wait.total_seconds():.1f} s'
            return result.Failure(_errors.Failure(kind, message, retry_after))
        return result.Success(Waiter(rank, next(self._numbers), deadline))

    def is_first(self, waiter: Waiter) -> bool:
        """Tell whether no waiting request comes before this one."""
        return not self._heap or waiter < self._heap[0]

    def wait(self, waiter: Waiter) -> bool:
        """Block until this request should try again to get a slot.

        A request at the head of the queue waits for one poll interval at
        most. The request counts towards the queue length until `leave` is
        called, also while it tries: a new request could otherwise fill
        the queue before this one waits again.

        :returns: False when the deadline has passed
        """
        waiter.event = event = _loop.Event()
        heapq.heappush(self._heap, waiter)
        if not waiter.counted:
            waiter.counted = True
            self._lengths[waiter.rank] += 1
        remaining = waiter.deadline - self._clock.monotonic()
        if self._heap[0] is waiter:
            remaining = min(remaining, self._limits.poll_interval)
        try:
            event.wait(max(remaining.total_seconds(), 0))
        except BaseException:
            self.leave(waiter)
            raise
        finally:
            if waiter.event is not None:
                self._remove(waiter)
        return self._clock.monotonic() < waiter.deadline

    def _remove(self, waiter: Waiter) -> None:
        waiter.event = None
        if self._heap[0] is waiter:
            heapq.heappop(self._heap)
        else:
            self._heap.remove(waiter)
            heapq.heapify(self._heap)

    def leave(self, waiter: Waiter) -> None:
        """Stop counting the request; valid also if it never waited."""
        if waiter.counted:
            waiter.counted = False
            self._lengths[waiter.rank] -= 1

    def wake(self) -> None:
        """Wake the first waiting request so that it tries again."""
        if self._heap:
            waiter = self._heap[0]
            event = waiter.event
            self._remove(waiter)
            if event is not None:
                event.send()

    def note_start(self, rank: int) -> None:
        """Count a task that has got a slot."""
        self._running[rank] += 1

    def note_end(self, rank: int, hold_time: datetime.timedelta) -> None:
        """Record the end of a task and wake the first waiting request.

        :param hold_time: how long the task occupied its slot
        """
        self._running[rank] -= 1
        seconds = hold_time.total_seconds()
        self._mean_hold_seconds = _update_average(
            self._mean_hold_seconds, seconds
        )
        self._mean_hold_seconds_by_rank[rank] = _update_average(
            self._mean_hold_seconds_by_rank[rank], seconds
        )
        self.wake()


def _update_average(mean: float | None, sample: float) -> float:
    """Return the exponential moving average after one more sample."""
    return (
        sample
        if mean is None
        else mean + (sample - mean) * _NEWEST_SAMPLE_WEIGHT
    )
