"""Listening sockets of the binaries."""

import socket

from skylarktally import _loop
from skylarktally import _settings

# Connections that may wait to be accepted after a burst.
_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Listen on an IP address and port, as in 127.0.0.1:8080.

    :raises OSError: when the address is in use or not of this machine
    """
    host, port = _settings.split_address(address)
    family = _loop.AF_INET6 if ':' in host else _loop.AF_INET
    return _loop.listen(
        (host, port), family=family, backlog=_BACKLOG, reuse_port=False
    )
