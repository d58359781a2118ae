"""Traffic of gossip for each router, measured in memory."""

import statistics
import time
from typing import NamedTuple

from tools import peer_network

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
    """Run the network, with changes that random routers read first."""
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
