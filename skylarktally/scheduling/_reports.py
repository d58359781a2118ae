"""Comparison of what a worker reports with what the board knows."""

import datetime

from skylarktally.scheduling import _pool_state
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work


def reconcile(
    pool_state: _pool_state.PoolState,
    worker_state: _states.WorkerState,
    report: _work.WorkerReport,
    sent_at: datetime.timedelta,
    now: datetime.timedelta,
) -> list[_work.ActiveRun]:
    """Bring the runs of a worker in line with its report.

    :param sent_at: when the report was asked for; runs that were ordered
        later may be missing in it
    :return: runs that are present and of no use
    """
    unmatched = {active.task: active for active in report.active}
    for run in list(worker_state.runs.values()):
        active = unmatched.get(run.task.id)
        if active is not None and active.number == run.number:
            _update_run(run, active, now)
            del unmatched[run.task.id]
        elif run.answered_at is not None and run.answered_at < sent_at:
            pool_state.remove_run(run)
    unwanted = [
        active
        for active in unmatched.values()
        if not _adopt(pool_state, worker_state, active, now)
    ]
    worker_state.unwanted_runs = len(unwanted)
    return unwanted


def _adopt(
    pool_state: _pool_state.PoolState,
    worker_state: _states.WorkerState,
    active: _work.ActiveRun,
    now: datetime.timedelta,
) -> bool:
    """Take a run that the board does not know; False if of no use."""
    task = pool_state.find_task(active.task)
    is_wanted = (
        task is not None
        and not task.is_done
        and not task.group.job.is_final
        and task.run is None
    )
    if is_wanted and task is not None:
        pool_state.adopt_run(task, worker_state, active, now)
        return True
    return False


def _update_run(
    run: _states.Run, active: _work.ActiveRun, now: datetime.timedelta
) -> None:
    run.percent = active.percent
    run.load = active.load
    run.reported_at = now
    if run.task.run is None:
        # No copy has been started while the worker was silent.
        run.task.run = run
    if active.checkpoint:
        run.task.checkpoint = active.checkpoint
    if run.state is _states.RunState.SENT:
        run.state = _states.RunState.ACTIVE
        run.answered_at = now
