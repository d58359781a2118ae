"""Turns declared resources into the changes of one control transaction.

Pure functions of the replica, the wanted resources and the writer.
"""

from collections.abc import Iterator, Sequence
import datetime
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally import _resources
from skylarktally import _schemas
from skylarktally import _tokens

Kind = _resources.Kind
Resource = _resources.Resource
ErrorKind = _errors.ErrorKind

_TEAM_KINDS = (Kind.POOL, Kind.JOB)


class Replica(Protocol):
    """The part of the fleet that is read here."""

    version: int

    def find(self, kind: Kind, name: str) -> Resource | None:
        """Return one resource."""

    def list(self, kind: Kind) -> list[Resource]:
        """Return every resource of the kind."""


class Wanted(NamedTuple):
    """One declared resource and the condition for writing it."""

    resource: Resource
    # Prefix of the paths in error messages, as in ``resources[3].``
    path: str = ''
    # Version that the present resource must have, 0 for absent; None for
    # any.
    expected: int | None = None
    # Keep the pool of an existing instance instead of refusing the write.
    keep_pool: bool = False


class Difference(NamedTuple):
    """What a write does to one resource."""

    kind: str
    name: str
    # One of: create, update, delete, unchanged.
    action: str
    # Changed fields as {"path", "old", "new"}.
    fields: list[dict[str, Any]]


class Plan(NamedTuple):
    """Changes of a transaction and their description."""

    changes: list[_resources.Change]
    differences: list[Difference]


def find_team(fleet: Replica, resource: Resource) -> str | None:
    """Return the team that owns the resource; None when only operators."""
    spec = resource['spec']
    if 'team' in spec:
        return spec['team']
    if 'pool' not in spec:
        return None
    pool = fleet.find(Kind.POOL, spec['pool'])
    return pool['spec']['team'] if pool else None


def covers(
    fleet: Replica, identity: _tokens.Identity, resource: Resource
) -> bool:
    """Tell whether the holder may see the resource."""
    return identity.covers(find_team(fleet, resource))


class _Overlay:
    """The replica with the wanted resources on top."""

    def __init__(self, fleet: Replica, wanted: Sequence[Wanted]) -> None:
        self.version = fleet.version
        self._fleet = fleet
        self._written = {
            (item.resource['kind'], item.resource['name']): item.resource
            for item in wanted
        }

    def find(self, kind: Kind, name: str) -> Resource | None:
        found = self._written.get((kind.value, name))
        return found or self._fleet.find(kind, name)

    def list(self, kind: Kind) -> list[Resource]:
        raise NotImplementedError


def _find_fixed_problems(item: Wanted, old: Resource) -> Iterator[Any]:
    new = item.resource
    for field in _schemas.SCHEMAS[Kind(new['kind'])]:
        before, after = old['spec'].get(field.name), new['spec'][field.name]
        if field.fixed and before != after:
            yield _schemas.Problem(
                f'{item.path}spec.{field.name}',
                f'cannot change from {before!r}; delete the resource and '
                'declare it again',
            )
    if new['kind'] != Kind.INSTANCE.value or item.keep_pool:
        return
    if old['spec']['pool'] != new['spec']['pool']:
        yield _schemas.Problem(
            f'{item.path}spec.pool',
            f'is {old["spec"]["pool"]!r}; an instance changes its pool by '
            'the move operation',
        )


def _find_reference_problems(
    overlay: Replica, item: Wanted
) -> Iterator[_schemas.Problem]:
    for path, kind, name in _schemas.find_references(item.resource):
        if overlay.find(kind, name) is None:
            yield _schemas.Problem(
                item.path + path, f'there is no {kind.value} {name!r}'
            )


def _check_operator_fields(
    identity: _tokens.Identity, old: Resource, new: Resource
) -> _errors.Failure | None:
    for field in _schemas.SCHEMAS[Kind(new['kind'])]:
        changed = old['spec'].get(field.name) != new['spec'][field.name]
        if field.operator_only and changed:
            return _tokens.refuse_access(
                identity, f'spec.{field.name} of {new["name"]!r}'
            )
    return None


def _check_access(
    fleet: Replica,
    identity: _tokens.Identity,
    old: Resource | None,
    new: Resource,
) -> _errors.Failure | None:
    if identity.is_operator:
        return None
    kind = Kind(new['kind'])
    owners = [find_team(fleet, item) for item in (old, new) if item]
    allowed = kind in _TEAM_KINDS and all(map(identity.covers, owners))
    # A team that could add pools would raise its share of the capacity.
    if kind is Kind.POOL and old is None:
        allowed = False
    if not allowed:
        return _tokens.refuse_access(identity, f'{kind.value} {new["name"]!r}')
    return old and _check_operator_fields(identity, old, new)


def _check_expected(
    item: Wanted, old: Resource | None
) -> _errors.Failure | None:
    present = old['resource_version'] if old else 0
    if item.expected is None or item.expected == present:
        return None
    name = f'{item.resource["kind"]} {item.resource["name"]!r}'
    state = f'is at version {present}' if present else 'does not exist'
    return _errors.Failure(
        ErrorKind.CONFLICT,
        f'{name} {state}; the write expects version {item.expected}',
    )


def _compare(old: Resource | None, new: Resource) -> Difference:
    before = old['spec'] if old else {}
    fields = [
        {'path': f'spec.{name}', 'old': before.get(name), 'new': value}
        for name, value in new['spec'].items()
        if old is None or before.get(name) != value
    ]
    action = 'create' if old is None else 'update' if fields else 'unchanged'
    return Difference(new['kind'], new['name'], action, fields)


