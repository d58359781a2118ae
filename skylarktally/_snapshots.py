"""Snapshots of all resources, for peers and in the object store."""

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

# Key of the object that a controller overwrites every 100 log versions.
KEY = 'snapshots/latest'

# The read method of the object store; its argument is an object's key.
ReadObject = Callable[
    [str], result.Result[_objects.StoredObject | None, _errors.Failure]
]


class Snapshots:
    """Builds snapshots of a replica and loads snapshots into it."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._latest = ttypes.Snapshot(log_version=0, body='[]')

    def build(self) -> ttypes.Snapshot:
        """Return a snapshot of the current version for a peer.

        It is built once for each version.
        """
        if self._latest.log_version != self._fleet.version:
            self._latest = ttypes.Snapshot(
                log_version=self._fleet.version,
                body=json.dumps(
                    _list_resources(self._fleet), separators=(',', ':')
                ),
            )
        return self._latest

    def load(self, snapshot: ttypes.Snapshot) -> bool:
        """Load a peer's snapshot; False if it is malformed or older."""
        try:
            resources = _check_resources(json.loads(snapshot.body))
        except (ValueError, TypeError, KeyError) as error:
            log.error('malformed snapshot', extra={'error': repr(error)})
            return False
        return self._fleet.load(resources, snapshot.log_version or 0)

    def load_object(
        self, read: ReadObject
    ) -> result.Result[int, _errors.Failure]:
        """Load the snapshot in the object store and return its version.

        Fails with NOT_FOUND if there is none, INTERNAL if it is malformed,
        or as the read does. A snapshot older than the replica isn't loaded.
        """
        return read(KEY).bind(self._load_stored)

    def _load_stored(
        self, stored: _objects.StoredObject | None
    ) -> result.Result[int, _errors.Failure]:
        if stored is None:
            return _fail(_errors.ErrorKind.NOT_FOUND, 'no snapshot is stored')
        try:
            data = json.loads(stored.data)
            resources = _check_resources(data['resources'])
            version = int(data['version'])
        except (ValueError, TypeError, KeyError) as error:
            return _fail(
                _errors.ErrorKind.INTERNAL,
                f'the stored snapshot is malformed: {error!r}',
            )
        self._fleet.load(resources, version)
        return result.Success(version)


def encode_object(fleet: _fleet.Fleet) -> bytes:
    """Encode the snapshot that a controller stores under KEY."""
    return json.dumps(
        {'version': fleet.version, 'resources': _list_resources(fleet)},
        separators=(',', ':'),
    ).encode()


def _list_resources(fleet: _fleet.Fleet) -> list[_resources.Resource]:
    return [
        resource for kind in _resources.Kind for resource in fleet.list(kind)
    ]


def _check_resources(data: object) -> list[_resources.Resource]:
    """Return decoded JSON as resources; raise an error if malformed.

    :raises KeyError, TypeError, ValueError: if it isn't a list of valid
        resources
    """
    if not isinstance(data, list):
        raise ValueError('resources are not a list')
    for resource in data:
        _resources.check_resource(resource)
        if resource['kind'] == _resources.Kind.INSTANCE.value:
            # An unknown phase, of a later version, doesn't make the snapshot
            # malformed: the replica omits that instance from its index and
            # serves with the others.
            known = resource.copy()
            known['status'] = {**resource['status'], 'phase': 'serving'}
            _resources.decode_instance(known)
    return data


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[int, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
