"""Replica of all resources at one version of the log."""

from collections.abc import Callable
import logging

from skylarktally import _resources

log = logging.getLogger(__name__)

# The table keeps as many log entries, so a peer can serve the same range.
RETAINED_RECORDS = 2000

# Named here because the method list() hides the type in the class.
_Instances = list[_resources.Instance]
_Records = list[_resources.LogRecord]

_Index = dict[tuple[str | None, str | None], dict[str, _resources.Instance]]


class Fleet:
    """Resources, indexed for the questions that the decisions ask.

    What the methods return is shared and must not be changed.
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
        """Apply the next log entry; False when old or not the next."""
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
        """Replace everything by a snapshot; False when it would go back."""
        if version < self.version:
            return False
        if version == self.version:
            return True
        for held in self._resources.values():
            held.clear()
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
        """Return a resource by name."""
        return self._resources[kind.value].get(name)

    def list(self, kind: _resources.Kind) -> list[_resources.Resource]:
        """Return the resources of a kind, sorted by name."""
        held = self._resources[kind.value]
        return [held[name] for name in sorted(held)]

    def find_instances(
        self, pool: str | None = None, zone: str | None = None
    ) -> _Instances:
        """Return instances sorted by name, at a cost in their number."""
        found = self._index.get((pool, zone), {})
        return [found[name] for name in sorted(found)]

    def read_records(self, after: int, limit: int) -> _Records:
        """Return the entries that follow a version; empty when trimmed."""
        end = min(after + limit, self.version)
        if after + 1 not in self._records:
            return []
        return [self._records[v] for v in range(after + 1, end + 1)]

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Have the callback called with each new version."""
        self._callbacks.append(callback)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback(self.version)

    def _change(
        self, kind: str, name: str, value: _resources.Resource | None
    ) -> None:
        held = self._resources.setdefault(kind, {})
        if value is None:
            held.pop(name, None)
        else:
            held[name] = value
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
            # An entry that is in the log must not stop the replicas.
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
