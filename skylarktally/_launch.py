"""What all binaries do first: read settings and configure logs."""

import sys
from typing import TypeVar

from absl import flags

from skylarktally import _logs
from skylarktally import _settings

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'Settings file in JSON with comments.', required=True
)
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')

S = TypeVar('S', bound=_settings.Settings)


def load(kind: type[S]) -> S:
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
