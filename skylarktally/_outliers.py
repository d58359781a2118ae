"""Outlier detection: ejection of workers that fail repeatedly."""

import datetime
import enum
import math

from skylarktally import _clock
from skylarktally import _limits


class Health(enum.Enum):
    """Whether a worker gets new requests."""

    GOOD = 'good'
    EJECTED = 'ejected'
    # The ejection time is over and the worker answered a probe. It gets
    # one request at a time until a task succeeds or fails.
    TRIAL = 'trial'


class WorkerRecord:
    """Health and counts of successes and failures of one worker."""

    def __init__(self) -> None:
        self.health = Health.GOOD
        self.successes = 0
        self.failures = 0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = datetime.timedelta()
        self.last_failure = datetime.timedelta()


class OutlierDetector:
    """Decides which workers of a pool are ejected, and for how long."""

    def __init__(
        self, clock: _clock.Clock, limits: _limits.ServingLimits
    ) -> None:
        self._clock = clock
        self._limits = limits
        self.records: dict[str, WorkerRecord] = {}
        self._ejected: set[str] = set()

    def track(self, names: set[str]) -> None:
        """Keep records of exactly these workers."""
        for name in set(self.records) - names:
            del self.records[name]
            self._ejected.discard(name)
        for name in names - set(self.records):
            self.records[name] = WorkerRecord()

    def note_success(self, name: str) -> None:
        """Count a task that succeeded, which also ends a trial."""
        record = self.records.get(name)
        if record is None:
            return
        record.successes += 1
        record.consecutive_failures = 0
        if record.health is Health.TRIAL:
            record.health = Health.GOOD
            record.ejections = 0

    def note_failure(self, name: str, unreachable: bool = False) -> bool:
        """Count a failure and eject the worker if need be.

        A worker is ejected when it is unreachable, on trial, or has
        failed often enough in a row, unless the largest allowed share of
        the pool is ejected already.

        :param unreachable: True when the worker answers on no connection
        :returns: whether this failure ejected the worker
        """
        record = self.records.get(name)
        if record is None:
            return False
        record.failures += 1
        record.consecutive_failures += 1
        record.last_failure = self._clock.monotonic()
        if record.health is Health.EJECTED:
            return False
        threshold_reached = (
            record.consecutive_failures >= self._limits.ejection_threshold
        )
        if unreachable or threshold_reached or record.health is Health.TRIAL:
            return self._eject(name, record)
        return False

    def count_recent_failures(self, name: str) -> int:
        """Return the consecutive failures, or 0 some time after the last.

        If they counted forever, a worker that failed once would always be
        chosen after all others and could not show that it works again.
        """
        record = self.records[name]
        elapsed = self._clock.monotonic() - record.last_failure
        return (
            record.consecutive_failures
            if elapsed < self._limits.min_ejection_time
            else 0
        )

    def _eject(self, name: str, record: WorkerRecord) -> bool:
        share = self._limits.max_ejected_share
        max_ejected = math.floor(len(self.records) * share)
        if name not in self._ejected and len(self._ejected) >= max_ejected:
            record.health = Health.GOOD
            return False
        duration = self._limits.min_ejection_time * 2 ** min(
            record.ejections, 10
        )
        duration = min(duration, self._limits.max_ejection_time)
        record.health = Health.EJECTED
        record.ejections += 1
        record.ejected_until = self._clock.monotonic() + duration
        self._ejected.add(name)
        return True

    def list_due_probes(self) -> list[str]:
        """List the ejected workers whose ejection time is over."""
        now = self._clock.monotonic()
        return [
            x for x in self._ejected if self.records[x].ejected_until <= now
        ]

    def note_probe(self, name: str, answered: bool) -> None:
        """Put an ejected worker on trial, or extend the ejection."""
        record = self.records.get(name)
        if record is None or record.health is not Health.EJECTED:
            return
        if answered:
            record.health = Health.TRIAL
            self._ejected.discard(name)
        else:
            self._eject(name, record)
