"""The event loop: green threads, timeouts and servers.

No other module of the package imports eventlet for these, so that another
loop can take its place. eventlet is in maintenance mode and warns of that
at import; the warning is of no use to an operator and is filtered here.
"""

import warnings

warnings.filterwarnings(
    'ignore', category=DeprecationWarning, module='eventlet'
)
warnings.filterwarnings('ignore', message='(?s).*Eventlet is deprecated.*')

import eventlet  # noqa: E402
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
