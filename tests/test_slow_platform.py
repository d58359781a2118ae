"""Guards against a platform that is slow, silent or never finishes."""

from concurrent import futures
import contextlib
import datetime
import socket
import subprocess
import sys
import threading
import time

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _table

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
ROW = b'{"key": "k", "value": {}, "version": 1}'


@pytest.fixture
def serve():
    """Serve each connection by a function of it and its number."""
    with contextlib.ExitStack() as stack:

        def start(handle):
            listener = stack.enter_context(
                socket.create_server(('127.0.0.1', 0))
            )
            stop = threading.Event()
            stack.callback(stop.set)

            def accept():
                with contextlib.suppress(OSError):
                    for number in range(10):
                        peer, _ = listener.accept()
                        threading.Thread(
                            target=run, args=(peer, number), daemon=True
                        ).start()

            def run(peer, number):
                with peer, contextlib.suppress(OSError):
                    handle(peer, number, stop)

            threading.Thread(target=accept, daemon=True).start()
            return f'127.0.0.1:{listener.getsockname()[1]}'

        yield start


def trickle(parts):
    """Send the parts, then one byte at a time without an end."""

    def handle(peer, _number, stop):
        peer.recv(65536)
        peer.sendall(parts)
        while not stop.wait(0.1):
            peer.sendall(b' ')

    return handle


@pytest.mark.processes
@pytest.mark.parametrize(
    'parts', [b'HTTP/1.1 200 OK\r\nServer:', HEAD % 100000 + b'\r\n']
)
def test_an_endless_answer_is_given_up(serve, parts):
    address = serve(trickle(parts))
    done = subprocess.run(
        [sys.executable, '-m', 'tests.slow_client', address],
        capture_output=True,
        text=True,
        timeout=20,
    )
    lines = [line.split() for line in done.stdout.splitlines()]
    kinds = [kind for kind, _ in lines]
    assert kinds == ['platform_unavailable', 'outcome_unknown']
    assert all(float(seconds) < 3 for _, seconds in lines)


def test_silent_connections_are_replaced(serve):
    """Guards against silence taken for good, or not noticed at all."""
    # The first two connections answer once and then go silent for good.
    both = threading.Barrier(2, timeout=5)

    def handle(peer, number, stop):
        while peer.recv(65536):
            # Answers overlap, so that each read needs its connection.
            if number < 2:
                both.wait()
            time.sleep(0.1)
            peer.sendall(HEAD % len(ROW) + b'\r\n' + ROW)
            if number < 2:
                stop.wait(10)
                return

    clock = _clock.SystemClock()
    timeout = datetime.timedelta(seconds=0.3)
    limits = _limits.PlatformLimits(clock, 100, 100, timeout, timeout)
    table = _table.HttpTable(serve(handle), clock, limits)

    with futures.ThreadPoolExecutor(2) as pool:

        def read_twice():
            return list(pool.map(table.read, 'kk'))

        expected = [result.Success(_table.Row('k', {}, 1))] * 2
        assert read_twice() == expected
        assert not table.silent
        failure = table.read('k').failure()
        assert failure.kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
        assert table.silent
        # One response timeout for both of them, not one for each.
        assert read_twice() == expected
        assert not table.silent
