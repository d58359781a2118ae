"""Client that reads and commits with a patched standard library.

The binaries patch it in the same way. Run as ``python -m tests.slow_client
ADDRESS``; prints the error kind and the duration in seconds of each call.
"""

from skylarktally import _loop

_loop.patch_standard_library()

import datetime  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from skylarktally import _clock  # noqa: E402
from skylarktally import _limits  # noqa: E402
from skylarktally import _table  # noqa: E402

if __name__ == '__main__':
    timeout = datetime.timedelta(seconds=0.5)
    clock = _clock.SystemClock()
    limits = _limits.PlatformLimits(clock, 10, 10, timeout, timeout)
    table = _table.HttpTable(sys.argv[1], clock, limits)
    transaction = _table.Transaction('t', (), (_table.Write('k', {}),))
    for call in (
        lambda: table.read('k'),
        lambda: table.commit(transaction),
    ):
        start = time.monotonic()
        print(call().failure().kind.value, time.monotonic() - start)
