"""Placement of the tasks of a step on workers."""

import collections
from collections.abc import Iterable, Iterator
import datetime
from typing import NamedTuple

from skylarktally.scheduling import _advice
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

# Room is kept for a long-running task where batch tasks are due to end within
# this time.
_RESERVATION_TIME = datetime.timedelta(seconds=3)


class Placement(NamedTuple):
    """A task and the worker selected for it."""

    task: _states.Task
    worker_state: _states.WorkerState


class _Locations(NamedTuple):
    """Where the tasks of a group run or have been placed."""

    zones: frozenset[str]
    racks: frozenset[str]


class CapacityTracker:
    """Available capacity of workers, reduced by the placements of a plan."""

    def __init__(
        self,
        worker_states: Iterable[_states.WorkerState],
        now: datetime.timedelta,
    ) -> None:
        usable = {
            worker_state.record.id: (worker_state, worker_state.available)
            for worker_state in worker_states
            if worker_state.is_schedulable
            and worker_state.backoff_until <= now
        }
        # Workers on which runs failed. They get long-running tasks for which
        # there is no other worker.
        self._avoided = {
            id_: item
            for id_, item in usable.items()
            if item[0].batch_backoff_until > now
        }
        self._available = {
            id_: item
            for id_, item in usable.items()
            if id_ not in self._avoided
        }
        # Number of placed tasks by group and worker.
        self._placed_counts: collections.defaultdict[
            _states.TaskGroup, collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)
        self._now = now
        # Each amount is at least what any worker has available.
        self._upper_bound = _find_maximum(
            available for _, available in self._available.values()
        )
        # Needs that fit on no worker. No need that is at least as large in
        # each amount fits either.
        self._rejected_needs: tuple[_work.Resources, ...] = ()
        # Workers on which nothing else is placed, until a long-running task
        # fits, and what such tasks can still use there once batch tasks end.
        self._reserved: dict[str, tuple[_states.WorkerState, _work.Resources]]
        self._reserved = {}
        # What is available on them now.
        self._available_beside: dict[str, _work.Resources] = {}

    def may_fit(self, step: _work.Step) -> bool:
        """Tell whether a task of the step may fit, without asking workers.

        False is certain; after True, ``place`` may still find no worker.
        """
        need = _states.find_reserved_resources(step)
        if not need.fits(self._upper_bound):
            return False
        return not any(item.fits(need) for item in self._rejected_needs)

    def place_next(
        self, task: _states.Task, previous: Placement
    ) -> Placement | None:
        """Reserve capacity for a task of the same group as the previous one.

        The worker of the previous task remains the best one while the task
        fits: it now has even less capacity left, and the other parts of its
        score have not become worse.
        """
        worker_state = previous.worker_state
        need = _states.find_reserved_resources(task.group.step)
        _, available = self._available[worker_state.record.id]
        if need.fits(available) and self._allows(task, worker_state):
            self._reserve(task.group, worker_state, need)
            return Placement(task, worker_state)
        return self.place(task)

    def place(self, task: _states.Task) -> Placement | None:
        """Reserve capacity on the best worker; None if none fits."""
        group = task.group
        need = _states.find_reserved_resources(group.step)
        locations = self._find_locations(group)
        best = None
        has_room = False
        for worker_state, available in self._available.values():
            if not need.fits(available):
                continue
            has_room = True
            if not self._allows(task, worker_state):
                continue
            score = _score(group.step, worker_state, available, locations)
            if best is None or score > best[0]:
                best = score, worker_state
        if best is None:
            if not has_room:
                self._reject(need)
            return None
        self._reserve(group, best[1], need)
        return Placement(task, best[1])

    def _reject(self, need: _work.Resources) -> None:
        """Record a need that fits nowhere, in place of larger ones."""
        smaller = [
            item for item in self._rejected_needs if not need.fits(item)
        ]
        self._rejected_needs = (*smaller, need)

    def _allows(
        self, task: _states.Task, worker_state: _states.WorkerState
    ) -> bool:
        if task.id in worker_state.runs:
            # An earlier run of the task may still be active there.
            return False
        group = task.group
        step = group.step
        if step.is_long_running and worker_state.is_lease_long(self._now):
            return False
        if not worker_state.has_label(step.required_label):
            return False
        if _advice.find_ticket(group, worker_state, self._now) is None:
            return False
        limit = step.tasks_per_worker
        return not limit or self._count_tasks(group, worker_state) < limit

    def _count_tasks(
        self, group: _states.TaskGroup, worker_state: _states.WorkerState
    ) -> int:
        id_ = worker_state.record.id
        placed = self._placed_counts[group][id_]
        return group.runs_per_worker.get(id_, 0) + placed

    def _find_locations(self, group: _states.TaskGroup) -> _Locations:
        records = [
            self._available[id_][0].record
            for id_ in (*group.runs_per_worker, *self._placed_counts[group])
            if id_ in self._available
        ]
        return _Locations(
            frozenset(record.zone for record in records),
            frozenset(record.rack for record in records),
        )

    def _reserve(
        self,
        group: _states.TaskGroup,
        worker_state: _states.WorkerState,
        need: _work.Resources,
    ) -> None:
        id_ = worker_state.record.id
        self._available[id_] = (
            worker_state,
            self._available[id_][1].minus(need),
        )
        self._placed_counts[group][id_] += 1

    def place_on_avoided(self, task: _states.Task) -> Placement | None:
        """Reserve capacity on a worker on which runs failed."""
        need = _states.find_reserved_resources(task.group.step)
        for id_, (worker_state, available) in self._avoided.items():
            if need.fits(available) and self._allows(task, worker_state):
                self._avoided[id_] = worker_state, available.minus(need)
                self._placed_counts[task.group][id_] += 1
                return Placement(task, worker_state)
        return None

    def place_beside_reserved(self, task: _states.Task) -> Placement | None:
        """Reserve capacity on a reserved worker that the others leave free."""
        need = _states.find_reserved_resources(task.group.step)
        for id_, (worker_state, usable) in self._reserved.items():
            available = self._available_beside[id_]
            if (
                need.fits(available)
                and need.fits(usable)
                and self._allows(task, worker_state)
            ):
                self._available_beside[id_] = available.minus(need)
                self._reserved[id_] = worker_state, usable.minus(need)
                self._placed_counts[task.group][id_] += 1
                return Placement(task, worker_state)
        return None

    def keep_room(self, task: _states.Task) -> None:
        """Keep room for a long-running task that is about to be moved."""
        if self.place(task) is None:
            self.reserve([task])

    def reserve(self, tasks: list[_states.Task]) -> list[_states.Task]:
        """Keep room for long-running tasks of a step that fit nowhere now.

        Places nothing else on the workers that lack the least, so that the
        tasks that run there make room as they end. Otherwise smaller tasks
        could take each gap before it is large enough. The next plan chooses
        the same workers, unless others lack even less.

        :return: the tasks for which no room can be kept
        """
        need = _states.find_reserved_resources(tasks[0].group.step)
        waiting = list(reversed(tasks))
        for worker_state in self._list_reservable(need):
            if not waiting:
                break
            if self._allows(waiting[-1], worker_state):
                self._reserve_ending(waiting, need, worker_state)
        self._upper_bound = _find_maximum(
            available for _, available in self._available.values()
        )
        return waiting[::-1]

    def _reserve_ending(
        self,
        waiting: list[_states.Task],
        need: _work.Resources,
        worker_state: _states.WorkerState,
    ) -> None:
        """Reserve a worker for the last of the waiting tasks, and drop these.

        As many as will fit there and are allowed.
        """
        id_ = worker_state.record.id
        usable = self._find_usable(worker_state)
        while (
            waiting
            and need.fits(usable)
            and self._allows(waiting[-1], worker_state)
        ):
            usable = usable.minus(need)
            self._reserved[id_] = worker_state, usable
            if id_ in self._available:
                _, self._available_beside[id_] = self._available.pop(id_)
            self._placed_counts[waiting.pop().group][id_] += 1

    def _list_reservable(
        self, need: _work.Resources
    ) -> list[_states.WorkerState]:
        """Return the reserved workers, then those that lack the least room."""
        others = sorted(
            self._available.values(),
            key=lambda item: _find_lacking_share(need, item[1]),
        )
        return [item for item, _ in (*self._reserved.values(), *others)]

    def _find_usable(
        self, worker_state: _states.WorkerState
    ) -> _work.Resources:
        """Return what is available once batch tasks due to end have ended."""
        id_ = worker_state.record.id
        if id_ in self._reserved:
            return self._reserved[id_][1]
        _, usable = self._available[id_]
        limit = self._now + _RESERVATION_TIME
        for run in worker_state.runs.values():
            step = run.task.group.step
            is_soon = run.sent_at + step.estimate <= limit
            if is_soon and not step.is_long_running:
                usable = usable.plus(_states.find_reserved_resources(step))
        return usable

    def place_all(self, tasks: list[_states.Task]) -> list[Placement]:
        """Place all tasks of a gang; if one does not fit, place none."""
        group = tasks[0].group
        available, placed_counts, rejected_needs = (
            dict(self._available),
            self._placed_counts[group].copy(),
            self._rejected_needs,
        )
        results = [self.place(task) for task in tasks]
        placements = [item for item in results if item is not None]
        if len(placements) == len(tasks):
            return placements
        self._available = available
        self._placed_counts[group] = placed_counts
        self._rejected_needs = rejected_needs
        return []


