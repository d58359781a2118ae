"""Long-running tasks that are not running, and what keeps them from it.

A long-running task is to run at all times. It stands still from the last
report of a run until the next one. The owner of a pool logs what it believes
of tasks that have stood still for long.
"""

import collections
import datetime
import logging
from typing import NamedTuple

import prometheus_client

from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

STANDSTILL_SECONDS = prometheus_client.Histogram(
    'skylarktally_long_running_standstill_seconds',
    'Time for which a long-running task had no run, once it has one again',
    buckets=(1, 2, 3, 4, 5, 6, 7, 8, 9, 12, 15, 20, 30),
)

_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# Shorter standstills are counted but not logged.
_LOGGED_STANDSTILL = datetime.timedelta(seconds=3)
# Number of steps that the lines of one check name.
_MAX_LOGGED_STEPS = 4
_NONE = datetime.timedelta()


class Standstill(NamedTuple):
    """Tasks of one step that stand still, and why."""

    step: _work.StepId
    # Number of tasks by the belief that keeps them.
    causes: dict[str, int]
    longest: datetime.timedelta
    # Until the last of the leases that may keep a task has expired.
    blocked_for: datetime.timedelta


class StandstillMonitor:
    """Measures and logs the standstills of the tasks of a pool."""

    def __init__(self, pool_state: _pool_state.PoolState, shard: str) -> None:
        self._pool_state = pool_state
        self._shard = shard
        # When each task was last known to run, or first seen.
        self._running_at: dict[_states.Task, datetime.timedelta] = {}
        # Tasks without a run at the last check.
        self._standing: set[_states.Task] = set()
        self._check_due = _NONE

    def check(self, now: datetime.timedelta) -> None:
        """Log what keeps tasks that have stood still for long."""
        if now < self._check_due:
            return
        self._check_due = now + _CHECK_INTERVAL
        standstills = self.update(now)
        standstills.sort(key=lambda item: item.longest, reverse=True)
        logged = [
            item for item in standstills if item.longest >= _LOGGED_STANDSTILL
        ]
        if not logged:
            return
        workers = collections.Counter(
            find_obstacle(worker_state, now) or 'usable'
            for worker_state in self._pool_state.worker_states.values()
        )
        for item in logged[:_MAX_LOGGED_STEPS]:
            _LOG.warning(
                'long-running tasks stand still',
                extra={
                    'shard': self._shard,
                    'step': item.step,
                    'causes': item.causes,
                    'longest_s': round(item.longest.total_seconds(), 2),
                    'blocked_for_s': round(
                        item.blocked_for.total_seconds(), 2
                    ),
                    'workers': dict(workers),
                },
            )

    def update(self, now: datetime.timedelta) -> list[Standstill]:
        """Note which tasks run, and return those that stand still."""
        standstills = []
        present: set[_states.Task] = set()
        for group in self._pool_state.ready_groups:
            if not group.step.is_long_running:
                continue
            present.update(group.tasks)
            standing = [
                task for task in group.tasks if not self._note(task, now)
            ]
            if standing:
                standstills.append(self._describe(group, standing, now))
        for task in self._running_at.keys() - present:
            del self._running_at[task]
        self._standing &= present
        return standstills

    def _note(self, task: _states.Task, now: datetime.timedelta) -> bool:
        """Note when a task last ran; False if it stands still."""
        last = self._running_at.setdefault(task, now)
        run = task.run
        if run is not None and run.reported_at is not None:
            self._running_at[task] = max(last, run.reported_at)
            if task in self._standing and run.reported_at > last:
                self._standing.remove(task)
                duration = max(run.sent_at - last, _NONE)
                STANDSTILL_SECONDS.observe(duration.total_seconds())
        if now - self._running_at[task] <= _states.MAX_REPORT_AGE:
            return True
        self._standing.add(task)
        return False

    def _describe(
        self,
        group: _states.TaskGroup,
        standing: list[_states.Task],
        now: datetime.timedelta,
    ) -> Standstill:
        causes = collections.Counter(
            find_cause(self._pool_state, task, now) for task in standing
        )
        blocked_until = max(task.blocked_until for task in standing)
        return Standstill(
            group.id,
            dict(causes),
            max(now - self._running_at[task] for task in standing),
            max(blocked_until - now, _NONE),
        )


def find_cause(
    pool_state: _pool_state.PoolState,
    task: _states.Task,
    now: datetime.timedelta,
) -> str:
    """Return what keeps a task from running, as far as the owner knows."""
    run = task.run
    if run is not None:
        worker_state = pool_state.worker_states.get(run.worker)
        is_silent = worker_state is None or worker_state.is_unresponsive
        return f'run {run.state.value}' + (
            ' on a silent worker' if is_silent else ''
        )
    if task.blocked_until > now:
        if task.group.job.awaits_reports:
            return 'other workers have not reported'
        return 'lease of a lost worker'
    usable = [
        worker_state
        for worker_state in pool_state.worker_states.values()
        if find_obstacle(worker_state, now) is None
    ]
    if not usable:
        return 'no usable worker'
    need = _states.find_reserved_resources(task.group.step)
    if not any(need.fits(item.available) for item in usable):
        return 'no room'
    # Labels, limits of tasks per worker, tickets, or the next plan.
    return 'not placed'


def find_obstacle(
    worker_state: _states.WorkerState, now: datetime.timedelta
) -> str | None:
    """Return why a worker gets no starts; None if it does."""
    obstacles = {
        'set aside': bool(worker_state.set_aside_reason),
        'draining': worker_state.record.is_draining,
        'evacuating': worker_state.is_evacuating,
        'silent': worker_state.is_unresponsive,
        'no report': not worker_state.has_reported,
        'unwanted runs': bool(worker_state.unwanted_runs),
        'runs of unreadable jobs': bool(worker_state.unknown_runs),
        'backoff': worker_state.backoff_until > now,
        'not in the stored term': not worker_state.may_extend_leases,
    }
    return next((name for name, holds in obstacles.items() if holds), None)
