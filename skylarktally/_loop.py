"""The event loop: green threads, timeouts and servers.

No other module of the package imports eventlet for these, so that it can
be replaced by another event loop. eventlet is in maintenance mode and
issues a deprecation warning at import, which is filtered here because an
operator cannot act on it.
"""

from collections.abc import Callable
import datetime
import errno
import logging
import os
import socket
import ssl
import struct
import time
from typing import Any, TextIO
import warnings

warnings.filterwarnings(
    'ignore', category=DeprecationWarning, module='eventlet'
)
warnings.filterwarnings('ignore', message='(?s).*Eventlet is deprecated.*')

# Hosts are always given as IP addresses, so no DNS resolver is needed;
# loading the resolver of eventlet delays each start by about 0.15 s.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402
from eventlet.green import socket as green_socket  # noqa: E402
from eventlet.green import ssl as green_ssl  # noqa: E402
from eventlet import greenio  # noqa: E402
from eventlet import hubs  # noqa: E402
from eventlet import patcher  # noqa: E402
import eventlet.queue  # noqa: E402
import eventlet.semaphore  # noqa: E402
from eventlet import wsgi  # noqa: E402

_LOG = logging.getLogger(__name__)

# The monkey patch removes poll() from the module select.
_UNPATCHED_SELECT = patcher.original('select')
# Maximum payload of a TLS record.
_READ_AHEAD_BYTES = 16384

AF_INET = socket.AF_INET
AF_INET6 = socket.AF_INET6
GreenPool = eventlet.GreenPool
HttpProtocol = wsgi.HttpProtocol
STATE_IDLE = wsgi.STATE_IDLE
Event = eventlet.Event
GreenThread = eventlet.greenthread.GreenThread
Queue = eventlet.queue.LightQueue
SSLContext = green_ssl.SSLContext
Semaphore = eventlet.semaphore.Semaphore
Timeout = eventlet.Timeout
listen = eventlet.listen
serve_wsgi = wsgi.server
sleep = eventlet.sleep
spawn = eventlet.spawn
spawn_after = eventlet.spawn_after


def patch_standard_library() -> None:
    """Patch the standard library so that blocking calls yield to the loop.

    Each binary calls this before it imports any module that opens sockets.
    """
    eventlet.monkey_patch()


