"""Faults that the demo brings about while callers send requests."""

from collections.abc import Callable
import contextlib
import signal
import socket
from typing import Any, NamedTuple

import urllib3

from demo import _callers
from demo import _deployment
from demo import _operator
from demo import _processes
from skylarktally import _loop

_PIECE = 65536


class Link:
    """Relays TCP between the entries of a zone and the platform."""

    def __init__(self, address: str, target: str) -> None:
        self._target = _split(target)
        self._listener = _loop.listen(_split(address))
        self._silent = False
        # Accepted during a cut; a dropped socket would be closed.
        self._swallowed: list[socket.socket] = []
        _loop.spawn(self._accept)

    def cut(self) -> None:
        """Swallow all bytes from now on, without closing anything."""
        self._silent = True

    def heal(self) -> None:
        """Let new connections through; the cut ones stay silent."""
        self._silent = False

    def _accept(self) -> None:
        while True:
            client, _address = self._listener.accept()
            if self._silent:
                self._swallowed.append(client)
            else:
                _loop.spawn(self._relay, client)

    def _relay(self, client: socket.socket) -> None:
        try:
            server = _loop.connect(*self._target, timeout=2.0)
        except OSError:
            client.close()
            return
        back = _loop.spawn(self._copy, server, client)
        self._copy(client, server)
        back.wait()
        client.close()
        server.close()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(_PIECE):
                while self._silent:
                    _loop.sleep(0.1)
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


class Scene(NamedTuple):
    """What a fault may act on."""

    deployment: _deployment.Deployment
    processes: _processes.Processes
    operator: _operator.Operator
    callers: _callers.Callers
    # Links to the platform by zone.
    links: dict[str, Link]


def start_links(deployment: _deployment.Deployment) -> dict[str, Link]:
    """Start the link of each zone to the platform."""
    return {
        zone: Link(
            deployment.find_link_address(zone), deployment.platform_address
        )
        for zone in deployment.zones
    }


def kill_entry(scene: Scene, seconds: float) -> None:
    """Kill both processes of an entry for good."""
    victim = next(
        entry
        for entry in scene.deployment.entries
        if scene.processes.is_running(f'{entry.name}-router')
    )
    scene.processes.kill(f'{victim.name}-router')
    scene.processes.kill(f'{victim.name}-controller')
    _loop.sleep(seconds)


def pause_entry(scene: Scene, seconds: float) -> None:
    """Freeze both processes of an entry and wake them later."""
    victim = scene.deployment.entries[1]
    names = (f'{victim.name}-router', f'{victim.name}-controller')
    for name in names:
        scene.processes.send_signal(name, signal.SIGSTOP)
    _loop.sleep(seconds)
    for name in names:
        scene.processes.send_signal(name, signal.SIGCONT)


def stop_platform(scene: Scene, seconds: float) -> None:
    """Make the platform refuse everything for a time."""
    _set_faults(scene, {'down': True})
    _loop.sleep(seconds)
    _set_faults(scene, {'down': False})


def lose_answers(scene: Scene, seconds: float) -> None:
    """Make the platform slow and lose answers after the write."""
    _set_faults(scene, {'delay_seconds': 0.1, 'lose_answers': 0.3, 'seed': 1})
    _loop.sleep(seconds)
    _set_faults(scene, {'delay_seconds': 0.0, 'lose_answers': 0.0})


def cut_zone(scene: Scene, seconds: float) -> None:
    """Cut one zone off from the platform; its connections go silent."""
    link = scene.links[scene.deployment.zones[-1]]
    link.cut()
    _loop.sleep(seconds)
    link.heal()


def race_operators(scene: Scene, seconds: float) -> None:
    """Let two operators drain and move the same instances."""
    workers = scene.deployment.workers
    spare = scene.deployment.resources[4]['name']
    end = _loop.monotonic().total_seconds() + seconds

    def act(place: int) -> None:
        number = 0
        while _loop.monotonic().total_seconds() < end:
            worker = workers[2 + number % 6]
            if (number + place) % 2:
                scene.operator.run('drain', worker.name, entry=place)
            else:
                scene.operator.run('move', worker.name, spare, entry=place)
            number += 1

    racers = [_loop.spawn(act, place) for place in range(2)]
    for racer in racers:
        racer.wait()


def _set_faults(scene: Scene, faults: dict[str, Any]) -> None:
    urllib3.request(
        'PUT',
        f'http://{scene.deployment.platform_address}/standin/faults',
        json=faults,
    )


FAULTS: dict[str, Callable[[Scene, float], None]] = {
    'kill': kill_entry,
    'pause': pause_entry,
    'outage': stop_platform,
    'lost-answers': lose_answers,
    'cut': cut_zone,
    'operators': race_operators,
}
