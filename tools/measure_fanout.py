"""Measures messages and bytes of gossip for each router, in memory.

Run as ``python -m tools.measure_fanout``.
"""

import logging

from absl import app
from absl import flags

from tools import gossip_traffic

_SECONDS = flags.DEFINE_integer('seconds', 60, 'Time simulated.', 10, 3600)
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of the exchanges.')


def main(arguments: list[str]) -> None:
    """Print one row for each size and pace."""
    del arguments
    logging.getLogger('skylarktally').setLevel(logging.ERROR)
    print('routers changes/s messages/s bytes/s busiest largest processor')
    for changes in (0, 1, 10):
        for zones, per_zone in gossip_traffic.SIZES:
            row = gossip_traffic.measure(
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
