"""Start of every binary: read the settings and configure logging."""

import os
import sys
from typing import Protocol, TypeVar

from absl import flags

from skylarktally import _logs
from skylarktally import _settings

# The platform puts the path of the settings file into this variable.
_PATH_VARIABLE = 'SKYLARKTALLY_NODE_FILE'
_SETTINGS_PATH = flags.DEFINE_string(
    'settings',
    os.environ.get(_PATH_VARIABLE),
    f'Settings file in JSON with comments; by default the path in the '
    f'environment variable {_PATH_VARIABLE}.',
    required=_PATH_VARIABLE not in os.environ,
)
_CHECK_ONLY = flags.DEFINE_bool('check', False, 'Check the settings and exit.')


class CommonSettings(Protocol):
    """Fields that the settings of every binary have."""

    @property
    def name(self) -> str:
        """Name of the process in its logs."""

    @property
    def log_level(self) -> str:
        """Minimum level of the log records that are written."""


S = TypeVar('S', bound=CommonSettings)


def load_settings(settings_class: type[S]) -> S:
    """Return the settings of the process and configure its logging.

    Prints all issues to standard error. Exits with status 2 if one of them
    is an error, and with status 0 if only a check was requested.
    """
    settings, issues = _settings.load_settings(
        settings_class, str(_SETTINGS_PATH.value)
    )
    for issue in issues:
        print(issue, file=sys.stderr)
    if settings is None:
        sys.exit(2)
    if _CHECK_ONLY.value:
        sys.exit(0)
    _logs.configure_logs(settings.name, settings.log_level)
    return settings
