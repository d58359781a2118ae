"""Types of the resources that operators declare, and of instances."""

import enum
from typing import Any, NamedTuple, TypedDict


# Maximum number of changes in one control transaction. A transaction of the
# table has at most 100 writes; three of them are the head, the log entry and
# the removal of the log entry that exceeds the retention.
CHANGES_LIMIT = 97


class Kind(enum.Enum):
    """Kinds of resources; the values are their names in URLs and the log."""

    POOL = 'pool'
    JOB = 'job'
    BUDGET = 'budget'
    WAVE = 'wave'
    INSTANCE = 'instance'
    QUOTA = 'quota'
    CONFIGURATION = 'configuration'


class Phase(enum.Enum):
    """Phases in the life cycle of an instance."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPING = 'stopping'
    MAINTENANCE = 'maintenance'
    FAILED = 'failed'
    CORDONED = 'cordoned'


class Resource(TypedDict):
    """A resource as stored in the table and served by the API."""

    kind: str
    name: str
    spec: dict[str, Any]
    status: dict[str, Any]
    # Log version of the last change; 0 before the first change.
    resource_version: int


class Change(TypedDict):
    """The write of a resource or, with a value of None, its deletion."""

    kind: str
    name: str
    value: Resource | None


class LogRecord(TypedDict):
    """A committed control transaction, as stored in the row log/<version>."""

    version: int
    transaction_id: str
    author: str
    # RFC 3339, UTC.
    accepted_at: str
    changes: list[Change]


class Instance(NamedTuple):
    """An instance resource, decoded for the planning code."""

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
    # When the phase began, RFC 3339, UTC.
    since: str = ''


class Pool(NamedTuple):
    """A pool of instances that runs a team's jobs."""

    name: str
    team: str
    weight: float = 1.0
    spare: bool = False
    # Minimum number of serving instances that the pool keeps when it lends.
    floor: int = 0
    urgent_deadline_seconds: float = 5.5


class Job(NamedTuple):
    """A kind of work that a pool runs, with the size its owner declared."""

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
    """Availability budget of a pool; limits are numbers of instances."""

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
    """Limits on the resources that a team may use; None is no limit."""

    name: str
    team: str
    slots: int | None = None
    cores: float | None = None
    accelerators: int | None = None


def pick_fields(
    kind: type[NamedTuple], spec: dict[str, Any]
) -> dict[str, Any]:
    """Return the fields of a specification that this version supports.

    During an upgrade the log may contain resources with fields of a newer
    version.
    """
    return {name: spec[name] for name in kind._fields if name in spec}


def has_unknown_fields(kind: type[NamedTuple], spec: dict[str, Any]) -> bool:
    """Return whether a specification has fields that this version ignores.

    They come from a newer version during an upgrade.
    """
    return not spec.keys() <= set(kind._fields)


def check_resource(value: Any) -> None:
    """Raise ValueError unless a replica can store the value as a resource.

    Only the structure is checked, so fields of a newer version are accepted.
    """
    if not isinstance(value, dict):
        raise ValueError('resource is not an object')
    if not all(isinstance(value.get(x), str) for x in ('kind', 'name')):
        raise ValueError('kind or name is not a string')
    if not all(isinstance(value.get(x), dict) for x in ('spec', 'status')):
        raise ValueError('spec or status is not an object')


def check_change(value: Any) -> None:
    """Raise ValueError unless a replica can apply the value as a change."""
    if not isinstance(value, dict) or 'value' not in value:
        raise ValueError('change is not an object with a value')
    if not all(isinstance(value.get(x), str) for x in ('kind', 'name')):
        raise ValueError('kind or name of a change is not a string')
    if value['value'] is not None:
        check_resource(value['value'])


def decode_instance(resource: Resource) -> Instance:
    """Decode an instance from its resource.

    Raises ValueError for an unknown phase, because this version cannot tell
    what that phase permits, and for a pool or zone that is not a string,
    because replicas index instances by both.
    """
    pool_and_zone = resource['spec'].get('pool'), resource['spec'].get('zone')
    if not all(isinstance(value, str) for value in pool_and_zone):
        raise ValueError('pool or zone is not a string')
    status = dict(resource['status'])
    phase = Phase(status.pop('phase', 'serving'))
    epoch = status.pop('epoch', 1)
    status_fields = {k: v for k, v in status.items() if k in Instance._fields}
    return Instance(
        name=resource['name'],
        phase=phase,
        epoch=epoch,
        **pick_fields(Instance, resource['spec']),
        **status_fields,
    )


def encode_instance(instance: Instance, extra: dict[str, Any]) -> Resource:
    """Encode an instance as its resource.

    :param extra: further fields of the status, copied unchanged
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
