"""Measures the time until an instance marked as leaving gets no new work.

Run as ``python -m tools.measure_drain``. Four routers and two controllers
of one zone, the platform stand-in and four workers run as processes on
loopback, and callers send to every router all the time.
"""

from skylarktally import _loop

_loop.patch_standard_library()

import hashlib  # noqa: E402
import logging  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import urllib3  # noqa: E402

from tools import cluster  # noqa: E402
from tools import watches  # noqa: E402

_REPEATS = flags.DEFINE_integer('repeats', 5, 'Drains of a scenario.', 1, 999)
_PLATFORMS = flags.DEFINE_list(
    'platforms',
    ['up', 'stopped', 'silent'],
    'State of the platform after the drain was written.',
)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of the pauses.')

# Bound of the design for a leaving instance, in seconds.
LIMIT_SECONDS = 3.0
_WORKERS = 4
_ROUTERS = 4
_CALLERS_PER_ROUTER = 4
_WATCH_SECONDS = 0.01
_TOKEN = 'operator'
_HEADERS = {'Authorization': f'Bearer {_TOKEN}'}


class Drain(NamedTuple):
    """Seconds after the drain was sent to the resource API."""

    # The API has answered that the drain is written.
    accepted: float
    # The worker refuses what comes under the old epoch.
    fenced: float
    # The drain is in force at the slowest router.
    informed: float
    # The last task started; None when none started after the request.
    last_start: float | None
    # Tasks that started on the other workers after the drain was written.
    others: int

    @property
    def seconds(self) -> float:
        """Time until the worker refuses and no router sends."""
        return max(self.fenced, self.informed, self.last_start or 0.0)


