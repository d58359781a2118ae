"""Measures the request path: rate, added latency, memory, choice."""

import json
import os
import pathlib
import random
import signal
import statistics
import subprocess  # noqa: S404
import sys
import time
from typing import Any

from absl import app
from absl import flags

from skylarktally import _certificates
from skylarktally import _claims
from skylarktally import _clock
from skylarktally import _connections
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _metrics
from skylarktally import _pipeline
from skylarktally import _selection
from skylarktally import _server
from skylarktally import _tls
from standins import worker as worker_standin
from tests import serving

_ROLE = flags.DEFINE_enum(
    'role', 'all', ['all', 'router', 'worker'], 'Process to run.'
)
_ADDRESS = flags.DEFINE_string('listen_address', '', 'Address of the process.')
_WORKERS = flags.DEFINE_list('workers', [], 'Addresses of the workers.')
_SECONDS = flags.DEFINE_float('seconds', 4.0, 'Length of each measurement.')
_CALLERS = flags.DEFINE_integer('callers', 16, 'Callers at the same time.')

_TLS = flags.DEFINE_string(
    'tls',
    '',
    'Folder with server.pem, server.key and ca.pem; puts the router, or with '
    '--tls_workers also the workers use TLS.',
)
_TLS_WORKERS = flags.DEFINE_bool('tls_workers', False, 'Workers use TLS.')

_CHOICES = flags.DEFINE_integer('choices', 20000, 'Choices to measure.')

_PATH = '/v1/pools/desk/jobs/report/bench'
_IDLE_CONNECTIONS = 500
_SIZES = (10, 100, 1000)


def run_worker() -> None:
    """Serve a stand-in worker that is fenced for the pool."""
    worker = worker_standin.Worker('w')
    worker.fence = (1, serving.POOL)
    if not _TLS_WORKERS.value:
        worker_standin.serve(worker, _ADDRESS.value)
        return
    server = find_server()
    host, port = _ADDRESS.value.rsplit(':', 1)
    protocol = _certificates.wrap_protocol(
        _loop.HttpProtocol, server, _limits.ServingLimits().header_timeout
    )
    _loop.serve(
        _loop.listen((host, int(port))),
        worker.application,
        protocol=protocol,
    )


def find_server() -> _certificates.Certificates | None:
    """Return the certificate of the listeners if they use TLS."""
    if not _TLS.value:
        return None
    folder = pathlib.Path(_TLS.value)
    files = _tls.TlsFiles(
        str(folder / 'server.pem'), str(folder / 'server.key')
    )
    return _certificates.Certificates('serving', files)


def find_client() -> _certificates.Certificates | None:
    """Return the CA of the folder."""
    if not _TLS.value:
        return None
    files = _tls.TlsFiles(ca_file=str(pathlib.Path(_TLS.value) / 'ca.pem'))
    return _certificates.Certificates('upstream', files)


def run_router() -> None:
    """Serve a pipeline over the given workers."""
    fleet = serving.FakeFleet()
    fleet.put_job('report', idempotent=True)
    for number, address in enumerate(_WORKERS.value):
        fleet.put_instance(f'w{number}', address)
    limits = _limits.ServingLimits()
    clock = _clock.SystemClock()
    owner = _claims.Owner('r1', 1, 'peer')
    claims = _claims.Claims(serving.FakeTable(), clock, owner, limits)
    settings = serving.Settings('r1', 'a', _ADDRESS.value, 'peer', limits)
    metrics = _metrics.ServingMetrics(_metrics.create_registry())
    pipeline = _pipeline.Pipeline(
        settings,
        fleet,
        clock,
        claims,
        serving.FakePeers(),
        metrics,
        certificates=find_client(),
    )
    host, port = _ADDRESS.value.rsplit(':', 1)
    listener = _loop.listen((host, int(port)))
    _server.serve(listener, pipeline.application, limits, find_server())


def start(role: str, address: str, *extra: str) -> subprocess.Popen[bytes]:
    """Start this program in another role and wait until it listens."""
    command = [sys.executable, '-m', 'tools.bench_serving']
    command += [f'--role={role}', f'--listen_address={address}', *extra]
    command += [f'--tls={_TLS.value}', f'--tls_workers={_TLS_WORKERS.value}']
    process = subprocess.Popen(command)  # noqa: S603
    host, port = address.rsplit(':', 1)
    for _ in range(200):
        try:
            _loop.connect(host, int(port), 1).close()
            return process
        except OSError:
            _loop.sleep(0.05)
    raise RuntimeError(f'{role} does not listen on {address}')


def reserve_address() -> str:
    """Return an address on loopback that was free a moment ago."""
    listener, address = serving.listen()
    listener.close()
    return address


