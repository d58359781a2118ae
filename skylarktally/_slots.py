"""Leases on worker slots, which workers grant to this router.

A task runs under one lease and a lease is for one task at a time, so the
routers of a zone can't send a worker more tasks than it has slots.
"""

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


# Reason that a worker gives when it has too few free slots.
_NO_FREE_SLOT = 'no_free_slot'


class WorkerClient(Protocol):
    """The part of the worker client that the slot leases use."""

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
    """Right to run one task at a time on a worker, until it expires."""

    def __init__(
        self,
        lease_id: str,
        instance: _resources.Instance,
        granted_at: datetime.timedelta,
        expiry: datetime.timedelta,
        slots: int = 1,
    ) -> None:
        self.lease_id = lease_id
        # All of these slots are for the one task that runs under the lease.
        self.slots = slots
        self.instance = instance
        self.fence = Fence(instance.name, instance.pool, instance.epoch)
        self.granted_at = granted_at
        self.expiry = expiry
        self.last_used = granted_at
        self.busy = False
        self.renewing = False


class SlotLeases:
    """Requests, renews and returns the slot leases of this router."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        holder: str,
        client: WorkerClient,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        """Create without any lease.

        :param holder: name under which workers know this router
        :param count_routers: returns the number of live routers in the
            zone, which share the slots of its workers
        """
        self._clock = clock
        self._count_routers = count_routers
        self._limits = limits
        self._holder = holder
        self._client = client
        self._free: dict[Fence, collections.deque[Lease]] = {}
        self._held: dict[str, Lease] = {}
        # Total slots of the held leases, by worker.
        self._slots_held: collections.Counter[Fence] = collections.Counter()
        # Called when the free leases on an instance change.
        self.on_change: Callable[[Fence], None] = lambda fence: None

    def count_held(self) -> int:
        """Count the leases that this router holds."""
        return len(self._held)

    def count_free(self, instance: _resources.Instance) -> int:
        """Count the leased slots of a worker that run no task."""
        fence = Fence(instance.name, instance.pool, instance.epoch)
        return sum(x.slots for x in self._free.get(fence, ()))

    def is_usable(self, lease: Lease) -> bool:
        """Tell whether a task may start: the expiry is not too close."""
        remaining = lease.expiry - self._clock.monotonic()
        return remaining > self._limits.lease_margin

    def take(
        self, instance: _resources.Instance, slots: int = 1
    ) -> Lease | None:
        """Take a free lease of the instance's current epoch, without I/O.

        :returns: a lease on exactly this number of slots, marked busy
        """
        fence = Fence(instance.name, instance.pool, instance.epoch)
        free = self._free.get(fence, ())
        for lease in [x for x in reversed(free) if x.slots == slots]:
            self._remove_free(lease)
            if self.is_usable(lease):
                lease.busy = True
                return lease
            self._discard(lease)
        return None

    def request(
        self, instance: _resources.Instance, slots: int = 1
    ) -> result.Result[Lease, _errors.Failure]:
        """Request another lease from the worker.

        If the worker has too few free slots, this router's free leases of
        another size are returned and the request is repeated once.

        :returns: the lease, marked busy; WORKER_REFUSED when the worker
            grants fewer slots, or WORKER_UNREACHABLE. No task has reached
            the worker in these cases.
        """
        requested = self._request_lease(instance, slots)
        if isinstance(requested, result.Success):
            return requested
        lacks_slots = requested.failure().message == _NO_FREE_SLOT
        if not (lacks_slots and self._return_other_sizes(instance, slots)):
            return requested
        return self._request_lease(instance, slots)

    def _return_other_sizes(
        self, instance: _resources.Instance, slots: int
    ) -> bool:
        fence = Fence(instance.name, instance.pool, instance.epoch)
        others = [x for x in self._free.get(fence, ()) if x.slots != slots]
        for lease in others:
            self._remove_free(lease)
            self._discard(lease)
        for lease in others:
            self._return(lease)
        return bool(others)

    def _request_lease(
        self, instance: _resources.Instance, slots: int
    ) -> result.Result[Lease, _errors.Failure]:
        # The ttl starts before the request is sent, so that the lease
        # expires here no later than at the worker.
        requested_at = self._clock.monotonic()
        data = {
            'holder': self._holder,
            'epoch': instance.epoch,
            'pool': instance.pool,
            'slots': slots,
            'ttl_seconds': self._limits.lease_ttl.total_seconds(),
        }
        called = self._client.call(
            instance.address,
            'POST',
            '/v1/leases',
            data,
            self._limits.probe_timeout,
        )
        if not isinstance(called, result.Success):
            return result.Failure(called.failure())
        response = called.unwrap()
        if response.status != 200:
            kind = _errors.ErrorKind.WORKER_REFUSED
            reason = str(response.data.get('reason', response.status))
            return result.Failure(_errors.Failure(kind, reason))
        ttl = datetime.timedelta(seconds=response.data['ttl_seconds'])
        granted_slots = int(response.data.get('slots', slots))
        lease = Lease(
            response.data['lease_id'],
            instance,
            requested_at,
            requested_at + ttl,
            granted_slots,
        )
        if granted_slots < slots:
            self._return_in_background(lease)
            kind = _errors.ErrorKind.WORKER_REFUSED
            return result.Failure(_errors.Failure(kind, _NO_FREE_SLOT))
        lease.busy = True
        self._held[lease.lease_id] = lease
        self._slots_held[lease.fence] += lease.slots
        return result.Success(lease)

    def release(self, lease: Lease, reusable: bool = True) -> bool:
        """Make a lease available for the next task, or return it.

        :param reusable: False when the task may still run under the
            lease, or when the worker has refused the lease
        :returns: whether the lease was returned in favour of the zone's
            other routers, which should be able to request it first
        """
        lease.busy = False
        lease.last_used = self._clock.monotonic()
        yielded_to_others = False
        if not self.is_usable(lease):
            self._discard(lease)
        elif not reusable or self._exceeds_max_age(lease):
            self._return_in_background(lease)
        elif self._exceeds_fair_share(lease):
            yielded_to_others = True
            self._return_in_background(lease)
        else:
            free = self._free.setdefault(lease.fence, collections.deque())
            free.append(lease)
        self.on_change(lease.fence)
        return yielded_to_others

    def _exceeds_fair_share(self, lease: Lease) -> bool:
        """Tell whether to return the lease for the sake of fairness.

        A busy router keeps its equal share of a worker's slots. Leases
        beyond that are returned after the maximum hold time.
        """
        if lease.last_used - lease.granted_at < self._limits.max_lease_hold:
            return False
        share = lease.instance.slots // max(self._count_routers(), 1)
        return self._slots_held[lease.fence] > max(share, 1)

    def _exceeds_max_age(self, lease: Lease) -> bool:
        # Leases within the share are returned now and then as well, for
        # routers that this one does not know.
        return (
            lease.last_used - lease.granted_at
            >= 10 * self._limits.max_lease_hold
        )

    def _discard(self, lease: Lease) -> None:
        if self._held.pop(lease.lease_id, None) is None:
            return
        self._slots_held[lease.fence] -= lease.slots
        if not self._slots_held[lease.fence]:
            del self._slots_held[lease.fence]

    def _return_in_background(self, lease: Lease) -> None:
        self._discard(lease)
        _loop.spawn(self._return, lease)

    def _return(self, lease: Lease) -> None:
        # If the call is lost, the slots become free when the ttl is over.
        self._client.call(
            lease.instance.address,
            'DELETE',
            f'/v1/leases/{lease.lease_id}',
            None,
            self._limits.probe_timeout,
        )

    def maintain(self, is_current: Callable[[Fence], bool]) -> None:
        """Renew leases that are due; return idle and outdated ones.

        :param is_current: returns False for an instance that no longer
            serves the pool in this epoch
        """
        now = self._clock.monotonic()
        for lease in list(self._held.values()):
            if lease.busy:
                self._renew_if_due(lease, now)
                continue
            idle = now - lease.last_used >= self._limits.lease_idle_timeout
            if idle or not is_current(lease.fence):
                self._remove_free(lease)
                self._return_in_background(lease)
                self.on_change(lease.fence)
            else:
                self._renew_if_due(lease, now)

    def return_all(self) -> None:
        """Return all leases that run no task."""
        for lease in list(self._held.values()):
            if not lease.busy:
                self._remove_free(lease)
                self._return_in_background(lease)

    def _remove_free(self, lease: Lease) -> None:
        free = self._free.get(lease.fence)
        if free is not None and lease in free:
            free.remove(lease)
        if not free:
            self._free.pop(lease.fence, None)

    def _renew_if_due(self, lease: Lease, now: datetime.timedelta) -> None:
        renew_at = lease.expiry - self._limits.lease_ttl * 2 / 3
        if now >= renew_at and not lease.renewing:
            lease.renewing = True
            _loop.spawn(self._renew, lease)

    def _renew(self, lease: Lease) -> None:
        requested_at = self._clock.monotonic()
        ttl = self._limits.lease_ttl
        called = self._client.call(
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
            lease.expiry = requested_at + ttl
        else:
            # The worker does not know the lease any more.
            lease.expiry = requested_at
            self._discard(lease)
            self._remove_free(lease)
