"""Decides which shard an overloaded entry instance hands over.

An instance whose event loop stays late serves all its shards too slowly,
because it owns several busy ones or because its processor has become slow. It
releases one of them, and the other instances claim it by their capacity.
"""

from collections.abc import Iterable
import datetime
from typing import NamedTuple

# A pool is without an owner for about half a second during a handover. If all
# instances are overloaded, that happens at most once in this time.
_MIN_TENURE = datetime.timedelta(seconds=5)
# The effect of a handover is awaited before the next one.
_HANDOVER_INTERVAL = datetime.timedelta(seconds=1.5)
# An instance that was overloaded so recently claims last, since it does not
# notice while it owns nothing whether its processor is still slow.
_RECOVERY_TIME = datetime.timedelta(seconds=15)


class OwnedShard(NamedTuple):
    """A shard whose term is valid."""

    name: str
    owned_since: datetime.timedelta
    # Jobs that are not final; 0 for maintenance.
    open_jobs: int


class HandoverPolicy:
    """Chooses the shards to hand over, and remembers when it last did."""

    def __init__(self) -> None:
        self._handed_over_at: datetime.timedelta | None = None

    def choose(
        self, shards: Iterable[OwnedShard], now: datetime.timedelta
    ) -> OwnedShard | None:
        """Return the shard to hand over now; None if there is none.

        It is the one with the most open jobs, whose callers gain the most.
        """
        if self._is_recent(_HANDOVER_INTERVAL, now):
            return None
        candidates = [
            shard for shard in shards if now - shard.owned_since >= _MIN_TENURE
        ]
        if not candidates:
            return None
        self._handed_over_at = now
        return max(candidates, key=lambda shard: shard.open_jobs)

    def is_recovering(self, now: datetime.timedelta) -> bool:
        """Tell whether the instance was overloaded recently."""
        return self._is_recent(_RECOVERY_TIME, now)

    def _is_recent(
        self, limit: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        at = self._handed_over_at
        return at is not None and now - at < limit
