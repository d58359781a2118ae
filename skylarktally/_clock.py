"""Interface of a clock, so that tests can replace real time."""

import datetime
import time
from typing import Protocol

from skylarktally import _loop


class Clock(Protocol):
    """Source of wall-clock time, monotonic time and delays."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point.

        Includes time in which the machine was suspended, so that a lease
        also ends in that time.
        """

    def sleep(self, delay: datetime.timedelta) -> None:
        """Suspend the calling green thread for the delay."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since the machine booted."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def sleep(self, delay: datetime.timedelta) -> None:
        """Suspend the calling green thread for the delay."""
        _loop.sleep(max(delay.total_seconds(), 0))
