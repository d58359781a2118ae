"""Schemas of the resource kinds.

Validation, its error messages and the reference page
docs/reference-resources.md are derived from them.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _resources

Kind = _resources.Kind
Report = _fields.Report
# Default of a field that has none.
REQUIRED: Any = object()

# Names are path segments of URLs and of table keys, hence no slash.
NAME = _fields.String(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    '1 to 63 letters, digits, dots, hyphens or underscores that begin with '
    'a letter or digit',
)


class Type(Protocol):
    """Type of a field, which validates its values."""

    def parse(self, value: Any, report: Report) -> Any:
        """Report every error in the value and return it."""


class NameList(NamedTuple):
    """Non-empty list of distinct names, at most `limit` of them."""

    limit: int

    def parse(self, value: Any, report: Report) -> Any:
        """Report errors in the value and return it unchanged."""
        if not isinstance(value, list) or not 0 < len(value) <= self.limit:
            report('', f'must be a list of 1 to {self.limit} names')
            return value
        for index, name in enumerate(value):
            NAME.parse(name, _fields.prefix_report(report, f'[{index}]'))
            if name in value[:index]:
                report(f'[{index}]', f'repeats {name!r}')
        return value


class Boolean(NamedTuple):
    """Boolean without conversion from strings or numbers."""

    def parse(self, value: Any, report: Report) -> Any:
        """Report errors in the value and return it unchanged."""
        if not isinstance(value, bool):
            report('', f'must be true or false, is {value!r}')
        return value


class Choice(NamedTuple):
    """One of a fixed set of strings."""

    options: tuple[str, ...]

    def parse(self, value: Any, report: Report) -> Any:
        """Report errors in the value and return it unchanged."""
        if value not in self.options:
            words = ' or '.join(self.options)
            report('', f'must be {words}, is {value!r}')
        return value


class Mapping(NamedTuple):
    """JSON object with any content."""

    def parse(self, value: Any, report: Report) -> Any:
        """Report errors in the value and return it unchanged."""
        if not isinstance(value, dict):
            report('', f'must be an object, is {value!r}')
        return value


class Field(NamedTuple):
    """One field of a spec: type with bounds, description and default."""

    name: str
    type: Type
    description: str
    default: Any = REQUIRED
    # Kind of the resources that the value refers to by name.
    refers_to: Kind | None = None
    # Cannot change once the resource exists.
    fixed: bool = False
    # Only a token of role operator can change the value.
    operator_only: bool = False


class Problem(NamedTuple):
    """A validation error: path of the field and reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason}'


def _build_count(unit: str, low: int = 0) -> _fields.Number:
    return _fields.Number(low, 1_000_000, unit)


def _build_seconds(high: int) -> _fields.Number:
    return _fields.Number(0.001, high, 'seconds', integer=False)


_POOL = Kind.POOL
_BOOLEAN = Boolean()
_INSTANCES = _build_count('instances')
_CORES = _fields.Number(0, 4096, 'cores', integer=False)
_BYTES = _fields.Number(0, 2**50, 'bytes')
_ACCELERATORS = _build_count('accelerators')
_VERSION = _fields.Number(0, 2**53)

SCHEMAS: dict[Kind, tuple[Field, ...]] = {
    Kind.POOL: (
        Field('team', NAME, 'Owner of the pool.', operator_only=True),
        Field(
            'weight',
            _fields.Number(0.001, 1000, integer=False),
            'Share of the capacity relative to other pools.',
            1.0,
            operator_only=True,
        ),
        Field(
            'spare',
            _BOOLEAN,
            'Whether its instances are lent to other pools first.',
            False,
            operator_only=True,
        ),
        Field(
            'floor',
            _INSTANCES,
            'Minimum number of instances that the pool keeps.',
            0,
            operator_only=True,
        ),
        Field(
            'urgent_deadline_seconds',
            _build_seconds(3600),
            'Time within which urgent work starts.',
            5.5,
        ),
    ),
    Kind.JOB: (
        Field('pool', NAME, 'Pool that runs the job.', refers_to=_POOL),
        Field(
            'urgency',
            Choice(('urgent', 'deferrable')),
            'Whether the job may wait for capacity.',
            'urgent',
        ),
        Field('idempotent', _BOOLEAN, 'Whether a run may be repeated.', True),
        Field('cores', _CORES, 'Processors of one run.', 1.0),
        Field('memory_bytes', _BYTES, 'Memory of one run.', 0),
        Field('accelerators', _ACCELERATORS, 'Accelerators of one run.', 0),
        Field(
            'slots', _build_count('slots', 1), 'Worker slots of one run.', 1
        ),
        Field(
            'expected_seconds',
            _build_seconds(30 * 86400),
            'Expected time of one run.',
            1.0,
        ),
        Field(
            'mode',
            Choice(('request', 'batch')),
            'Whether each request or the controller starts a run.',
            'request',
        ),
        Field('runs', _build_count('runs', 1), 'Runs of a batch job.', 1),
    ),
    Kind.BUDGET: (
        Field('pool', NAME, 'Pool that is protected.', refers_to=_POOL),
        Field(
            'min_available',
            _INSTANCES,
            'Minimum number of instances in service.',
        ),
        Field(
            'max_unavailable',
            _INSTANCES,
            'Maximum number of instances out of service at a time.',
            None,
        ),
        Field(
            'max_unavailable_per_zone',
            _INSTANCES,
            'Maximum number of instances of one zone out of service at a '
            'time.',
            None,
        ),
    ),
    Kind.WAVE: (
        Field(
            'pools',
            NameList(1000),
            'Pools whose instances are maintained.',
            refers_to=_POOL,
        ),
        Field(
            'max_parallel',
            _build_count('instances', 1),
            'Maximum number of instances in maintenance at a time.',
            1,
        ),
        Field(
            'canary',
            _INSTANCES,
            'Instances that finish before the others start.',
            1,
        ),
        Field(
            'halt_after_failures',
            _build_count('instances', 1),
            'Lost instances after which the wave halts.',
            2,
        ),
        Field(
            'paused',
            _BOOLEAN,
            'Whether the wave starts no further maintenance.',
            False,
        ),
    ),
    Kind.INSTANCE: (
        Field(
            'pool',
            NAME,
            'Pool when declared first; afterwards only a move changes it.',
            refers_to=_POOL,
        ),
        Field('zone', NAME, 'Zone of the worker.', fixed=True),
        Field('rack', NAME, 'Failure domain in the zone.', fixed=True),
        Field(
            'address',
            _fields.Address(https=True),
            'IP address and port of the worker.',
            fixed=True,
        ),
        Field('cores', _CORES, 'Processors.'),
        Field('memory_bytes', _BYTES, 'Memory.'),
        Field('accelerators', _ACCELERATORS, 'Accelerators.', 0),
        Field('slots', _build_count('slots', 1), 'Tasks at a time.', 8),
        Field(
            'connections',
            _build_count('connections', 1),
            'Connections at a time.',
            64,
        ),
    ),
    Kind.QUOTA: (
        Field('team', NAME, 'Team that is limited.'),
        Field(
            'slots',
            _build_count('slots'),
            'Maximum number of slots in use.',
            None,
        ),
        Field('cores', _CORES, 'Maximum number of processors in use.', None),
        Field(
            'accelerators',
            _ACCELERATORS,
            'Maximum number of accelerators in use.',
            None,
        ),
    ),
    Kind.CONFIGURATION: (
        Field(
            'data',
            Mapping(),
            'Any values; the system stores them and does not interpret them.',
        ),
    ),
}


