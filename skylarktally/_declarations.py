"""Plans the changes of one transaction from declared resources.

The functions have no side effects, except that a refused access is counted
in a metric. They depend on the fleet replica, the declarations and the
identity of the writer.
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

# Other kinds can be written by operators only.
_TEAM_WRITABLE_KINDS = (Kind.POOL, Kind.JOB)


class Replica(Protocol):
    """Methods of the fleet replica that planning needs."""

    version: int

    def find(self, kind: Kind, name: str) -> Resource | None:
        """Return one resource."""

    def list(self, kind: Kind) -> list[Resource]:
        """Return every resource of the kind."""


class Declaration(NamedTuple):
    """One declared resource and the precondition for writing it."""

    resource: Resource
    # Prefix of the paths in error messages, as in ``resources[3].``
    path: str = ''
    # Version that the stored resource must have: 0 if it must not exist,
    # None for any version.
    expected_version: int | None = None
    # Keep the pool of an existing instance instead of rejecting a write
    # that declares another pool.
    keep_pool: bool = False


class Difference(NamedTuple):
    """Effect of a write on one resource."""

    kind: str
    name: str
    # One of: create, update, delete, unchanged.
    action: str
    # Changed fields as {"path", "old", "new"}.
    fields: list[dict[str, Any]]


class Plan(NamedTuple):
    """Changes of a transaction and the effect on each resource."""

    changes: list[_resources.Change]
    differences: list[Difference]


def find_team(fleet: Replica, resource: Resource) -> str | None:
    """Return the owning team, or None if only operators have access."""
    spec = resource['spec']
    if 'team' in spec:
        return spec['team']
    if 'pool' not in spec:
        return None
    pool = fleet.find(Kind.POOL, spec['pool'])
    return pool['spec']['team'] if pool else None


def can_access(
    fleet: Replica, identity: _tokens.Identity, resource: Resource
) -> bool:
    """Tell whether the token gives access to the resource."""
    return identity.can_access(find_team(fleet, resource))


class _Overlay:
    """The replica as it will be once the declarations are written.

    References and owners are checked against it, so that a file may declare
    a pool together with the resources that refer to it.
    """

    def __init__(
        self, fleet: Replica, declarations: Sequence[Declaration]
    ) -> None:
        self.version = fleet.version
        self._fleet = fleet
        self._written = {
            (item.resource['kind'], item.resource['name']): item.resource
            for item in declarations
        }

    def find(self, kind: Kind, name: str) -> Resource | None:
        found = self._written.get((kind.value, name))
        return found or self._fleet.find(kind, name)

    def list(self, kind: Kind) -> list[Resource]:
        raise NotImplementedError


def _find_immutability_problems(
    item: Declaration, old: Resource
) -> Iterator[Any]:
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
    overlay: Replica, item: Declaration
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
    allowed = kind in _TEAM_WRITABLE_KINDS and all(
        map(identity.can_access, owners)
    )
    # A team that could create pools would increase its share of the
    # capacity, since each pool has a weight.
    if kind is Kind.POOL and old is None:
        allowed = False
    if not allowed:
        return _tokens.refuse_access(identity, f'{kind.value} {new["name"]!r}')
    return old and _check_operator_fields(identity, old, new)


def _check_version(
    item: Declaration, old: Resource | None
) -> _errors.Failure | None:
    present = old['resource_version'] if old else 0
    if item.expected_version is None or item.expected_version == present:
        return None
    name = f'{item.resource["kind"]} {item.resource["name"]!r}'
    state = f'is at version {present}' if present else 'does not exist'
    return _errors.Failure(
        ErrorKind.CONFLICT,
        f'{name} {state}; the write expects version {item.expected_version}',
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


def _build_status(
    old: Resource | None,
    new: Resource,
    version: int,
    now: datetime.datetime,
) -> dict[str, Any]:
    if new['kind'] == Kind.WAVE.value and old and old['spec'] != new['spec']:
        # An operator resumes a halted wave, or restarts a complete one, by
        # changing its declaration.
        kept = dict(old['status'])
        if kept and not new['spec']['paused']:
            kept.update(phase='running', failed=[], halted_reason='')
        return kept
    if old is not None:
        return old['status']
    if new['kind'] != Kind.INSTANCE.value:
        return {}
    # Each new epoch is committed as a new log version, so version + 1 is
    # above every epoch that an instance of this name had before it was
    # deleted. Workers reject a fencing epoch that is lower than theirs.
    return {
        'phase': _resources.Phase.SERVING.value,
        'epoch': version + 1,
        'since': now.isoformat(),
        'reason': 'declared',
        'target_pool': None,
        'operation_id': None,
    }


def _merge_with_stored(
    fleet: Replica, item: Declaration, now: datetime.datetime
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
        status=_build_status(old, new, fleet.version, now),
        resource_version=old['resource_version'] if old else 0,
    )
    return old, merged


def _find_duplicates(
    declarations: Sequence[Declaration],
) -> Iterator[_schemas.Problem]:
    seen: set[tuple[str, str]] = set()
    for item in declarations:
        key = (item.resource['kind'], item.resource['name'])
        if key in seen:
            yield _schemas.Problem(
                f'{item.path}name', f'{key[0]} {key[1]!r} is declared twice'
            )
        seen.add(key)


def plan_write(
    fleet: Replica,
    declarations: Sequence[Declaration],
    identity: _tokens.Identity,
    now: datetime.datetime,
) -> result.Result[Plan, _errors.Failure]:
    """Validate the declarations together and return their changes.

    A resource that is already as declared is left out of the changes, which
    makes writes idempotent. Fails with INVALID_RESOURCE, FORBIDDEN or
    CONFLICT if any declaration cannot be written; the caller then writes
    none of them.
    """
    overlay = _Overlay(fleet, declarations)
    problems = list(_find_duplicates(declarations))
    plan = Plan([], [])
    for item in declarations:
        old, new = _merge_with_stored(fleet, item, now)
        failure = _check_access(overlay, identity, old, new)
        if failure:
            return result.Failure(failure)
        difference = _compare(old, new)
        plan.differences.append(difference)
        if difference.action == 'unchanged':
            continue
        failure = _check_version(item, old)
        if failure:
            return result.Failure(failure)
        problems += _find_reference_problems(overlay, item)
        problems += _find_immutability_problems(item, old) if old else ()
        plan.changes.append(
            _resources.Change(kind=new['kind'], name=new['name'], value=new)
        )
    if problems:
        return result.Failure(_schemas.describe_problems(problems))
    return result.Success(plan)


def _find_referrers(fleet: Replica, pool: str) -> Iterator[str]:
    for kind in Kind:
        for item in fleet.list(kind):
            names = [name for _, _, name in _schemas.find_references(item)]
            if pool in (*names, item['status'].get('target_pool')):
                yield f'{kind.value} {item["name"]}'


def plan_delete(
    fleet: Replica,
    kind: Kind,
    name: str,
    expected_version: int | None,
    identity: _tokens.Identity,
) -> result.Result[Plan, _errors.Failure]:
    """Return the change that deletes a resource.

    Fails with NOT_FOUND, FORBIDDEN or CONFLICT. A pool must not be referred
    to by other resources. An instance must be out of service, so that its
    deletion cannot violate an availability budget.
    """
    old = fleet.find(kind, name)
    if old is None or not can_access(fleet, identity, old):
        missing = f'there is no {kind.value} {name!r}'
        return result.Failure(_errors.Failure(ErrorKind.NOT_FOUND, missing))
    may_delete = identity.is_operator or kind is Kind.JOB
    if not may_delete:
        return result.Failure(
            _tokens.refuse_access(identity, f'{kind.value} {name!r}')
        )
    failure = _check_version(
        Declaration(old, expected_version=expected_version), old
    )
    failure = failure or _check_deletable(fleet, kind, old)
    if failure:
        return result.Failure(failure)
    change = _resources.Change(kind=kind.value, name=name, value=None)
    difference = Difference(kind.value, name, 'delete', [])
    return result.Success(Plan([change], [difference]))


def _check_deletable(
    fleet: Replica, kind: Kind, old: Resource
) -> _errors.Failure | None:
    removable_phases = ('maintenance', 'failed', 'cordoned')
    if (
        kind is Kind.INSTANCE
        and old['status'].get('phase') not in removable_phases
    ):
        return _errors.Failure(
            ErrorKind.CONFLICT,
            f'instance {old["name"]!r} is in phase '
            f'{old["status"].get("phase")}; cordon it first',
        )
    users = (
        list(_find_referrers(fleet, old['name'])) if kind is Kind.POOL else []
    )
    if users:
        text = ', '.join(users[:5])
        return _errors.Failure(
            ErrorKind.CONFLICT, f'pool {old["name"]!r} is used by {text}'
        )
    return None
