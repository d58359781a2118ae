"""Ejection of workers that fail request after request."""

import datetime
import enum
import math

from skylarktally import _clock
from skylarktally import _limits


class Health(enum.Enum):
    """How far a worker is trusted with new requests."""

    GOOD = 'good'
    EJECTED = 'ejected'
    # Ejection is over and the worker answers a probe; one request at a
    # time shows whether its tasks succeed as well.
    TRIAL = 'trial'


class Record:
    """Successes and failures of one worker."""

    def __init__(self) -> None:
        self.health = Health.GOOD
        self.successes = 0
        self.failures = 0
        self.streak = 0
        self.ejections = 0
        self.until = datetime.timedelta()
        self.last_failure = datetime.timedelta()


class OutlierDetector:
    """Decides for one pool which workers get no requests for a time."""

    def __init__(
        self, clock: _clock.Clock, limits: _limits.ServingLimits
    ) -> None:
        self._clock = clock
        self._limits = limits
        self.records: dict[str, Record] = {}
        self._ejected: set[str] = set()

    def track(self, names: set[str]) -> None:
        """Keep records of these workers and drop all others."""
        for name in set(self.records) - names:
            del self.records[name]
            self._ejected.discard(name)
        for name in names - set(self.records):
            self.records[name] = Record()

    def note_success(self, name: str) -> None:
        """Count a task that the worker finished."""
        record = self.records.get(name)
        if record is None:
            return
        record.successes += 1
        record.streak = 0
        if record.health is Health.TRIAL:
            record.health = Health.GOOD
            record.ejections = 0

    def note_failure(self, name: str, dead: bool = False) -> bool:
        """Count a failed task and return True when the worker is ejected.

        :param dead: True when the worker answers on no connection
        """
        record = self.records.get(name)
        if record is None:
            return False
        record.failures += 1
        record.streak += 1
        record.last_failure = self._clock.monotonic()
        if record.health is Health.EJECTED:
            return False
        enough = record.streak >= self._limits.ejection_threshold
        if dead or enough or record.health is Health.TRIAL:
            return self._eject(name, record)
        return False

    def rank(self, name: str) -> int:
        """Return the failures in a row, or 0 some time after the last.

        Without an end to it, a worker that failed once would stay behind
        all others and never show that it works again.
        """
        record = self.records[name]
        past = self._clock.monotonic() - record.last_failure
        return record.streak if past < self._limits.min_ejection_time else 0

    def _eject(self, name: str, record: Record) -> bool:
        share = self._limits.max_ejected_share
        most = math.floor(len(self.records) * share)
        if name not in self._ejected and len(self._ejected) >= most:
            record.health = Health.GOOD
            return False
        length = self._limits.min_ejection_time * 2 ** min(
            record.ejections, 10
        )
        length = min(length, self._limits.max_ejection_time)
        record.health = Health.EJECTED
        record.ejections += 1
        record.until = self._clock.monotonic() + length
        self._ejected.add(name)
        return True

    def list_due_probes(self) -> list[str]:
        """List the ejected workers that should be probed now."""
        now = self._clock.monotonic()
        return [x for x in self._ejected if self.records[x].until <= now]

    def note_probe(self, name: str, answered: bool) -> None:
        """Put a worker on trial, or eject it for longer."""
        record = self.records.get(name)
        if record is None or record.health is not Health.EJECTED:
            return
        if answered:
            record.health = Health.TRIAL
            self._ejected.discard(name)
        else:
            self._eject(name, record)
