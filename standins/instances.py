"""Instance list of the platform stand-in, with its lag and operations."""

import collections
from collections.abc import Callable
import copy
import datetime
from typing import Any

_HISTORY_LIMIT = 1000


class InstanceList:
    """List of live and leaving instances, which callers see with a lag.

    Operations are drains and reboots; the caller chooses the id of each.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._instances: dict[str, dict[str, Any]] = {}
        self._operations: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._history: collections.deque[tuple[float, list[dict]]]
        self._history = collections.deque(maxlen=_HISTORY_LIMIT)
        self._take_snapshot()

    def register(self, instances: list[dict[str, Any]]) -> None:
        """Replace all instances."""
        self._instances = {
            i['name']: {'state': 'live', **i} for i in instances
        }
        self._take_snapshot()

    def update(self, name: str, fields: dict[str, Any]) -> None:
        """Change fields of an instance, as the platform does by itself."""
        self._instances[name].update(fields)
        self._take_snapshot()

    def list(self, lag_seconds: float) -> dict[str, Any]:
        """Return the list as it was some time ago, with its time.

        The oldest snapshot is returned if the lag reaches further back than
        the history.
        """
        newest_visible = self._monotonic() - lag_seconds
        shown = self._history[0]
        for snapshot in self._history:
            if snapshot[0] > newest_visible:
                break
            shown = snapshot
        lag = datetime.timedelta(seconds=lag_seconds)
        as_of = datetime.datetime.now(datetime.UTC) - lag
        return {'instances': shown[1], 'as_of': as_of.isoformat()}

    def find(self, name: str) -> dict[str, Any] | None:
        """Return the current state of an instance, or None if unknown."""
        return self._instances.get(name)

    def start_operation(self, name: str, verb: str, operation_id: str) -> bool:
        """Start an operation; return False if its id is known already.

        :param verb: drain or reboot
        """
        operation = (name, verb, operation_id)
        if operation in self._operations:
            return False
        self._operations[operation] = {
            'operation_id': operation_id,
            'state': 'running',
        }
        self._set_state(name, 'leaving')
        return True

    def finish_operation(
        self, name: str, verb: str, operation_id: str, state: str
    ) -> None:
        """Record the end of an operation.

        :param state: done or failed
        """
        self._operations[name, verb, operation_id]['state'] = state
        if verb == 'reboot':
            self._set_state(name, 'live')

    def find_operation(
        self, name: str, verb: str, operation_id: str
    ) -> dict[str, Any]:
        """Return the state of a known operation."""
        return self._operations[name, verb, operation_id]

    def _set_state(self, name: str, state: str) -> None:
        self._instances[name]['state'] = state
        self._take_snapshot()

    def _take_snapshot(self) -> None:
        current = copy.deepcopy(list(self._instances.values()))
        self._history.append((self._monotonic(), current))
