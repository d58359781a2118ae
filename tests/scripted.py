"""Worker whose responses to tasks are scripted byte by byte."""

from http import client
import json
import re
import socket
import struct
from typing import Any, NamedTuple

from skylarktally import _loop
from tests import serving


class Request(NamedTuple):
    """A request as the worker received it."""

    method: str
    path: str
    headers: Any
    body: bytes

    @property
    def token(self):
        """The last segment of the path, which tells requests apart."""
        return self.path.split('?')[0].rsplit('/', 1)[-1]


def build_answer(body, status=200, cut=None, **headers):
    """Return the bytes of a response.

    :param cut: number of bytes after which the body is cut off; headers
        still state its whole length
    """
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body[:cut]


def build_chunks(body, size=1000):
    """Return a body in chunked encoding, without the last chunk."""
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    return b''.join(b'%x\r\n%s\r\n' % (len(x), x) for x in chunks)


CHUNKED_HEAD = b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n'


def build_body(token, size=1000):
    """Return the only correct response body for a request's token."""
    return (f'{token};' * size)[:size].encode()


def check_body(body, token, size):
    """Fail if a body is not the one that belongs to the token.

    The message gives the lengths and the first difference, because pytest's
    own comparison of 300 kB takes minutes.
    """
    expected = build_body(token, size)
    if body == expected:
        return
    pairs = zip(body, expected, strict=False)
    position = next((i for i, (a, b) in enumerate(pairs) if a != b), None)
    raise AssertionError(
        f'body of {token}: {len(body)} of {len(expected)} bytes, '
        f'first difference at {position}'
    )


def reset(connection):
    """Close a connection with a TCP reset instead of an end of stream."""
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class ScriptedWorker:
    """Worker that grants leases and answers tasks by a script.

    The script is called with the worker, the connection and the request. It
    returns True to let the worker send the correct response, and False to
    let it close the connection. Without a script all responses are correct.

    :param size: length in bytes of the correct response bodies
    """

    def __init__(
        self, fleet, name='w1', script=None, size=1000, tls=None, **fields
    ):
        self.name = name
        self.tls = tls
        self.script = script
        # Delay before the body of a task is read, in seconds.
        self.stall = 0.0
        self.size = size
        self.tasks = []
        self.probes = 0
        self.running = 0
        self.peak_running = 0
        self.open = 0
        self.peak_open = 0
        self.granted = 0
        self.leases = set()
        self.busy_leases = set()
        # Number of tasks under a lease whose previous task still ran.
        self.conflicts = 0
        # Response to a probe of a task: running, ended or absent.
        self.probe_state = 'ended'
        self.listener, self.address = serving.listen()
        if tls is not None:
            self.address = f'https://{self.address}'
        self.thread = _loop.spawn(self._accept)
        self.threads = []
        fleet.put_instance(name, self.address, **fields)

    def stop(self):
        for thread in (self.thread, *self.threads):
            thread.kill()
        self.listener.close()

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            # Otherwise the kernel would delay a second response on the
            # connection until the next request arrives.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.threads.append(_loop.spawn(self._serve, connection))

    def _serve(self, connection):
        if self.tls is not None:
            connection = self.tls.wrap_server(connection, lambda _: None)
            if connection is None:
                return
        self.open += 1
        self.peak_open = max(self.peak_open, self.open)
        stream = connection.makefile('rb')
        try:
            while request := read_request(stream, self.stall):
                if not self._answer(connection, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.open -= 1
            stream.close()
            connection.close()

    def _answer(self, connection, request):
        match = re.match('/v1/tasks/', request.path)
        if match and 'Lease-Id' in request.headers:
            return self._run(connection, request)
        data: dict[str, Any] = {}
        status = 200
        if request.path == '/v1/leases':
            # Limits leases as a worker does, but starts a task under any.
            self.granted += 1
            lease_id = f'l{self.granted}'
            data = {'lease_id': lease_id, 'ttl_seconds': 10}
            if len(self.leases) < 8:
                self.leases.add(lease_id)
            else:
                status = 409
        elif request.method == 'DELETE':
            self.leases.discard(request.token)
        elif match:
            self.probes += 1
            status = 404 if self.probe_state == 'absent' else 200
            data = {'end': 1 if self.probe_state == 'ended' else None}
        text = json.dumps(data).encode()
        connection.sendall(build_answer(text, status))
        return True

    def _run(self, connection, request):
        self.tasks.append(request)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        lease = request.headers['Lease-Id']
        self.conflicts += lease in self.busy_leases
        self.busy_leases.add(lease)
        try:
            if self.script and not self.script(self, connection, request):
                return False
        finally:
            self.running -= 1
            self.busy_leases.discard(lease)
        connection.sendall(build_answer(build_body(request.token, self.size)))
        return True


def read_request(stream, stall=0.0):
    """Read one request, or return None at the end of the stream.

    :param stall: delay in seconds before the body of a task is read
    """
    line = stream.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode().split(' ')
    headers = client.parse_headers(stream)
    body = b''
    if 'Lease-Id' in headers:
        _loop.sleep(stall)
    if headers.get('Transfer-Encoding') == 'chunked':
        while size := int(stream.readline(), 16):
            body += stream.read(size)
            stream.readline()
        stream.readline()
    else:
        length = int(headers.get('Content-Length', 0))
        body = stream.read(length)
        if len(body) < length:
            raise ValueError('cut short')
    return Request(method, path, headers, body)