def _check_value(path: str, kind: Type, value: Any) -> list[Problem]:
    problems: list[Problem] = []
    kind.parse(
        value,
        lambda suffix, text: problems.append(Problem(path + suffix, text)),
    )
    return problems


def _check_field(
    path: str, field: Field, given: dict[str, Any]
) -> list[Problem]:
    value = given.get(field.name, field.default)
    if value is REQUIRED:
        return [Problem(path, 'is required')]
    if value is None and field.default is None:
        return []
    return _check_value(path, field.type, value)


def _check_spec(
    kind: Kind, given: dict[str, Any], path: str
) -> Iterator[Problem]:
    known = [field.name for field in SCHEMAS[kind]]
    for name in given:
        if name not in known:
            reason = _fields.describe_unknown(name, known)
            yield Problem(f'{path}.{name}', reason)
    for field in SCHEMAS[kind]:
        yield from _check_field(f'{path}.{field.name}', field, given)


def parse_kind(value: Any) -> Kind | None:
    """Return the kind with this name, or None if there is none."""
    try:
        return Kind(value)
    except ValueError:
        return None


def _check_common_fields(
    document: dict[str, Any], path: str
) -> Iterator[Problem]:
    for name in sorted(document.keys() - _resources.Resource.__annotations__):
        yield Problem(f'{path}{name}', 'unknown field')
    yield from _check_value(f'{path}name', NAME, document.get('name'))
    yield from _check_value(
        f'{path}resource_version',
        _VERSION,
        document.get('resource_version', 0),
    )


def find_problems(document: Any, path: str = '') -> list[Problem]:
    """Return all validation errors of a resource document.

    :param path: prefix of the reported paths, such as ``resources[3].``
    """
    if not isinstance(document, dict):
        return [Problem(path.rstrip('.') or '.', 'must be an object')]
    problems = list(_check_common_fields(document, path))
    kind = parse_kind(document.get('kind'))
    if kind is None:
        known = ', '.join(member.value for member in Kind)
        return [*problems, Problem(f'{path}kind', f'must be one of {known}')]
    spec = document.get('spec')
    if not isinstance(spec, dict):
        return [*problems, Problem(f'{path}spec', 'must be an object')]
    return [*problems, *_check_spec(kind, spec, f'{path}spec')]


def describe_problems(problems: list[Problem]) -> _errors.Failure:
    """Combine validation errors into one INVALID_RESOURCE failure."""
    text = '; '.join(str(problem) for problem in problems)
    return _errors.Failure(_errors.ErrorKind.INVALID_RESOURCE, text)


def parse_resource(
    document: Any, path: str = ''
) -> result.Result[_resources.Resource, _errors.Failure]:
    """Validate a document and fill in the defaults of its spec.

    The status in the document is ignored, as only the system writes it.
    """
    problems = find_problems(document, path)
    if problems:
        return result.Failure(describe_problems(problems))
    given = document['spec']
    spec = {
        field.name: given.get(field.name, field.default)
        for field in SCHEMAS[Kind(document['kind'])]
    }
    return result.Success(
        _resources.Resource(
            kind=document['kind'],
            name=document['name'],
            spec=spec,
            status={},
            resource_version=document.get('resource_version', 0),
        )
    )


def find_references(
    resource: _resources.Resource,
) -> Iterator[tuple[str, Kind, str]]:
    """Yield the path, kind and name of each resource referred to."""
    for field in SCHEMAS[Kind(resource['kind'])]:
        if field.refers_to is None:
            continue
        value = resource['spec'][field.name]
        for name in [value] if isinstance(value, str) else value:
            yield f'spec.{field.name}', field.refers_to, name
