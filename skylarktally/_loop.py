"""The event loop: green threads, timeouts and servers.

No other module of the package imports eventlet for these, so that another
loop can take its place. eventlet is in maintenance mode and warns of that
at import; the warning is of no use to an operator and is filtered here.
"""

import datetime
import socket
import time
import warnings

warnings.filterwarnings(
    'ignore', category=DeprecationWarning, module='eventlet'
)
warnings.filterwarnings('ignore', message='(?s).*Eventlet is deprecated.*')

import eventlet  # noqa: E402
from eventlet.green import socket as green_socket  # noqa: E402
import eventlet.queue  # noqa: E402
import eventlet.semaphore  # noqa: E402
import eventlet.wsgi  # noqa: E402

Event = eventlet.Event
Queue = eventlet.queue.LightQueue
Semaphore = eventlet.semaphore.Semaphore
Timeout = eventlet.Timeout
listen = eventlet.listen
serve_wsgi = eventlet.wsgi.server
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


def connect(host: str, port: int, timeout: float) -> socket.socket:
    """Open a cooperative TCP connection; the timeout is in seconds."""
    connection = green_socket.create_connection((host, port), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection
