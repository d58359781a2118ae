"""Forecast of the processor time that arriving jobs will use.

The load it answers: a queue that begins to surge. Until its first tasks
end, the work that is ready is far below what the surge will come to; the
rate of arrivals tells it some seconds earlier.
"""

import collections
import datetime
from typing import NamedTuple

# Arrivals of this time tell the rate.
_WINDOW = datetime.timedelta(seconds=0.8)


class _Arrival(NamedTuple):
    at: datetime.timedelta
    # In time of one millicore.
    work: datetime.timedelta


class Arrivals:
    """Jobs that have arrived lately."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[_Arrival] = collections.deque()

    def note(self, now: datetime.timedelta, work: datetime.timedelta) -> None:
        """Note the arrival of a job with its estimated work."""
        self._arrivals.append(_Arrival(now, work))

    def forecast(self, now: datetime.timedelta) -> int:
        """Return what the jobs use at once if they go on like this.

        By Little's law that is their rate times the work of each. A single
        arrival tells no rate: the largest one is therefore left out.

        :return: in millicores
        """
        while self._arrivals and self._arrivals[0].at < now - _WINDOW:
            self._arrivals.popleft()
        works = [arrival.work for arrival in self._arrivals]
        if not works:
            return 0
        work = sum(works, datetime.timedelta()) - max(works)
        return int(work / _WINDOW)
