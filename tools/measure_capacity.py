"""Measures what routers and controllers cost at rest, at several sizes.

Starts real processes on loopback and prints processor time, memory, and
bytes and calls a second of one router that serves no requests, then of one
controller of a zone with workers to probe. docs/CAPACITY.md is worked out
from these figures.
"""

import os
import pathlib
import tempfile
import time
from typing import Any, NamedTuple

from absl import app
from absl import flags
from returns import result

from skylarktally import _clock
from skylarktally import _journal
from skylarktally import _leases
from skylarktally import _limits
from skylarktally import _resources
from skylarktally import _table
from tools import cluster
from tools import counting

_SECONDS = flags.DEFINE_float(
    'seconds', 10.0, 'How long each size is observed.', 1.0, 600.0
)
_WARM_UP = flags.DEFINE_float(
    'warm_up',
    20.0,
    'Seconds after the start, in which members get to know each other.',
    0.0,
)
_INSTANCES = flags.DEFINE_multi_integer(
    'instances', [30, 320, 1000, 3200], 'Numbers of instances to measure.'
)
_MEMBERS = flags.DEFINE_multi_integer(
    'members', [3, 9, 24], 'Numbers of routers to measure.'
)
_WORKERS = flags.DEFINE_multi_integer(
    'workers', [400], 'Numbers of workers of a zone, for its controllers.'
)
_CONTROLLERS = flags.DEFINE_integer(
    'controllers', 3, 'Controllers, each with a router, in that zone.', 1, 3
)
_ROUTERS_MEASURED = flags.DEFINE_bool(
    'routers', True, 'Whether routers are measured as well.'
)
_TICKS = os.sysconf('SC_CLK_TCK')
_PER_POOL = 12
# Entries of the whole system; those of other zones are only rows here.
_ENTRIES = 24
_ZONES = 8
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Cost(NamedTuple):
    """What one router used while it was observed."""

    core_percent: float
    megabytes: float
    # Of calls to peers and of calls by peers, without TCP/IP headers.
    peer_bytes: float
    # Calls made to peers.
    calls: float
    # Reads of the table by one router.
    table_reads: float


class ControllerCost(NamedTuple):
    """What one controller used, as the mean of those of a zone."""

    core_percent: float
    megabytes: float
    # Sent and received, without TCP/IP headers.
    platform_bytes: float
    peer_bytes: float
    worker_bytes: float
    platform_requests: float
    probes: float


def build_instance(
    number: int, zone: str = '', port: int = 8080
) -> _resources.Change:
    """Return a change that declares one instance."""
    instance = _resources.Instance(
        name=f'worker-{number}',
        pool=f'pool-{number // _PER_POOL}',
        zone=zone or f'zone-{number % _ZONES}',
        rack=f'rack-{number // 4}',
        address=f'{_find_host(number)}:{port}',
        cores=64,
        memory_bytes=256 << 30,
        accelerators=2,
        slots=8,
        connections=64,
        phase=_resources.Phase.SERVING,
        epoch=1,
    )
    value = _resources.encode_instance(instance, {})
    return _resources.Change(kind='instance', name=instance.name, value=value)


def _find_host(number: int) -> str:
    return f'127.200.{number // 250}.{number % 250 + 1}'


def build_pool(number: int) -> _resources.Change:
    """Return a change that declares one pool."""
    name = f'pool-{number}'
    value = _resources.Resource(
        kind='pool',
        name=name,
        spec={'team': f'team-{number % 43}', 'weight': 1.0},
        status={},
        resource_version=0,
    )
    return _resources.Change(kind='pool', name=name, value=value)


def commit(
    journal: _journal.Journal, changes: list[_resources.Change]
) -> None:
    """Commit changes in transactions of the greatest size."""
    for start in range(0, len(changes), _resources.CHANGES_LIMIT):
        part = changes[start : start + _resources.CHANGES_LIMIT]
        done = journal.transact(lambda _fleet, part=part: _succeed(part))
        if not isinstance(done, result.Success):
            raise RuntimeError(done.failure().message)


def _succeed(changes: list[_resources.Change]) -> Any:
    return result.Success(changes)


def observe(deployment: cluster.Cluster, name: str, seconds: float) -> Cost:
    """Measure one router for some seconds."""
    pid = deployment.find_pid(name)
    before, started = _read_processor(pid), time.monotonic()
    counts, reads = deployment.read_counters(name), _read_total(deployment)
    time.sleep(seconds)
    after, done = deployment.read_counters(name), _read_total(deployment)
    took = time.monotonic() - started

    def rate(key: str) -> float:
        name = f'skylarktally_router_{key}'
        return (after.get(name, 0) - counts.get(name, 0)) / took

    return Cost(
        core_percent=(_read_processor(pid) - before) / took * 100,
        megabytes=_read_resident(pid) / 1e6,
        peer_bytes=sum(
            rate(f'{side}_total/{way}_bytes')
            for side in ('peer_calls', 'peer_server')
            for way in ('sent', 'received')
        ),
        calls=rate('peer_calls_total/calls'),
        table_reads=(done - reads) / took / len(deployment.routers),
    )


def _read_total(deployment: cluster.Cluster) -> int:
    """Return how many reads the platform has served."""
    url = f'http://{deployment.platform_address}/standin/record'
    return int(deployment.http.request('GET', url).json()['reads']['total'])


