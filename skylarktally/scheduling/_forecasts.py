"""Forecast of the processor capacity that arriving jobs will use.

When a queue begins to surge, the work that is ready stays far below the
steady state of the surge until the first tasks end. The arrival rate shows
the surge some seconds earlier.
"""

import collections
import datetime
import math

# The arrival rate is taken from this many recent arrivals, none of them older
# than the window, so that a burst shows its rate early.
_RECENT_ARRIVALS = 12
_WINDOW = datetime.timedelta(seconds=2.5)
# Lower bound of the time over which their rate is calculated, so that two
# arrivals at almost the same time do not count as a high rate.
_MIN_ELAPSED = datetime.timedelta(seconds=0.25)
# The rate of all arrivals within this time counts as well, if it is higher:
# the recent ones alone span less than the shortest time at more than 48 jobs
# a second. In less time than this, callers that return together after an
# outage look like a surge.
_BUSY_WINDOW = datetime.timedelta(seconds=1)
# The count is reduced by this many standard deviations, since it may be above
# its mean by chance.
_DEVIATIONS = 0.25
# Number of recent jobs whose mean work is expected of the next jobs.
_MAX_WORK_SAMPLES = 30
_NONE = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)


class Arrivals:
    """Recent arrivals of jobs, and their estimated work."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._work_samples: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=_MAX_WORK_SAMPLES)
        )

    def record(
        self, now: datetime.timedelta, work: datetime.timedelta
    ) -> None:
        """Record the arrival of a job.

        :param work: estimated work, as time on one millicore
        """
        self._arrivals.append(now)
        self._work_samples.append(work)
        self._drop_old(now)

    def _drop_old(self, now: datetime.timedelta) -> None:
        """Drop the arrivals that the rate is not taken from any more."""
        arrivals = self._arrivals
        while arrivals and arrivals[0] < now - _WINDOW:
            arrivals.popleft()
        while (
            len(arrivals) > _RECENT_ARRIVALS
            and arrivals[0] < now - _BUSY_WINDOW
        ):
            arrivals.popleft()

    def forecast(self, now: datetime.timedelta) -> int:
        """Return the capacity that jobs use at the current arrival rate.

        By Little's law that is the arrival rate times the mean work of a
        job.

        :return: in millicores
        """
        self._drop_old(now)
        if not self._arrivals:
            return 0
        arrivals = list(self._arrivals)
        jobs_per_second = max(
            _estimate_rate(arrivals, now, _BUSY_WINDOW),
            _estimate_rate(arrivals[-_RECENT_ARRIVALS:], now, _MIN_ELAPSED),
        )
        mean_work = sum(self._work_samples, _NONE) / len(self._work_samples)
        return int(jobs_per_second * (mean_work / _SECOND))


def _estimate_rate(
    arrivals: list[datetime.timedelta],
    now: datetime.timedelta,
    min_elapsed: datetime.timedelta,
) -> float:
    """Return the number of jobs per second.

    It is measured from the first arrival, which itself is not counted, so
    that a burst shows its rate before the window is full. The rate is
    estimated cautiously, since a few large jobs may arrive together by chance.

    :param min_elapsed: shortest time over which the rate is calculated
    """
    count = len(arrivals) - 1
    cautious_count = count - _DEVIATIONS * math.sqrt(count)
    elapsed = max(now - arrivals[0], min_elapsed)
    return cautious_count / (elapsed / _SECOND)
