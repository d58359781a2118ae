"""Snapshots of all resources, from peers and from the object store."""

from collections.abc import Callable
import json
import logging

from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _objects
from skylarktally import _resources

log = logging.getLogger(__name__)

# Object that a controller overwrites every 100 versions.
KEY = 'snapshots/latest'

# Takes the key of an object; the read method of the object store.
Read = Callable[
    [str], result.Result[_objects.StoredObject | None, _errors.Failure]
]


class Snapshots:
    """Builds and loads snapshots of one fleet."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._built = ttypes.Snapshot(log_version=0, body='[]')

    def build(self) -> ttypes.Snapshot:
        """Return the snapshot of the current version for a peer."""
        if self._built.log_version != self._fleet.version:
            self._built = ttypes.Snapshot(
                log_version=self._fleet.version,
                body=json.dumps(
                    _list_resources(self._fleet), separators=(',', ':')
                ),
            )
        return self._built

    def load(self, snapshot: ttypes.Snapshot) -> bool:
        """Load a peer's snapshot; False when malformed or older."""
        try:
            resources = _read_resources(json.loads(snapshot.body))
        except (ValueError, TypeError, KeyError) as error:
            log.error('malformed snapshot', extra={'error': repr(error)})
            return False
        return self._fleet.load(resources, snapshot.log_version or 0)

    def load_object(self, read: Read) -> result.Result[int, _errors.Failure]:
        """Load the snapshot of the object store; NOT_FOUND if absent."""
        return read(KEY).bind(self._load_data)

    def _load_data(
        self, stored: _objects.StoredObject | None
    ) -> result.Result[int, _errors.Failure]:
        if stored is None:
            return _fail(_errors.ErrorKind.NOT_FOUND, 'no snapshot is stored')
        try:
            data = json.loads(stored.data)
            resources = _read_resources(data['resources'])
            version = int(data['version'])
        except (ValueError, TypeError, KeyError) as error:
            return _fail(_errors.ErrorKind.INTERNAL, f'snapshot: {error!r}')
        self._fleet.load(resources, version)
        return result.Success(version)


def encode_object(fleet: _fleet.Fleet) -> bytes:
    """Return the content that a controller stores under KEY."""
    return json.dumps(
        {'version': fleet.version, 'resources': _list_resources(fleet)},
        separators=(',', ':'),
    ).encode()


def _list_resources(fleet: _fleet.Fleet) -> list[_resources.Resource]:
    return [
        resource for kind in _resources.Kind for resource in fleet.list(kind)
    ]


def _read_resources(data: object) -> list[_resources.Resource]:
    """Return the resources; raise ValueError for anything else."""
    if not isinstance(data, list):
        raise ValueError('resources are not a list')
    for resource in data:
        _resources.check_resource(resource)
        if resource['kind'] == _resources.Kind.INSTANCE.value:
            # A phase of a later version is no damage: the replica leaves
            # that instance out and serves with the others.
            known = resource.copy()
            known['status'] = {**resource['status'], 'phase': 'serving'}
            _resources.decode_instance(known)
    return data


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[int, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
