"""How a newly started router gets a state to serve with."""

from collections.abc import Callable
import datetime
import logging

from skylarktally import _clock
from skylarktally import _loop

log = logging.getLogger(__name__)

# Brings the fleet to the state of one source; False if that failed.
Source = Callable[[], bool]

# Time to wait for a higher version than the first one offered.
_GATHER_LIMIT = datetime.timedelta(seconds=1)
_ATTEMPT_LIMIT = datetime.timedelta(seconds=6)
_PAUSE = datetime.timedelta(seconds=0.5)


class Bootstrap:
    """Asks the table, the peers and the object store at the same time.

    The table knows the highest version. Without it, the state is that of
    the highest version offered within a second of the first offer; the
    fleet itself never goes back.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        read_table: Source,
        list_others: Callable[[], dict[str, Source]],
    ) -> None:
        """Create the bootstrap.

        :param list_others: returns the sources that may be behind, by name
        """
        self._clock = clock
        self._read_table = read_table
        self._list_others = list_others

    def run(self) -> None:
        """Return once a state is in force."""
        while not self.attempt():
            self._clock.sleep(_PAUSE)

    def attempt(self) -> bool:
        """Ask every source once; False when none had a state."""
        sources = {'table': self._read_table, **self._list_others()}
        answers = _loop.Queue()
        threads = [
            _loop.spawn(self._ask, name, source, answers)
            for name, source in sources.items()
        ]
        try:
            return self._gather(answers, len(threads))
        finally:
            for thread in threads:
                thread.kill()

    def _ask(self, name: str, source: Source, answers: _loop.Queue) -> None:
        try:
            answers.put((name, source()))
        # One broken source must not keep the others from being used.
        except Exception:
            log.exception('a source of the state failed: %s', name)
            answers.put((name, False))

    def _gather(self, answers: _loop.Queue, waiting: int) -> bool:
        deadline = self._clock.monotonic() + _ATTEMPT_LIMIT
        offered = ''
        while waiting:
            left = (deadline - self._clock.monotonic()).total_seconds()
            with _loop.Timeout(max(left, 0.001), False):
                name, succeeded = answers.get()
                waiting -= 1
                if succeeded and name == 'table':
                    offered = name
                    break
                if succeeded and not offered:
                    offered = name
                    deadline = self._clock.monotonic() + _GATHER_LIMIT
                continue
            break
        if offered:
            log.info('a state is in force', extra={'source': offered})
        return bool(offered)
