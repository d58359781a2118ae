"""Wake-up of a green thread that waits for something to do."""

import datetime
import queue

from skylarktally import _loop


class Signal:
    """Flag that one green thread waits for and others set."""

    def __init__(self) -> None:
        self._queue = _loop.Queue(1)

    def set(self) -> None:
        """Wake the waiting thread, or the next one that waits."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # It is set already.
            return

    def wait(self, timeout: datetime.timedelta) -> bool:
        """Wait until the flag is set and clear it; False on timeout."""
        seconds = timeout.total_seconds()
        try:
            if seconds <= 0:
                self._queue.get_nowait()
            else:
                self._queue.get(timeout=seconds)
        except queue.Empty:
            return False
        return True
