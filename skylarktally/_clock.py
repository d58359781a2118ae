"""Time as an interface, so that decisions can be tested without waiting."""

import datetime
import time
from typing import Protocol

from skylarktally import _loop


class Clock(Protocol):
    """Source of wall time, of monotonic time, and of delays."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point."""

    def sleep(self, delay: datetime.timedelta) -> None:
        """Suspend the calling green thread for the delay."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since boot of the machine."""
        return datetime.timedelta(seconds=time.monotonic())

    def sleep(self, delay: datetime.timedelta) -> None:
        """Suspend the calling green thread for the delay."""
        _loop.sleep(max(delay.total_seconds(), 0))
