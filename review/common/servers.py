"""JSON servers on loopback, which a test can stop like a process."""

from collections.abc import Callable
from http import server
import json
import socket
import struct
import threading
from typing import Any
from urllib import parse

from common import ports

# Status and body of an answer; None closes the connection without one.
Answer = tuple[int, dict[str, Any]] | None
Handler = Callable[['Request'], Answer]


class Request:
    """A request as the stand-ins see it."""

    def __init__(
        self, method: str, target: str, headers: Any, content: bytes
    ) -> None:
        split = parse.urlsplit(target)
        self.method = method
        self.path = split.path
        self.query = dict(parse.parse_qsl(split.query))
        self.headers = headers
        self.size = len(content)
        self.body: dict[str, Any] = json.loads(content) if content else {}


class JsonServer:
    """Serves one handler on a loopback port until it is stopped."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        port = port or ports.find_free_port()
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._server = _Server(('127.0.0.1', port), _make_handler(self))
        self._handler = handler
        self.port = self._server.server_address[1]
        self.address = f'127.0.0.1:{self.port}'
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        self._thread.start()

    def answer(self, request: Request) -> Answer:
        """Return the answer of the handler."""
        return self._handler(request)

    def track(self, connection: socket.socket, is_open: bool) -> None:
        """Note an opened or closed connection."""
        with self._lock:
            if is_open:
                self._open.add(connection)
            else:
                self._open.discard(connection)

    def stop(self) -> None:
        """Stop listening and reset all connections, like a killed process."""
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            reset(connection)


def reset(connection: socket.socket) -> None:
    """Reset a connection."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    block_on_close = False

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other side has closed."""


def _make_handler(owner: JsonServer) -> type[server.BaseHTTPRequestHandler]:
    class RequestHandler(server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True
        wbufsize = -1

        def setup(self) -> None:
            super().setup()
            owner.track(self.connection, True)

        def finish(self) -> None:
            owner.track(self.connection, False)
            super().finish()

        def log_message(self, format: str, *args: Any) -> None:
            """Write no access log."""

        def _serve(self) -> None:
            length = int(self.headers.get('Content-Length') or 0)
            content = self.rfile.read(length)
            answer = owner.answer(
                Request(self.command, self.path, self.headers, content)
            )
            if answer is None:
                self.close_connection = True
                reset(self.connection)
                return
            status, body = answer
            data = json.dumps(body, separators=(',', ':')).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = _serve  # noqa: N815
        do_POST = _serve  # noqa: N815
        do_DELETE = _serve  # noqa: N815

    return RequestHandler