def _score(
    step: _work.Step,
    worker_state: _states.WorkerState,
    available: _work.Resources,
    locations: _Locations,
) -> tuple[bool, bool, int, bool, float]:
    """Return how well a worker suits a task; the highest score is best."""
    record = worker_state.record
    is_near_data = bool(step.data_rack) and step.data_rack == record.rack
    is_on_same_rack = (
        step.is_tightly_coupled and record.rack in locations.racks
    )
    # A batch step ends with its last task, so that the loss of any zone in
    # which it runs delays it. Long-running tasks count one by one.
    is_in_same_zone = (
        not step.is_long_running and record.zone in locations.zones
    )
    # Best fit: of the workers with the fewest failures, prefer the one
    # with the least capacity left. Others then become empty, so that
    # they can be lent, maintained or turned off.
    free = available.cpu_millicores / max(record.capacity.cpu_millicores, 1)
    return (
        is_near_data,
        is_on_same_rack,
        -worker_state.failures,
        is_in_same_zone,
        -free,
    )


def _find_lacking_share(
    need: _work.Resources, available: _work.Resources
) -> float:
    """Return the largest share of an amount that is not available."""
    shares = [
        (wanted - free) / wanted
        for wanted, free in zip(need, available, strict=True)
        if wanted
    ]
    return max(shares, default=0)


