"""Choice of a worker by two random choices, at constant cost."""

from collections.abc import Collection
import datetime
import heapq
import random
from typing import Protocol

from skylarktally import _clock
from skylarktally import _limits
from skylarktally import _outliers
from skylarktally import _resources


# Few workers may have room for a task of several slots; the number looked
# at is bounded, so that the cost does not grow with the pool.
_WIDE_SAMPLE = 16


class Leases(Protocol):
    """What the choice needs to know of the slot leases."""

    def count_free(self, instance: _resources.Instance) -> int:
        """Count the slots of leases on a worker that carry no task."""


class NameSet:
    """Set of names with a uniform random sample in constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def put(self, name: str, wanted: bool) -> None:
        """Add or remove a name."""
        place = self._places.get(name)
        if wanted and place is None:
            self._places[name] = len(self._names)
            self._names.append(name)
        elif not wanted and place is not None:
            last = self._names.pop()
            del self._places[name]
            if last != name:
                self._names[place] = last
                self._places[last] = place

    def sample(self, count: int, source: random.Random) -> list[str]:
        """Return up to that many different names."""
        if count >= len(self._names):
            names = list(self._names)
            source.shuffle(names)
            return names
        return source.sample(self._names, count)


class Worker:
    """A worker as this router uses it."""

    def __init__(self, instance: _resources.Instance) -> None:
        self.instance = instance
        # Slots of the tasks that this router has sent.
        self.running = 0
        # Slots that count towards the capacity of the pool.
        self.counted_slots = 0
        # Until then the worker had no slot for this router.
        self.full_until = datetime.timedelta()


class Selection:
    """Workers of one pool, kept by whether they can take a request."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        leases: Leases,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._leases = leases
        self._random = source
        self.outliers = _outliers.OutlierDetector(clock, limits)
        self.workers: dict[str, Worker] = {}
        # Slots of all workers that are not ejected.
        self.slots = 0
        # Workers with a free lease, or that may grant one more.
        self._usable = NameSet()
        self._full: list[tuple[datetime.timedelta, str]] = []

    def load(self, instances: list[_resources.Instance]) -> None:
        """Take over a new list of serving instances."""
        fresh = {x.name: x for x in instances}
        for name in set(self.workers) - set(fresh):
            self.slots -= self.workers.pop(name).counted_slots
            self._usable.put(name, False)
        for name, instance in fresh.items():
            worker = self.workers.setdefault(name, Worker(instance))
            worker.instance = instance
        self.outliers.track(set(fresh))
        for name in fresh:
            self.update(name)

    def update(self, name: str) -> None:
        """Sort one worker anew after a change of its state."""
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
        full = worker.full_until > self._clock.monotonic()
        room = worker.running + free < worker.instance.slots
        self._usable.put(name, usable and (free > 0 or room and not full))

    def can_ever_run(self, slots: int) -> bool:
        """Tell whether a worker has that many slots in all."""
        return slots == 1 or any(
            x.instance.slots >= slots for x in self.workers.values()
        )

    def choose(
        self, excluded: Collection[str] = (), slots: int = 1
    ) -> Worker | None:
        """Return the better of two random workers, or None."""
        now = self._clock.monotonic()
        while self._full and self._full[0][0] <= now:
            self.update(heapq.heappop(self._full)[1])
        count = 2 if slots == 1 else _WIDE_SAMPLE
        picks = self._usable.sample(count + len(excluded), self._random)
        picks = [
            x for x in picks if x not in excluded and self._has_room(x, slots)
        ][:2]
        if not picks:
            return None
        return self.workers[min(picks, key=self._rank)]

    def _has_room(self, name: str, slots: int) -> bool:
        # Usable workers have room for one more slot.
        worker = self.workers[name]
        return slots == 1 or worker.running + slots <= worker.instance.slots

    def _rank(self, name: str) -> tuple[int, float, bool]:
        worker = self.workers[name]
        load = worker.running / max(worker.instance.slots, 1)
        # A free lease saves a round trip to the worker.
        unleased = self._leases.count_free(worker.instance) == 0
        return self.outliers.rank(name), load, unleased

    def note_start(self, worker: Worker, slots: int = 1) -> None:
        """Count the slots of a task that is about to be sent."""
        worker.running += slots
        self.update(worker.instance.name)

    def note_end(self, worker: Worker, slots: int = 1) -> None:
        """Count the slots of a task that has ended."""
        worker.running -= slots
        self.update(worker.instance.name)

    def note_yield(self, worker: Worker) -> None:
        """Leave the slots of a worker to the other routers for a moment.

        They ask again after one poll interval, this router after two.
        """
        self.note_full(worker, 2 * self._limits.poll_interval)

    def note_full(self, worker: Worker, delay: datetime.timedelta) -> None:
        """Leave a worker alone that had no slot to grant."""
        worker.full_until = self._clock.monotonic() + delay
        name = worker.instance.name
        heapq.heappush(self._full, (worker.full_until, name))
        self.update(name)
