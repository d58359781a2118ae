"""In-memory replica of all resources at one version of the log."""

from collections.abc import Callable
import logging

from skylarktally import _resources

log = logging.getLogger(__name__)

# Log entries kept by a replica. The table retains the same number, so a peer
# can serve the same range.
RETAINED_RECORDS = 2000

# Defined here because the method list() shadows the type in the class.
_Instances = list[_resources.Instance]
_Records = list[_resources.LogRecord]

# Instances by name, for each pair of a pool and a zone; None stands for all.
_Index = dict[tuple[str | None, str | None], dict[str, _resources.Instance]]


class Fleet:
    """Replica of all resources with an index of instances.

    Returned objects are shared and must not be modified.
    """

    def __init__(self) -> None:
        self.version = 0
        self._resources: dict[str, dict[str, _resources.Resource]] = {
            kind.value: {} for kind in _resources.Kind
        }
        self._instances: dict[str, _resources.Instance] = {}
        self._index: _Index = {}
        self._records: dict[int, _resources.LogRecord] = {}
        self._callbacks: list[Callable[[int], None]] = []

    def apply(self, record: _resources.LogRecord) -> bool:
        """Apply the log entry that follows the version.

        Returns False, without any effect, if it is another entry.
        """
        if record['version'] != self.version + 1:
            return False
        for change in record['changes']:
            self._change(change['kind'], change['name'], change['value'])
        self.version = record['version']
        self._records[self.version] = record
        self._records.pop(self.version - RETAINED_RECORDS, None)
        self._notify()
        return True

    def load(self, resources: list[_resources.Resource], version: int) -> bool:
        """Replace all resources by those of a snapshot.

        Returns False, without any effect, if the snapshot is older than the
        replica. A snapshot of the same version changes nothing.
        """
        if version < self.version:
            return False
        if version == self.version:
            return True
        for by_name in self._resources.values():
            by_name.clear()
        self._instances.clear()
        self._index.clear()
        self._records.clear()
        for resource in resources:
            self._change(resource['kind'], resource['name'], resource)
        self.version = version
        self._notify()
        return True

    def find(
        self, kind: _resources.Kind, name: str
    ) -> _resources.Resource | None:
        """Return the resource with a kind and name, or None if absent."""
        return self._resources[kind.value].get(name)

    def list(self, kind: _resources.Kind) -> list[_resources.Resource]:
        """Return the resources of a kind, sorted by name."""
        by_name = self._resources[kind.value]
        return [by_name[name] for name in sorted(by_name)]

    def find_instances(
        self, pool: str | None = None, zone: str | None = None
    ) -> _Instances:
        """Return the instances of a pool, a zone or both, sorted by name.

        The cost depends on the number of the returned instances only.
        """
        found = self._index.get((pool, zone), {})
        return [found[name] for name in sorted(found)]

    def read_records(self, after: int, limit: int) -> _Records:
        """Return up to ``limit`` log entries after a version.

        The list is empty if the first of them has been trimmed.
        """
        end = min(after + limit, self.version)
        if after + 1 not in self._records:
            return []
        return [self._records[v] for v in range(after + 1, end + 1)]

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Register a callback that is called with each new version."""
        self._callbacks.append(callback)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback(self.version)

    def _change(
        self, kind: str, name: str, value: _resources.Resource | None
    ) -> None:
        by_name = self._resources.setdefault(kind, {})
        if value is None:
            by_name.pop(name, None)
        else:
            by_name[name] = value
        if kind == _resources.Kind.INSTANCE.value:
            self._reindex(name, value)

    def _reindex(self, name: str, value: _resources.Resource | None) -> None:
        old = self._instances.pop(name, None)
        if old is not None:
            for key in _list_index_keys(old):
                del self._index[key][name]
                if not self._index[key]:
                    del self._index[key]
        if value is None:
            return
        try:
            new = _resources.decode_instance(value)
        except (KeyError, TypeError, ValueError):
            # The entry is in the log for good; an exception here would stop
            # every replica at this version.
            log.error('malformed instance', extra={'instance': name})
            return
        self._instances[name] = new
        for key in _list_index_keys(new):
            self._index.setdefault(key, {})[name] = new


def _list_index_keys(
    instance: _resources.Instance,
) -> tuple[tuple[str | None, str | None], ...]:
    return (
        (None, None),
        (instance.pool, None),
        (None, instance.zone),
        (instance.pool, instance.zone),
    )
