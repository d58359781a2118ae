"""The event loop: green threads, timeouts and servers.

No other module of the package imports eventlet for these, so that another
loop can take its place. eventlet is in maintenance mode and warns of that
at import; the warning is of no use to an operator and is filtered here.
"""

from collections.abc import Callable
import datetime
import errno
import logging
import os
import socket
import ssl
import time
from typing import Any, TextIO
import warnings

warnings.filterwarnings(
    'ignore', category=DeprecationWarning, module='eventlet'
)
warnings.filterwarnings('ignore', message='(?s).*Eventlet is deprecated.*')

# All addresses are IP numbers, so that no resolver is needed; loading the
# one of eventlet takes about 0.15 s at each start.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402
from eventlet.green import socket as green_socket  # noqa: E402
from eventlet.green import ssl as green_ssl  # noqa: E402
from eventlet import hubs  # noqa: E402
from eventlet import patcher  # noqa: E402
import eventlet.queue  # noqa: E402
import eventlet.semaphore  # noqa: E402
from eventlet import wsgi  # noqa: E402

_LOG = logging.getLogger(__name__)

# Patching removes poll() from the module select.
_SELECT = patcher.original('select')
# The longest TLS record.
_AHEAD_BYTES = 16384

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
    """Make sockets and time of the standard library cooperative.

    Each binary calls this before it imports anything that opens sockets.
    """
    eventlet.monkey_patch()


def spawn_logging_errors(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in a green thread and log an error that ends it."""

    def run() -> None:
        try:
            function(*arguments)
        except Exception:
            _LOG.exception('green thread ended by an error')

    return spawn(run)


def monotonic() -> datetime.timedelta:
    """Return the time that the loop's own timeouts are measured in."""
    return datetime.timedelta(seconds=time.monotonic())


def connect(
    host: str, port: int, timeout: float, source: str = ''
) -> socket.socket:
    """Open a cooperative TCP connection.

    :param timeout: in seconds
    :param source: IP number that the connection leaves from, if any
    """
    connection = green_socket.create_connection(
        (host, port), timeout, (source, 0) if source else None
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


class TlsConnection(green_ssl.SSLSocket):
    """TLS connection that can wait for data and not only for records.

    Records of the protocol itself, such as session tickets, make the
    socket readable without any data to follow. Waiting therefore reads
    ahead.
    """

    _ahead: bytes | None = None

    def settimeout(self, timeout: float | None) -> None:
        """Set the timeout; as for other sockets, 0 means not to wait."""
        self.act_non_blocking = timeout == 0
        self._timeout = timeout

    def read(self, length: int = 1024, buffer: Any = None) -> Any:
        """Return data, or read it into the buffer and return its size."""
        if self._ahead is None:
            try:
                return super().read(length, buffer)
            except ssl.SSLWantReadError as error:
                raise BlockingIOError(errno.EAGAIN, 'no data') from error
            except ssl.SSLEOFError as error:
                raise _reset(error) from error
        data, self._ahead = self._ahead[:length], self._ahead[length:] or None
        if buffer is None:
            return data
        buffer[: len(data)] = data
        return len(data)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send some of the data and return its size."""
        try:
            size: int = super().send(data, flags)
        except ssl.SSLEOFError as error:
            raise _reset(error) from error
        return size

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all data; the base class copies what is left each time."""
        with memoryview(data) as view, view.cast('B') as rest:
            sent = 0
            while sent < len(rest):
                sent += self.send(rest[sent:], flags)

    def wait_data(self, timeout: float) -> bool:
        """Wait for data or an end of stream; False after the timeout."""
        if self._ahead is not None:
            return True
        before = self.gettimeout()
        self.settimeout(timeout)
        try:
            # Empty at the end of the stream, which a read then sees again.
            self._ahead = self.read(_AHEAD_BYTES) or None
        except (TimeoutError, BlockingIOError):
            return False
        except OSError:
            # The next read fails in the same way.
            return True
        finally:
            self.settimeout(before)
        return True


def _reset(error: ssl.SSLEOFError) -> ConnectionResetError:
    """Return what a connection without TLS raises when it is cut."""
    return ConnectionResetError(errno.ECONNRESET, str(error))


def wrap_tls(
    connection: socket.socket, context: ssl.SSLContext, host: str | None
) -> TlsConnection:
    """Return the connection under TLS, before the handshake.

    At a client, a stream that ends without the closing record raises a
    ConnectionResetError. At a server it is an ordinary end, since many
    clients close in this way and the framing of requests tells a cut one.

    :param host: the server called; None at the server itself
    """
    # After the handshake a server sends session tickets. Without this its
    # first answer waits for their acknowledgement, about 40 ms.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    wrapped = context.wrap_socket(
        connection,
        server_side=host is None,
        server_hostname=host,
        do_handshake_on_connect=False,
        suppress_ragged_eofs=host is None,
    )
    # The class of eventlet is put on in the same way.
    wrapped.__class__ = TlsConnection
    return wrapped  # type: ignore[return-value]


def is_readable(connection: socket.socket | TextIO) -> bool:
    """Tell whether bytes or an end of stream wait on a connection or pipe."""
    if isinstance(connection, TlsConnection):
        return connection.wait_data(0)
    poller = _SELECT.poll()
    poller.register(connection.fileno(), _SELECT.POLLIN)
    return bool(poller.poll(0))


def wait_readable(connection: socket.socket, timeout: float) -> bool:
    """Wait for bytes or an end of stream; False after the timeout."""
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
    """Serve a WSGI application until the calling green thread is killed."""
    wsgi.server(
        listener, application, log_output=False, debug=False, **options
    )
