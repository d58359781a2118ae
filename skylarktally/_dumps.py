"""Dump of the state of a process as JSON, at /debug/state and on SIGUSR1."""

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
    """State dump of named sections, which are read at each dump."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def add_section(self, name: str, read: Section) -> None:
        """Add a section with the return value of the function as content."""
        self._sections[name] = read

    def collect(self) -> dict[str, Any]:
        """Return the sections by name; one that fails holds its error."""
        state = {}
        for name, read in sorted(self._sections.items()):
            try:
                state[name] = read()
            # Dumps are mostly needed when something is broken, so a section
            # that fails must not hide the others.
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

        # A signal handler can interrupt any code, so it only schedules the
        # dump.
        signal.signal(
            signal.SIGUSR1, lambda number, frame: _loop.spawn_after(0, write)
        )


def encode_value(value: Any) -> Any:
    """Convert a value that json cannot encode; repr of unknown types."""
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
    """Return the settings by name, with the secrets masked."""
    fields = {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
    }
    for name in _SECRETS:
        fields[name] = 'not shown'
    return fields
