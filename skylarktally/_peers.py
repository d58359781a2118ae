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

# Clients drop an idle connection before the server does.
_CLIENT_IDLE = datetime.timedelta(seconds=30)
_SERVER_IDLE = datetime.timedelta(seconds=60)
_HANDSHAKE_LIMIT = datetime.timedelta(seconds=2)
_FAILURES = (
    OSError,
    EOFError,
    Thrift.TException,
    _channels.AuthenticationError,
    # Raised by the compiled codec for malformed messages.
    TypeError,
    ValueError,
    OverflowError,
)


class Secrets(NamedTuple):
    """The secret of own calls, and all that are accepted from others."""

    own: str
    accepted: tuple[str, ...]


def collect_secrets(settings: _settings.Settings) -> Secrets:
    """Return the secrets that the settings name."""
    own = settings.peer_secret
    return Secrets(own, (own, *settings.other_peer_secrets))


class _Connection:
    """An authenticated connection with the thrift client on it."""

    def __init__(self, channel: _channels.Channel, frame_bytes: int) -> None:
        self.channel = channel
        self.idle_since = datetime.timedelta()
        self.client = Peer.Client(_build_protocol(channel, frame_bytes))


class ThriftPeerClient:
    """Calls to peers; each has a time limit and all are safe to repeat.

    :param limit: connections open at any moment, idle ones included
    :param source: address whose IP number the calls leave from, if any
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
        self._open = 0
        self.counts = collections.Counter(calls=0, failures=0, connections=0)

    def sync(
        self, address: str, request: ttypes.SyncRequest
    ) -> result.Result[ttypes.SyncReply, _errors.Failure]:
        """Exchange counters and versions."""
        return self._call(address, 'sync', request)

    def push_log(
        self, address: str, entries: list[ttypes.LogEntry]
    ) -> result.Result[int, _errors.Failure]:
        """Send log entries and return the peer's version afterwards."""
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
        """Return the answer that the peer recorded for a request key."""
        return self._call(address, 'find_answer', key)

    def get_observations(
        self, address: str
    ) -> result.Result[str, _errors.Failure]:
        """Return the peer's observations, a JSON object."""
        return self._call(address, 'get_observations')

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._drop_idle(address)

    def _call(
        self,
        address: str,
        method: str,
        *arguments: Any,
        timeout: datetime.timedelta | None = None,
    ) -> result.Result[Any, _errors.Failure]:
        self.counts['calls'] += 1
        limit = _loop.Timeout((timeout or self._timeout).total_seconds())
        try:
            return result.Success(
                self._call_reconnecting(address, method, arguments)
            )
        except _FAILURES as error:
            return self._fail(address, f'{method} failed: {error!r}')
        except _loop.Timeout as expired:
            if expired is not limit:
                raise
            # The other idle connections may have gone silent as well.
            self._drop_idle(address)
            return self._fail(address, f'{method} timed out')
        finally:
            limit.cancel()

    def _call_reconnecting(
        self, address: str, method: str, arguments: tuple[Any, ...]
    ) -> Any:
        """Call, once more if an idle connection turns out to be closed."""
        connection = self._take_idle(address)
        if connection is not None:
            try:
                return self._use(address, connection, method, arguments)
            except (EOFError, ConnectionError):
                self._drop_idle(address)
        connection = self._connect(address)
        return self._use(address, connection, method, arguments)

    def _use(
        self,
        address: str,
        connection: _Connection,
        method: str,
        arguments: tuple[Any, ...],
    ) -> Any:
        try:
            answer = getattr(connection.client, method)(*arguments)
        # A timeout is not an Exception; any interruption leaves half of a
        # message on the connection.
        except BaseException:
            self._close(connection)
            raise
        connection.idle_since = _loop.monotonic()
        self._idle.setdefault(address, []).append(connection)
        return answer

    def _take_idle(self, address: str) -> _Connection | None:
        held = self._idle.get(address, [])
        while held:
            connection = held.pop()
            if _loop.monotonic() - connection.idle_since < _CLIENT_IDLE:
                return connection
            self._close(connection)
        self._idle.pop(address, None)
        return None

    def _connect(self, address: str) -> _Connection:
        self._make_room()
        host, port = _settings.split_address(address)
        self._open += 1
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
            self._open -= 1
            if opened is not None:
                opened.close()
            raise
        self.counts['connections'] += 1
        channel.counts = self.counts
        return _Connection(channel, self._frame_bytes)

    def _make_room(self) -> None:
        """Close the idle connection unused for longest, if at the limit."""
        if self._open < self._limit:
            return
        idle = [(held[0].idle_since, a) for a, held in self._idle.items()]
        if not idle:
            raise OSError('too many connections to peers')
        held = self._idle[min(idle)[1]]
        self._close(held.pop(0))
        if not held:
            del self._idle[min(idle)[1]]

    def _drop_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, []):
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        connection.channel.close()
        self._open -= 1

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
    """What a server answers, method by method of the IDL."""

    def sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Exchange counters and versions."""

    def push_log(self, entries: list[ttypes.LogEntry]) -> int:
        """Apply log entries and return the version afterwards."""

    def fetch_snapshot(self) -> ttypes.Snapshot:
        """Return the whole resource state."""

    def find_answer(self, request_key: str) -> ttypes.Answer:
        """Return the recorded answer of a request key."""

    def get_observations(self) -> str:
        """Return the observations, a JSON object."""


class PeerServer:
    """Serves the peer protocol on a bounded number of connections."""

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
        self._open = 0
        self.counts = collections.Counter(
            connections=0, refused=0, unauthenticated=0
        )

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the calling green thread is killed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError as error:
                # Out of file descriptors, most likely; they come back.
                log.error('accept failed', extra={'error': repr(error)})
                _loop.sleep(0.1)
                continue
            if self._open >= self._limit:
                self.counts['refused'] += 1
                connection.close()
                continue
            self._open += 1
            _loop.spawn(self._serve_connection, connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        held = [connection]
        try:
            channel = self._authenticate(held)
            if channel is not None:
                self._process(channel)
        except _FAILURES:
            # The client has gone or broke the protocol; either way it
            # opens a new connection.
            pass
        finally:
            self._open -= 1
            held[-1].close()

    def _authenticate(
        self, held: list[socket.socket]
    ) -> _channels.Channel | None:
        """Authenticate the last of the held sockets, and add its TLS."""
        connection = held[-1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with _loop.Timeout(_HANDSHAKE_LIMIT.total_seconds(), False):
            if self._certificates is not None:
                if (
                    self._certificates.wrap_server(connection, held.append)
                    is None
                ):
                    return None
                connection = held[-1]
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
            with _loop.Timeout(_SERVER_IDLE.total_seconds(), False):
                self._processor.process(protocol, protocol)
                continue
            return


def _build_protocol(
    channel: _channels.Channel, frame_bytes: int
) -> TCompactProtocol.TCompactProtocol:
    # The compiled codec checks no lengths of its own, but cannot read
    # beyond a frame, whose length is checked.
    transport = TTransport.TFramedTransport(channel, frame_bytes)
    return TCompactProtocol.TCompactProtocolAccelerated(transport)
