"""A process whose loop is busy while it calls a server.

Run with the name of a scenario; prints a JSON object.
"""

from skylarktally import _loop

_loop.patch_standard_library()

import datetime  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from eventlet import greenio  # noqa: E402
from eventlet import patcher  # noqa: E402
from returns import result  # noqa: E402

from thrift.protocol import TBinaryProtocol  # noqa: E402
from thrift.transport import TTransport  # noqa: E402

from skylarktally import _errors  # noqa: E402
from skylarktally._gen.entry import Entry  # noqa: E402
from skylarktally.entries import _calls  # noqa: E402
from skylarktally.platform import _http  # noqa: E402

TIMEOUT = datetime.timedelta(seconds=0.2)
# These block the whole process, as a long computation does.
block = patcher.original('time').sleep
threading = patcher.original('threading')
socket = patcher.original('socket')
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


def answer_http(request):
    """Return the response to any request."""
    return RESPONSE


class StoreWatch:
    """Handles the thrift call that asks whether the store is reached."""

    def reaches_store(self):
        return True


def answer_thrift(request):
    """Return the reply to a thrift call."""
    protocols = [
        TBinaryProtocol.TBinaryProtocol(TTransport.TMemoryBuffer(data))
        for data in (request, b'')
    ]
    Entry.Processor(StoreWatch()).process(*protocols)
    return protocols[1].trans.getvalue()


class Server:
    """Answers each request after a delay in seconds, in native threads."""

    def __init__(self, answer):
        self.delay = 0.0
        self._answer = answer
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        while request := connection.recv(65536):
            block(self.delay)
            connection.sendall(self._answer(request))
        connection.close()


SERVER = Server(answer_http)
CLIENT = _http.HttpClient(_errors.ErrorKind.WORKER_UNREACHABLE)


def call():
    """Return the status of a call, or the kind of its failure."""
    outcome = CLIENT.call('POST', SERVER.address, '/x', TIMEOUT, {})
    if isinstance(outcome, result.Success):
        return outcome.unwrap().status
    return outcome.failure().kind.value


def start_blocking():
    """Start a green thread that blocks once its socket is readable.

    The loop then looks at its timers before it looks at the sockets again.
    """
    reader, writer = socket.socketpair()

    def run():
        _loop.wait_readable(reader, 5)
        block(3 * TIMEOUT.total_seconds())

    def write():
        block(0.05)
        writer.sendall(b'x')

    busy = _loop.spawn(run)
    _loop.sleep(0)
    threading.Thread(target=write, daemon=True).start()
    return busy


def call_while_blocked():
    """Block the process while the answers of two calls arrive."""
    statuses = []
    SERVER.delay = 0.1
    for _ in range(2):
        busy = start_blocking()
        statuses.append(call())
        busy.wait()
    return {'statuses': statuses}


def ask_peer_while_blocked():
    """The same for calls to another entry instance."""
    peer = Server(answer_thrift)
    peer.delay = 0.1
    calls = _calls.EntryCalls()
    answers = []
    for _ in range(2):
        busy = start_blocking()
        outcome = calls.reaches_store(peer.address, TIMEOUT)
        answers.append(outcome.value_or(None))
        busy.wait()
    return {'answers': answers}


def call_silent_server():
    """Call a server that answers after the timeout."""
    SERVER.delay = 1.0
    started_at = time.monotonic()
    status = call()
    return {'statuses': [status], 'seconds': time.monotonic() - started_at}


def call_beside_ready_threads():
    """Count the rounds of the loop before a request is sent."""
    first = call()
    rounds = []
    rounds_before_sending = []
    send = greenio.GreenSocket.send

    def count_rounds():
        while True:
            rounds.append(None)
            _loop.sleep(0)

    def note_rounds(connection, *arguments):
        rounds_before_sending.append(len(rounds))
        return send(connection, *arguments)

    greenio.GreenSocket.send = note_rounds
    _loop.spawn(count_rounds)
    _loop.sleep(0)
    before = len(rounds)
    second = call()
    waited = rounds_before_sending[0] - before
    return {'statuses': [first, second], 'rounds': waited}


if __name__ == '__main__':
    print(json.dumps(globals()[sys.argv[1]]()))
