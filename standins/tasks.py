"""Slot leases of a worker, and the runs that they cover."""

import time
from typing import Any


class Stopped(Exception):
    """Raised in a task that was stopped or ran into its timeout."""


class Lease:
    """Slots granted to one holder until the lease expires.

    ``expiry`` is a monotonic time in seconds; ``running`` counts the tasks
    that run under the lease.
    """

    def __init__(self, holder: str, slots: int, expiry: float) -> None:
        self.holder = holder
        self.slots = slots
        self.expiry = expiry
        self.running = 0


class Task:
    """One run of a task, kept for /v1/record after its end.

    ``describe`` writes the fields out, all but two under their own names.
    """

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
        # Whether a reboot of the worker ended the run.
        self.interrupted = False
        self.throttled = False
        self.checkpoints = 0

    def describe(self) -> dict[str, Any]:
        """Return the JSON form of the run; times are in Unix seconds."""
        run = {k: v for k, v in vars(self).items() if k != 'stopped'}
        run['request_key'] = run.pop('key')
        return run
