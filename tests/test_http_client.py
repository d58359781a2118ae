"""Tests of the HTTP client in a process whose loop has much to do."""

import json
import subprocess
import sys

import pytest

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _calls
from skylarktally.platform import _http
from skylarktally.platform import _workers
from skylarktally.scheduling import _orders
from tests import pools

pytestmark = pytest.mark.processes


def run(scenario):
    """Run a scenario of the busy client and return what it prints."""
    done = subprocess.run(
        [sys.executable, '-m', 'tests.busy_client', scenario],
        capture_output=True,
        timeout=30,
        check=True,
    )
    return json.loads(done.stdout)


def test_an_answer_that_came_while_the_process_was_busy_is_read():
    """Guards against workers that are taken for silent by a late process.

    The timers of the loop run before its sockets are looked at.
    """
    assert run('call_while_blocked') == {'statuses': [200, 200]}


def test_an_answer_of_a_peer_that_came_while_busy_is_read():
    """Guards against owners that are taken for silent by a late process."""
    assert run('ask_peer_while_blocked') == {'answers': [True, True]}


def test_a_silent_server_is_noticed_in_time():
    """Guards against timeouts that no longer work at all."""
    found = run('call_silent_server')
    unknown = _errors.ErrorKind.OUTCOME_UNKNOWN.value
    assert found['statuses'] == [unknown]
    assert found['seconds'] < 0.9


def test_a_request_on_an_open_connection_is_sent_at_once():
    """Guards against requests that wait for all other green threads.

    With hundreds of them ready, the check of an open connection took longer
    than the start of a task.
    """
    found = run('call_beside_ready_threads')
    assert found == {'statuses': [200, 200], 'rounds': 0}


def test_unused_addresses_are_forgotten(monkeypatch):
    """Guards against connections to all addresses that ever existed."""
    monkeypatch.setattr(_http, '_MAX_ADDRESSES', 2)
    client = _http.HttpClient(_errors.ErrorKind.WORKER_UNREACHABLE)
    for name in ('a:1', 'b:1', 'a:1', 'c:1'):
        client._find_idle(name)
    assert list(client._idle) == ['a:1', 'c:1']


class SilentServer:
    """Accepts connections and answers nothing."""

    def __init__(self):
        listener = _loop.listen(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        self.connections = []
        self._thread = _loop.spawn(self._accept, listener)

    def _accept(self, listener):
        while True:
            self.connections.append(listener.accept()[0])

    def end(self):
        self._thread.kill()


@pytest.fixture
def server():
    server = SilentServer()
    yield server
    server.end()


def is_reset(connection):
    """Tell whether the other side discarded what was not delivered.

    On loopback the data has arrived; after a plain close its end follows.
    The socket of the loop would report a reset as the end, too.
    """
    _loop.sleep(0.05)
    try:
        while connection.fd.recv(4096):
            pass
    except ConnectionResetError:
        return True
    return False


def make_client():
    return _http.HttpClient(_errors.ErrorKind.PLATFORM_UNAVAILABLE)


def test_a_request_that_was_given_up_is_not_delivered_later(server):
    """Guards against an order that goes out after another holder's.

    A cut network held the request back; it arrived when the cut had healed,
    seconds after its sender had given it up.
    """
    outcome = make_client().call(
        'POST', server.address, '/', pools.seconds(0.1), {}
    )
    assert outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN
    assert is_reset(server.connections[0])


def test_a_call_to_a_peer_that_was_given_up_is_not_delivered_later(server):
    """Guards against a job that an owner gets after its caller's refusal."""
    outcome = _calls.EntryCalls().vacate(
        server.address, 'pool', 'w', pools.seconds(0.1)
    )
    assert outcome.failure().kind is _errors.ErrorKind.OUTCOME_UNKNOWN
    assert is_reset(server.connections[0])


def test_no_order_is_sent_when_its_permission_ended_while_connecting(
    server, monkeypatch
):
    """Guards against a process that is paused between check and order.

    Where the platform accepts any token, it would carry the order out.
    """
    left = [pools.seconds(1)]
    connect = _loop.connect_patiently

    def connect_and_pause(*arguments):
        connection = connect(*arguments)
        left[0] = pools.seconds(0)
        return connection

    monkeypatch.setattr(_loop, 'connect_patiently', connect_and_pause)
    client = _workers.InstanceCalls(server.address)
    permit = _orders.Permit('me', 7, lambda: left[0])
    for order in (
        lambda: client.move('m-1', 'pool', permit),
        lambda: client.maintain('m-1', 3, permit),
    ):
        kind = order().failure().kind
        assert kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
    _loop.sleep(0.05)
    assert not _loop.is_readable(server.connections[0])


def test_an_order_is_given_up_when_its_permission_ends(server):
    """Guards against an order under way while a successor gives others."""
    clock = _clock.SystemClock()
    client = _workers.InstanceCalls(server.address)
    permit = _orders.Permit('me', 7, lambda: pools.seconds(0.2))
    started_at = clock.monotonic()
    kind = client.move('m-1', 'pool', permit).failure().kind
    assert kind is _errors.ErrorKind.OUTCOME_UNKNOWN
    assert clock.monotonic() - started_at < pools.seconds(1)
