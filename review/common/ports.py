"""Free ports on loopback, outside the range of outgoing connections."""

import random
import socket

_FIRST, _LAST = 20000, 31000
_given: set[int] = set()
_random = random.SystemRandom()


def find_free_port() -> int:
    """Return a port that nobody listens on and that was not given before."""
    while True:
        port = _random.randint(_FIRST, _LAST)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _given.add(port)
        return port
