"""Choice of a worker by the power of two random choices.

Two random usable workers are compared and the better one is taken. The cost
of a choice does not depend on the number of workers in the pool.
"""

from collections.abc import Collection
import datetime
import heapq
import random
from typing import Protocol

from skylarktally import _clock
from skylarktally import _limits
from skylarktally import _outliers
from skylarktally import _resources


# Workers sampled for a task of several slots, since few of them may have that
# many free. The bound keeps the cost from growing with the pool.
_MULTI_SLOT_SAMPLE = 16


class Leases(Protocol):
    """The part of the slot leases that the choice uses."""

    def count_free(self, instance: _resources.Instance) -> int:
        """Count the leased slots of a worker that run no task."""


class NameSet:
    """Set of names that is sampled uniformly at constant cost.

    A list holds the names in any order; a removed name is replaced by the
    last one.
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._indexes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def set_present(self, name: str, present: bool) -> None:
        """Add the name if present is true, else remove it."""
        index = self._indexes.get(name)
        if present and index is None:
            self._indexes[name] = len(self._names)
            self._names.append(name)
        elif not present and index is not None:
            last = self._names.pop()
            del self._indexes[name]
            if last != name:
                self._names[index] = last
                self._indexes[last] = index

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return `count` different names, or all if there are fewer."""
        if count >= len(self._names):
            names = list(self._names)
            rng.shuffle(names)
            return names
        return rng.sample(self._names, count)


class Worker:
    """A worker and its use by this router."""

    def __init__(self, instance: _resources.Instance) -> None:
        self.instance = instance
        # Slots used by tasks of this router.
        self.running = 0
        # Slots of this worker that are part of Selection.slots.
        self.counted_slots = 0
        # Until then this router asks the worker for no further lease.
        self.full_until = datetime.timedelta()


class Selection:
    """Workers of one pool, with the set of those that can take a request."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        leases: Leases,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._leases = leases
        self._random = rng
        self.outliers = _outliers.OutlierDetector(clock, limits)
        self.workers: dict[str, Worker] = {}
        # Slots of all workers that are not ejected.
        self.slots = 0
        # Workers with a free lease, or that may grant another one.
        self._usable = NameSet()
        # Heap of the times at which to reconsider full workers.
        self._backoffs: list[tuple[datetime.timedelta, str]] = []

    def load(self, instances: list[_resources.Instance]) -> None:
        """Replace the workers by a new list of serving instances."""
        by_name = {x.name: x for x in instances}
        for name in set(self.workers) - set(by_name):
            self.slots -= self.workers.pop(name).counted_slots
            self._usable.set_present(name, False)
        for name, instance in by_name.items():
            worker = self.workers.setdefault(name, Worker(instance))
            worker.instance = instance
        self.outliers.track(set(by_name))
        for name in by_name:
            self.update(name)

    def update(self, name: str) -> None:
        """Recompute whether a worker is usable and how many slots count."""
        worker = self.workers.get(name)
        if worker is None:
            return
        health = self.outliers.records[name].health
        ejected = health is _outliers.Health.EJECTED
        slots = 0 if ejected else worker.instance.slots
        self.slots += slots - worker.counted_slots
        worker.counted_slots = slots
        usable = health is _outliers.Health.GOOD or (
            health is _outliers.Health.TRIAL and worker.running == 0
        )
        free = self._leases.count_free(worker.instance)
        backing_off = worker.full_until > self._clock.monotonic()
        can_lease_more = worker.running + free < worker.instance.slots
        self._usable.set_present(
            name, usable and (free > 0 or can_lease_more and not backing_off)
        )

    def can_ever_run(self, slots: int) -> bool:
        """Tell whether any worker has that many slots in total."""
        return slots == 1 or any(
            x.instance.slots >= slots for x in self.workers.values()
        )

    def choose(
        self, excluded: Collection[str] = (), slots: int = 1
    ) -> Worker | None:
        """Return the better of two random usable workers, or None.

        :param excluded: names of workers that must not be chosen
        :param slots: slots that the task needs
        """
        now = self._clock.monotonic()
        while self._backoffs and self._backoffs[0][0] <= now:
            self.update(heapq.heappop(self._backoffs)[1])
        count = 2 if slots == 1 else _MULTI_SLOT_SAMPLE
        candidates = self._usable.sample(count + len(excluded), self._random)
        candidates = [
            x
            for x in candidates
            if x not in excluded and self._has_free_slots(x, slots)
        ][:2]
        if not candidates:
            return None
        return self.workers[min(candidates, key=self._compute_order)]

    def _has_free_slots(self, name: str, slots: int) -> bool:
        # A usable worker has at least one free slot.
        worker = self.workers[name]
        return slots == 1 or worker.running + slots <= worker.instance.slots

    def _compute_order(self, name: str) -> tuple[int, float, bool]:
        worker = self.workers[name]
        load = worker.running / max(worker.instance.slots, 1)
        # A free lease saves a round trip to the worker.
        unleased = self._leases.count_free(worker.instance) == 0
        return self.outliers.count_recent_failures(name), load, unleased

    def note_start(self, worker: Worker, slots: int = 1) -> None:
        """Count the slots of a task that is about to be sent."""
        worker.running += slots
        self.update(worker.instance.name)

    def note_end(self, worker: Worker, slots: int = 1) -> None:
        """Count the slots of a task that has ended."""
        worker.running -= slots
        self.update(worker.instance.name)

    def note_yield(self, worker: Worker) -> None:
        """Let the other routers get the returned slots of a worker first.

        They ask again after one poll interval, this router after two.
        """
        self.note_full(worker, 2 * self._limits.poll_interval)

    def note_full(self, worker: Worker, delay: datetime.timedelta) -> None:
        """Request no lease from a worker until the delay has passed."""
        worker.full_until = self._clock.monotonic() + delay
        name = worker.instance.name
        heapq.heappush(self._backoffs, (worker.full_until, name))
        self.update(name)
