"""Wake-up signal for a green thread that waits for work."""

import datetime
import queue

from skylarktally import _loop


class Signal:
    """Auto-reset event: one green thread waits for it, others set it."""

    def __init__(self) -> None:
        self._queue = _loop.Queue(1)

    def set(self) -> None:
        """Wake the waiting thread, or make the next wait return at once."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # The signal is already set.
            return

    def wait(self, timeout: datetime.timedelta) -> bool:
        """Wait until the signal is set, and clear it; False on timeout."""
        seconds = timeout.total_seconds()
        try:
            if seconds <= 0:
                self._queue.get_nowait()
            else:
                self._queue.get(timeout=seconds)
        except queue.Empty:
            return False
        return True
