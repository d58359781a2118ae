"""Measures the time from a commit until it is in force at every router.

Run as ``python -m tools.measure_rollout``. Nine routers in three zones and
the platform stand-in run as processes on loopback.
"""

from skylarktally import _loop

_loop.patch_standard_library()

import datetime  # noqa: E402
import logging  # noqa: E402
import math  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from skylarktally import _fleet  # noqa: E402
from skylarktally import _messages  # noqa: E402
from skylarktally import _peers  # noqa: E402
from tools import cluster  # noqa: E402
from tools import watches  # noqa: E402

_CHANGES = flags.DEFINE_integer('changes', 30, 'Isolated changes.', 1, 10000)
_BURST = flags.DEFINE_integer('burst', 300, 'Changes of the burst.', 1, 10000)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of the pauses.')

# Isolated changes are this far apart, so that each one has rolled out before
# the next; 1,600 a day are 54 s apart on average.
_PAUSE_SECONDS = (2.5, 4.5)
_TIMEOUT = datetime.timedelta(seconds=2)
_SETTLE_SECONDS = 6


class Times(NamedTuple):
    """Seconds from commit to in force, of pairs of change and router."""

    p50: float
    p99: float
    longest: float
    missing: int


def summarize(commits: dict[int, float], watch: watches.Watch) -> Times:
    """Return the distribution over all changes and routers."""
    times = []
    missing = 0
    for version, started in commits.items():
        for reached in watch.reached.values():
            if version in reached:
                times.append(reached[version] - started)
            else:
                missing += 1
    times.sort()
    return Times(
        times[len(times) // 2],
        times[math.ceil(len(times) * 0.99) - 1],
        times[-1],
        missing,
    )


class Author:
    """Commits changes and notes when each commit was sent."""

    def __init__(self, started: cluster.Cluster, push_to: str | None) -> None:
        self.commits: dict[int, float] = {}
        self._fleet = _fleet.Fleet()
        self._journal = started.create_journal(self._fleet)
        self._journal.refresh()
        self._push_to = push_to
        self._calls = _peers.ThriftPeerClient(
            _peers.Secrets(cluster.SECRET, ()), _TIMEOUT, _TIMEOUT, 4, 1 << 24
        )

    def commit(self) -> None:
        """Commit one change, and push it if a router is named."""
        base = self._fleet.version
        started = time.monotonic()
        change: Any = cluster.build_change(base)
        version = self._journal.propose([change], base).unwrap()
        self.commits[version] = started
        if self._push_to is not None:
            records = self._fleet.read_records(base, 1)
            entries = _messages.encode_entries(records)
            self._calls.push_log(self._push_to, entries)


def run(
    reachable: int, pushed: bool, changes: int, isolated: bool, seed: int
) -> Times:
    """Roll changes out to nine routers.

    :param reachable: number of routers that can reach the platform
    :param pushed: whether the author pushes entries to the first router
    """
    source = random.Random(seed)
    with (
        tempfile.TemporaryDirectory() as directory,
        cluster.Cluster(pathlib.Path(directory)) as started,
    ):
        started.start_platform()
        for number in range(9):
            started.add_router(f'router-{number}', f'zone-{number % 3}')
        for number, router in enumerate(started.routers.values()):
            if number >= reachable:
                # Nothing listens there.
                router['platform_address'] = started.choose_address()
        started.start_routers()
        _loop.sleep(_SETTLE_SECONDS)
        addresses = [r['peer_address'] for r in started.routers.values()]
        watch = watches.Watch(addresses)
        author = Author(started, addresses[0] if pushed else None)
        for _ in range(changes):
            author.commit()
            if isolated:
                _loop.sleep(source.uniform(*_PAUSE_SECONDS))
        _loop.sleep(_SETTLE_SECONDS)
        watch.stop()
        return summarize(author.commits, watch)


SCENARIOS = (
    ('isolated changes', 9, False, True),
    ('isolated changes, pushed by the author', 9, True, True),
    ('isolated changes, platform reachable for one', 1, False, True),
    ('burst', 9, False, False),
    ('burst, platform reachable for one', 1, False, False),
)


def main(arguments: list[str]) -> None:
    """Print one row for each scenario."""
    del arguments
    logging.getLogger('skylarktally').setLevel(logging.ERROR)
    print('times in seconds, from sending the commit to in force')
    print(f'{"scenario":45} changes    p50    p99    max missing')
    for name, reachable, pushed, isolated in SCENARIOS:
        changes = _CHANGES.value if isolated else _BURST.value
        times = run(reachable, pushed, changes, isolated, _SEED.value)
        print(
            f'{name:45} {changes:7} {times.p50:6.3f} {times.p99:6.3f} '
            f'{times.longest:6.3f} {times.missing:7}',
            flush=True,
        )


if __name__ == '__main__':
    app.run(main)
