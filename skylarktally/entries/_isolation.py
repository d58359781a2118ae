"""Decides whether an entry instance is isolated and cannot serve callers.

An entry instance in a partitioned zone reaches neither the platform's store
nor any entry instance that reaches the store. It then reports that it is
not ready, so that the balancer sends its callers to other zones. If the
store fails to answer only this entry instance, it stays ready, since it can
forward requests to owners elsewhere.
"""

import datetime
from typing import NamedTuple

# Other entry instances are asked once the store has not answered for this
# long. Reads of the terms are 0.35 s apart.
_DOUBTFUL_AFTER = datetime.timedelta(seconds=0.6)
# The store counts as silent after this time without an answer. It answers
# within half a second even when it is slow.
_SILENCE_LIMIT = datetime.timedelta(seconds=1.2)


class PeerAnswers(NamedTuple):
    """What other entry instances answered about the store."""

    # Whether the store has answered one of them lately.
    reach_store: bool
    # Whether one of them did not answer at all.
    has_silent_peer: bool


_NOT_ASKED = PeerAnswers(reach_store=True, has_silent_peer=False)


class StoreReachability:
    """Whether the store answers this entry instance or one of its peers."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._store_answered_at = now
        self._peer_answers = _NOT_ASKED

    def record_store_answer(self, now: datetime.timedelta) -> None:
        """Record the time of an answer of the store, direct or relayed."""
        if now > self._store_answered_at:
            self._store_answered_at = now
            self._peer_answers = _NOT_ASKED

    def record_peer_answers(self, answers: PeerAnswers) -> None:
        """Record what the peers answered since the store last did."""
        self._peer_answers = answers

    def is_store_doubtful(self, now: datetime.timedelta) -> bool:
        """Return whether peers should be asked about the store."""
        return now - self._store_answered_at > _DOUBTFUL_AFTER

    def is_isolated(self, now: datetime.timedelta) -> bool:
        """Return whether the store answers neither this process nor peers.

        If a peer does not answer either, the network has failed and not the
        store, and no longer silence is needed to tell.
        """
        answers = self._peer_answers
        if answers.reach_store:
            return False
        if answers.has_silent_peer and self.is_store_doubtful(now):
            return True
        return now - self._store_answered_at > _SILENCE_LIMIT