def _read_processor(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _read_resident(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(text.split()[1]) * _PAGE_BYTES


def measure(routers: int, instances: int, seconds: float) -> Cost:
    """Measure one router of a deployment of some size."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        cluster.Cluster(pathlib.Path(scratch)) as deployment,
    ):
        deployment.start_platform()
        pools = range(instances // _PER_POOL + 1)
        commit(
            deployment.create_journal(),
            [build_pool(number) for number in pools]
            + [build_instance(number) for number in range(instances)],
        )
        for number in range(routers):
            # Three routers a zone, as in the deployments of today.
            zone = f'zone-{number // 3 % 8}'
            deployment.add_router(f'router-{number}', zone)
        deployment.start_routers()
        time.sleep(_WARM_UP.value)
        return observe(deployment, 'router-0', seconds)


def measure_controllers(
    count: int, workers: int, seconds: float
) -> ControllerCost:
    """Measure the controllers of one zone, alone with its workers."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        cluster.Cluster(pathlib.Path(scratch)) as deployment,
    ):
        deployment.start_platform()
        endpoints = counting.Endpoints()
        relayed = deployment.choose_address()
        endpoints.relay(relayed, deployment.platform_address)
        port = int(relayed.rpartition(':')[2])
        instances = [
            build_instance(number, 'zone-0', port) for number in range(workers)
        ]
        endpoints.serve_workers(map(_find_host, range(workers)), port)
        journal = deployment.create_journal()
        pools = range(workers // _PER_POOL + 1)
        commit(journal, [build_pool(number) for number in pools] + instances)
        _write_other_beats(deployment, count)
        names = [f'controller-{number}' for number in range(count)]
        for number in range(count):
            deployment.add_router(f'router-{number}', 'zone-0')
        deployment.start_routers()
        for number, name in enumerate(names):
            deployment.start_controller(
                name,
                f'router-{number}',
                platform_address=relayed,
                seeds=[],
            )
        time.sleep(_WARM_UP.value)
        return observe_controllers(deployment, endpoints, names, seconds)


def _write_other_beats(deployment: cluster.Cluster, own: int) -> None:
    """Write the heartbeat rows of the controllers of other zones."""
    limits = _limits.PlatformLimits(_clock.SystemClock(), 200, 200)
    table = _table.HttpTable(
        deployment.platform_address, _clock.SystemClock(), limits
    )
    rows = tuple(
        _table.Write(
            _leases.format_heartbeat_key(
                f'zone-{number // 3}', f'other-{number}'
            ),
            {'incarnation': time.time_ns(), 'count': 1000},
        )
        for number in range(own, _ENTRIES)
    )
    table.commit(_table.Transaction('beats', (), rows)).unwrap()


def observe_controllers(
    deployment: cluster.Cluster,
    endpoints: counting.Endpoints,
    names: list[str],
    seconds: float,
) -> ControllerCost:
    """Return the mean cost of controllers over some seconds."""

    def read() -> list[float]:
        pids = [deployment.find_pid(name) for name in names]
        calls = [deployment.read_state(name)['peer_calls'] for name in names]
        return [
            sum(map(_read_processor, pids)) * 100,
            endpoints.platform_bytes,
            sum(c['sent_bytes'] + c['received_bytes'] for c in calls),
            endpoints.worker_bytes,
            endpoints.platform_requests,
            endpoints.probes,
        ]

    before, started = read(), time.monotonic()
    time.sleep(seconds)
    after, took = read(), time.monotonic() - started
    rates = [
        (new - old) / took / len(names)
        for old, new in zip(before, after, strict=True)
    ]
    resident = max(_read_resident(deployment.find_pid(n)) for n in names)
    return ControllerCost(rates[0], resident / 1e6, *rates[1:])


def main(_argv: list[str]) -> None:
    """Print one line for each size."""
    if _ROUTERS_MEASURED.value:
        print_routers()
    print('controllers workers  core_%    MB  platform_B/s  peer_B/s', end='')
    print('  worker_B/s  requests/s  probes/s')
    for workers in _WORKERS.value:
        count = _CONTROLLERS.value
        cost = measure_controllers(count, workers, _SECONDS.value)
        print(
            f'{count:11} {workers:7} {cost.core_percent:7.2f}'
            f' {cost.megabytes:5.0f} {cost.platform_bytes:13.0f}'
            f' {cost.peer_bytes:9.0f} {cost.worker_bytes:11.0f}'
            f' {cost.platform_requests:11.2f} {cost.probes:9.2f}',
            flush=True,
        )


def print_routers() -> None:
    """Print the cost of a router at each size."""
    print('routers instances  core_%    MB  peer_B/s  calls/s  reads/s')
    sizes = [(3, count) for count in _INSTANCES.value]
    sizes += [(count, 320) for count in _MEMBERS.value]
    for routers, instances in sizes:
        cost = measure(routers, instances, _SECONDS.value)
        print(
            f'{routers:7} {instances:9} {cost.core_percent:7.2f}'
            f' {cost.megabytes:5.0f} {cost.peer_bytes:9.0f}'
            f' {cost.calls:8.2f} {cost.table_reads:8.2f}',
            flush=True,
        )


if __name__ == '__main__':
    app.run(main)
