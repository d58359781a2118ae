"""The fields of every resource kind, declared once.

The declaration drives validation, error messages and the reference page
docs/reference-resources.md.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _resources

Kind = _resources.Kind
Report = _fields.Report
REQUIRED: Any = object()

# Names become parts of URLs and of table keys, so they hold no slash.
NAME = _fields.String(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    '1 to 63 letters, digits, dots, hyphens or underscores that begin with '
    'a letter or digit',
)


class Type(Protocol):
    """How the value of a field is checked."""

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value, after reporting every error in it."""


class Names(NamedTuple):
    """A list of different names."""

    limit: int

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value as it stands."""
        if not isinstance(value, list) or not 0 < len(value) <= self.limit:
            report('', f'must be a list of 1 to {self.limit} names')
            return value
        for index, name in enumerate(value):
            NAME.parse(name, _fields.prefix_report(report, f'[{index}]'))
            if name in value[:index]:
                report(f'[{index}]', f'repeats {name!r}')
        return value


class Flag(NamedTuple):
    """A field that is true or false."""

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value as it stands."""
        if not isinstance(value, bool):
            report('', f'must be true or false, is {value!r}')
        return value


class Choice(NamedTuple):
    """One of some words."""

    words: tuple[str, ...]

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value as it stands."""
        if value not in self.words:
            words = ' or '.join(self.words)
            report('', f'must be {words}, is {value!r}')
        return value


class Mapping(NamedTuple):
    """An object with any content."""

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value as it stands."""
        if not isinstance(value, dict):
            report('', f'must be an object, is {value!r}')
        return value


class Field(NamedTuple):
    """One field of a spec, with its type, bounds and default."""

    name: str
    type: Type
    description: str
    default: Any = REQUIRED
    # Kind of the resource that the value names.
    refers_to: Kind | None = None
    # Cannot change once the resource exists.
    fixed: bool = False
    # Only a token of role operator may give it a new value.
    operator_only: bool = False


class Problem(NamedTuple):
    """One violation: the path of the field and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason}'


def _count(unit: str, low: int = 0) -> _fields.Number:
    return _fields.Number(low, 1_000_000, unit)


def _seconds(high: int) -> _fields.Number:
    return _fields.Number(0.001, high, 'seconds', integer=False)


_POOL = Kind.POOL
_FLAG = Flag()
_INSTANCES = _count('instances')
_CORES = _fields.Number(0, 4096, 'cores', integer=False)
_BYTES = _fields.Number(0, 2**50, 'bytes')
_ACCELERATORS = _count('accelerators')
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
            _FLAG,
            'Whether its instances are lent to other pools first.',
            False,
            operator_only=True,
        ),
        Field(
            'floor',
            _INSTANCES,
            'Least number of instances that the pool keeps.',
            0,
            operator_only=True,
        ),
        Field(
            'urgent_deadline_seconds',
            _seconds(3600),
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
        Field('idempotent', _FLAG, 'Whether a run may be repeated.', True),
        Field('cores', _CORES, 'Processors of one run.', 1.0),
        Field('memory_bytes', _BYTES, 'Memory of one run.', 0),
        Field('accelerators', _ACCELERATORS, 'Accelerators of one run.', 0),
        Field('slots', _count('slots', 1), 'Worker slots of one run.', 1),
        Field(
            'expected_seconds',
            _seconds(30 * 86400),
            'Expected time of one run.',
            1.0,
        ),
        Field(
            'mode',
            Choice(('request', 'batch')),
            'Whether each request or the controller starts a run.',
            'request',
        ),
        Field('runs', _count('runs', 1), 'Runs of a batch job.', 1),
    ),
    Kind.BUDGET: (
        Field('pool', NAME, 'Pool that is protected.', refers_to=_POOL),
        Field(
            'min_available',
            _INSTANCES,
            'Least number of instances that stay in service.',
        ),
        Field(
            'max_unavailable',
            _INSTANCES,
            'Most instances out of service at a time.',
            None,
        ),
        Field(
            'max_unavailable_per_zone',
            _INSTANCES,
            'Most instances of one zone out of service at a time.',
            None,
        ),
    ),
    Kind.WAVE: (
        Field(
            'pools',
            Names(1000),
            'Pools whose instances are maintained.',
            refers_to=_POOL,
        ),
        Field(
            'max_parallel',
            _count('instances', 1),
            'Most instances in maintenance at a time.',
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
            _count('instances', 1),
            'Lost instances after which the wave halts.',
            2,
        ),
        Field('paused', _FLAG, 'Whether new starts are held.', False),
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
        Field('slots', _count('slots', 1), 'Tasks at a time.', 8),
        Field(
            'connections',
            _count('connections', 1),
            'Connections at a time.',
            64,
        ),
    ),
    Kind.QUOTA: (
        Field('team', NAME, 'Team that is limited.'),
        Field('slots', _count('slots'), 'Most slots in use.', None),
        Field('cores', _CORES, 'Most processors in use.', None),
        Field(
            'accelerators', _ACCELERATORS, 'Most accelerators in use.', None
        ),
    ),
    Kind.CONFIGURATION: (
        Field('data', Mapping(), 'Free values, handed to whoever reads them.'),
    ),
}


def _check_value(path: str, kind: Type, value: Any) -> list[Problem]:
    problems: list[Problem] = []
    kind.parse(
        value, lambda below, text: problems.append(Problem(path + below, text))
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
    """Return the kind of this name, or None."""
    try:
        return Kind(value)
    except ValueError:
        return None


def _check_head(document: dict[str, Any], path: str) -> Iterator[Problem]:
    for name in sorted(document.keys() - _resources.Resource.__annotations__):
        yield Problem(f'{path}{name}', 'unknown field')
    yield from _check_value(f'{path}name', NAME, document.get('name'))
    yield from _check_value(
        f'{path}resource_version',
        _VERSION,
        document.get('resource_version', 0),
    )


def find_problems(document: Any, path: str = '') -> list[Problem]:
    """Return every violation of a resource document.

    :param path: prefix of the reported paths, as in ``resources[3].``
    """
    if not isinstance(document, dict):
        return [Problem(path.rstrip('.') or '.', 'must be an object')]
    problems = list(_check_head(document, path))
    kind = parse_kind(document.get('kind'))
    if kind is None:
        known = ', '.join(member.value for member in Kind)
        return [*problems, Problem(f'{path}kind', f'must be one of {known}')]
    spec = document.get('spec')
    if not isinstance(spec, dict):
        return [*problems, Problem(f'{path}spec', 'must be an object')]
    return [*problems, *_check_spec(kind, spec, f'{path}spec')]


def describe_problems(problems: list[Problem]) -> _errors.Failure:
    """Turn violations into one INVALID_RESOURCE failure."""
    text = '; '.join(str(problem) for problem in problems)
    return _errors.Failure(_errors.ErrorKind.INVALID_RESOURCE, text)


def parse_resource(
    document: Any, path: str = ''
) -> result.Result[_resources.Resource, _errors.Failure]:
    """Validate a document and fill in the defaults of its spec.

    The status of the document is ignored: only the system writes it.
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
    """Yield the path, kind and name of each resource that this one needs."""
    for field in SCHEMAS[Kind(resource['kind'])]:
        if field.refers_to is None:
            continue
        value = resource['spec'][field.name]
        for name in [value] if isinstance(value, str) else value:
            yield f'spec.{field.name}', field.refers_to, name
