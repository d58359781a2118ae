"""Reconciliation of the pool state with the report of a worker."""

import datetime
import logging

from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)


def reconcile(
    pool_state: _pool_state.PoolState,
    worker_state: _states.WorkerState,
    report: _work.WorkerReport,
    sent_at: datetime.timedelta,
    now: datetime.timedelta,
) -> list[_work.ActiveRun]:
    """Update the runs of a worker from its report.

    A run that is missing has ended, unless its end may be among those that
    the report does not list.

    :param sent_at: when the report was requested; runs that the worker
        accepted later may be missing from it
    :return: reported runs that are not needed and should be stopped
    """
    unmatched = {active.task: active for active in report.active}
    for run in list(worker_state.runs.values()):
        active = unmatched.get(run.task.id)
        if active is not None and active.number == run.number:
            _update_run(run, active, now)
            pool_state.note_began(run.task)
            del unmatched[run.task.id]
        elif report.is_complete and _was_accepted_before(run, sent_at):
            pool_state.remove_run(run)
    unwanted, unknown = [], 0
    for active in unmatched.values():
        task = pool_state.find_reported_task(active.task)
        if task is _states.Absence.UNKNOWN:
            # A later owner may be able to read its job.
            unknown += 1
        elif isinstance(task, _states.Task) and _is_needed(task):
            pool_state.adopt_run(task, worker_state, active, now)
        else:
            unwanted.append(active)
    worker_state.unwanted_runs = len(unwanted)
    _note_unknown_runs(worker_state, unknown)
    return unwanted


def _note_unknown_runs(worker_state: _states.WorkerState, count: int) -> None:
    if bool(count) != bool(worker_state.unknown_runs):
        _LOG.warning(
            'runs of jobs that cannot be read'
            if count
            else 'no more runs of jobs that cannot be read',
            extra={'worker': worker_state.record.id, 'runs': count},
        )
    worker_state.unknown_runs = count


def _was_accepted_before(
    run: _states.Run, sent_at: datetime.timedelta
) -> bool:
    return run.answered_at is not None and run.answered_at < sent_at


def _is_needed(task: _states.Task) -> bool:
    """Tell whether a task without a registered run needs one."""
    return (
        not task.is_done and not task.group.job.is_final and task.run is None
    )


def _update_run(
    run: _states.Run, active: _work.ActiveRun, now: datetime.timedelta
) -> None:
    run.percent = active.percent
    run.load = active.load
    run.reported_at = now
    if run.task.run is None:
        # No duplicate was started while the worker was unresponsive.
        run.task.run = run
    if active.checkpoint:
        run.task.checkpoint = active.checkpoint
    if run.state is _states.RunState.SENT:
        run.state = _states.RunState.ACTIVE
        run.answered_at = now
