"""Forecast of the processor time that arriving jobs will use.

The load it answers: a queue that begins to surge. Until its first tasks
end, the work that is ready is far below what the surge will come to; the
rate of arrivals tells it some seconds earlier.
"""

import collections
import datetime
import math

# The last arrivals tell the rate: so many, and none older than this.
_MAX_ARRIVALS = 12
_WINDOW = datetime.timedelta(seconds=2.5)
# A burst that is younger than this tells no rate yet.
_MIN_ELAPSED = datetime.timedelta(seconds=0.25)
# Standard deviations by which a count may be above its mean by chance.
_DEVIATIONS = 0.25
# Jobs whose mean work is taken for that of the next ones.
_MAX_WORK_SAMPLES = 30
_NONE = datetime.timedelta()


class Arrivals:
    """Jobs that have arrived lately."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=_MAX_ARRIVALS)
        )
        self._work_samples: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=_MAX_WORK_SAMPLES)
        )

    def record(
        self, now: datetime.timedelta, work: datetime.timedelta
    ) -> None:
        """Note the arrival of a job.

        :param work: estimated, in time of one millicore
        """
        self._arrivals.append(now)
        self._work_samples.append(work)

    def forecast(self, now: datetime.timedelta) -> int:
        """Return what the jobs use at once if they go on like this.

        By Little's law that is their rate times the work of each. The rate
        is counted from the first arrival of the window, which itself tells
        none, so that a burst shows its rate before the window is full. It
        is a cautious one, since a few large jobs may come together by
        chance.

        :return: in millicores
        """
        while self._arrivals and self._arrivals[0] < now - _WINDOW:
            self._arrivals.popleft()
        count = len(self._arrivals) - 1
        if count < 1:
            return 0
        cautious_count = count - _DEVIATIONS * math.sqrt(count)
        elapsed = max(now - self._arrivals[0], _MIN_ELAPSED)
        mean_work = sum(self._work_samples, _NONE) / len(self._work_samples)
        return int(cautious_count * mean_work / elapsed)
