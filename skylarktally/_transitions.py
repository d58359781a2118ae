"""Phase transitions of an instance, each a log entry of its own.

The functions take the present resources and return the changes to commit;
none of them does I/O. Each transition increments the instance's epoch.
"""

from collections.abc import Iterable
import datetime
from typing import Any, Protocol

from returns import result

from skylarktally import _budgets
from skylarktally import _errors
from skylarktally import _resources

Kind = _resources.Kind
Phase = _resources.Phase
Resource = _resources.Resource
ErrorKind = _errors.ErrorKind
Changes = result.Result[list[_resources.Change], _errors.Failure]

# Values of the status field ``then``: what follows once a draining instance
# runs no task.
REBOOT = 'reboot'
CORDON = 'cordon'


class Replica(Protocol):
    """The part of the fleet that the transitions read."""

    def find(self, kind: Kind, name: str) -> Resource | None:
        """Return one resource."""

    def find_instances(
        self, pool: str | None = None, zone: str | None = None
    ) -> list[_resources.Instance]:
        """Return the instances of a pool, of a zone or of both."""

    def list(self, kind: Kind) -> list[Resource]:
        """Return all resources of a kind."""


def find_phase(resource: Resource) -> Phase:
    """Return the phase in an instance's status."""
    return Phase(resource['status'].get('phase', 'serving'))


def advance(
    resource: Resource,
    phase: Phase,
    now: datetime.datetime,
    reason: str,
    pool: str | None = None,
    **updates: Any,
) -> _resources.Change:
    """Return the change to a phase, and to another pool if given.

    :param updates: further fields of the status and their new values
    """
    status = {
        **resource['status'],
        **updates,
        'phase': phase.value,
        'epoch': resource['status'].get('epoch', 1) + 1,
        'since': now.isoformat(),
        'reason': reason,
    }
    spec = {**resource['spec'], 'pool': pool or resource['spec']['pool']}
    return replace_status(resource, status, spec)


def replace_status(
    resource: Resource,
    status: dict[str, Any],
    spec: dict[str, Any] | None = None,
) -> _resources.Change:
    """Return the change to another status, and specification if given."""
    value = Resource(
        kind=resource['kind'],
        name=resource['name'],
        spec=spec or resource['spec'],
        status=status,
        resource_version=resource['resource_version'],
    )
    return _resources.Change(
        kind=resource['kind'], name=resource['name'], value=value
    )


def serve(
    resource: Resource,
    now: datetime.datetime,
    reason: str,
    pool: str | None = None,
) -> _resources.Change:
    """Return the change to serving, which ends any open operation.

    The operation id of the last stop is kept: a wave tells from it which
    instances it has maintained, and it makes a repeated request idempotent.
    """
    return advance(
        resource,
        Phase.SERVING,
        now,
        reason,
        pool,
        target_pool=None,
        then=None,
        held=False,
        departing=None,
    )


def list_budgets(
    fleet: Replica, pools: Iterable[str] | None = None
) -> list[_resources.Budget]:
    """Return the declared availability budgets, of all or some pools."""
    selected = None if pools is None else set(pools)
    return [
        _decode_budget(item)
        for item in fleet.list(Kind.BUDGET)
        if selected is None or item['spec']['pool'] in selected
    ]


def _decode_budget(resource: Resource) -> _resources.Budget:
    kind, spec = _resources.Budget, resource['spec']
    fields = _resources.pick_fields(kind, spec)
    if _resources.has_unknown_fields(kind, spec):
        # The budget was declared with a limit of a newer version, which
        # can't be checked here: permit no planned stop in the pool.
        fields['max_unavailable'] = 0
    return _resources.Budget(name=resource['name'], **fields)


def _find_serving(
    fleet: Replica, name: str
) -> result.Result[Resource, _errors.Failure]:
    resource = fleet.find(Kind.INSTANCE, name)
    if resource is None:
        message = f'there is no instance {name!r}'
        return result.Failure(_errors.Failure(ErrorKind.NOT_FOUND, message))
    phase = find_phase(resource)
    if phase is not Phase.SERVING:
        message = f'instance {name!r} is in phase {phase.value}'
        return result.Failure(_errors.Failure(ErrorKind.CONFLICT, message))
    return result.Success(resource)


def _check_budget(
    fleet: Replica, resource: Resource
) -> result.Result[None, _errors.Failure]:
    pool = resource['spec']['pool']
    return _budgets.check_budget(
        list_budgets(fleet, [pool]),
        fleet.find_instances(pool=pool),
        [resource['name']],
    )


