"""Leases of a worker and the runs under them."""

import time
from typing import Any


class Stopped(Exception):
    """Ends a task before its time."""


class Lease:
    """The right of one holder to a number of slots for a time."""

    def __init__(self, holder: str, slots: int, expiry: float) -> None:
        self.holder = holder
        self.slots = slots
        self.expiry = expiry
        self.running = 0


class Task:
    """One run, kept for the record after its end."""

    def __init__(
        self, key: str, job: str, fence: tuple[int, str], lease_id: str = ''
    ) -> None:
        self.key = key
        self.lease_id = lease_id
        self.job = job
        self.epoch, self.pool = fence
        self.start = time.time()
        self.end: float | None = None
        self.stopped = False
        # Cut off by a reboot of the worker.
        self.interrupted = False
        self.throttled = False
        self.checkpoints = 0

    def describe(self) -> dict[str, Any]:
        """Return the JSON form of the run; times are in Unix seconds."""
        run = {k: v for k, v in vars(self).items() if k != 'stopped'}
        run['request_key'] = run.pop('key')
        return run
