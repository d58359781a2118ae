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


class _WholeLines:
    """Reader of header lines that refuses a line cut short."""

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
    """Response whose head and chunk sizes cannot end early unnoticed.

    The base class takes the end of the stream for the end of the headers
    and reads a chunk size of 0 out of a size line cut after a zero.
    """

    # Whether bytes past the end of the answer had been read.
    has_unread_bytes = False

    def begin(self) -> None:
        """Read the status line and the headers."""
        stream = self.fp
        if self.headers is None:
            self.fp = _WholeLines(stream)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream

    def _close_conn(self) -> None:
        self.has_unread_bytes = _holds_bytes(self.fp)
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


def _holds_bytes(stream: Any) -> bool:
    """Tell whether a buffered socket reader has bytes, without waiting."""
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
    """One connection with the address it belongs to."""

    response_class = StrictResponse

    def __init__(
        self,
        address: str,
        connect_timeout: float,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._is_secure, bare = _fields.strip_https(address)
        self._certificates = certificates
        host, port = bare.rsplit(':', 1)
        super().__init__(host, int(port), timeout=connect_timeout)
        self.address = address
        self.idle_since = datetime.timedelta()
        # Also known once the base class has let go of it, which it does
        # at an answer after which the peer closes.
        self._socket: socket.socket | None = None
        self._response: StrictResponse | None = None

    def connect(self) -> None:
        """Open the cooperative socket, below TLS for an https address."""
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
        """Close the connection and the answer that reads from it."""
        super().close()
        if self._response is not None:
            self._response.close()

    def getresponse(self) -> StrictResponse:
        """Read the head of the answer."""
        response = super().getresponse()
        assert isinstance(response, StrictResponse)  # noqa: S101
        self._response = response
        return response

    def set_timeout(self, timeout: datetime.timedelta) -> None:
        """Set the longest time without progress on the socket."""
        if self._socket is not None:
            self._socket.settimeout(max(timeout.total_seconds(), 0.001))


class ConnectionPool:
    """Open connections by address, at most so many to each."""

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
        """Return a connection that no one else uses.

        :param new_connection: opens a new connection even if one is idle
        :returns: a failure means that no byte reached the address
        """
        connection = None if new_connection else self._take_idle(address)
        if connection is not None:
            return result.Success(connection)
        if (
            self.open_counts[address]
            >= self._limits.max_connections_per_worker
        ):
            if not self._drop_idle(address):
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

    def _take_idle(self, address: str) -> Connection | None:
        idle = self._idle[address]
        oldest = self._clock.monotonic() - self._limits.connection_idle_timeout
        while idle:
            connection = idle.pop()
            # Unread bytes or an end of stream would be taken for the
            # start of the next answer.
            if connection.idle_since > oldest and not _loop.is_readable(
                connection.sock
            ):
                return connection
            self.close(connection)
        return None

    def _drop_idle(self, address: str) -> bool:
        idle = self._idle[address]
        if idle:
            self.close(idle.popleft())
        return (
            self.open_counts[address] < self._limits.max_connections_per_worker
        )

    def release(self, connection: Connection) -> None:
        """Keep a connection whose last answer was read whole."""
        connection.idle_since = self._clock.monotonic()
        self._idle[connection.address].append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection for good."""
        connection.close()
        self.open_counts[connection.address] -= 1
        if not self.open_counts[connection.address]:
            del self.open_counts[connection.address]

    def close_idle(self, everything: bool = False) -> None:
        """Close connections that were idle for too long."""
        oldest = self._clock.monotonic() - self._limits.connection_idle_timeout
        for address, idle in list(self._idle.items()):
            while idle and (everything or idle[0].idle_since <= oldest):
                self.close(idle.popleft())
            if not idle:
                del self._idle[address]


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
