"""Bounded queues by pool and urgency, and early refusal."""

import datetime
import heapq
import itertools

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _loop

URGENCIES = ('urgent', 'deferrable')
# Weight of the newest sample in the moving averages.
_WEIGHT = 0.1


class Waiter:
    """Place of one request in the queue of its pool."""

    def __init__(
        self, rank: int, number: int, deadline: datetime.timedelta
    ) -> None:
        self.rank = rank
        self.number = number
        self.deadline = deadline
        self.event: _loop.Event | None = None
        # Whether the place counts towards the length of the queue.
        self.counted = False

    def __lt__(self, other: 'Waiter') -> bool:
        return (self.rank, self.number) < (other.rank, other.number)


class _RateMeter:
    """Requests a second, averaged over some seconds."""

    def __init__(self, now: datetime.timedelta) -> None:
        self.arrivals = 0
        self._rate = 0.0
        self._rate_from = now

    def read(self, now: datetime.timedelta) -> float:
        passed = (now - self._rate_from).total_seconds()
        if passed >= 1:
            rate = self.arrivals / passed
            self._rate += (rate - self._rate) * min(0.3 * passed, 1)
            self.arrivals = 0
            self._rate_from = now
        return self._rate


class PoolQueue:
    """Waiting requests of one pool, urgent before deferrable."""

    def __init__(
        self, clock: _clock.Clock, limits: _limits.ServingLimits
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._numbers = itertools.count()
        self._heap: list[Waiter] = []
        self._lengths = [0, 0]
        # Tasks that occupy a slot, by urgency.
        self._running = [0, 0]
        self.refused = 0
        now = clock.monotonic()
        self._meters = (_RateMeter(now), _RateMeter(now))
        # Time that a task holds a slot, in seconds; None before the first.
        self._held: float | None = None
        self._held_by_rank: list[float | None] = [None, None]

    @property
    def running(self) -> int:
        """Return the tasks that occupy a slot, of both urgencies."""
        return sum(self._running)

    def count_waiting(self) -> int:
        """Count the waiting requests of both urgencies."""
        return sum(self._lengths)

    def observe(self, now: datetime.timedelta) -> dict[str, float]:
        """Return the totals, and the part of them that is deferrable."""
        urgent, deferrable = (meter.read(now) for meter in self._meters)
        urgent_held, deferrable_held = self._held_by_rank
        deferrable_load = deferrable * (deferrable_held or 0.0)
        return {
            'queue_length': self.count_waiting(),
            'arrival_rate': urgent + deferrable,
            'running': self.running,
            'refused': self.refused,
            'deferrable_queue_length': self._lengths[1],
            'deferrable_arrival_rate': deferrable,
            'deferrable_running': self._running[1],
            # Slots that the arriving work needs, by measured run times.
            'load': urgent * (urgent_held or 0.0) + deferrable_load,
            'deferrable_load': deferrable_load,
        }

    def estimate_wait(self, rank: int, slots: int) -> datetime.timedelta:
        """Estimate how long a new request of this rank would wait.

        :param slots: tasks that the pool can run at once
        """
        ahead = sum(self._lengths[: rank + 1])
        if self._held is None or (ahead == 0 and self.running < slots):
            return datetime.timedelta()
        turns = (ahead + 1) / max(slots, 1)
        return datetime.timedelta(seconds=turns * self._held)

    def admit(
        self, urgency: str, deadline: datetime.timedelta, slots: int
    ) -> result.Result[Waiter, _errors.Failure]:
        """Give a place in the queue, or refuse early.

        :param deadline: on the monotonic clock
        """
        rank = URGENCIES.index(urgency)
        now = self._clock.monotonic()
        wait = self.estimate_wait(rank, slots)
        self._meters[rank].arrivals += 1
        self._meters[rank].read(now)
        kind = None
        if self._lengths[rank] >= self._limits.queue_limit:
            kind = _errors.ErrorKind.QUEUE_FULL
        elif now + wait > deadline:
            kind = _errors.ErrorKind.DEADLINE_EXCEEDED
        if kind is not None:
            self.refused += 1
            advice = max(wait, datetime.timedelta(seconds=1))
            message = f'the estimated wait is {wait.total_seconds():.1f} s'
            return result.Failure(_errors.Failure(kind, message, advice))
        return result.Success(Waiter(rank, next(self._numbers), deadline))

    def may_go(self, waiter: Waiter) -> bool:
        """Tell whether no waiting request has precedence."""
        return not self._heap or waiter < self._heap[0]

    def wait(self, waiter: Waiter) -> bool:
        """Suspend until it is this request's turn to try again.

        The place counts until it is left: a request that tries and waits
        again would otherwise find that a new one has taken its place.

        :returns: False when the deadline has passed
        """
        waiter.event = event = _loop.Event()
        heapq.heappush(self._heap, waiter)
        if not waiter.counted:
            waiter.counted = True
            self._lengths[waiter.rank] += 1
        left = waiter.deadline - self._clock.monotonic()
        if self._heap[0] is waiter:
            left = min(left, self._limits.poll_interval)
        try:
            event.wait(max(left.total_seconds(), 0))
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
        """Give up the place, after a wait or without one."""
        if waiter.counted:
            waiter.counted = False
            self._lengths[waiter.rank] -= 1

    def wake(self) -> None:
        """Let the first waiting request try again."""
        if self._heap:
            waiter = self._heap[0]
            event = waiter.event
            self._remove(waiter)
            if event is not None:
                event.send()

    def note_start(self, rank: int) -> None:
        """Count a task that occupies a slot."""
        self._running[rank] += 1

    def note_end(self, rank: int, held: datetime.timedelta) -> None:
        """Count a slot that became free after that time."""
        self._running[rank] -= 1
        seconds = held.total_seconds()
        self._held = _average(self._held, seconds)
        self._held_by_rank[rank] = _average(self._held_by_rank[rank], seconds)
        self.wake()


def _average(known: float | None, sample: float) -> float:
    """Return the moving average after one more sample."""
    return sample if known is None else known + (sample - known) * _WEIGHT
