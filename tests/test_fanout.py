"""Guards the bounds on the traffic of gossip."""

import pytest

from tools import gossip_traffic

# Control overhead allowed on a node, in bytes a second.
OVERHEAD = 7000
# Bound of the member list, and the rest of a message around it.
LARGEST = 1024 + 256


@pytest.mark.parametrize(('zones', 'per_zone'), [(3, 3), (8, 3)])
def test_traffic_of_the_target_size(zones, per_zone):
    row = gossip_traffic.measure(zones, per_zone, 0, 15, 0)
    assert row.busiest_bytes < OVERHEAD


def test_messages_stay_bounded_beyond_the_target_size():
    few = gossip_traffic.measure(8, 3, 0, 10, 0)
    many = gossip_traffic.measure(8, 6, 0, 10, 0)
    assert many.largest <= LARGEST
    assert many.messages <= few.messages * 1.2
