"""Measures messages and bytes of gossip for each router, in memory.

Run as ``python -m tools.measure_fanout``.
"""

import logging
import statistics
import time
from typing import NamedTuple

from absl import app
from absl import flags

from tests import peer_network

_SECONDS = flags.DEFINE_integer('seconds', 60, 'Time simulated.', 10, 3600)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of the exchanges.')
_WARM_UP_SECONDS = 30
# Zones and routers in each of them.
SIZES = ((3, 1), (3, 3), (8, 3), (8, 6), (8, 12))


class Row(NamedTuple):
    """Traffic of one router, sent and received, in a second."""

    routers: int
    changes: float
    messages: float
    bytes: float
    busiest_bytes: float
    largest: int
    processor_share: float


def measure(
    zones: int, per_zone: int, changes: float, seconds: int, seed: int
) -> Row:
    """Run a network for some seconds at a number of changes a second."""
    network = peer_network.Network(seed)
    network.add_nodes([f'zone-{place}' for place in range(zones)], per_zone)
    network.run(_WARM_UP_SECONDS)
    for counter in (network.messages, network.bytes, network.received):
        counter.clear()
    network.largest = 0
    started = time.process_time()
    _run(network, changes, seconds)
    used = time.process_time() - started
    count = len(network.nodes)
    traffic = [
        (network.bytes[address] + network.received[address]) / seconds
        for address in network.nodes
    ]
    return Row(
        routers=count,
        changes=changes,
        messages=2 * sum(network.messages.values()) / count / seconds,
        bytes=statistics.mean(traffic),
        busiest_bytes=max(traffic),
        largest=network.largest,
        processor_share=used / count / seconds,
    )


def _run(network: peer_network.Network, changes: float, seconds: int) -> None:
    """Let random routers read the changes of the table first."""
    nodes = list(network.nodes.values())
    version = 0
    for _ in range(seconds):
        for _ in range(round(changes)):
            version += 1
            record = peer_network.build_record(version)
            node = network.random.choice(nodes)
            for missing in range(node.fleet.version + 1, version):
                node.fleet.apply(peer_network.build_record(missing))
            node.fleet.apply(record)
            network.settle()
        network.run(1)


def main(arguments: list[str]) -> None:
    """Print one row for each size and pace."""
    del arguments
    logging.getLogger('skylarktally').setLevel(logging.ERROR)
    print('routers changes/s messages/s bytes/s busiest largest processor')
    for changes in (0, 1, 10):
        for zones, per_zone in SIZES:
            row = measure(
                zones, per_zone, changes, _SECONDS.value, _SEED.value
            )
            print(
                f'{row.routers:7} {row.changes:9} {row.messages:10.1f} '
                f'{row.bytes:7.0f} {row.busiest_bytes:7.0f} {row.largest:7} '
                f'{row.processor_share:8.2%}',
                flush=True,
            )


if __name__ == '__main__':
    app.run(main)