def measure(
    address: str, path: str, headers: dict[str, str], callers: int
) -> tuple[float, list[float]]:
    """Return requests a second and sorted latencies in milliseconds."""
    latencies: list[float] = []
    client = find_client()
    end = time.perf_counter() + _SECONDS.value

    def call() -> None:
        connection = _connections.Connection(address, 5, client)
        while time.perf_counter() < end:
            start = time.perf_counter()
            connection.request('GET', path, headers=headers)
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                raise RuntimeError(f'status {response.status}')
            latencies.append((time.perf_counter() - start) * 1000)
        connection.close()

    begin = time.perf_counter()
    threads = [_loop.spawn(call) for _ in range(callers)]
    for thread in threads:
        thread.wait()
    passed = time.perf_counter() - begin
    return len(latencies) / passed, sorted(latencies)


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(int(len(values) * share), len(values) - 1)]


def lease_worker(address: str) -> str:
    """Return a lease for the calls that go straight to the worker."""
    data = {'holder': 'b', 'epoch': 1, 'pool': serving.POOL, 'slots': 8}
    body = json.dumps({**data, 'ttl_seconds': 3600})
    reply = serving.call(
        address, 'POST', '/v1/leases', body, client=find_client()
    )
    lease_id: str = json.loads(reply.body)['lease_id']
    return lease_id


def compare_latency(router: str, worker: str) -> dict[str, Any]:
    """Compare one caller through the router with one straight to a worker.

    The runs alternate, so that a busy machine slows both.
    """
    headers = {'Lease-Id': lease_worker(worker), 'Request-Key': 'b'}
    direct: list[float] = []
    routed: list[float] = []
    for _ in range(3):
        direct += measure(worker, '/v1/tasks/bench', headers, 1)[1]
        routed += measure(router, _PATH, {}, 1)[1]
    result = {}
    for name, share in (('p50', 0.5), ('p99', 0.99)):
        straight = find_quantile(sorted(direct), share)
        through = find_quantile(sorted(routed), share)
        result[name] = {
            'direct_ms': round(straight, 3),
            'routed_ms': round(through, 3),
            'added_ms': round(through - straight, 3),
            'ratio': round(through / straight, 2),
        }
    return result


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f'/proc/{pid}/statm') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def measure_connections(router: str, pid: int) -> float:
    """Return the memory in bytes of one open caller connection."""
    client = find_client()
    before = read_memory(pid)
    connections = []
    for _ in range(_IDLE_CONNECTIONS):
        connection = _connections.Connection(router, 5, client)
        connection.request('GET', '/elsewhere')
        connection.getresponse().read()
        connections.append(connection)
    grown = read_memory(pid) - before
    for connection in connections:
        connection.close()
    return grown / _IDLE_CONNECTIONS


class NoLeases:
    """Leases of a router that holds none."""

    def count_free(self, instance: Any) -> int:
        """Return 0."""
        return 0


def create_selection(size: int) -> _selection.Selection:
    """Return the selection of a pool of that many workers."""
    fleet = serving.FakeFleet()
    for number in range(size):
        fleet.put_instance(f'w{number}', '127.0.0.1:1')
    selection = _selection.Selection(
        serving.ManualClock(),
        _limits.ServingLimits(),
        NoLeases(),
        random.Random(1),  # noqa: S311
    )
    selection.load(fleet.find_instances())
    return selection


def measure_choice(size: int) -> float:
    """Return the microseconds of one choice, start and end."""
    selection = create_selection(size)
    begin = time.perf_counter()
    for _ in range(_CHOICES.value):
        worker = selection.choose()
        assert worker is not None  # noqa: S101
        selection.note_start(worker)
        selection.note_end(worker)
    return (time.perf_counter() - begin) / _CHOICES.value * 1e6


def run_all() -> None:
    """Start the processes, measure and print one JSON object."""
    worker_addresses = [reserve_address() for _ in range(4)]
    router_address = reserve_address()
    processes = [start('worker', x) for x in worker_addresses]
    try:
        if _TLS_WORKERS.value:
            worker_addresses = [f'https://{x}' for x in worker_addresses]
        workers = '--workers=' + ','.join(worker_addresses[1:])
        router = start('router', router_address, workers)
        processes.append(router)
        if _TLS.value:
            router_address = f'https://{router_address}'
        measure(router_address, _PATH, {}, 2)
        latency = compare_latency(router_address, worker_addresses[0])
        used = -read_cpu_seconds(router.pid)
        rate, loaded = measure(router_address, _PATH, {}, _CALLERS.value)
        used += read_cpu_seconds(router.pid)
        memory = measure_connections(router_address, router.pid)
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
            process.wait()
    choice = {
        size: round(
            statistics.median(measure_choice(size) for _ in range(5)), 2
        )
        for size in _SIZES
    }
    figures = {
        'requests_per_second': round(rate),
        'loaded_p50_ms': round(find_quantile(loaded, 0.5), 2),
        'router_cpu_ms_per_request': round(used / len(loaded) * 1000, 3),
        'latency': latency,
        'bytes_per_connection': round(memory),
        'microseconds_per_choice': choice,
    }
    print(json.dumps(figures, indent=2))


def main(_argv: list[str]) -> None:
    """Run the role of the command line."""
    roles = {'all': run_all, 'router': run_router, 'worker': run_worker}
    roles[_ROLE.value]()


if __name__ == '__main__':
    app.run(main)
