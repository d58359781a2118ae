"""What a new owner of a pool has to know of the time of the former ones."""

from collections.abc import Iterable, Mapping
import datetime
from typing import NamedTuple

from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _records
from skylarktally.scheduling import _roster
from skylarktally.scheduling import _sessions
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work


class TakeoverState(NamedTuple):
    """What a new owner knows of the time of the former one."""

    # Workers that may hold a lease, by the last term that was stored.
    unresolved_leases: Mapping[str, _roster.UnresolvedLease]
    # Workers that have vanished lately, with their addresses.
    departed_workers: Mapping[str, _work.WorkerRecord]


def find_unresolved_leases(
    term: _records.Term, seen_at: datetime.timedelta, now: datetime.timedelta
) -> dict[str, _roster.UnresolvedLease]:
    """Return the workers that may hold leases of a term that is over.

    :param seen_at: when the row of the term was first seen as it is
    """
    last_order_at = min(now, seen_at + _ledger.TERM_VALIDITY)
    expires_at = _sessions.compute_lease_expiry(last_order_at)
    unresolved_leases = {
        worker: _roster.UnresolvedLease(expires_at, term.generation)
        for worker in term.workers
    }
    for worker in term.unreachable:
        remaining = datetime.timedelta(milliseconds=worker.remaining_ms)
        unresolved_leases[worker.worker] = _roster.UnresolvedLease(
            seen_at + remaining, worker.generation
        )
    return unresolved_leases


class StartBlocker:
    """Bars tasks of stored jobs while a silent worker may run them."""

    def __init__(self, jobs: Iterable[_states.Job]) -> None:
        self._jobs = list(jobs)

    def update(self, unreported: Iterable[_roster.UnresolvedLease]) -> int:
        """Bar what these workers may run, and free what others may have run.

        :return: number of jobs that are barred
        """
        leases = list(unreported)
        for job in self._jobs:
            expiries = [
                lease.expires_at
                for lease in leases
                if lease.generation >= job.generation
            ]
            _block_job(job, max(expiries, default=datetime.timedelta()))
        self._jobs = [job for job in self._jobs if job.blocked_until]
        return len(self._jobs)


def _block_job(job: _states.Job, until: datetime.timedelta) -> None:
    previous, job.blocked_until = job.blocked_until, until
    for group in job.groups.values():
        for task in group.tasks:
            # Others are barred for a reason of their own.
            is_same = task.blocked_until == previous
            if is_same and (task.run is None or until < previous):
                task.blocked_until = until
