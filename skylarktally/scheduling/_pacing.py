"""Pace of the tasks that fill what others leave of a worker.

The load it answers: tasks that serve share a worker with tasks that fill,
which slow them by amounts that change within seconds. The pace of the
fillers falls at once when a served latency is above its target, and rises
in steps once it is well below.
"""

import datetime
from typing import NamedTuple

from skylarktally.scheduling import _states

# A worker reports the latency of the last half second, and a new pace takes
# effect after 0.1 s.
_SETTLE_TIME = datetime.timedelta(seconds=0.7)
# Shares of the latency target above which fillers slow down, and below
# which they may work faster.
_SLOW_ABOVE = 0.9
_FAST_BELOW = 0.7
# In per cent of full speed.
_STEP = 20
# Below this a filler is held.
_LEAST = 20


class Pace(NamedTuple):
    """The pace that a filler is to have."""

    run: _states.Run
    percent: int


def plan_paces(
    worker_state: _states.WorkerState, now: datetime.timedelta
) -> list[Pace]:
    """Return the fillers of a worker whose pace has to change.

    The pace that the worker's fillers are to have is kept in its seat.
    """
    fillers = [
        run
        for run in worker_state.runs.values()
        if run.task.group.step.is_filler
        and run.state is _states.RunState.ACTIVE
    ]
    if not fillers:
        return []
    if now - worker_state.paced_at >= _SETTLE_TIME:
        pace = _choose_pace(
            worker_state.filler_pace, _measure_strain(worker_state)
        )
        if pace != worker_state.filler_pace:
            worker_state.filler_pace, worker_state.paced_at = pace, now
    return [
        Pace(run, worker_state.filler_pace)
        for run in fillers
        if run.pace != worker_state.filler_pace
    ]


def _measure_strain(worker_state: _states.WorkerState) -> float:
    """Return the highest served latency as a share of its target."""
    strain = 0.0
    for run in worker_state.runs.values():
        target = run.task.group.step.latency_target
        if target and run.reported_at is not None:
            latency = datetime.timedelta(milliseconds=run.load)
            strain = max(strain, latency / target)
    return strain


def _choose_pace(pace: int, strain: float) -> int:
    if strain > 1:
        slower = pace // 4
        return slower if slower >= _LEAST else 0
    if strain > _SLOW_ABOVE:
        slower = pace - _STEP
        return slower if slower >= _LEAST else 0
    if strain < _FAST_BELOW:
        return min(pace + _STEP, _states.FULL_SPEED)
    return pace
