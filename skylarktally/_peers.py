"""Client and server of the peer protocol, over thrift."""

import collections
import datetime
import logging
import socket
from typing import Any, NamedTuple, Protocol

from returns import result
from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport

from skylarktally import _certificates
from skylarktally import _channels
from skylarktally import _errors
from skylarktally._gen.peer import Peer
from skylarktally._gen.peer import ttypes
from skylarktally import _loop
from skylarktally import _settings

log = logging.getLogger(__name__)

# A client closes an idle connection before the server does, so that it does
# not send a call on a connection that is being closed.
_CLIENT_IDLE_TIMEOUT = datetime.timedelta(seconds=30)
_SERVER_IDLE_TIMEOUT = datetime.timedelta(seconds=60)
_HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=2)
_CALL_ERRORS = (
    OSError,
    EOFError,
    Thrift.TException,
    _channels.AuthenticationError,
    # The compiled codec raises these for malformed messages.
    TypeError,
    ValueError,
    OverflowError,
)


class Secrets(NamedTuple):
    """The secret for own calls, and all secrets accepted from peers."""

    own: str
    accepted: tuple[str, ...]


def collect_secrets(settings: _settings.Settings) -> Secrets:
    """Return the secrets in the settings."""
    own = settings.peer_secret
    return Secrets(own, (own, *settings.other_peer_secrets))


class _Connection:
    """An authenticated connection and its thrift client."""

    def __init__(self, channel: _channels.Channel, frame_bytes: int) -> None:
        self.channel = channel
        self.idle_since = datetime.timedelta()
        self.client = Peer.Client(_build_protocol(channel, frame_bytes))


class ThriftPeerClient:
    """Client of the peer protocol, with pooled connections.

    Each call has a timeout. All methods are idempotent, so that a call can
    be repeated on a new connection.

    :param limit: maximum number of open connections, including idle ones
    :param source: address whose IP number connections are opened from;
        empty to let the system choose
    """

    def __init__(
        self,
        secrets: Secrets,
        timeout: datetime.timedelta,
        snapshot_timeout: datetime.timedelta,
        limit: int,
        frame_bytes: int,
        certificates: _certificates.Certificates | None = None,
        source: str = '',
    ) -> None:
        self._certificates = certificates
        self._secrets = secrets
        self._source = _settings.split_address(source)[0] if source else ''
        self._timeout = timeout
        self._snapshot_timeout = snapshot_timeout
        self._limit = limit
        self._frame_bytes = frame_bytes
        self._idle: dict[str, list[_Connection]] = {}
        self._open_count = 0
        self.counts = collections.Counter(calls=0, failures=0, connections=0)

    def sync(
        self, address: str, request: ttypes.SyncRequest
    ) -> result.Result[ttypes.SyncReply, _errors.Failure]:
        """Exchange counters and versions."""
        return self._call(address, 'sync', request)

    def push_log(
        self, address: str, entries: list[ttypes.LogEntry]
    ) -> result.Result[int, _errors.Failure]:
        """Send log entries and return the log version the peer reached."""
        return self._call(address, 'push_log', entries)

    def fetch_snapshot(
        self, address: str
    ) -> result.Result[ttypes.Snapshot, _errors.Failure]:
        """Return the peer's whole resource state."""
        return self._call(
            address, 'fetch_snapshot', timeout=self._snapshot_timeout
        )

    def find_answer(
        self, address: str, key: str
    ) -> result.Result[ttypes.Answer, _errors.Failure]:
        """Return the response that the peer recorded for a request key."""
        return self._call(address, 'find_answer', key)

    def get_observations(
        self, address: str
    ) -> result.Result[str, _errors.Failure]:
        """Return the peer's observations as a JSON object."""
        return self._call(address, 'get_observations')

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._close_idle_connections(address)

    def _call(
        self,
        address: str,
        method: str,
        *arguments: Any,
        timeout: datetime.timedelta | None = None,
    ) -> result.Result[Any, _errors.Failure]:
        self.counts['calls'] += 1
        timer = _loop.Timeout((timeout or self._timeout).total_seconds())
        try:
            return result.Success(
                self._call_reconnecting(address, method, arguments)
            )
        except _CALL_ERRORS as error:
            return self._fail(address, f'{method} failed: {error!r}')
        except _loop.Timeout as expired:
            if expired is not timer:
                raise
            # The other idle connections to the peer may be dead as well.
            self._close_idle_connections(address)
            return self._fail(address, f'{method} timed out')
        finally:
            timer.cancel()

    def _call_reconnecting(
        self, address: str, method: str, arguments: tuple[Any, ...]
    ) -> Any:
        """Call, and retry on a new connection if an idle one was closed."""
        connection = self._pop_idle(address)
        if connection is not None:
            try:
                return self._call_on_connection(
                    address, connection, method, arguments
                )
            except (EOFError, ConnectionError):
                self._close_idle_connections(address)
        connection = self._connect(address)
        return self._call_on_connection(address, connection, method, arguments)

    def _call_on_connection(
        self,
        address: str,
        connection: _Connection,
        method: str,
        arguments: tuple[Any, ...],
    ) -> Any:
        try:
            value = getattr(connection.client, method)(*arguments)
        # The timeout is not a subclass of Exception. Any interruption may
        # leave part of a message on the connection.
        except BaseException:
            self._close(connection)
            raise
        connection.idle_since = _loop.monotonic()
        self._idle.setdefault(address, []).append(connection)
        return value

    def _pop_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if (
                _loop.monotonic() - connection.idle_since
                < _CLIENT_IDLE_TIMEOUT
            ):
                return connection
            self._close(connection)
        self._idle.pop(address, None)
        return None

    def _connect(self, address: str) -> _Connection:
        self._ensure_capacity()
        host, port = _settings.split_address(address)
        self._open_count += 1
        opened = None
        try:
            opened = _loop.connect(
                host,
                port,
                self._snapshot_timeout.total_seconds(),
                self._source,
            )
            if self._certificates is not None:
                opened = self._certificates.wrap_client(opened, host)
            channel = _channels.open_channel(
                opened, self._secrets.own, self._frame_bytes + 4
            )
        except BaseException:
            self._open_count -= 1
            if opened is not None:
                opened.close()
            raise
        self.counts['connections'] += 1
        channel.counts = self.counts
        return _Connection(channel, self._frame_bytes)

    def _ensure_capacity(self) -> None:
        """At the limit, close the connection that was idle for longest.

        :raises OSError: if no connection is idle
        """
        if self._open_count < self._limit:
            return
        oldest = [(idle[0].idle_since, a) for a, idle in self._idle.items()]
        if not oldest:
            raise OSError('too many connections to peers')
        idle = self._idle[min(oldest)[1]]
        self._close(idle.pop(0))
        if not idle:
            del self._idle[min(oldest)[1]]

    def _close_idle_connections(self, address: str) -> None:
        for connection in self._idle.pop(address, []):
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        connection.channel.close()
        self._open_count -= 1

    def _fail(
        self, address: str, message: str
    ) -> result.Result[Any, _errors.Failure]:
        self.counts['failures'] += 1
        return result.Failure(
            _errors.Failure(
                _errors.ErrorKind.PEER_UNREACHABLE, f'{address}: {message}'
            )
        )


