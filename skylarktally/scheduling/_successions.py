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


class Succession(NamedTuple):
    """What a new owner knows of the time of the former one."""

    # Workers that may hold a lease, by the last term that was stored.
    suspects: Mapping[str, _roster.Suspicion]
    # Workers that have vanished lately, with their addresses.
    departed: Mapping[str, _work.WorkerRecord]


def find_suspects(
    term: _records.Term, seen_at: datetime.timedelta, now: datetime.timedelta
) -> dict[str, _roster.Suspicion]:
    """Return the workers that may hold leases of a term that is over.

    :param seen_at: when the row of the term was first seen as it is
    """
    last_order_at = min(now, seen_at + _ledger.TERM_VALIDITY)
    lapse_at = _sessions.find_lapse(last_order_at)
    suspects = {
        worker: _roster.Suspicion(lapse_at, term.generation)
        for worker in term.workers
    }
    for suspect in term.suspects:
        remaining = datetime.timedelta(milliseconds=suspect.remaining_ms)
        suspects[suspect.worker] = _roster.Suspicion(
            seen_at + remaining, suspect.generation
        )
    return suspects


class Bars:
    """Bars tasks of stored jobs while a silent worker may run them."""

    def __init__(self, jobs: Iterable[_states.Job]) -> None:
        self._jobs = list(jobs)

    def update(self, silent: Iterable[_roster.Suspicion]) -> int:
        """Bar what these workers may run, and free what others may have run.

        :return: number of jobs that are barred
        """
        suspicions = list(silent)
        for job in self._jobs:
            lapses = [
                suspicion.lapse_at
                for suspicion in suspicions
                if suspicion.generation >= job.generation
            ]
            _bar(job, max(lapses, default=datetime.timedelta()))
        self._jobs = [job for job in self._jobs if job.barred_until]
        return len(self._jobs)


def _bar(job: _states.Job, until: datetime.timedelta) -> None:
    former, job.barred_until = job.barred_until, until
    for group in job.groups.values():
        for task in group.tasks:
            # Others are barred for a reason of their own.
            is_same = task.barred_until == former
            if is_same and (task.run is None or until < former):
                task.barred_until = until
