"""Measures the replica of the state, and authors that propose at once.

Run as ``python -m tools.measure_state``.
"""

from skylarktally import _loop

_loop.patch_standard_library()

from collections.abc import Callable  # noqa: E402
import datetime  # noqa: E402
import gc  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from typing import Any  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
from returns import result  # noqa: E402
import urllib3  # noqa: E402

from skylarktally import _clock  # noqa: E402
from skylarktally import _errors  # noqa: E402
from skylarktally import _fleet  # noqa: E402
from skylarktally import _journal  # noqa: E402
from skylarktally import _limits  # noqa: E402
from skylarktally import _resources  # noqa: E402
from skylarktally import _table  # noqa: E402
from tests import fleets  # noqa: E402

_AUTHOR = flags.DEFINE_string('author', '', 'Name of one author to run.')
_PLATFORM = flags.DEFINE_string('platform', '', 'Address of the platform.')
_WRITES = flags.DEFINE_float('writes', 50 / 9, 'Writes of an author a second.')
_READS = flags.DEFINE_float('reads', 500 / 18, 'Reads of an author a second.')
_PROPOSALS = flags.DEFINE_integer('proposals', 10, 'Proposals of an author.')
_OUTAGE = flags.DEFINE_float(
    'outage', 0, 'Seconds for which the platform is down, from the start.'
)

_AUTHORS = 9
_SIZES = (30, 320, 3200)
_REPEATS = 2000
_START_SECONDS = 3.0
_GIVE_UP = datetime.timedelta(seconds=60)


def measure_fleet(size: int) -> dict[str, float]:
    """Return costs in microseconds and sizes in MiB of one fleet."""
    gc.collect()
    tracemalloc.start()
    fleet = _fleet.Fleet()
    fleet.load([fleets.build_instance(n, 1) for n in range(size)], 1)
    loaded = tracemalloc.get_traced_memory()[0]
    for version in range(2, _fleet.RETAINED_RECORDS + 2):
        fleet.apply(fleets.build_record(version, version % size))
    full = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    records = [
        fleets.build_record(fleet.version + 1 + n, n % size)
        for n in range(_REPEATS)
    ]
    remaining = iter(records)
    return {
        'instances': size,
        'apply_us': time_calls(lambda: fleet.apply(next(remaining))),
        'find_pool_us': time_calls(
            lambda: fleet.find_instances(pool='pool-1')
        ),
        'find_zone_us': time_calls(
            lambda: fleet.find_instances(zone='zone-1')
        ),
        'resources_mib': loaded / 2**20,
        'with_records_mib': full / 2**20,
    }


def time_calls(call: Callable[[], object]) -> float:
    """Return the median duration of a call in microseconds."""
    durations = []
    for _ in range(_REPEATS):
        start = time.perf_counter()
        call()
        durations.append(time.perf_counter() - start)
    return statistics.median(durations) * 1e6


class CountingTable(_table.HttpTable):
    """Table client that counts its commits and their conflicts."""

    commits = 0
    conflicts = 0

    def commit(
        self, transaction: _table.Transaction
    ) -> result.Result[int, _errors.Failure]:
        """Commit and count."""
        outcome = super().commit(transaction)
        self.commits += 1
        if not isinstance(outcome, result.Success):
            kind = outcome.failure().kind
            self.conflicts += kind is _errors.ErrorKind.CONFLICT
        return outcome


def run_author() -> None:
    """Propose changes as fast as the limits allow and print the results."""
    clock = _clock.SystemClock()
    limits = _limits.PlatformLimits(clock, _WRITES.value, _READS.value)
    table = CountingTable(_PLATFORM.value, clock, limits)
    fleet = _fleet.Fleet()
    journal = _journal.Journal(table, fleet, clock, _AUTHOR.value)
    value = _resources.Resource(
        kind='configuration',
        name=_AUTHOR.value,
        spec={},
        status={},
        resource_version=0,
    )
    change = _resources.Change(
        kind='configuration', name=_AUTHOR.value, value=value
    )
    durations = []
    failures: dict[str, int] = {}
    source = random.Random(_AUTHOR.value)
    # All authors start at the same instant.
    time.sleep(max(0.0, float(sys.stdin.readline()) - time.time()))
    for _ in range(_PROPOSALS.value):
        start = time.monotonic()
        backoff = _limits.Backoff(clock, source, _GIVE_UP)
        while True:
            outcome = journal.transact(lambda _: result.Success([change]))
            if isinstance(outcome, result.Success):
                break
            kind = outcome.failure().kind.value
            failures[kind] = failures.get(kind, 0) + 1
            if not backoff.wait():
                break
        durations.append(time.monotonic() - start)
    print(
        json.dumps(
            {
                'commits': table.commits,
                'conflicts': table.conflicts,
                'durations': durations,
                'failures': failures,
            }
        )
    )


def measure_authors() -> dict[str, object]:
    """Let all authors propose at once against a platform stand-in."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{probe.getsockname()[1]}'
    platform = subprocess.Popen(
        [sys.executable, '-m', 'standins.platform', f'--address={address}'],
        stderr=subprocess.DEVNULL,
    )
    try:
        return _run_authors(address)
    finally:
        platform.terminate()
        platform.wait(10)


def _run_authors(address: str) -> dict[str, object]:
    arguments = [
        f'--platform={address}',
        f'--writes={_WRITES.value}',
        f'--reads={_READS.value}',
        f'--proposals={_PROPOSALS.value}',
    ]
    authors = [
        subprocess.Popen(
            [sys.executable, '-m', 'tools.measure_state', f'--author=a{n}']
            + arguments,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        for n in range(_AUTHORS)
    ]
    begin = time.time() + _START_SECONDS
    try:
        reports = _collect_reports(authors, address, begin)
    finally:
        for author in authors:
            author.kill()
    elapsed = time.time() - begin
    durations = sorted(d for r in reports for d in r['durations'])
    record = urllib3.request('GET', f'http://{address}/standin/record')
    return {
        'seconds': elapsed,
        'commits': sum(r['commits'] for r in reports),
        'conflicts': sum(r['conflicts'] for r in reports),
        'failures': [r['failures'] for r in reports if r['failures']],
        'median_seconds': statistics.median(durations),
        'longest_seconds': durations[-1],
        'platform': record.json(),
    }


def _collect_reports(
    authors: list[subprocess.Popen[str]], address: str, begin: float
) -> list[dict[str, Any]]:
    for author in authors:
        assert author.stdin is not None
        author.stdin.write(f'{begin}\n')
        author.stdin.flush()
    _impose_outage(address, begin)
    return [json.loads(author.communicate()[0]) for author in authors]


def _impose_outage(address: str, begin: float) -> None:
    if _OUTAGE.value <= 0:
        return
    url = f'http://{address}/standin/faults'
    start = urllib3.Retry(10, backoff_factor=0.05)
    urllib3.request('PUT', url, json={'down': True}, retries=start)
    time.sleep(begin + _OUTAGE.value - time.time())
    urllib3.request('PUT', url, json={'down': False})


def main(_argv: list[str]) -> None:
    """Run one author, or all measurements."""
    if _AUTHOR.value:
        run_author()
        return
    for size in _SIZES:
        print(json.dumps(measure_fleet(size)))
    print(json.dumps(measure_authors()))


if __name__ == '__main__':
    app.run(main)
