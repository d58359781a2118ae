"""Slot leases that workers grant to this router."""

import collections
from collections.abc import Callable
import datetime
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _resources
from skylarktally import _worker_client


# Reason of a worker that has too few slots left.
_NO_FREE_SLOT = 'no_free_slot'


class Calls(Protocol):
    """What a slot lease needs of the worker client."""

    def call(
        self,
        address: str,
        method: str,
        path: str,
        data: dict[str, Any] | None,
        timeout: datetime.timedelta,
        new_connection: bool = False,
    ) -> result.Result[_worker_client.WorkerResponse, _errors.Failure]:
        """Send one request to a worker."""


class Fence(NamedTuple):
    """Instance, pool and epoch that a lease was granted under."""

    name: str
    pool: str
    epoch: int


class Lease:
    """The right to run one task at a time on a worker."""

    def __init__(
        self,
        lease_id: str,
        instance: _resources.Instance,
        granted: datetime.timedelta,
        expiry: datetime.timedelta,
        slots: int = 1,
    ) -> None:
        self.lease_id = lease_id
        # All of them belong to the one task that runs under the lease.
        self.slots = slots
        self.instance = instance
        self.fence = Fence(instance.name, instance.pool, instance.epoch)
        self.granted = granted
        self.expiry = expiry
        self.used = granted
        self.busy = False
        self.renewing = False


