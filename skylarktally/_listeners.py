"""Listening sockets of the binaries."""

from collections.abc import Callable
import datetime
import socket
from typing import Any

from skylarktally import _certificates
from skylarktally import _loop
from skylarktally import _settings

# Connections that may wait to be accepted after a burst.
_BACKLOG = 512
# As the serving port gives a caller for the head of a request.
_HANDSHAKE_LIMIT = datetime.timedelta(seconds=10)


def open_listener(address: str) -> socket.socket:
    """Listen on an IP address and port, as in 127.0.0.1:8080.

    :raises OSError: when the address is in use or not of this machine
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
    """Serve an application, below TLS if there are certificates, for good."""
    protocol = _certificates.wrap_protocol(
        _loop.HttpProtocol, certificates, _HANDSHAKE_LIMIT
    )
    listener = open_listener(address)
    _loop.spawn(
        _loop.serve, listener, application, protocol=protocol, **options
    )
