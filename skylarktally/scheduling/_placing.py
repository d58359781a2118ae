"""Choice of the workers for the tasks of a step."""

from collections.abc import Iterable, Iterator
import datetime
from typing import NamedTuple

from skylarktally.scheduling import _advice
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work


class Placement(NamedTuple):
    """A task and the worker that is to run it."""

    task: _states.Task
    worker_state: _states.WorkerState


class Sketch:
    """Room on the workers of a pool, less what a plan has placed."""

    def __init__(
        self,
        worker_states: Iterable[_states.WorkerState],
        now: datetime.timedelta,
    ) -> None:
        self._room = {
            worker_state.record.id: (worker_state, worker_state.room)
            for worker_state in worker_states
            if worker_state.is_open and worker_state.backoff_until <= now
        }
        self._spread: dict[tuple[_states.TaskGroup, str], int] = {}
        self._now = now

    def place(self, task: _states.Task) -> Placement | None:
        """Take room for the task where it is best placed, if anywhere."""
        group = task.group
        need = _states.occupy(group.step)
        best = None
        for worker_state, room in self._room.values():
            if task.id in worker_state.runs:
                # An earlier run of the task that may be present still.
                continue
            if not self._admits(group, worker_state) or not need.fits(room):
                continue
            score = self._score(group, worker_state, room)
            if best is None or score > best[0]:
                best = score, worker_state
        if best is None:
            return None
        self._take(group, best[1], need)
        return Placement(task, best[1])

    def _admits(
        self, group: _states.TaskGroup, worker_state: _states.WorkerState
    ) -> bool:
        step = group.step
        if step.required_label not in ('', *worker_state.record.labels):
            return False
        if _advice.find_ticket(group, worker_state, self._now) is None:
            return False
        most = step.tasks_per_worker
        return not most or self._count(group, worker_state) < most

    def _count(
        self, group: _states.TaskGroup, worker_state: _states.WorkerState
    ) -> int:
        id_ = worker_state.record.id
        return group.spread.get(id_, 0) + self._spread.get((group, id_), 0)

    def _score(
        self,
        group: _states.TaskGroup,
        worker_state: _states.WorkerState,
        room: _work.Resources,
    ) -> tuple[bool, bool, int, float]:
        step = group.step
        capacity = worker_state.record.capacity.cpu_millicores
        near = (
            bool(step.data_rack) and step.data_rack == worker_state.record.rack
        )
        together = step.is_tightly_coupled and self._is_near(
            group, worker_state
        )
        # Of sound workers the one with the least room, so that others
        # become empty and can be lent, maintained or turned off.
        free = room.cpu_millicores / max(capacity, 1)
        return near, together, -worker_state.failures, -free

    def _is_near(
        self, group: _states.TaskGroup, worker_state: _states.WorkerState
    ) -> bool:
        taken = {id_ for placed, id_ in self._spread if placed is group}
        taken.update(group.spread)
        return any(
            self._room[id_][0].record.rack == worker_state.record.rack
            for id_ in taken
            if id_ in self._room
        )

    def _take(
        self,
        group: _states.TaskGroup,
        worker_state: _states.WorkerState,
        need: _work.Resources,
    ) -> None:
        id_ = worker_state.record.id
        self._room[id_] = worker_state, self._room[id_][1].minus(need)
        key = group, id_
        self._spread[key] = self._spread.get(key, 0) + 1

    def place_all(self, tasks: list[_states.Task]) -> list[Placement]:
        """Place all members of a gang, or none."""
        room, spread = dict(self._room), dict(self._spread)
        placed = [self.place(task) for task in tasks]
        found = [item for item in placed if item is not None]
        if len(found) == len(tasks):
            return found
        self._room, self._spread = room, spread
        return []


def place_group(
    sketch: Sketch, group: _states.TaskGroup, waiting: list[_states.Task]
) -> Iterator[Placement]:
    """Yield placements of the waiting tasks as far as there is room."""
    if group.step.is_gang:
        if len(waiting) == len(group.tasks):
            yield from sketch.place_all(waiting)
        return
    for task in waiting:
        placement = sketch.place(task)
        if placement is None:
            # The tasks of a step need the same.
            return
        yield placement


def can_run(
    step: _work.Step, worker_states: Iterable[_states.WorkerState]
) -> bool:
    """Tell whether a worker could run a task of the step when empty."""
    need = _states.occupy(step)
    return any(
        need.fits(worker_state.record.capacity)
        and step.required_label in ('', *worker_state.record.labels)
        for worker_state in worker_states
    )
