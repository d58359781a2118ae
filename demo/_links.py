"""Relays of TCP connections that can go silent."""

from collections.abc import Callable
import contextlib
import socket

from demo import _deployment
from skylarktally import _loop

_PIECE = 65536
_POLL_SECONDS = 0.1


class Link:
    """Relays TCP between the entries of a zone and the platform."""

    def __init__(self, address: str, target: str) -> None:
        self._silent = False
        # Accepted during a cut; a dropped socket would be closed.
        self._swallowed: list[socket.socket] = []
        _accept(address, target, self._keep, self._is_silent)

    def cut(self) -> None:
        """Discard all bytes from now on, without closing a connection."""
        self._silent = True

    def heal(self) -> None:
        """Let new connections through; the cut ones stay silent."""
        self._silent = False

    def _keep(self, client: socket.socket) -> bool:
        if self._silent:
            self._swallowed.append(client)
        return not self._silent

    def _is_silent(self, source: str, answering: bool) -> bool:
        return self._silent


class PeerLinks:
    """Relays of the peer protocol, which can be cut in one direction.

    Routers and controllers call from the IP number of their entry, by
    which a relay knows them. ``cut`` holds pairs of IP numbers, from and
    to, whose bytes are held back until the pair is removed.
    """

    def __init__(self, entries: tuple[_deployment.Entry, ...]) -> None:
        self.cut: set[tuple[str, str]] = set()
        # Number of pieces of data that were withheld.
        self.held = 0
        for entry in entries:
            self._start(entry)

    def _start(self, entry: _deployment.Entry) -> None:
        def is_silent(source: str, answering: bool) -> bool:
            pair = (entry.ip, source) if answering else (source, entry.ip)
            return pair in self.cut

        _accept(
            entry.peer_address,
            entry.peer_listen_address,
            lambda _client: True,
            is_silent,
            self._note_held,
        )

    def _note_held(self) -> None:
        self.held += 1


def start_links(deployment: _deployment.Deployment) -> dict[str, Link]:
    """Start the link of each zone to the platform."""
    return {
        zone: Link(
            deployment.find_link_address(zone), deployment.platform_address
        )
        for zone in deployment.zones
    }


def _accept(
    address: str,
    target: str,
    keep: Callable[[socket.socket], bool],
    is_silent: Callable[[str, bool], bool],
    note_held: Callable[[], None] = lambda: None,
) -> None:
    """Relay each connection that is to be kept, in the background.

    :param is_silent: of the client's IP number and whether bytes go back
        to it; holds the bytes back while it is true
    """
    listener = _loop.listen(_split(address))

    def run() -> None:
        while True:
            client, (source, _port) = listener.accept()
            if keep(client):
                _loop.spawn(relay, client, source)

    def relay(client: socket.socket, source: str) -> None:
        try:
            server = _loop.connect(*_split(target), timeout=2.0)
        except OSError:
            client.close()
            return
        back = _loop.spawn(
            _copy, server, client, lambda: is_silent(source, True), note_held
        )
        _copy(client, server, lambda: is_silent(source, False), note_held)
        back.wait()
        client.close()
        server.close()

    _loop.spawn(run)


def _copy(
    source: socket.socket,
    sink: socket.socket,
    is_silent: Callable[[], bool],
    note_held: Callable[[], None],
) -> None:
    try:
        while data := source.recv(_PIECE):
            if is_silent():
                note_held()
            while is_silent():
                _loop.sleep(_POLL_SECONDS)
            sink.sendall(data)
    except OSError:
        # The other direction ends as well.
        _shut(source, socket.SHUT_RDWR)
    _shut(sink, socket.SHUT_WR)


def _shut(connection: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host, int(port)
