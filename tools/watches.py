"""Notes when the routers of a measurement have a version in force."""

import datetime
import time

from returns import result

from skylarktally._gen.peer import ttypes
from skylarktally import _loop
from skylarktally import _peers
from tools import cluster

_WATCH_SECONDS = 0.01
_TIMEOUT = datetime.timedelta(seconds=2)
# Higher than any version, so that a router sends no log entries back.
_NO_ENTRIES = 1 << 60


class Watch:
    """Notes when each router has which version in force."""

    def __init__(self, addresses: list[str]) -> None:
        self.reached: dict[str, dict[int, float]] = {a: {} for a in addresses}
        self._calls = _peers.ThriftPeerClient(
            _peers.Secrets(cluster.SECRET, ()),
            _TIMEOUT,
            _TIMEOUT,
            64,
            1 << 24,
        )
        self._threads = [_loop.spawn(self._watch, a) for a in addresses]

    def stop(self) -> None:
        """Stop watching."""
        for thread in self._threads:
            thread.kill()
        self._calls.close()

    def _watch(self, address: str) -> None:
        reached = self.reached[address]
        seen = 0
        while True:
            answer = self._calls.sync(
                address, ttypes.SyncRequest(log_version=_NO_ENTRIES)
            )
            now = time.monotonic()
            if isinstance(answer, result.Success):
                version = answer.unwrap().log_version
                for passed in range(seen + 1, version + 1):
                    reached[passed] = now
                seen = max(seen, version)
            _loop.sleep(_WATCH_SECONDS)
