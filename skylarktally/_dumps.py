"""The state of a process as JSON, for /debug/state and on SIGUSR1."""

from collections.abc import Callable
import dataclasses
import datetime
import enum
import json
import logging
import signal
import sys
from typing import Any, TextIO

from skylarktally import _loop
from skylarktally import _settings

log = logging.getLogger(__name__)

Section = Callable[[], Any]

_SECRETS = ('tokens', 'peer_secret', 'other_peer_secrets')


class Dump:
    """Named sections, each of which is read when the dump is written."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def add_section(self, name: str, read: Section) -> None:
        """Add a section whose content is the answer of the function."""
        self._sections[name] = read

    def collect(self) -> dict[str, Any]:
        """Return all sections; one that fails holds its error."""
        state = {}
        for name, read in sorted(self._sections.items()):
            try:
                state[name] = read()
            # A dump is wanted most when something is broken, so that one
            # broken section must not hide the others.
            except Exception as error:
                state[name] = {'error': repr(error)}
        return state

    def render(self) -> str:
        """Return all sections as one line of JSON."""
        return json.dumps(self.collect(), default=encode_value, sort_keys=True)

    def install_signal(self, stream: TextIO | None = None) -> None:
        """Write the dump as one line on each SIGUSR1.

        :param stream: standard error unless given
        """

        def write() -> None:
            target = stream or sys.stderr
            target.write(self.render() + '\n')
            target.flush()

        # The handler runs in the middle of any code, so that it only
        # schedules the dump.
        signal.signal(
            signal.SIGUSR1, lambda number, frame: _loop.spawn_after(0, write)
        )


def encode_value(value: Any) -> Any:
    """Return a form that JSON can hold for the types the project uses."""
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    if isinstance(value, datetime.datetime):
        return value.isoformat()
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (set, frozenset)):
        return sorted(value)
    return repr(value)


def describe_settings(settings: _settings.Settings) -> dict[str, Any]:
    """Return the settings without their secrets."""
    fields = {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
    }
    for name in _SECRETS:
        fields[name] = 'not shown'
    return fields