def begin_stop(
    fleet: Replica,
    name: str,
    operation_id: str,
    reason: str,
    now: datetime.datetime,
    then: str = REBOOT,
) -> Changes:
    """Start draining an instance if the budgets of its pool permit it.

    Returns no change if the same operation has already started it. Fails
    with NOT_FOUND, CONFLICT (not in service) or BUDGET_EXHAUSTED.

    :param then: REBOOT or CORDON
    """
    found = fleet.find(Kind.INSTANCE, name)
    if found and found['status'].get('operation_id') == operation_id:
        return result.Success([])
    return _begin_draining(
        fleet, name, reason, now, operation_id=operation_id, then=then
    )


def _begin_draining(
    fleet: Replica,
    name: str,
    reason: str,
    now: datetime.datetime,
    **updates: Any,
) -> Changes:
    serving = _find_serving(fleet, name)
    if not isinstance(serving, result.Success):
        return result.Failure(serving.failure())
    resource = serving.unwrap()
    allowed = _check_budget(fleet, resource)
    if not isinstance(allowed, result.Success):
        return result.Failure(allowed.failure())
    return result.Success(
        [advance(resource, Phase.DRAINING, now, reason, **updates)]
    )


def _check_move(
    fleet: Replica, name: str, pool: str
) -> _errors.Failure | None:
    found = fleet.find(Kind.INSTANCE, name)
    if fleet.find(Kind.POOL, pool) is None:
        message = f'there is no pool {pool!r}'
        return _errors.Failure(ErrorKind.NOT_FOUND, message)
    source = found and fleet.find(Kind.POOL, found['spec']['pool'])
    if not source:
        return None
    left = len(fleet.find_instances(pool=source['name'])) - 1
    if left < source['spec'].get('floor', 0):
        return _errors.Failure(
            ErrorKind.BUDGET_EXHAUSTED,
            f'pool {source["name"]!r} would keep {left} instances, its '
            f'floor is {source["spec"]["floor"]}',
        )
    return None


def begin_move(
    fleet: Replica,
    name: str,
    pool: str,
    reason: str,
    now: datetime.datetime,
) -> Changes:
    """Start draining an instance to move it to another pool.

    Returns no change if it already is in that pool or moving there. Fails
    with NOT_FOUND, CONFLICT (not in service) or BUDGET_EXHAUSTED, which
    also means that the pool it leaves would go below its floor.
    """
    found = fleet.find(Kind.INSTANCE, name)
    if found:
        target = found['status'].get('target_pool')
        if (target or found['spec']['pool']) == pool:
            return result.Success([])
    rejection = _check_move(fleet, name, pool)
    if rejection:
        return result.Failure(rejection)
    return _begin_draining(
        fleet, name, reason, now, target_pool=pool, then=None
    )


def finish_drain(
    resource: Resource, now: datetime.datetime, boot_id: str
) -> _resources.Change:
    """Return the change that follows once an instance runs no task.

    That is to serve in another pool (a move), to be cordoned, or to be
    stopped for a reboot.

    :param boot_id: of the worker before its reboot, from which any
        controller can tell whether the worker has rebooted
    """
    status = resource['status']
    target = status.get('target_pool')
    if target:
        return serve(resource, now, f'moved to {target}', target)
    if status.get('then') == CORDON:
        return advance(
            resource,
            Phase.CORDONED,
            now,
            'drained for the platform'
            if status.get('departing')
            else 'drained by an operator',
            then=None,
            held=True,
        )
    return advance(
        resource, Phase.STOPPING, now, 'runs no task', boot_id=boot_id
    )


def fail(
    resource: Resource, now: datetime.datetime, reason: str
) -> _resources.Change:
    """Return the change to failed, which cancels an open move or stop."""
    return advance(
        resource,
        Phase.FAILED,
        now,
        reason,
        target_pool=None,
        then=None,
    )


def return_to_service(
    fleet: Replica, name: str, reason: str, now: datetime.datetime
) -> Changes:
    """Return an instance to service, or cancel a drain that hasn't ended.

    Returns no change if it is serving. Fails with NOT_FOUND, or with
    CONFLICT if it is being stopped or rebooted.
    """
    resource = fleet.find(Kind.INSTANCE, name)
    if resource is None:
        message = f'there is no instance {name!r}'
        return result.Failure(_errors.Failure(ErrorKind.NOT_FOUND, message))
    phase = find_phase(resource)
    if phase is Phase.SERVING:
        return result.Success([])
    if phase not in (Phase.DRAINING, Phase.FAILED, Phase.CORDONED):
        message = f'instance {name!r} is in phase {phase.value}'
        return result.Failure(_errors.Failure(ErrorKind.CONFLICT, message))
    return result.Success([serve(resource, now, reason)])
