"""Loads the replica of a newly started router."""

from collections.abc import Callable
import datetime
import logging

from skylarktally import _clock
from skylarktally import _loop

log = logging.getLogger(__name__)

# Loads the state of one source into the replica; False if that failed.
Source = Callable[[], bool]

# How long to wait for a higher version after the first source has succeeded.
_GATHER_TIMEOUT = datetime.timedelta(seconds=1)
# How long to wait for the first source that succeeds.
_ATTEMPT_TIMEOUT = datetime.timedelta(seconds=6)
_RETRY_DELAY = datetime.timedelta(seconds=0.5)


class Bootstrap:
    """Loads the replica from the table, peers and object store in parallel.

    Once the table has been read, the replica is current. Without the table
    it has the highest version that another source loads within a second of
    the first one that succeeds; the replica itself never goes back to an
    older version.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        read_table: Source,
        list_others: Callable[[], dict[str, Source]],
    ) -> None:
        """Initialize the bootstrap.

        :param list_others: returns the other sources by name; they may have
            an older version than the table
        """
        self._clock = clock
        self._read_table = read_table
        self._list_others = list_others

    def run(self) -> None:
        """Retry until the replica has been loaded."""
        while not self.attempt():
            self._clock.sleep(_RETRY_DELAY)

    def attempt(self) -> bool:
        """Try every source once; False if none of them succeeded."""
        sources = {'table': self._read_table, **self._list_others()}
        outcomes = _loop.Queue()
        threads = [
            _loop.spawn(self._load, name, source, outcomes)
            for name, source in sources.items()
        ]
        try:
            return self._gather(outcomes, len(threads))
        finally:
            for thread in threads:
                thread.kill()

    def _load(self, name: str, source: Source, outcomes: _loop.Queue) -> None:
        try:
            outcomes.put((name, source()))
        # An unexpected error of one source must not prevent the use of the
        # others.
        except Exception:
            log.exception('loading the replica from %s failed', name)
            outcomes.put((name, False))

    def _gather(self, outcomes: _loop.Queue, pending: int) -> bool:
        deadline = self._clock.monotonic() + _ATTEMPT_TIMEOUT
        loaded_from = ''
        while pending:
            remaining = (deadline - self._clock.monotonic()).total_seconds()
            with _loop.Timeout(max(remaining, 0.001), False):
                name, succeeded = outcomes.get()
                pending -= 1
                if succeeded and name == 'table':
                    loaded_from = name
                    break
                if succeeded and not loaded_from:
                    loaded_from = name
                    deadline = self._clock.monotonic() + _GATHER_TIMEOUT
                continue
            break
        if loaded_from:
            log.info('replica loaded', extra={'source': loaded_from})
        return bool(loaded_from)
