"""Whether an entry is cut off from all that it needs to serve callers.

An entry whose zone is cut off reaches neither the platform's store nor any
entry that reaches it. It then reports that it is not ready, so that the
balancer sends its callers to other zones. While the store does not answer
this entry alone it stays ready, since owners elsewhere serve its callers.
"""

import datetime

# Without contact for this long an entry is cut off. The store answers within
# half a second even when it is slow.
_SILENCE_LIMIT = datetime.timedelta(seconds=1.2)


class StoreReachability:
    """When the entry last had contact with the store, itself or not."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._store_answered_at = now
        self._is_unreachable_by_peers = False

    def record_store_answer(self, now: datetime.timedelta) -> None:
        """Note an answer of the store."""
        self._store_answered_at = now

    def record_peer_answer(self, reaches_store: bool) -> None:
        """Note whether another entry that was asked reaches the store."""
        self._is_unreachable_by_peers = not reaches_store

    def is_store_silent(self, now: datetime.timedelta) -> bool:
        """Tell whether the store has not answered for some time."""
        return now - self._store_answered_at > _SILENCE_LIMIT

    def is_cut_off(self, now: datetime.timedelta) -> bool:
        """Tell whether neither this entry nor another reaches the store."""
        return self.is_store_silent(now) and self._is_unreachable_by_peers
