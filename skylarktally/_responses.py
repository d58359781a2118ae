"""An answer of a worker or router on its way to the caller."""

from collections.abc import Iterator
from http import client

from skylarktally import _connections
from skylarktally import _limits
from skylarktally import _loop

NO_BODY_STATUSES = (204, 304)
_HOP_HEADERS = {
    'connection',
    'content-length',
    'date',
    'keep-alive',
    'proxy-authenticate',
    'proxy-connection',
    'request-key',
    'task-started',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
}


# An answer of unknown length is held back this long to find out whether it
# is small and cut short. A stream of small pieces is late by no more.
_HOLD_SECONDS = 0.05


class TruncatedResponse(Exception):
    """The answer ended before its end; the caller must not see an end."""


class RelayedResponse:
    """An answer whose head and first piece have arrived."""

    def __init__(
        self,
        response: _connections.StrictResponse,
        connection: _connections.Connection,
        connections: _connections.ConnectionPool,
        method: str,
        limits: _limits.ServingLimits,
    ) -> None:
        self.status = response.status
        self.reason = response.reason
        self.headers = [
            (name, value)
            for name, value in response.getheaders()
            if name.lower() not in _HOP_HEADERS
        ]
        self._response = response
        self._connection = connection
        self._connections = connections
        self._limits = limits
        self.bodyless = method == 'HEAD' or response.status in NO_BODY_STATUSES
        self.length = None if self.bodyless else response.length
        self._read_bytes = 0
        self.complete = False
        self._closed = False
        self.first_chunk = b''
        # Reads the next bytes while the first ones are passed on.
        self._pending: _loop.GreenThread | None = None

    def read_first_chunk(self) -> None:
        """Read a small answer whole, or the first piece of another.

        An error here is one before the caller got a byte, so that an
        idempotent request can be sent again.
        """
        piece = self._limits.chunk_bytes
        self.first_chunk = self._read()
        if self.length is None:
            self._hold_back(piece)
        elif self.length <= piece:
            parts = [self.first_chunk]
            while not self.complete:
                parts.append(self._read())
            self.first_chunk = b''.join(parts)

    def _hold_back(self, size: int) -> None:
        """Read on for a short time, up to some bytes in all."""
        self._connection.set_timeout(self._limits.progress_timeout)
        parts = [self.first_chunk]
        held = len(self.first_chunk)
        with _loop.Timeout(_HOLD_SECONDS, False):
            while not self.complete and held < size:
                parts.append(self._read_ahead())
                held += len(parts[-1])
        self.first_chunk = b''.join(parts)

    def _read_ahead(self) -> bytes:
        """Return the next bytes; an interrupted call loses none."""
        if self._pending is None:
            self._pending = _loop.spawn(self._try_read)
        data = self._pending.wait()
        self._pending = None
        if isinstance(data, Exception):
            raise data
        return bytes(data)

    def _try_read(self) -> bytes | Exception:
        try:
            return self._read()
        except (OSError, client.HTTPException, TruncatedResponse) as error:
            return error

    def _read(self) -> bytes:
        """Return the next bytes; empty only at the true end."""
        if self.bodyless or self._read_bytes == self.length:
            self._finish()
            return b''
        data = self._response.read1(self._limits.chunk_bytes)
        self._read_bytes += len(data)
        if not data and self.length is not None:
            raise TruncatedResponse('the body is shorter than its length')
        if not data or self._read_bytes == self.length:
            self._finish()
        return data

    def _finish(self) -> None:
        self.complete = True
        self.close()

    def iterate(self) -> Iterator[bytes]:
        """Yield the body.

        :raises TruncatedAnswer: when the end is missing
        """
        if self.first_chunk:
            yield self.first_chunk
        self._connection.set_timeout(self._limits.progress_timeout)
        while not self.complete:
            try:
                data = self._read_ahead() if self._pending else self._read()
            except (OSError, client.HTTPException) as error:
                raise TruncatedResponse(repr(error)) from error
            if data:
                yield data

    def close(self) -> None:
        """Keep the connection if the answer is whole, else close it."""
        if self._closed:
            return
        self._closed = True
        if self._pending is not None and not self.complete:
            self._pending.kill()
        self._response.close()
        if (
            self.complete
            and not self._response.will_close
            and not self._response.has_unread_bytes
        ):
            self._connections.release(self._connection)
        else:
            self._connections.close(self._connection)
