"""The event loop: green threads, timeouts and servers.

No other module of the package imports eventlet for these, so that another
loop can take its place. eventlet is in maintenance mode and warns of that
at import; the warning is of no use to an operator and is filtered here.
"""

from collections.abc import Callable
import datetime
import socket
import time
from typing import Any, TextIO
import warnings

warnings.filterwarnings(
    'ignore', category=DeprecationWarning, module='eventlet'
)
warnings.filterwarnings('ignore', message='(?s).*Eventlet is deprecated.*')

import eventlet  # noqa: E402
from eventlet.green import socket as green_socket  # noqa: E402
from eventlet import hubs  # noqa: E402
from eventlet import patcher  # noqa: E402
import eventlet.queue  # noqa: E402
import eventlet.semaphore  # noqa: E402
from eventlet import wsgi  # noqa: E402

# Patching removes poll() from the module select.
_SELECT = patcher.original('select')

AF_INET = socket.AF_INET
AF_INET6 = socket.AF_INET6
GreenPool = eventlet.GreenPool
HttpProtocol = wsgi.HttpProtocol
STATE_IDLE = wsgi.STATE_IDLE
Event = eventlet.Event
Queue = eventlet.queue.LightQueue
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


def is_readable(connection: socket.socket | TextIO) -> bool:
    """Tell whether bytes or an end of stream wait on a connection or pipe."""
    poller = _SELECT.poll()
    poller.register(connection.fileno(), _SELECT.POLLIN)
    return bool(poller.poll(0))


def wait_readable(connection: socket.socket, timeout: float) -> bool:
    """Wait for bytes or an end of stream; False after the timeout."""
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
