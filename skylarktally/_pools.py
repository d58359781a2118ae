"""Queue, workers and counters that this router keeps for each pool."""

import random
from typing import Any, Protocol

from skylarktally import _admission
from skylarktally import _clock
from skylarktally import _limits
from skylarktally import _outliers
from skylarktally import _resources
from skylarktally import _selection
from skylarktally import _slots


class Fleet(Protocol):
    """The part of the fleet replica that the request path uses."""

    version: int

    def find(
        self, kind: _resources.Kind, name: str
    ) -> _resources.Resource | None:
        """Return a resource by kind and name."""

    def find_instances(
        self, pool: str | None = None, zone: str | None = None
    ) -> list[_resources.Instance]:
        """Return the instances of a pool in a zone."""


class PoolState:
    """Queue of one pool and its workers in this router's zone."""

    def __init__(
        self,
        name: str,
        queue: _admission.PoolQueue,
        selection: _selection.Selection,
    ) -> None:
        self.name = name
        self.queue = queue
        self.selection = selection
        self.version = -1


class Pools:
    """States of the pools, reloaded when the replica has a new version."""

    def __init__(
        self,
        fleet: Fleet,
        zone: str,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        leases: _slots.SlotLeases,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._zone = zone
        self._clock = clock
        self._limits = limits
        self._leases = leases
        self._random = rng
        self._states: dict[str, PoolState] = {}
        leases.on_change = self._handle_lease_change

    def find(self, name: str) -> PoolState:
        """Return the state of a pool, up to date with the replica."""
        state = self._states.get(name)
        if state is None:
            selection = _selection.Selection(
                self._clock, self._limits, self._leases, self._random
            )
            queue = _admission.PoolQueue(self._clock, self._limits)
            state = self._states[name] = PoolState(name, queue, selection)
        if state.version != self._fleet.version:
            state.version = self._fleet.version
            instances = self._fleet.find_instances(name, self._zone)
            serving = _resources.Phase.SERVING
            state.selection.load([x for x in instances if x.phase is serving])
            state.queue.wake()
        return state

    def list_states(self) -> list[PoolState]:
        """List the states of all pools that had a request, up to date."""
        return [self.find(x) for x in list(self._states)]

    def _handle_lease_change(self, fence: _slots.Fence) -> None:
        state = self._states.get(fence.pool)
        if state is not None:
            state.selection.update(fence.name)
            state.queue.wake()

    def is_current(self, fence: _slots.Fence) -> bool:
        """Tell whether a worker serves the pool in the epoch of the fence."""
        worker = self.find(fence.pool).selection.workers.get(fence.name)
        return worker is not None and worker.instance.epoch == fence.epoch

    def observe(self) -> dict[str, Any]:
        """Return, for peers, queue lengths, rates and results of workers."""
        now = self._clock.monotonic()
        return {
            'pools': {
                x.name: x.queue.observe(now) for x in self.list_states()
            },
            'workers': {
                name: {
                    'successes': record.successes,
                    'failures': record.failures,
                    'ejected': record.health is _outliers.Health.EJECTED,
                }
                for x in self._states.values()
                for name, record in x.selection.outliers.records.items()
            },
        }