class Handler(Protocol):
    """Handler of the calls to a server, one method for each of the IDL."""

    def sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Exchange counters and versions."""

    def push_log(self, entries: list[ttypes.LogEntry]) -> int:
        """Apply log entries and return the log version reached."""

    def fetch_snapshot(self) -> ttypes.Snapshot:
        """Return the whole resource state."""

    def find_answer(self, request_key: str) -> ttypes.Answer:
        """Return the recorded response to a request key."""

    def get_observations(self) -> str:
        """Return the observations as a JSON object."""


class PeerServer:
    """Server of the peer protocol, with a maximum number of connections."""

    def __init__(
        self,
        handler: Handler,
        secrets: Secrets,
        limit: int,
        frame_bytes: int,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._certificates = certificates
        self._processor = Peer.Processor(handler)
        self._secrets = secrets
        self._limit = limit
        self._frame_bytes = frame_bytes
        self._open_count = 0
        self.counts = collections.Counter(
            connections=0, refused=0, unauthenticated=0
        )

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the calling green thread is killed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError as error:
                # Most likely the process is out of file descriptors, which
                # become free again.
                log.error('accept failed', extra={'error': repr(error)})
                _loop.sleep(0.1)
                continue
            if self._open_count >= self._limit:
                self.counts['refused'] += 1
                connection.close()
                continue
            self._open_count += 1
            _loop.spawn(self._serve_connection, connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        sockets = [connection]
        try:
            channel = self._authenticate(sockets)
            if channel is not None:
                self._process(channel)
        except _CALL_ERRORS:
            # The client closed the connection or violated the protocol. In
            # both cases it has to open a new one.
            pass
        finally:
            self._open_count -= 1
            sockets[-1].close()

    def _authenticate(
        self, sockets: list[socket.socket]
    ) -> _channels.Channel | None:
        """Authenticate the client, after the TLS handshake if there is one.

        :param sockets: the accepted socket, to which its TLS socket is
            added; the last one is the one to close
        :returns: None if the client is refused or takes too long
        """
        connection = sockets[-1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with _loop.Timeout(_HANDSHAKE_TIMEOUT.total_seconds(), False):
            if self._certificates is not None:
                if (
                    self._certificates.wrap_server(connection, sockets.append)
                    is None
                ):
                    return None
                connection = sockets[-1]
            try:
                channel = _channels.accept_channel(
                    connection, self._secrets.accepted, self._frame_bytes + 4
                )
            except _channels.AuthenticationError:
                self.counts['unauthenticated'] += 1
                return None
            self.counts['connections'] += 1
            channel.counts = self.counts
            return channel
        return None

    def _process(self, channel: _channels.Channel) -> None:
        protocol = _build_protocol(channel, self._frame_bytes)
        while True:
            with _loop.Timeout(_SERVER_IDLE_TIMEOUT.total_seconds(), False):
                self._processor.process(protocol, protocol)
                continue
            return


def _build_protocol(
    channel: _channels.Channel, frame_bytes: int
) -> TCompactProtocol.TCompactProtocol:
    # The compiled codec does not check lengths within a message, but cannot
    # read beyond the frame, whose length the transport checks.
    transport = TTransport.TFramedTransport(channel, frame_bytes)
    return TCompactProtocol.TCompactProtocolAccelerated(transport)
