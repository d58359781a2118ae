"""Limits of the orders that wait for answers of workers at the same time.

An order is given up after a fixed time, but its answer has to wait for all
orders that were sent before it: they share the processors and links of the
entry instance and of the worker. Without a limit, none of several hundred
orders is answered in time on a busy machine; all of them are stopped and sent
again, and given up again.

An order that waits here has not been sent, and need not be.
"""

import collections
from collections.abc import Callable, Iterator
import contextlib
import datetime

from skylarktally import _clock
from skylarktally import _loop

# To one worker that has just answered. Workers answer in about 1 ms.
_MAX_STARTS_PER_WORKER = 8
_MAX_OTHERS_PER_WORKER = 8
# Of all owners in a process. An order may take six times as long as on an idle
# machine and is still answered in time.
_MAX_STARTS = 64
_MAX_OTHERS = 64
# A worker that has not answered a start for this long may be gone. It gets a
# single one, so that many workers that fall silent together do not hold up the
# starts on the others.
_PROBE_AFTER = datetime.timedelta(seconds=0.4)


class _Turns:
    """Grants turns up to a limit that may change, in the order of arrival."""

    def __init__(self, find_limit: Callable[[], int]) -> None:
        self._find_limit = find_limit
        self._granted = 0
        self._waiting: collections.deque[_loop.Event] = collections.deque()

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Wait for a turn, and hold it in the context."""
        turn = _loop.Event()
        self._waiting.append(turn)
        self.grant()
        turn.wait()
        try:
            yield
        finally:
            self._granted -= 1
            self.grant()

    def grant(self) -> None:
        """Grant the turns that the limit allows."""
        while self._waiting and self._granted < self._find_limit():
            self._granted += 1
            self._waiting.popleft().send(None)


class OrderLimits:
    """Limits that all owners of a process share."""

    def __init__(self) -> None:
        self.starts = _Turns(lambda: _MAX_STARTS)
        # Stops and changes of pace do not wait for starts.
        self.others = _Turns(lambda: _MAX_OTHERS)


class WorkerOrders:
    """Turns of the orders to one worker."""

    def __init__(self, limits: OrderLimits, clock: _clock.Clock) -> None:
        self._limits = limits
        self._clock = clock
        # When a start was last answered.
        self._answered_at: datetime.timedelta | None = None
        self._starts = _Turns(self._limit_starts)
        self._prompt_starts = _Turns(lambda: _MAX_STARTS_PER_WORKER)
        self._others = _Turns(lambda: _MAX_OTHERS_PER_WORKER)

    def _limit_starts(self) -> int:
        if self._answered_at is None:
            return 1
        age = self._clock.monotonic() - self._answered_at
        return _MAX_STARTS_PER_WORKER if age <= _PROBE_AFTER else 1

    def note_answer(self) -> None:
        """Note that the worker has answered a start."""
        self._answered_at = self._clock.monotonic()
        self._starts.grant()

    @contextlib.contextmanager
    def await_start(self, is_prompt: bool) -> Iterator[None]:
        """Wait until a start may be sent, and hold its turn.

        :param is_prompt: whether the start only waits for others of this kind
            on the same worker
        """
        if is_prompt:
            with self._prompt_starts.hold():
                yield
            return
        with self._starts.hold(), self._limits.starts.hold():
            yield

    @contextlib.contextmanager
    def await_other(self, is_unresponsive: bool) -> Iterator[None]:
        """Wait until a stop or a change of pace may be sent.

        :param is_unresponsive: whether the worker does not answer; its orders
            are repeated until it does, and only wait for one another
        """
        with self._others.hold():
            if is_unresponsive:
                yield
                return
            with self._limits.others.hold():
                yield
