"""Speed control of filler tasks, which use idle processor time.

Filler tasks slow down the serving tasks on the same worker, by amounts that
change within seconds. The pace of the fillers, in per cent of full speed, is
reduced at once when the latency of a serving task is above its target, and
raised step by step once it is well below.
"""

import datetime
from typing import NamedTuple

from skylarktally.scheduling import _states

# Minimum time between two changes of the pace: a worker reports the latency
# of the last 0.5 s, and a new pace takes effect after 0.1 s.
_SETTLE_TIME = datetime.timedelta(seconds=0.7)
# Ratios of latency to target above which fillers are slowed down, and below
# which they may run faster.
_SLOW_ABOVE = 0.9
_FAST_BELOW = 0.7
# Change of the pace, in per cent of full speed.
_PACE_STEP = 20
# Fillers are paused instead of running at a lower pace, in per cent.
_MIN_PACE = 20


class Pace(NamedTuple):
    """A new pace of a filler run, in per cent of full speed."""

    run: _states.Run
    percent: int


def plan_paces(
    worker_state: _states.WorkerState, now: datetime.timedelta
) -> list[Pace]:
    """Return the filler runs of a worker whose pace has to change.

    Also updates the common pace of the fillers in the state of the worker.
    """
    fillers = [
        run
        for run in worker_state.runs.values()
        if run.task.group.step.is_filler
        and run.state is _states.RunState.ACTIVE
    ]
    if not fillers:
        return []
    if now - worker_state.pace_changed_at >= _SETTLE_TIME:
        pace = _choose_pace(
            worker_state.filler_pace, _find_latency_ratio(worker_state)
        )
        if pace != worker_state.filler_pace:
            worker_state.filler_pace, worker_state.pace_changed_at = pace, now
    return [
        Pace(run, worker_state.filler_pace)
        for run in fillers
        if run.pace != worker_state.filler_pace
    ]


def _find_latency_ratio(worker_state: _states.WorkerState) -> float:
    """Return the highest ratio of a reported latency to its target."""
    latency_ratio = 0.0
    for run in worker_state.runs.values():
        target = run.task.group.step.latency_target
        if target and run.reported_at is not None:
            latency = datetime.timedelta(milliseconds=run.load)
            latency_ratio = max(latency_ratio, latency / target)
    return latency_ratio


def _choose_pace(pace: int, latency_ratio: float) -> int:
    if latency_ratio > 1:
        slower = pace // 4
        return slower if slower >= _MIN_PACE else 0
    if latency_ratio > _SLOW_ABOVE:
        slower = pace - _PACE_STEP
        return slower if slower >= _MIN_PACE else 0
    if latency_ratio < _FAST_BELOW:
        return min(pace + _PACE_STEP, _states.FULL_SPEED)
    return pace
