"""Listening sockets of the binaries."""

from collections.abc import Callable
import datetime
import socket
from typing import Any

from skylarktally import _certificates
from skylarktally import _loop
from skylarktally import _settings

# Connections that can wait to be accepted during a burst.
_BACKLOG = 512
# Same as the default time for the header section of a request.
_HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=10)


def open_listener(address: str) -> socket.socket:
    """Listen on an IP address and port, for example 127.0.0.1:8080.

    :raises OSError: if the address is in use or not assigned to this host
    """
    host, port = _settings.split_address(address)
    family = _loop.AF_INET6 if ':' in host else _loop.AF_INET
    return _loop.listen(
        (host, port), family=family, backlog=_BACKLOG, reuse_port=False
    )


def serve_wsgi(
    address: str,
    application: Callable[..., Any],
    certificates: _certificates.Certificates | None,
    **options: Any,
) -> None:
    """Start serving a WSGI application in a green thread of its own.

    :param certificates: None to serve without TLS
    :param options: passed to eventlet.wsgi.server
    """
    protocol = _certificates.wrap_protocol(
        _loop.HttpProtocol, certificates, _HANDSHAKE_TIMEOUT
    )
    listener = open_listener(address)
    _loop.spawn(
        _loop.serve, listener, application, protocol=protocol, **options
    )
