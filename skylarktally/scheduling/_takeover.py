"""Leases of earlier terms, which a new owner of a pool must respect."""

from collections.abc import Iterable, Mapping
import datetime
from typing import NamedTuple

from skylarktally.scheduling import _records
from skylarktally.scheduling import _roster
from skylarktally.scheduling import _sessions
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work


class TakeoverState(NamedTuple):
    """What a new owner takes over from earlier terms."""

    # By worker that may hold a lease, according to the last term row.
    unresolved_leases: Mapping[str, _roster.UnresolvedLease]
    # Workers that left the list recently and may still be reachable.
    departed_workers: Mapping[str, _work.WorkerRecord]


def find_unresolved_leases(
    term: _records.Term, seen_at: datetime.timedelta, now: datetime.timedelta
) -> dict[str, _roster.UnresolvedLease]:
    """Return the leases that workers may hold from a term that has ended.

    :param seen_at: when the present version of the term row was first seen
    """
    # The term was renewed before its row was seen. Its holder has not sent an
    # order later than now, if it has released the term.
    expires_at = min(
        _sessions.compute_lease_expiry(now),
        _sessions.compute_term_expiry(seen_at),
    )
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
    """Blocks tasks of loaded jobs while an unreported worker may run them."""

    def __init__(self, jobs: Iterable[_states.Job]) -> None:
        self._jobs = list(jobs)

    def update(self, unreported: Iterable[_roster.UnresolvedLease]) -> int:
        """Block tasks that may run under these leases, and unblock others.

        :return: number of jobs that remain blocked
        """
        leases = list(unreported)
        for job in self._jobs:
            expiries = [
                lease.expires_at
                for lease in leases
                if lease.generation >= job.generation
            ]
            _block_job(job, max(expiries, default=datetime.timedelta()))
            job.awaits_reports = bool(expiries)
        self._jobs = [job for job in self._jobs if job.awaits_reports]
        return len(self._jobs)


def _block_job(job: _states.Job, until: datetime.timedelta) -> None:
    previous, job.blocked_until = job.blocked_until, until
    for group in job.groups.values():
        for task in group.tasks:
            # A different time means that a run of the task was known when
            # the others were blocked.
            is_same = task.takeover_until == previous
            if is_same and (task.run is None or until < previous):
                task.takeover_until = until
