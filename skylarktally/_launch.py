"""What all binaries do first: read settings and configure logs."""

import os
import sys
from typing import Protocol, TypeVar

from absl import flags

from skylarktally import _logs
from skylarktally import _settings

# Where the platform puts the settings file of a process.
_VARIABLE = 'SKYLARKTALLY_NODE_FILE'
_SETTINGS = flags.DEFINE_string(
    'settings',
    os.environ.get(_VARIABLE),
    f'Settings file in JSON with comments; by default the one that the '
    f'variable {_VARIABLE} names.',
    required=_VARIABLE not in os.environ,
)
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')


class CommonSettings(Protocol):
    """What the settings of every binary have."""

    @property
    def name(self) -> str:
        """Name of the process in its logs."""

    @property
    def log_level(self) -> str:
        """Least level of the lines that are logged."""


S = TypeVar('S', bound=CommonSettings)


def load_settings(kind: type[S]) -> S:
    """Return the settings; exit with status 2 when they have errors."""
    settings, issues = _settings.load_settings(kind, str(_SETTINGS.value))
    for issue in issues:
        print(issue, file=sys.stderr)
    if settings is None:
        sys.exit(2)
    if _CHECK.value:
        sys.exit(0)
    _logs.configure_logs(settings.name, settings.log_level)
    return settings
