"""Faults that the demo injects while callers send requests."""

from collections.abc import Callable
import signal
import sys
from typing import Any, NamedTuple

import urllib3

from demo import _callers
from demo import _deployment
from demo import _links
from demo import _operator
from demo import _processes
from skylarktally import _loop


class Scene(NamedTuple):
    """What a fault may act on."""

    deployment: _deployment.Deployment
    processes: _processes.Processes
    operator: _operator.Operator
    callers: _callers.Callers
    # Links to the platform by zone.
    links: dict[str, _links.Link]
    peers: _links.PeerLinks


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


def cut_one_way(scene: Scene, seconds: float) -> None:
    """Hold back what entries of the first zone send to the last zone."""
    first, last = scene.deployment.zones[0], scene.deployment.zones[-1]
    entries = scene.deployment.entries
    _cut_peers(
        scene,
        seconds,
        {
            (a.ip, b.ip)
            for a in entries
            for b in entries
            if (a.zone, b.zone) == (first, last)
        },
    )


def split_zone(scene: Scene, seconds: float) -> None:
    """Cut the entries of the last zone off from one another."""
    last = scene.deployment.zones[-1]
    inside = [x.ip for x in scene.deployment.entries if x.zone == last]
    _cut_peers(
        scene, seconds, {(a, b) for a in inside for b in inside if a != b}
    )


def _cut_peers(
    scene: Scene, seconds: float, pairs: set[tuple[str, str]]
) -> None:
    """Cut the pairs, change the log by a drain, and heal the cut."""
    end = _loop.monotonic().total_seconds() + seconds
    scene.peers.cut |= pairs
    # The operator asks the entries from the last one on; this one stays
    # outside of a cut of the last zone.
    last = scene.deployment.zones[-1]
    outside = sum(x.zone == last for x in scene.deployment.entries)
    scene.operator.run(
        'drain', scene.deployment.workers[7].name, entry=outside
    )
    _loop.sleep(max(end - _loop.monotonic().total_seconds(), 0))
    scene.peers.cut -= pairs
    print(
        f'pieces of peer calls held back: {scene.peers.held}', file=sys.stderr
    )


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
    'one-way-cut': cut_one_way,
    'split-zone': split_zone,
}
