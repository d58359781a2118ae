"""Follows the platform's own list of live and leaving instances.

The platform takes instances away and replaces them without being asked.
Its list says so, some time later.
"""

from collections.abc import Iterable
import datetime
import enum
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _controller_metrics
from skylarktally import _fleet
from skylarktally import _instances
from skylarktally import _planning
from skylarktally import _resources
from skylarktally import _steps
from skylarktally import _transitions

log = logging.getLogger(__name__)

Kind = _resources.Kind
Phase = _resources.Phase
Resource = _resources.Resource

_INTERVAL = datetime.timedelta(seconds=2)
# Difference allowed between the platform's clock and a controller's. A list
# that may be older than the present phase says nothing about it.
CLOCK_MARGIN = datetime.timedelta(seconds=5)
# A transaction has room for 97 changes.
_CHANGES_LIMIT = 50
_LEAVING = 'leaving'


class Action(enum.Enum):
    """What a listing asks for."""

    LEAVE = 'leave'
    RELIST = 'relist'


class ListingChange(NamedTuple):
    """One instance whose listing differs from the log."""

    instance: str
    action: Action
    listed: _instances.ListedInstance


def plan_listing_changes(
    resources: Iterable[Resource], listing: _instances.InstanceList
) -> list[ListingChange]:
    """Compare instances with a listing that is late by some time.

    A serving instance that the platform takes away leaves whatever the
    budgets say, since the platform does not wait. One that has left, or is
    lost, comes back at the address where the platform lists it as live; it
    serves again once it passes probes.
    """
    listed = {item.name: item for item in listing.instances}
    departures = []
    for resource in resources:
        item = listed.get(resource['name'])
        if item is None or not _is_newer(listing.as_of, resource):
            continue
        action = _choose_action(resource, item)
        if action is not None:
            departures.append(ListingChange(resource['name'], action, item))
    return departures


def _is_newer(as_of: datetime.datetime, resource: Resource) -> bool:
    since = resource['status'].get('since')
    if not since:
        return True
    began = datetime.datetime.fromisoformat(since)
    return as_of >= began + CLOCK_MARGIN


def _choose_action(
    resource: Resource, item: _instances.ListedInstance
) -> Action | None:
    phase = _transitions.find_phase(resource)
    leaving = item.state == _LEAVING
    if phase is Phase.SERVING:
        return Action.LEAVE if leaving else None
    if leaving:
        return None
    spec, status = resource['spec'], resource['status']
    if phase is Phase.CORDONED and status.get('departing'):
        return Action.RELIST
    moved = item.address != spec['address'] and item.zone == spec['zone']
    return Action.RELIST if phase is Phase.FAILED and moved else None


def _build_change(
    departure: ListingChange, resource: Resource, now: datetime.datetime
) -> _resources.Change:
    if departure.action is Action.LEAVE:
        return _transitions.advance(
            resource,
            Phase.DRAINING,
            now,
            'the platform lists it as leaving',
            departing=True,
            then=_transitions.CORDON,
        )
    item = departure.listed
    placed: dict[str, Any] = {'address': item.address, 'rack': item.rack}
    moved = Resource(**{**resource, 'spec': {**resource['spec'], **placed}})
    return _transitions.advance(
        moved,
        Phase.FAILED,
        now,
        f'the platform lists it as live at {item.address}',
        departing=None,
        held=False,
    )


class DepartureTracker:
    """Carries the platform's list into the log, for one zone."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        metrics: _controller_metrics.ControllerMetrics,
    ) -> None:
        self._dependencies = dependencies
        self._metrics = metrics
        self._listed_at: datetime.timedelta | None = None

    def step(self) -> None:
        """Read the list and record what has changed by it."""
        dependencies = self._dependencies
        if not dependencies.leases.holds(_planning.ZONE_SHARD):
            return
        now = dependencies.clock.monotonic()
        last = self._listed_at
        if last is not None and now - last < _INTERVAL:
            return
        self._listed_at = now
        listed = dependencies.instances.list(dependencies.zone)
        if isinstance(listed, result.Success):
            self._record(listed.unwrap())

    def _plan(
        self, fleet: _fleet.Fleet, listing: _instances.InstanceList
    ) -> list[ListingChange]:
        found = (
            fleet.find(Kind.INSTANCE, instance.name)
            for instance in fleet.find_instances(zone=self._dependencies.zone)
        )
        planned = plan_listing_changes(filter(None, found), listing)
        return planned[:_CHANGES_LIMIT]

    def _record(self, listing: _instances.InstanceList) -> None:
        now = self._dependencies.clock.now()
        planned, committed = _steps.commit_plan(
            self._dependencies,
            _planning.ZONE_SHARD,
            lambda fleet: self._plan(fleet, listing),
            lambda departure, found: _build_change(departure, found, now),
        )
        done = isinstance(committed, result.Success)
        for departure in planned:
            self._explain(departure, done)

    def _explain(self, departure: ListingChange, done: bool) -> None:
        action, item = departure.action, departure.listed
        _steps.record_explanation(
            self._dependencies,
            'instance',
            departure.instance,
            f'the platform lists it as {item.state} at {item.address}',
            'what the platform takes away gets no new work, and what it '
            'brings back is probed first',
            action.value if done else 'not committed',
        )
        if done:
            self._metrics.departures.labels(action.value).inc()
            log.info(
                'the platform lists instance %s as %s',
                departure.instance,
                item.state,
            )
