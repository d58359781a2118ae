"""Types of the declared resources and of the instances they govern."""

import enum
from typing import Any, NamedTuple, TypedDict


# A transaction of the table has at most 100 writes, three of which are the
# head, the log entry and the entry that falls out of the retention.
CHANGES_LIMIT = 97


class Kind(enum.Enum):
    """Kinds of resource, by their name in URLs and in the log."""

    POOL = 'pool'
    JOB = 'job'
    BUDGET = 'budget'
    WAVE = 'wave'
    INSTANCE = 'instance'
    QUOTA = 'quota'
    CONFIGURATION = 'configuration'


class Phase(enum.Enum):
    """Life cycle of an instance."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPING = 'stopping'
    MAINTENANCE = 'maintenance'
    FAILED = 'failed'
    CORDONED = 'cordoned'


class Resource(TypedDict):
    """One resource as it is kept in the table and served by the API."""

    kind: str
    name: str
    spec: dict[str, Any]
    status: dict[str, Any]
    # Log version of the last change; 0 before the first.
    resource_version: int


class Change(TypedDict):
    """One resource written or, with a value of None, deleted."""

    kind: str
    name: str
    value: Resource | None


class LogRecord(TypedDict):
    """One committed control transaction, as in the row log/<version>."""

    version: int
    transaction_id: str
    author: str
    # RFC 3339, UTC.
    accepted_at: str
    changes: list[Change]


class Instance(NamedTuple):
    """An instance resource in the form that the decisions read."""

    name: str
    pool: str
    zone: str
    rack: str
    # IP address and port, as in 127.0.0.1:8080.
    address: str
    cores: float
    memory_bytes: int
    accelerators: int
    slots: int
    connections: int
    phase: Phase
    epoch: int
    target_pool: str | None = None
    operation_id: str | None = None
    reason: str = ''
    # RFC 3339, UTC; when the phase began.
    since: str = ''


class Pool(NamedTuple):
    """A pool of instances that carries a team's jobs."""

    name: str
    team: str
    weight: float = 1.0
    spare: bool = False
    # Least number of instances that the pool keeps.
    floor: int = 0
    urgent_deadline_seconds: float = 5.5


class Job(NamedTuple):
    """Work that a pool must carry, with the size its owner declared."""

    name: str
    pool: str
    urgency: str = 'urgent'
    idempotent: bool = True
    cores: float = 1.0
    memory_bytes: int = 0
    accelerators: int = 0
    slots: int = 1
    expected_seconds: float = 1.0
    mode: str = 'request'
    runs: int = 1


class Budget(NamedTuple):
    """Availability that a pool's jobs are owed, in instances."""

    name: str
    pool: str
    min_available: int
    max_unavailable: int | None = None
    max_unavailable_per_zone: int | None = None


class Wave(NamedTuple):
    """Planned maintenance of every instance of some pools."""

    name: str
    pools: tuple[str, ...]
    max_parallel: int = 1
    canary: int = 1
    halt_after_failures: int = 2
    paused: bool = False


class Quota(NamedTuple):
    """Upper limit of what a team may use; None means no limit."""

    name: str
    team: str
    slots: int | None = None
    cores: float | None = None
    accelerators: int | None = None


def pick_fields(
    kind: type[NamedTuple], spec: dict[str, Any]
) -> dict[str, Any]:
    """Return the fields of a specification that this version knows.

    During an upgrade the log also has resources of a newer version.
    """
    return {name: spec[name] for name in kind._fields if name in spec}


def has_unknown_fields(kind: type[NamedTuple], spec: dict[str, Any]) -> bool:
    """Return whether a newer version has declared more than is read."""
    return not spec.keys() <= set(kind._fields)


def check_resource(value: Any) -> None:
    """Raise ValueError unless a replica can hold the value.

    Only the shape is checked, so that fields of a later version pass.
    """
    if not isinstance(value, dict):
        raise ValueError('a resource is not an object')
    if not all(isinstance(value.get(x), str) for x in ('kind', 'name')):
        raise ValueError('kind or name is not text')
    if not all(isinstance(value.get(x), dict) for x in ('spec', 'status')):
        raise ValueError('spec or status is not an object')


def check_change(value: Any) -> None:
    """Raise ValueError unless a replica can apply the value as a change."""
    if not isinstance(value, dict) or 'value' not in value:
        raise ValueError('a change is not complete')
    if not all(isinstance(value.get(x), str) for x in ('kind', 'name')):
        raise ValueError('kind or name of a change is not text')
    if value['value'] is not None:
        check_resource(value['value'])


def decode_instance(resource: Resource) -> Instance:
    """Build an instance from a resource.

    An unknown phase is a ValueError: what it permits is not known here. A
    pool or zone that is no text is one too, since replicas index by both.
    """
    places = resource['spec'].get('pool'), resource['spec'].get('zone')
    if not all(isinstance(place, str) for place in places):
        raise ValueError('pool or zone is not text')
    status = dict(resource['status'])
    phase = Phase(status.pop('phase', 'serving'))
    epoch = status.pop('epoch', 1)
    known = {k: v for k, v in status.items() if k in Instance._fields}
    return Instance(
        name=resource['name'],
        phase=phase,
        epoch=epoch,
        **pick_fields(Instance, resource['spec']),
        **known,
    )


def encode_instance(instance: Instance, extra: dict[str, Any]) -> Resource:
    """Build the resource of an instance.

    :param extra: further fields of the status, kept as they are
    """
    fields = instance._asdict()
    fields.pop('name')
    status = {
        'phase': fields.pop('phase').value,
        'epoch': fields.pop('epoch'),
    }
    for field in ('target_pool', 'operation_id', 'reason', 'since'):
        status[field] = fields.pop(field)
    return Resource(
        kind=Kind.INSTANCE.value,
        name=instance.name,
        spec=fields,
        status={**extra, **status},
        resource_version=0,
    )
