"""Watches whether an entry instance is isolated, and asks its peers."""

from collections.abc import Callable
import datetime
import logging
from typing import Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.entries import _isolation

_LOG = logging.getLogger(__name__)

_CHECK_INTERVAL = datetime.timedelta(seconds=0.15)
_ANSWER_TIMEOUT = datetime.timedelta(seconds=0.3)
# The balancer checks readiness every second and sends callers elsewhere after
# two failed checks.
_BALANCER_DELAY = datetime.timedelta(seconds=2)


class PeerClient(Protocol):
    """Client of the other entry instances."""

    def reaches_store(
        self, address: str, timeout: datetime.timedelta
    ) -> result.Result[bool, _errors.Failure]:
        """Ask an entry instance whether the store answers it."""


class ReachabilityWatch:
    """Tracks whether the store answers, and asks peers when it does not."""

    def __init__(
        self,
        find_last_answer: Callable[[], datetime.timedelta | None],
        peer_client: PeerClient,
        list_peers: Callable[[], list[str]],
        clock: _clock.Clock,
    ) -> None:
        """Create the watch.

        :param find_last_answer: returns when the store last answered
        :param list_peers: returns the addresses of other entry instances
        """
        self._find_last_answer = find_last_answer
        self._peer_client = peer_client
        self._list_peers = list_peers
        self._clock = clock
        self._reachability = _isolation.StoreReachability(clock.monotonic())
        self._isolated_since: datetime.timedelta | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether neither the store nor a peer that reaches it answers."""
        return self._isolated_since is not None

    def reaches_store(self) -> bool:
        """Return whether the store has answered lately."""
        self._record_last_answer()
        now = self._clock.monotonic()
        return not self._reachability.is_store_doubtful(now)

    def estimate_diversion(self) -> datetime.timedelta | None:
        """Return how long until callers are sent to other entry instances.

        None unless this entry instance is isolated, and once that time has
        passed: the balancer may then have no better one.
        """
        if self._isolated_since is None:
            return None
        left = self._isolated_since + _BALANCER_DELAY - self._clock.monotonic()
        return left if left > datetime.timedelta() else None

    def run(self) -> None:
        """Watch until the process ends."""
        guard = _guards.Guard('reachability', self._clock)
        while True:
            self._clock.sleep(_CHECK_INTERVAL)
            guard.attempt(self.check)

    def check(self) -> None:
        """Update the state, and log when isolation begins or ends."""
        if not self.reaches_store():
            self._reachability.record_peer_answers(self._ask_peers())
            self._record_last_answer()
        now = self._clock.monotonic()
        is_isolated = self._reachability.is_isolated(now)
        if is_isolated == self.is_isolated:
            return
        self._isolated_since = now if is_isolated else None
        _LOG.info(
            'isolated: no reachable entry instance reaches the store'
            if is_isolated
            else 'no longer isolated'
        )

    def _record_last_answer(self) -> None:
        answered_at = self._find_last_answer()
        if answered_at is not None:
            self._reachability.record_store_answer(answered_at)

    def _ask_peers(self) -> _isolation.PeerAnswers:
        """Ask all peers at the same time, since some may not answer."""
        threads = [
            _loop.spawn(
                self._peer_client.reaches_store, address, _ANSWER_TIMEOUT
            )
            for address in self._list_peers()
        ]
        outcomes = [thread.wait() for thread in threads]
        if not outcomes:
            # Nothing is known, so that this entry instance goes on serving.
            return _isolation.PeerAnswers(True, False)
        return _isolation.PeerAnswers(
            any(outcome.value_or(False) for outcome in outcomes),
            not all(
                isinstance(outcome, result.Success) for outcome in outcomes
            ),
        )
