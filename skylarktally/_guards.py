"""Keeps loops going after exceptions that no code expects.

Input is checked where it enters, so that these exceptions are faults of the
program. They are logged with what was being processed, counted, and must end
neither the process nor the loop.
"""

from collections.abc import Callable
import datetime
import logging
from typing import Any

import prometheus_client

from skylarktally import _clock

_LOG = logging.getLogger(__name__)

_MIN_DELAY = datetime.timedelta(seconds=0.1)
_MAX_DELAY = datetime.timedelta(seconds=5)

# One for the process, like its log; a registry collects it when registered.
UNEXPECTED_ERRORS = prometheus_client.Counter(
    'skylarktally_unexpected_errors',
    'Exceptions that no code expects, by the activity that raised them.',
    ['activity'],
    registry=None,
)


def record_error(activity: str, **details: Any) -> None:
    """Log and count the exception that is being handled.

    :param details: what was being processed, for the log line
    """
    UNEXPECTED_ERRORS.labels(activity).inc()
    _LOG.exception('unexpected error', extra={'activity': activity, **details})


class Guard:
    """Runs the steps of a loop and pauses it after an unexpected error."""

    def __init__(
        self, activity: str, clock: _clock.Clock, **details: Any
    ) -> None:
        """Create the guard of a loop.

        :param activity: label of the metric; one of a small fixed set
        :param details: added to the log lines
        """
        self.failures = 0
        self._activity = activity
        self._clock = clock
        self._details = details

    def attempt(self, step: Callable[..., Any], *arguments: Any) -> bool:
        """Run a step; False after an unexpected error and a pause.

        The pause doubles with each further error until a step succeeds.
        """
        try:
            step(*arguments)
        except Exception:
            self.failures += 1
            record_error(self._activity, **self._details)
            self._clock.sleep(
                min(_MIN_DELAY * 2 ** min(self.failures - 1, 10), _MAX_DELAY)
            )
            return False
        self.failures = 0
        return True
