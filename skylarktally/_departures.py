"""Applies the platform's list of live and leaving instances to the log.

The platform stops and replaces instances on its own. Its list shows that
with a delay.
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

_LIST_INTERVAL = datetime.timedelta(seconds=2)
# Allowed difference between the clocks of the platform and of a controller.
# A list that may be older than an instance's phase is ignored for it.
CLOCK_MARGIN = datetime.timedelta(seconds=5)
# Changes for each transaction, which can hold 97.
_CHANGES_PER_COMMIT = 50
_LEAVING = 'leaving'


class Action(enum.Enum):
    """What the platform's list requires for an instance."""

    LEAVE = 'leave'
    RELIST = 'relist'


class ListingChange(NamedTuple):
    """An instance whose phase or address must follow the list."""

    instance: str
    action: Action
    listed: _instances.ListedInstance


def plan_listing_changes(
    resources: Iterable[Resource], listing: _instances.InstanceList
) -> list[ListingChange]:
    """Compare instances with the platform's list, which may be outdated.

    A serving instance that is listed as leaving is drained regardless of
    the availability budgets, because the platform does not wait. A departed
    instance that is listed as live again, or a failed one that is listed
    at a new address, takes the listed address and serves once it passes
    probes.
    """
    listed = {item.name: item for item in listing.instances}
    changes = []
    for resource in resources:
        item = listed.get(resource['name'])
        if item is None or not _is_newer(listing.as_of, resource):
            continue
        action = _choose_action(resource, item)
        if action is not None:
            changes.append(ListingChange(resource['name'], action, item))
    return changes


def _is_newer(as_of: datetime.datetime, resource: Resource) -> bool:
    since = resource['status'].get('since')
    if not since:
        return True
    phase_began_at = datetime.datetime.fromisoformat(since)
    return as_of >= phase_began_at + CLOCK_MARGIN


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
    is_relocated = (
        item.address != spec['address'] and item.zone == spec['zone']
    )
    return Action.RELIST if phase is Phase.FAILED and is_relocated else None


def _build_change(
    change: ListingChange, resource: Resource, now: datetime.datetime
) -> _resources.Change:
    if change.action is Action.LEAVE:
        return _transitions.advance(
            resource,
            Phase.DRAINING,
            now,
            'the platform lists it as leaving',
            departing=True,
            then=_transitions.CORDON,
        )
    item = change.listed
    location: dict[str, Any] = {'address': item.address, 'rack': item.rack}
    relocated = Resource(
        **{**resource, 'spec': {**resource['spec'], **location}}
    )
    return _transitions.advance(
        relocated,
        Phase.FAILED,
        now,
        f'the platform lists it as live at {item.address}',
        departing=None,
        held=False,
    )


class DepartureTracker:
    """Commits the changes that the list of one zone requires."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        metrics: _controller_metrics.ControllerMetrics,
    ) -> None:
        self._dependencies = dependencies
        self._metrics = metrics
        self._listed_at: datetime.timedelta | None = None

    def step(self) -> None:
        """Read the list and commit the changes that it requires.

        Only the controller that holds the zone's planning shard does so, at
        most every _LIST_INTERVAL.
        """
        dependencies = self._dependencies
        if not dependencies.leases.holds(_planning.ZONE_SHARD):
            return
        now = dependencies.clock.monotonic()
        last = self._listed_at
        if last is not None and now - last < _LIST_INTERVAL:
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
        return planned[:_CHANGES_PER_COMMIT]

    def _record(self, listing: _instances.InstanceList) -> None:
        now = self._dependencies.clock.now()
        planned, committed = _steps.commit_plan(
            self._dependencies,
            _planning.ZONE_SHARD,
            lambda fleet: self._plan(fleet, listing),
            lambda change, found: _build_change(change, found, now),
        )
        is_committed = isinstance(committed, result.Success)
        for change in planned:
            self._explain(change, is_committed)

    def _explain(self, change: ListingChange, is_committed: bool) -> None:
        action, item = change.action, change.listed
        _steps.record_explanation(
            self._dependencies,
            'instance',
            change.instance,
            f'the platform lists it as {item.state} at {item.address}',
            'a leaving instance gets no new work; a returning one serves '
            'after probes',
            action.value if is_committed else 'not committed',
        )
        if is_committed:
            self._metrics.departures.labels(action.value).inc()
            log.info(
                'the platform lists instance %s as %s',
                change.instance,
                item.state,
            )