class Scene:
    """A zone with its processes and a constant stream of requests."""

    def __init__(self, started: cluster.Cluster) -> None:
        self.started = started
        self._http = urllib3.PoolManager(maxsize=64, retries=False, timeout=3)
        started.start_platform()
        names = [f'w{number}' for number in range(_WORKERS)]
        self.workers = {name: started.start_worker(name) for name in names}
        self._declare()
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        token = {'subject': 'drain', 'role': 'operator', 'team': '*'}
        tokens = {'tokens': {digest: token}}
        for number in range(_ROUTERS):
            started.add_router(f'r{number}', 'z', **tokens)
        started.start_routers()
        self.apis = [
            started.start_controller(f'c{n}', f'r{n}', **tokens)['api_address']
            for n in range(2)
        ]
        self._threads = [
            _loop.spawn(self._send_all, router['serving_address'])
            for router in started.routers.values()
            for _ in range(_CALLERS_PER_ROUTER)
        ]

    def stop(self) -> None:
        """End the stream of requests."""
        for thread in self._threads:
            thread.kill()

    def _declare(self) -> None:
        size = dict.fromkeys(('memory_bytes', 'accelerators'), 0)
        size |= {'cores': 1.0, 'slots': 8, 'connections': 64}
        place = {'pool': 'p', 'zone': 'z', 'rack': 'k'}
        changes = [
            _build('pool', 'p', {'team': 't'}),
            _build('job', 'j', {'pool': 'p', 'idempotent': True}),
        ]
        listed = []
        for name, address in self.workers.items():
            spec = {**place, **size, 'address': address}
            status = {'phase': 'serving', 'epoch': 1}
            changes.append(_build('instance', name, spec, status))
            listed.append({'name': name, 'state': 'live', **spec})
            self.call('PUT', address, '/v1/fence', {'epoch': 1, 'pool': 'p'})
        platform = self.started.platform_address
        body = {'instances': listed}
        self.call('PUT', platform, '/standin/instances', body)
        self.started.create_journal().propose(changes, 0).unwrap()

    def call(
        self, method: str, address: str, path: str, body: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Send one JSON request as an operator."""
        url = f'http://{address}{path}'
        return self._http.request(method, url, json=body, headers=_HEADERS)

    def _send_all(self, address: str) -> None:
        while True:
            try:
                path = '/v1/pools/p/jobs/j/x?seconds=0.01'
                self.call('GET', address, path)
            except urllib3.exceptions.HTTPError:
                _loop.sleep(0.1)

    def read_fence(self, name: str) -> int:
        """Return the epoch under which a worker grants leases."""
        address = self.workers[name]
        return int(self.call('GET', address, '/v1/fence').json()['epoch'])

    def list_starts(self, name: str) -> list[float]:
        """Return when the runs under the first epoch began, Unix time."""
        record = self.call('GET', self.workers[name], '/v1/record').json()
        return [x['start'] for x in record['runs'] if x['epoch'] == 1]


def _build(
    kind: str, name: str, spec: Any, status: Any = None
) -> dict[str, Any]:
    value = {'kind': kind, 'name': name, 'spec': spec}
    value |= {'status': status or {}, 'resource_version': 0}
    return {'kind': kind, 'name': name, 'value': value}


def _wait_for(reached: Any, what: str) -> float:
    """Return the monotonic time at which a condition was first seen."""
    deadline = time.monotonic() + 10 * LIMIT_SECONDS
    while not reached():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        _loop.sleep(_WATCH_SECONDS)
    return time.monotonic()


def measure(scene: Scene, platform: str, api: str) -> Drain:
    """Drain the first worker.

    :param platform: up, stopped or silent once the mark is accepted
    :param api: address of the resource API that takes the request
    """
    started = scene.started
    addresses = [x['peer_address'] for x in started.routers.values()]
    watch = watches.Watch(addresses)
    sent_at, sent = time.time(), time.monotonic()
    answer = scene.call('POST', api, '/v1/instances/w0/drain', {})
    accepted = time.monotonic()
    if platform == 'stopped':
        started.kill('platform')
    elif platform == 'silent':
        started.send_signal('platform', signal.SIGSTOP)
    if answer.status not in (200, 202):
        raise RuntimeError(f'drain: {answer.status} {answer.data!r}')
    version = answer.json()['resource_version']
    fenced = _wait_for(lambda: scene.read_fence('w0') > 1, 'no fence')
    informed = _wait_for(
        lambda: all(version in x for x in watch.reached.values()), 'routers'
    )
    _loop.sleep(LIMIT_SECONDS)
    watch.stop()
    lease = {'epoch': 1, 'pool': 'p', 'holder': 'late', 'slots': 1}
    refused = scene.call(
        'POST', scene.workers['w0'], '/v1/leases', lease | {'ttl_seconds': 1}
    )
    if refused.status != 409:
        raise RuntimeError('the worker grants leases of the old epoch')
    late = [x - sent_at for x in scene.list_starts('w0') if x > sent_at]
    others = [x for n in ('w1', 'w2', 'w3') for x in scene.list_starts(n)]
    return Drain(
        accepted - sent,
        fenced - sent,
        informed - sent,
        max(late, default=None),
        sum(x > sent_at for x in others),
    )


def run(platform: str, through: int = 0, seed: int = 0) -> Drain:
    """Start the processes, drain one worker and end the processes.

    :param through: which of the two controllers takes the request
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        cluster.Cluster(pathlib.Path(directory)) as started,
    ):
        scene = Scene(started)
        try:
            # Spreads the drain over the periods of polls and pushes.
            _loop.sleep(random.Random(seed).uniform(2.0, 4.0))  # noqa: S311
            return measure(scene, platform, scene.apis[through])
        finally:
            scene.stop()


def main(arguments: list[str]) -> None:
    """Print one row for each drain."""
    del arguments
    logging.getLogger('skylarktally').setLevel(logging.ERROR)
    print('times in seconds, from sending the drain to the resource API')
    print('platform through accepted fenced informed last start  others')
    for platform in _PLATFORMS.value:
        slowest = 0.0
        for number in range(_REPEATS.value):
            # The first controller holds the shards. The other one has to
            # raise the fence of a worker that it does not look after.
            through = (number + 1) % 2
            drain = run(platform, through, _SEED.value + number)
            slowest = max(slowest, drain.seconds)
            last = '-' if drain.last_start is None else drain.last_start
            print(
                f'{platform:8} c{through:<6} '
                f'{drain.accepted:8.3f} {drain.fenced:6.3f} '
                f'{drain.informed:8.3f} {last:>10.5} {drain.others:7}',
                flush=True,
            )
        print(f'slowest {slowest:.3f}, limit {LIMIT_SECONDS}', flush=True)
        if slowest > LIMIT_SECONDS:
            sys.exit(1)


if __name__ == '__main__':
    app.run(main)
