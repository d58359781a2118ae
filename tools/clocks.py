"""A clock that stands still, for tests and for measurements in memory."""

import datetime

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock:
    """Clock that only advances when told to, or by its own sleeps."""

    def __init__(self) -> None:
        self.elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        """Return the UTC time."""
        return _START + self.elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the time since the clock was made."""
        return self.elapsed

    def sleep(self, delay: datetime.timedelta) -> None:
        """Advance by the delay, at once."""
        self.elapsed += max(delay, datetime.timedelta())

    def advance(self, seconds: float) -> None:
        """Advance by some seconds."""
        self.elapsed += datetime.timedelta(seconds=seconds)