def _find_maximum(amounts: Iterable[_work.Resources]) -> _work.Resources:
    """Return the largest amount of each resource."""
    maximum = _work.Resources()
    for item in amounts:
        maximum = _work.Resources(*map(max, maximum, item))
    return maximum


def place_group(
    tracker: CapacityTracker,
    group: _states.TaskGroup,
    waiting: list[_states.Task],
) -> Iterator[Placement]:
    """Yield placements of the waiting tasks until no worker fits."""
    if group.step.is_gang:
        if len(waiting) == len(group.tasks):
            yield from tracker.place_all(waiting)
        return
    placement: Placement | None = None
    for task in waiting:
        if placement is None:
            placement = tracker.place(task)
        else:
            placement = tracker.place_next(task, placement)
        if placement is None:
            # The other tasks of the step need the same resources.
            return
        yield placement


def place_long_running(
    tracker: CapacityTracker,
    group: _states.TaskGroup,
    waiting: list[_states.Task],
) -> list[Placement]:
    """Place waiting long-running tasks, and keep room for the others.

    Those for which there will be no room soon are placed on workers on which
    runs failed.
    """
    placements: list[Placement] = []
    if tracker.may_fit(group.step):
        placements.extend(place_group(tracker, group, waiting))
    if group.step.is_gang:
        return placements
    left = waiting[len(placements) :]
    while left:
        placement = tracker.place_beside_reserved(left[0])
        if placement is None:
            break
        placements.append(placement)
        left = left[1:]
    if left:
        left = tracker.reserve(left)
    for task in left:
        placement = tracker.place_on_avoided(task)
        if placement is not None:
            placements.append(placement)
    return placements


def can_run(
    step: _work.Step, worker_states: Iterable[_states.WorkerState]
) -> bool:
    """Tell whether a task of the step may fit on any empty worker.

    A restarted worker whose entry has not been read yet may have any label.
    """
    need = _states.find_reserved_resources(step)
    return any(
        need.fits(worker_state.record.capacity)
        and (
            not worker_state.is_record_current
            or worker_state.has_label(step.required_label)
        )
        for worker_state in worker_states
    )
