"""Response of a worker or router that is relayed to the caller."""

from collections.abc import Iterator
from http import client

from skylarktally import _connections
from skylarktally import _limits
from skylarktally import _loop

NO_BODY_STATUSES = (204, 304)
_DROPPED_HEADERS = {
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

# A response of unknown length is buffered for this time to detect whether it
# is small and truncated. A stream of small chunks is delayed by no more than
# this.
_BUFFER_SECONDS = 0.05


class TruncatedResponse(Exception):
    """The body is incomplete, which the caller must be able to detect."""


class RelayedResponse:
    """A response whose head has arrived and whose body is relayed."""

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
            if name.lower() not in _DROPPED_HEADERS
        ]
        self._response = response
        self._connection = connection
        self._connections = connections
        self._limits = limits
        self.bodyless = method == 'HEAD' or response.status in NO_BODY_STATUSES
        self.length = None if self.bodyless else response.length
        self._bytes_read = 0
        self.complete = False
        self._closed = False
        self.first_chunk = b''
        # Read that was still running when the start of the body had to be
        # passed on; its bytes follow.
        self._background_read: _loop.GreenThread | None = None

    def read_first_chunk(self) -> None:
        """Read the whole body if it is small, else its first chunk.

        If this raises an error, the caller has not received any byte yet,
        so an idempotent request can be retried.
        """
        chunk_size = self._limits.chunk_bytes
        self.first_chunk = self._read()
        if self.length is None:
            self._buffer_start(chunk_size)
        elif self.length <= chunk_size:
            parts = [self.first_chunk]
            while not self.complete:
                parts.append(self._read())
            self.first_chunk = b''.join(parts)

    def _buffer_start(self, size: int) -> None:
        """Read more for a short time, until that many bytes are buffered."""
        self._connection.set_timeout(self._limits.progress_timeout)
        parts = [self.first_chunk]
        buffered = len(self.first_chunk)
        with _loop.Timeout(_BUFFER_SECONDS, False):
            while not self.complete and buffered < size:
                parts.append(self._read_in_background())
                buffered += len(parts[-1])
        self.first_chunk = b''.join(parts)

    def _read_in_background(self) -> bytes:
        """Return the next bytes; a timeout in this call loses none."""
        if self._background_read is None:
            self._background_read = _loop.spawn(self._try_read)
        data = self._background_read.wait()
        self._background_read = None
        if isinstance(data, Exception):
            raise data
        return bytes(data)

    def _try_read(self) -> bytes | Exception:
        try:
            return self._read()
        except (OSError, client.HTTPException, TruncatedResponse) as error:
            return error

    def _read(self) -> bytes:
        """Return the next bytes; empty only at the end of the body.

        :raises TruncatedResponse: when the body is shorter than its length
        """
        if self.bodyless or self._bytes_read == self.length:
            self._finish()
            return b''
        data = self._response.read1(self._limits.chunk_bytes)
        self._bytes_read += len(data)
        if not data and self.length is not None:
            raise TruncatedResponse('the body is shorter than its length')
        if not data or self._bytes_read == self.length:
            self._finish()
        return data

    def _finish(self) -> None:
        self.complete = True
        self.close()

    def iterate(self) -> Iterator[bytes]:
        """Yield the body.

        :raises TruncatedResponse: when the body ends too early
        """
        if self.first_chunk:
            yield self.first_chunk
        self._connection.set_timeout(self._limits.progress_timeout)
        while not self.complete:
            try:
                data = (
                    self._read_in_background()
                    if self._background_read
                    else self._read()
                )
            except (OSError, client.HTTPException) as error:
                raise TruncatedResponse(repr(error)) from error
            if data:
                yield data

    def close(self) -> None:
        """Return the connection for reuse if possible, else close it.

        It is reusable after a complete response without further bytes,
        unless the peer closes it.
        """
        if self._closed:
            return
        self._closed = True
        if self._background_read is not None and not self.complete:
            self._background_read.kill()
        self._response.close()
        if (
            self.complete
            and not self._response.will_close
            and not self._response.has_unread_bytes
        ):
            self._connections.release(self._connection)
        else:
            self._connections.close(self._connection)
