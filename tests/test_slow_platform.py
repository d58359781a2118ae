"""Guards calls of a platform that is slow, silent or never finishes."""

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
    """Start a server that passes each connection to a given function.

    The function gets the connection, its number and a stop event.
    """
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
    """Send the parts, then single bytes without ever finishing."""

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
def test_an_endless_answer_is_aborted(serve, parts):
    address = serve(trickle(parts))
    process = subprocess.run(
        [sys.executable, '-m', 'tests.slow_client', address],
        capture_output=True,
        text=True,
        timeout=20,
    )
    lines = [line.split() for line in process.stdout.splitlines()]
    kinds = [kind for kind, _ in lines]
    assert kinds == ['platform_unavailable', 'outcome_unknown']
    assert all(float(seconds) < 3 for _, seconds in lines)


def test_silent_connections_are_replaced(serve):
    """Guards the detection of silent connections.

    A table that keeps using connections that went silent would fail every
    later call, and so would one that counts the platform as silent for good.
    """
    # The first two connections answer once and are silent from then on.
    first_two = threading.Barrier(2, timeout=5)

    def handle(peer, number, stop):
        while peer.recv(65536):
            # Both answers overlap, so each read needs its own connection.
            if number < 2:
                first_two.wait()
            time.sleep(0.1)
            peer.sendall(HEAD % len(ROW) + b'\r\n' + ROW)
            if number < 2:
                stop.wait(10)
                return

    clock = _clock.SystemClock()
    # Far above the time of an answer, also on a busy machine.
    timeout = datetime.timedelta(seconds=2)
    limits = _limits.PlatformLimits(clock, 100, 100, timeout, timeout)
    table = _table.HttpTable(serve(handle), clock, limits)

    with futures.ThreadPoolExecutor(2) as pool:

        def read_twice():
            return list(pool.map(table.read, 'kk'))

        expected = [result.Success(_table.Row('k', {}, 1))] * 2
        assert read_twice() == expected
        assert not table.is_unresponsive
        failure = table.read('k').failure()
        assert failure.kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
        assert table.is_unresponsive
        # One response timeout is enough to replace both connections.
        assert read_twice() == expected
        assert not table.is_unresponsive
