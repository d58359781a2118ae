"""Load balancer in front of the entries, with health checks."""

import random
from typing import Any

import urllib3

from demo import _deployment
from skylarktally import _loop

_INTERVAL_SECONDS = 0.5
_TIMEOUT_SECONDS = 0.5
# Checks in a row that change the state of an entry.
_CHECKS = 2


class ConnectionClosed(Exception):
    """The balancer closed the connection to an entry that does not answer."""


class Balancer:
    """Sends requests to entries whose router answers /readyz.

    An entry that reports itself as not ready gets no new requests. The
    connections to an entry that does not answer at all are closed as well.
    """

    def __init__(self, entries: tuple[_deployment.Entry, ...]) -> None:
        self._entries = entries
        self._ready = {entry.name for entry in entries}
        self._running: dict[str, set[Any]] = {x.name: set() for x in entries}
        self._http = urllib3.PoolManager(
            num_pools=2 * len(entries), maxsize=512, retries=False
        )

    def start(self) -> None:
        """Begin the health checks."""
        for entry in self._entries:
            _loop.spawn(self._check, entry)

    def choose(self, source: random.Random) -> _deployment.Entry:
        """Return a random ready entry, or any when none is ready."""
        ready = [x for x in self._entries if x.name in self._ready]
        return source.choice(ready or self._entries)

    def send(
        self, entry: _deployment.Entry, path: str, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Send a POST request and return its whole answer.

        :raises ConnectionClosed: when the entry stops answering
        """
        url = f'http://{entry.serving_address}{path}'
        thread = _loop.spawn(self._post, url, options)
        running = self._running[entry.name]
        running.add(thread)
        try:
            answer, error = thread.wait()
        finally:
            running.discard(thread)
        if answer is None:
            raise error
        return answer

    def _post(
        self, url: str, options: dict[str, Any]
    ) -> tuple[urllib3.BaseHTTPResponse | None, Exception | None]:
        # The event loop prints what a green thread raises.
        try:
            return self._http.request('POST', url, **options), None
        except (urllib3.exceptions.HTTPError, ConnectionClosed) as error:
            return None, error

    def _check(self, entry: _deployment.Entry) -> None:
        url = f'http://{entry.admin_address}/readyz'
        streak = 0
        while True:
            try:
                status = self._http.request(
                    'GET', url, timeout=_TIMEOUT_SECONDS
                ).status
            except urllib3.exceptions.HTTPError:
                status = 0
            changes = (status == 200) != (entry.name in self._ready)
            streak = streak + 1 if changes else 0
            if streak == _CHECKS:
                streak = 0
                self._change(entry, status)
            _loop.sleep(_INTERVAL_SECONDS)

    def _change(self, entry: _deployment.Entry, status: int) -> None:
        if status == 200:
            self._ready.add(entry.name)
            return
        self._ready.discard(entry.name)
        if status == 0:
            for thread in list(self._running[entry.name]):
                # A green thread that has not started yet can only be ended
                # with all three parts of an exception.
                thread.kill(
                    ConnectionClosed, ConnectionClosed(entry.name), None
                )
