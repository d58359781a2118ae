"""Detects that an entry instance is isolated and cannot serve callers.

An entry instance in a partitioned zone reaches neither the platform's store
nor any entry instance that reaches the store. It then reports that it is
not ready, so that the balancer sends its callers to other zones. If the
store fails to answer only this entry instance, it stays ready, since it can
forward requests to owners elsewhere.
"""

import datetime

# The store counts as silent after this time without an answer. It answers
# within half a second even when it is slow.
_SILENCE_LIMIT = datetime.timedelta(seconds=1.2)


class StoreReachability:
    """Whether the store answers this entry instance or one of its peers."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._store_answered_at = now
        self._is_silent_for_peers = False

    def record_store_answer(self, now: datetime.timedelta) -> None:
        """Record the time of an answer of the store, direct or relayed."""
        self._store_answered_at = now

    def record_peer_answer(self, reaches_store: bool) -> None:
        """Record whether another entry instance reaches the store."""
        self._is_silent_for_peers = not reaches_store

    def is_store_silent(self, now: datetime.timedelta) -> bool:
        """Return whether the store has not answered for some time."""
        return now - self._store_answered_at > _SILENCE_LIMIT

    def is_isolated(self, now: datetime.timedelta) -> bool:
        """Return whether the store answers neither this process nor peers."""
        return self.is_store_silent(now) and self._is_silent_for_peers