def _find_status(
    old: Resource | None,
    new: Resource,
    version: int,
    now: datetime.datetime,
) -> dict[str, Any]:
    if new['kind'] == Kind.WAVE.value and old and old['spec'] != new['spec']:
        # A changed declaration is how an operator resumes a halted wave or
        # starts a complete one again.
        kept = dict(old['status'])
        if kept and not new['spec']['paused']:
            kept.update(phase='running', failed=[], halted_reason='')
        return kept
    if old is not None:
        return old['status']
    if new['kind'] != Kind.INSTANCE.value:
        return {}
    # Every change of an epoch takes a version, so an instance that is
    # declared again gets an epoch above all that it had before.
    return {
        'phase': _resources.Phase.SERVING.value,
        'epoch': version + 1,
        'since': now.isoformat(),
        'reason': 'declared',
        'target_pool': None,
        'operation_id': None,
    }


def _merge(
    fleet: Replica, item: Wanted, now: datetime.datetime
) -> tuple[Resource | None, Resource]:
    new = item.resource
    old = fleet.find(Kind(new['kind']), new['name'])
    spec = dict(new['spec'])
    if old and item.keep_pool and new['kind'] == Kind.INSTANCE.value:
        spec['pool'] = old['spec']['pool']
    merged = Resource(
        kind=new['kind'],
        name=new['name'],
        spec=spec,
        status=_find_status(old, new, fleet.version, now),
        resource_version=old['resource_version'] if old else 0,
    )
    return old, merged


def _find_repeated(wanted: Sequence[Wanted]) -> Iterator[_schemas.Problem]:
    seen: set[tuple[str, str]] = set()
    for item in wanted:
        key = (item.resource['kind'], item.resource['name'])
        if key in seen:
            yield _schemas.Problem(
                f'{item.path}name', f'{key[0]} {key[1]!r} is declared twice'
            )
        seen.add(key)


def plan_write(
    fleet: Replica,
    wanted: Sequence[Wanted],
    identity: _tokens.Identity,
    now: datetime.datetime,
) -> result.Result[Plan, _errors.Failure]:
    """Check the wanted resources together and return their changes.

    A resource that is already as declared is left out of the changes, so
    that repeating a write is harmless. Fails with INVALID_RESOURCE,
    FORBIDDEN or CONFLICT and then nothing is to be written.
    """
    overlay = _Overlay(fleet, wanted)
    problems = list(_find_repeated(wanted))
    plan = Plan([], [])
    for item in wanted:
        old, new = _merge(fleet, item, now)
        refused = _check_access(overlay, identity, old, new)
        if refused:
            return result.Failure(refused)
        difference = _compare(old, new)
        plan.differences.append(difference)
        if difference.action == 'unchanged':
            continue
        refused = _check_expected(item, old)
        if refused:
            return result.Failure(refused)
        problems += _find_reference_problems(overlay, item)
        problems += _find_fixed_problems(item, old) if old else ()
        plan.changes.append(
            _resources.Change(kind=new['kind'], name=new['name'], value=new)
        )
    if problems:
        return result.Failure(_schemas.describe_problems(problems))
    return result.Success(plan)


def _find_users(fleet: Replica, pool: str) -> Iterator[str]:
    for kind in Kind:
        for item in fleet.list(kind):
            names = [name for _, _, name in _schemas.find_references(item)]
            if pool in (*names, item['status'].get('target_pool')):
                yield f'{kind.value} {item["name"]}'


def plan_delete(
    fleet: Replica,
    kind: Kind,
    name: str,
    expected: int | None,
    identity: _tokens.Identity,
) -> result.Result[Plan, _errors.Failure]:
    """Return the change that deletes a resource that nothing uses.

    An instance is deleted only while it is out of service, so that the
    deletion itself takes no capacity from a budget.
    """
    old = fleet.find(kind, name)
    if old is None or not covers(fleet, identity, old):
        missing = f'there is no {kind.value} {name!r}'
        return result.Failure(_errors.Failure(ErrorKind.NOT_FOUND, missing))
    owns = identity.is_operator or kind is Kind.JOB
    if not owns:
        return result.Failure(
            _tokens.refuse_access(identity, f'{kind.value} {name!r}')
        )
    refused = _check_expected(Wanted(old, expected=expected), old)
    refused = refused or _check_unused(fleet, kind, old)
    if refused:
        return result.Failure(refused)
    change = _resources.Change(kind=kind.value, name=name, value=None)
    difference = Difference(kind.value, name, 'delete', [])
    return result.Success(Plan([change], [difference]))


def _check_unused(
    fleet: Replica, kind: Kind, old: Resource
) -> _errors.Failure | None:
    idle = ('maintenance', 'failed', 'cordoned')
    if kind is Kind.INSTANCE and old['status'].get('phase') not in idle:
        return _errors.Failure(
            ErrorKind.CONFLICT,
            f'instance {old["name"]!r} is in phase '
            f'{old["status"].get("phase")}; cordon it first',
        )
    users = list(_find_users(fleet, old['name'])) if kind is Kind.POOL else []
    if users:
        text = ', '.join(users[:5])
        return _errors.Failure(
            ErrorKind.CONFLICT, f'pool {old["name"]!r} is used by {text}'
        )
    return None