def spawn_logging_errors(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in a green thread; log the exception that ends it."""

    def run() -> None:
        try:
            function(*arguments)
        except Exception:
            _LOG.exception('green thread ended by an exception')

    return spawn(run)


def monotonic() -> datetime.timedelta:
    """Return the monotonic time that the timeouts of the loop use."""
    return datetime.timedelta(seconds=time.monotonic())


def connect(
    host: str, port: int, timeout: float, source: str = ''
) -> socket.socket:
    """Open a cooperative TCP connection.

    :param timeout: in seconds
    :param source: local IP address to bind to; empty for any
    """
    connection = green_socket.create_connection(
        (host, port), timeout, (source, 0) if source else None
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


class PatientSocket(greenio.GreenSocket):
    """TCP socket that times out only if it is really not ready.

    After a long pause of the process the loop runs expired timers before it
    looks at the sockets. An answer that arrived in time would then be taken
    for a timeout.
    """

    def _trampoline(
        self,
        fd: Any,
        read: bool = False,
        write: bool = False,
        timeout: float | None = None,
        timeout_exc: Any = None,
    ) -> Any:
        try:
            return super()._trampoline(fd, read, write, timeout, timeout_exc)
        except TimeoutError:
            events = (read and _UNPATCHED_SELECT.POLLIN) | (
                write and _UNPATCHED_SELECT.POLLOUT
            )
            if not _is_ready(fd.fileno(), events):
                raise
            return None


def connect_patiently(host: str, port: int, timeout: float) -> PatientSocket:
    """Open a TCP connection whose timeouts allow for pauses of the process.

    :param timeout: in seconds
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    connection = PatientSocket(family, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout)
        connection.connect((host, port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        connection.close()
        raise
    return connection


class TlsConnection(green_ssl.SSLSocket):
    """TLS connection that can wait for application data.

    Protocol records, such as session tickets, make the socket readable
    although no application data follows. Polling the socket is therefore
    not enough: ``wait_data`` reads ahead and buffers what it gets.
    """

    # Data read by wait_data; b'' never occurs.
    _read_ahead: bytes | None = None

    def settimeout(self, timeout: float | None) -> None:
        """Set the timeout in seconds; 0 makes the connection non-blocking."""
        self.act_non_blocking = timeout == 0
        self._timeout = timeout

    def read(self, length: int = 1024, buffer: Any = None) -> Any:
        """Return data, or read into the buffer and return the byte count."""
        if self._read_ahead is None:
            try:
                return super().read(length, buffer)
            except ssl.SSLWantReadError as error:
                raise BlockingIOError(errno.EAGAIN, 'no data') from error
            except ssl.SSLEOFError as error:
                raise _build_reset_error(error) from error
        data, self._read_ahead = (
            self._read_ahead[:length],
            self._read_ahead[length:] or None,
        )
        if buffer is None:
            return data
        buffer[: len(data)] = data
        return len(data)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send a part of the data and return its number of bytes."""
        try:
            size: int = super().send(data, flags)
        except ssl.SSLEOFError as error:
            raise _build_reset_error(error) from error
        return size

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all data.

        The base class copies the remaining data after each partial send.
        """
        with memoryview(data) as view, view.cast('B') as octets:
            sent = 0
            while sent < len(octets):
                sent += self.send(octets[sent:], flags)

    def wait_data(self, timeout: float) -> bool:
        """Wait for data, the end of the stream or an error.

        :param timeout: in seconds
        :returns: False after the timeout
        """
        if self._read_ahead is not None:
            return True
        previous_timeout = self.gettimeout()
        self.settimeout(timeout)
        try:
            # At the end of the stream this returns no data; nothing is
            # buffered, and the next read reports the end again.
            self._read_ahead = self.read(_READ_AHEAD_BYTES) or None
        except (TimeoutError, BlockingIOError):
            return False
        except OSError:
            # The next read raises the same error.
            return True
        finally:
            self.settimeout(previous_timeout)
        return True


def _build_reset_error(error: ssl.SSLEOFError) -> ConnectionResetError:
    """Return the error that a plain TCP connection raises when cut off."""
    return ConnectionResetError(errno.ECONNRESET, str(error))


def abort(connection: socket.socket) -> None:
    """Close a connection and discard what has not been delivered.

    A plain close leaves unsent data to the system, which may deliver it
    seconds later, when the network is whole again.
    """
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except OSError as error:
        # The connection is gone, and its data with it.
        _LOG.debug('connection not reset', extra={'reason': str(error)})
    connection.close()


def wrap_tls(
    connection: socket.socket, context: ssl.SSLContext, host: str | None
) -> TlsConnection:
    """Wrap the connection in TLS without performing the handshake.

    On the client side, a stream that ends without a close_notify alert
    raises ConnectionResetError. On the server side it is a normal end of
    stream, since many clients close in this way and a truncated request is
    detected by its framing.

    :param host: name of the server for a client; None for a server
    """
    # A server sends session tickets after the handshake. With Nagle's
    # algorithm its first response would wait for their acknowledgement,
    # which takes about 40 ms.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    wrapped = context.wrap_socket(
        connection,
        server_side=host is None,
        server_hostname=host,
        do_handshake_on_connect=False,
        suppress_ragged_eofs=host is None,
    )
    # eventlet installs its own socket class in the same way.
    wrapped.__class__ = TlsConnection
    return wrapped  # type: ignore[return-value]


def is_readable(connection: socket.socket | TextIO) -> bool:
    """Tell whether a read of a connection or pipe would return at once."""
    if isinstance(connection, TlsConnection):
        return connection.wait_data(0)
    return _is_ready(connection.fileno(), _UNPATCHED_SELECT.POLLIN)


def _is_ready(descriptor: int, events: int) -> bool:
    """Tell whether one of the events or an error is present, at once."""
    poller = _UNPATCHED_SELECT.poll()
    poller.register(descriptor, events)
    return bool(poller.poll(0))


def wait_readable(connection: socket.socket, timeout: float) -> bool:
    """Wait until data or the end of the stream can be read.

    :param timeout: in seconds
    :returns: False after the timeout
    """
    if isinstance(connection, TlsConnection):
        return connection.wait_data(timeout)
    try:
        hubs.trampoline(
            connection.fileno(),
            read=True,
            timeout=timeout,
            timeout_exc=TimeoutError,
        )
    except TimeoutError:
        return False
    return True


def serve(
    listener: socket.socket,
    application: Callable[..., Any],
    **options: Any,
) -> None:
    """Serve a WSGI application until the calling green thread is killed.

    :param options: passed to eventlet.wsgi.server
    """
    wsgi.server(
        listener, application, log_output=False, debug=False, **options
    )
