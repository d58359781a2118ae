"""Pooled connections to workers and to other routers."""

import collections
import datetime
from http import client
import socket
from typing import Any

from returns import result

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _limits
from skylarktally import _loop


class _CompleteLineReader:
    """Reader of header lines that raises IncompleteRead on a partial one."""

    def __init__(self, stream: Any) -> None:
        self.stream = stream

    def readline(self, size: int = -1) -> bytes:
        line: bytes = self.stream.readline(size)
        if not line.endswith(b'\n'):
            raise client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.stream, name)


class StrictResponse(client.HTTPResponse):
    """Response that raises IncompleteRead on a truncated head or chunk size.

    The base class accepts the end of the stream as the end of the headers,
    and reads a size line that is cut off after a zero as chunk size 0, that
    of the last chunk.
    """

    # Whether bytes had been received beyond the end of the response, so that
    # the connection cannot be reused.
    has_unread_bytes = False

    def begin(self) -> None:
        """Read the status line and the headers."""
        stream = self.fp
        if self.headers is None:
            self.fp = _CompleteLineReader(stream)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream

    def _close_conn(self) -> None:
        self.has_unread_bytes = _has_buffered_bytes(self.fp)
        super()._close_conn()  # type: ignore[misc]

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(1026)
        digits = line.split(b';', 1)[0].strip()
        if not line.endswith(b'\n') or not digits.isalnum():
            raise client.IncompleteRead(line)
        return int(digits, 16)

    def _read_and_discard_trailer(self) -> None:
        while True:
            line = self.fp.readline(65537)
            if not line.endswith(b'\n'):
                raise client.IncompleteRead(line)
            if line in (b'\r\n', b'\n'):
                return


def _has_buffered_bytes(stream: Any) -> bool:
    """Tell without waiting whether a buffered socket reader has bytes.

    An error counts as bytes, so that the connection is not reused.
    """
    if stream is None or stream.closed:
        return False
    connection = stream.raw._sock
    timeout = connection.gettimeout()
    connection.settimeout(0)
    try:
        return bool(stream.peek(1))
    except (OSError, ValueError):
        return True
    finally:
        connection.settimeout(timeout)


class Connection(client.HTTPConnection):
    """HTTP connection over a cooperative socket, with optional TLS."""

    response_class = StrictResponse

    def __init__(
        self,
        address: str,
        connect_timeout: float,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._is_secure, host_and_port = _fields.strip_https(address)
        self._certificates = certificates
        host, port = host_and_port.rsplit(':', 1)
        super().__init__(host, int(port), timeout=connect_timeout)
        self.address = address
        self.idle_since = datetime.timedelta()
        # The base class drops its own reference at the head of a response
        # after which the server closes, although the body is still to come.
        self._socket: socket.socket | None = None
        self._response: StrictResponse | None = None

    def connect(self) -> None:
        """Open the socket, with TLS for an https address."""
        if self._is_secure and self._certificates is None:
            raise ConnectionError('no CA file for https addresses')
        opened = _loop.connect(
            str(self.host), int(self.port or 0), self.timeout or 1
        )
        if self._is_secure and self._certificates is not None:
            host = self.host.strip('[]')
            with _loop.Timeout(self.timeout or 1, TimeoutError('handshake')):
                opened = self._certificates.wrap_client(opened, host)
        self.sock = self._socket = opened

    def close(self) -> None:
        """Close the connection and the response that reads from it."""
        super().close()
        if self._response is not None:
            self._response.close()

    def getresponse(self) -> StrictResponse:
        """Read the head of the response."""
        response = super().getresponse()
        assert isinstance(response, StrictResponse)  # noqa: S101
        self._response = response
        return response

    def set_timeout(self, timeout: datetime.timedelta) -> None:
        """Set the longest time without progress on the socket."""
        if self._socket is not None:
            self._socket.settimeout(max(timeout.total_seconds(), 0.001))


class ConnectionPool:
    """Open and idle connections, with a maximum number for each address."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._certificates = certificates
        self._clock = clock
        self._limits = limits
        self._idle: dict[str, collections.deque[Connection]] = (
            collections.defaultdict(collections.deque)
        )
        self.open_counts: collections.Counter[str] = collections.Counter()

    def acquire(
        self, address: str, new_connection: bool = False
    ) -> result.Result[Connection, _errors.Failure]:
        """Return a connection for exclusive use, idle or new.

        :param new_connection: open a new connection even if one is idle
        :returns: NO_CAPACITY or WORKER_UNREACHABLE; in either case no byte
            of a request has been sent
        """
        connection = None if new_connection else self._pop_idle(address)
        if connection is not None:
            return result.Success(connection)
        if (
            self.open_counts[address]
            >= self._limits.max_connections_per_worker
        ):
            if not self._close_oldest_idle(address):
                return _fail(
                    _errors.ErrorKind.NO_CAPACITY, 'no free connection'
                )
        timeout = self._limits.connect_timeout.total_seconds()
        connection = Connection(address, timeout, self._certificates)
        self.open_counts[address] += 1
        try:
            connection.connect()
        except OSError as error:
            self.close(connection)
            return _fail(
                _errors.ErrorKind.WORKER_UNREACHABLE,
                f'cannot connect to {address}: {error}',
            )
        return result.Success(connection)

    def _pop_idle(self, address: str) -> Connection | None:
        idle = self._idle[address]
        idle_limit = (
            self._clock.monotonic() - self._limits.connection_idle_timeout
        )
        while idle:
            connection = idle.pop()
            # A readable connection was closed by the other side or holds
            # bytes that would be parsed as the start of the next response.
            if connection.idle_since > idle_limit and not _loop.is_readable(
                connection.sock
            ):
                return connection
            self.close(connection)
        return None

    def _close_oldest_idle(self, address: str) -> bool:
        idle = self._idle[address]
        if idle:
            self.close(idle.popleft())
        return (
            self.open_counts[address] < self._limits.max_connections_per_worker
        )

    def release(self, connection: Connection) -> None:
        """Keep a connection, whose last response was read whole, for reuse."""
        connection.idle_since = self._clock.monotonic()
        self._idle[connection.address].append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection and free its place in the limit."""
        connection.close()
        self.open_counts[connection.address] -= 1
        if not self.open_counts[connection.address]:
            del self.open_counts[connection.address]

    def close_idle(self, everything: bool = False) -> None:
        """Close connections that have been idle too long, or all idle ones."""
        idle_limit = (
            self._clock.monotonic() - self._limits.connection_idle_timeout
        )
        for address, idle in list(self._idle.items()):
            while idle and (everything or idle[0].idle_since <= idle_limit):
                self.close(idle.popleft())
            if not idle:
                del self._idle[address]


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