class SlotLeases:
    """Requests, renews and returns leases; one task to a lease."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        holder: str,
        calls: Calls,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        """Create without a lease.

        :param count_routers: number of routers alive in the zone, which
            share the slots of its workers
        """
        self._clock = clock
        self._count_routers = count_routers
        self._limits = limits
        self._holder = holder
        self._calls = calls
        self._free: dict[Fence, collections.deque[Lease]] = {}
        self._held: dict[str, Lease] = {}
        # Slots of the held leases, by worker.
        self._slots_held: collections.Counter[Fence] = collections.Counter()
        # Called when the free leases of an instance change.
        self.notify: Callable[[Fence], None] = lambda fence: None

    def count_held(self) -> int:
        """Count the leases that this router holds."""
        return len(self._held)

    def count_free(self, instance: _resources.Instance) -> int:
        """Count the slots of leases on a worker that carry no task."""
        fence = Fence(instance.name, instance.pool, instance.epoch)
        return sum(x.slots for x in self._free.get(fence, ()))

    def is_usable(self, lease: Lease) -> bool:
        """Tell whether a task may still start under the lease."""
        left = lease.expiry - self._clock.monotonic()
        return left > self._limits.lease_margin

    def take(
        self, instance: _resources.Instance, slots: int = 1
    ) -> Lease | None:
        """Return a free lease of this epoch, marked busy, without I/O."""
        fence = Fence(instance.name, instance.pool, instance.epoch)
        free = self._free.get(fence, ())
        for lease in [x for x in reversed(free) if x.slots == slots]:
            self._remove_free(lease)
            if self.is_usable(lease):
                lease.busy = True
                return lease
            self._forget(lease)
        return None

    def request(
        self, instance: _resources.Instance, slots: int = 1
    ) -> result.Result[Lease, _errors.Failure]:
        """Ask the worker for a lease on more slots.

        Free leases of another size are given back if they are in the way.

        :returns: WORKER_REFUSED when the worker grants fewer, or
            WORKER_UNREACHABLE; a task has reached the worker in neither
        """
        asked = self._ask(instance, slots)
        if isinstance(asked, result.Success):
            return asked
        refused = asked.failure().message == _NO_FREE_SLOT
        if not (refused and self._return_other_sizes(instance, slots)):
            return asked
        return self._ask(instance, slots)

    def _return_other_sizes(
        self, instance: _resources.Instance, slots: int
    ) -> bool:
        fence = Fence(instance.name, instance.pool, instance.epoch)
        others = [x for x in self._free.get(fence, ()) if x.slots != slots]
        for lease in others:
            self._remove_free(lease)
            self._forget(lease)
        for lease in others:
            self._return(lease)
        return bool(others)

    def _ask(
        self, instance: _resources.Instance, slots: int
    ) -> result.Result[Lease, _errors.Failure]:
        # The ttl counts from before the request, so that this router
        # never believes in a lease longer than the worker does.
        asked = self._clock.monotonic()
        data = {
            'holder': self._holder,
            'epoch': instance.epoch,
            'pool': instance.pool,
            'slots': slots,
            'ttl_seconds': self._limits.lease_ttl.total_seconds(),
        }
        called = self._calls.call(
            instance.address,
            'POST',
            '/v1/leases',
            data,
            self._limits.probe_timeout,
        )
        if not isinstance(called, result.Success):
            return result.Failure(called.failure())
        reply = called.unwrap()
        if reply.status != 200:
            kind = _errors.ErrorKind.WORKER_REFUSED
            reason = str(reply.data.get('reason', reply.status))
            return result.Failure(_errors.Failure(kind, reason))
        ttl = datetime.timedelta(seconds=reply.data['ttl_seconds'])
        granted = int(reply.data.get('slots', slots))
        lease = Lease(
            reply.data['lease_id'], instance, asked, asked + ttl, granted
        )
        if granted < slots:
            self._give_back(lease)
            kind = _errors.ErrorKind.WORKER_REFUSED
            return result.Failure(_errors.Failure(kind, _NO_FREE_SLOT))
        lease.busy = True
        self._held[lease.lease_id] = lease
        self._slots_held[lease.fence] += lease.slots
        return result.Success(lease)

    def release(self, lease: Lease, reusable: bool = True) -> bool:
        """Make a lease free after its task.

        :param reusable: False when the task may still run under the
            lease, or when the worker has refused the lease
        :returns: whether it was given back for the zone's other routers,
            which should come first with their requests
        """
        lease.busy = False
        lease.used = self._clock.monotonic()
        yielded = False
        if not self.is_usable(lease):
            self._forget(lease)
        elif not reusable or self._is_worn(lease):
            self._give_back(lease)
        elif self._is_owed(lease):
            yielded = True
            self._give_back(lease)
        else:
            free = self._free.setdefault(lease.fence, collections.deque())
            free.append(lease)
        self.notify(lease.fence)
        return yielded

    def _is_owed(self, lease: Lease) -> bool:
        """Tell whether another router should have its turn.

        A router keeps its equal share of a worker while it is busy, and
        returns what it holds beyond that after the tenure.
        """
        if lease.used - lease.granted < self._limits.max_lease_hold:
            return False
        share = lease.instance.slots // max(self._count_routers(), 1)
        return self._slots_held[lease.fence] > max(share, 1)

    def _is_worn(self, lease: Lease) -> bool:
        # For routers that this one does not see, its share is open to all
        # now and then.
        return lease.used - lease.granted >= 10 * self._limits.max_lease_hold

    def _forget(self, lease: Lease) -> None:
        if self._held.pop(lease.lease_id, None) is None:
            return
        self._slots_held[lease.fence] -= lease.slots
        if not self._slots_held[lease.fence]:
            del self._slots_held[lease.fence]

    def _give_back(self, lease: Lease) -> None:
        self._forget(lease)
        _loop.spawn(self._return, lease)

    def _return(self, lease: Lease) -> None:
        # A lost return costs no more than the rest of the ttl.
        self._calls.call(
            lease.instance.address,
            'DELETE',
            f'/v1/leases/{lease.lease_id}',
            None,
            self._limits.probe_timeout,
        )

    def maintain(self, is_current: Callable[[Fence], bool]) -> None:
        """Renew, give back and forget leases; one pass.

        :param is_current: False once an instance has another epoch
        """
        now = self._clock.monotonic()
        for lease in list(self._held.values()):
            if lease.busy:
                self._renew_if_due(lease, now)
                continue
            idle = now - lease.used >= self._limits.lease_idle_timeout
            if idle or not is_current(lease.fence):
                self._remove_free(lease)
                self._give_back(lease)
                self.notify(lease.fence)
            else:
                self._renew_if_due(lease, now)

    def return_all(self) -> None:
        """Give back every lease without a task."""
        for lease in list(self._held.values()):
            if not lease.busy:
                self._remove_free(lease)
                self._give_back(lease)

    def _remove_free(self, lease: Lease) -> None:
        free = self._free.get(lease.fence)
        if free is not None and lease in free:
            free.remove(lease)
        if not free:
            self._free.pop(lease.fence, None)

    def _renew_if_due(self, lease: Lease, now: datetime.timedelta) -> None:
        due = lease.expiry - self._limits.lease_ttl * 2 / 3
        if now >= due and not lease.renewing:
            lease.renewing = True
            _loop.spawn(self._renew, lease)

    def _renew(self, lease: Lease) -> None:
        asked = self._clock.monotonic()
        ttl = self._limits.lease_ttl
        called = self._calls.call(
            lease.instance.address,
            'PUT',
            f'/v1/leases/{lease.lease_id}',
            {'ttl_seconds': ttl.total_seconds()},
            self._limits.probe_timeout,
        )
        lease.renewing = False
        if not isinstance(called, result.Success):
            return
        if called.unwrap().status == 200:
            lease.expiry = asked + ttl
        else:
            # The worker no longer knows the lease.
            lease.expiry = asked
            self._forget(lease)
            self._remove_free(lease)
