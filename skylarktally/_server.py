"""HTTP server of the serving port; limits what callers may send."""

from collections.abc import Callable
import functools
import re
import socket
from typing import Any

from skylarktally import _certificates
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _replies

_LENGTH = re.compile('[0-9]{1,18}')
_CHUNK_SIZE = re.compile(b'[0-9A-Fa-f]{1,8}(?:;[^\r\n]*)?\r\n')
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_MAX_LINE_BYTES = 8192
_CLOSE_KEY = 'skylarktally.close_after_answer'
# How long, and for how many bytes, the server reads on after a response that
# was sent before the end of the request body. Closing at once would reset the
# connection, and the caller could lose the response.
_LINGER_SECONDS = 2.0
_LINGER_BYTES = 1024 * 1024


class _RefusedRequest(Exception):
    def __init__(self, kind: _errors.ErrorKind, message: str) -> None:
        super().__init__(message)
        self.failure = _errors.Failure(kind, message)


def _is_strict_line(line: bytes) -> bool:
    """Tell whether every HTTP parser reads this as exactly one line.

    Some parsers end a line at a bare line feed or carriage return, or at a
    null character, and would find other headers than this one, which allows
    request smuggling.
    """
    content = line[:-2]
    return line.endswith(b'\r\n') and not any(x in content for x in b'\r\0')


class _HeaderReader:
    """Reader of header lines with a limit on their total size."""

    def __init__(self, stream: Any, limit: int) -> None:
        self._stream = stream
        self._remaining = limit

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or raise if it is malformed or too long."""
        line: bytes = self._stream.readline(self._remaining + 1)
        self._remaining -= len(line)
        if self._remaining < 0:
            raise _RefusedRequest(
                _errors.ErrorKind.HEADERS_TOO_LARGE, 'the head is too long'
            )
        if not line.endswith(b'\n'):
            # The base class would accept a truncated head as complete.
            raise ConnectionResetError
        if not _is_strict_line(line):
            raise _RefusedRequest(
                _errors.ErrorKind.INVALID_REQUEST, 'malformed line of the head'
            )
        return line


class ChunkedInput:
    """Chunked body with strict checks of chunk sizes and ends."""

    def __init__(self, stream: Any, send_continue: Callable[[], None]) -> None:
        self._stream = stream
        self._send_continue: Callable[[], None] | None = send_continue
        self._remaining = 0
        self.finished = False

    def read(self, size: int) -> bytes:
        """Return at most size bytes; empty only after the last chunk.

        :raises ValueError: when the encoding is malformed
        """
        if self._send_continue is not None:
            self._send_continue()
            self._send_continue = None
        if self.finished:
            return b''
        if not self._remaining:
            self._remaining = self._read_size()
            if not self._remaining:
                self._read_trailer()
                return b''
        data: bytes = self._stream.read1(min(size, self._remaining))
        if not data:
            raise ValueError('the body is cut short')
        self._remaining -= len(data)
        if not self._remaining and self._stream.read(2) != b'\r\n':
            raise ValueError('a chunk does not end with its size')
        return data

    def _read_size(self) -> int:
        line = self._stream.readline(1024)
        if not _CHUNK_SIZE.fullmatch(line):
            raise ValueError('malformed chunk size')
        return int(line.split(b';', 1)[0], 16)

    def _read_trailer(self) -> None:
        for _ in range(32):
            line = self._stream.readline(1024)
            if line == b'\r\n':
                self.finished = True
                return
            if not line.endswith(b'\r\n'):
                break
        raise ValueError('malformed trailer')


class _FixedInput:
    """Body of a known length; its user has to detect an early end."""

    def __init__(
        self, stream: Any, length: int, send_continue: Callable[[], None]
    ) -> None:
        self._stream = stream
        self._remaining = length
        self._send_continue: Callable[[], None] | None = send_continue

    @property
    def finished(self) -> bool:
        return self._remaining == 0

    def read(self, size: int) -> bytes:
        """Return at most size bytes as soon as any arrive; empty at an end."""
        if self._send_continue is not None and self._remaining:
            self._send_continue()
            self._send_continue = None
        data: bytes = self._stream.read1(min(size, self._remaining))
        self._remaining -= len(data)
        return data


class Protocol(_loop.HttpProtocol):
    """Handler of one client connection."""

    rfile: Any

    def __init__(
        self, limits: _limits.ServingLimits, connection: Any, server: Any
    ) -> None:
        self.limits = limits
        self.head_timeout: Any = None
        super().__init__(connection, server)

    def _read_request_line(self) -> bytes:
        try:
            # The keep-alive timeout applies up to the first byte. The head
            # that follows has a timeout of its own.
            self.connection.settimeout(self.server.keepalive)
            if not self.rfile.peek(1):
                return b''
            self.head_timeout = _loop.Timeout(
                self.limits.header_timeout.total_seconds()
            )
            self.body_stream = self.rfile
            self.connection.settimeout(self.server.socket_timeout)
            line: bytes = self.rfile.readline(_MAX_LINE_BYTES + 1)
            if len(line) > _MAX_LINE_BYTES:
                self._refuse_head(
                    _errors.ErrorKind.HEADERS_TOO_LARGE,
                    'the request line is too long',
                )
                return b''
            return line
        except OSError:
            return b''

    def handle_one_request(self) -> None:
        """Handle one request, or refuse it if its head takes too long."""
        self.head_timeout = None
        try:
            super().handle_one_request()
        except _loop.Timeout as timeout:
            if timeout is not self.head_timeout:
                raise
            self._refuse_head(
                _errors.ErrorKind.REQUEST_TIMEOUT, 'the head took too long'
            )
        except ConnectionError:
            self.close_connection = True
        finally:
            self._cancel_head_timeout()

    def _cancel_head_timeout(self) -> None:
        if self.head_timeout is not None:
            self.head_timeout.cancel()

    def parse_request(self) -> bool:
        """Parse the head and check the headers that frame the body."""
        stream = self.body_stream
        remaining = self.limits.max_header_bytes - len(self.raw_requestline)
        self.rfile = _HeaderReader(stream, remaining)
        try:
            if remaining < 0:
                raise _RefusedRequest(
                    _errors.ErrorKind.HEADERS_TOO_LARGE, 'the head is too long'
                )
            if not _is_strict_line(self.raw_requestline):
                raise _RefusedRequest(
                    _errors.ErrorKind.INVALID_REQUEST, 'malformed request line'
                )
            parsed: bool = super().parse_request()
            if parsed:
                self._check_framing()
        except _RefusedRequest as error:
            self._refuse_head(error.failure.kind, error.failure.message)
            return False
        finally:
            self.rfile = stream
        self._cancel_head_timeout()
        return parsed

    def _check_framing(self) -> None:
        """Refuse a request whose end HTTP parsers could find differently.

        Such a difference allows request smuggling.
        """
        lengths = self.headers.get_all('Content-Length') or []
        encodings = self.headers.get_all('Transfer-Encoding') or []
        fault = None
        if self.request_version != 'HTTP/1.1':
            # HTTP/1.0 has no chunked encoding, without which a truncated
            # response of unknown length would look complete.
            fault = 'only HTTP/1.1 is served'
        elif len(lengths) + len(encodings) > 1:
            fault = 'more than one body length'
        elif lengths and not _LENGTH.fullmatch(lengths[0]):
            fault = 'malformed Content-Length'
        elif encodings and encodings[0].strip().lower() != 'chunked':
            fault = 'unknown Transfer-Encoding'
        elif self.headers.defects or not all(
            _HEADER_NAME.fullmatch(name) and '\n' not in value
            for name, value in self.headers.items()
        ):
            fault = 'malformed headers'
        if fault is not None:
            raise _RefusedRequest(_errors.ErrorKind.INVALID_REQUEST, fault)

    def _refuse_head(self, kind: _errors.ErrorKind, message: str) -> None:
        self.close_connection = True
        reply = _replies.create_error_reply(_errors.Failure(kind, message), '')
        lines = [f'HTTP/1.1 {reply.status}', 'Connection: close']
        lines += [f'{name}: {value}' for name, value in reply.headers]
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        try:
            self.wfile.write(head + b''.join(reply.body))
            self.wfile.flush()
        except OSError:
            return

    def send_error(
        self, code: int, message: str | None = None, explain: Any = None
    ) -> None:
        """Answer a request that the base class refuses."""
        kind = _errors.ErrorKind.INVALID_REQUEST
        if code == 431:
            kind = _errors.ErrorKind.HEADERS_TOO_LARGE
        self._refuse_head(kind, message or 'bad request')

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with a body that is read strictly."""
        environ: dict[str, Any] = super().get_environ()
        expects_continue = (
            self.headers.get('Expect', '').lower() == '100-continue'
        )
        send_continue = (
            self._send_continue if expects_continue else _do_nothing
        )
        stream = self.body_stream
        body: Any
        if 'Transfer-Encoding' in self.headers:
            body = ChunkedInput(stream, send_continue)
        else:
            length = int(self.headers.get('Content-Length') or 0)
            body = _FixedInput(stream, length, send_continue)
        environ['wsgi.input'] = self.body = body
        environ[_CLOSE_KEY] = self._close_after_response
        # Makes the base class treat the body as read, so that it neither
        # discards the remainder nor sends 100 Continue.
        base_input = environ['eventlet.input']
        base_input.chunked_input = False
        base_input.content_length = 0
        base_input.wfile = None
        return environ

    def _send_continue(self) -> None:
        self.wfile.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self.wfile.flush()

    def _close_after_response(self) -> None:
        self.close_connection = True

    def handle_one_response(self) -> None:
        """Send the response, and linger if the body was not read whole."""
        super().handle_one_response()
        if not self.body.finished:
            self.close_connection = True
            self._linger()

    def _linger(self) -> None:
        try:
            with _loop.Timeout(_LINGER_SECONDS, False):
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_WR)
                remaining = _LINGER_BYTES
                while remaining > 0 and (data := self.rfile.read1(remaining)):
                    remaining -= len(data)
        except (OSError, ValueError):
            return


def _do_nothing() -> None:
    pass


class ClientThreadPool:
    """Green threads of client connections, up to a maximum number.

    At the limit an idle connection, which waits for its next request, is
    closed to accept a new one, so that idle connections cannot lock callers
    out. If none is idle, the new connection is dropped.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._threads: dict[Any, list[Any]] = {}

    def spawn(self, process: Callable[..., None], connection: Any) -> Any:
        """Handle a connection, a list of address, socket and state."""
        if len(self._threads) >= self._limit:
            self._close_idle_connection()
        thread = _loop.spawn(self._run, process, connection)
        self._threads[thread] = connection
        thread.link(self._forget)
        return thread

    def _run(self, process: Callable[..., None], connection: Any) -> None:
        if len(self._threads) > self._limit:
            return
        process(connection)

    def _forget(self, thread: Any) -> None:
        self._threads.pop(thread, None)

    def _close_idle_connection(self) -> None:
        for thread, connection in self._threads.items():
            if connection[2] == _loop.STATE_IDLE:
                thread.kill()
                connection[1].close()
                return

    def waitall(self) -> None:
        """Wait until every connection is closed."""
        for thread in list(self._threads):
            thread.wait()


def serve(
    listener: socket.socket,
    application: Callable[..., Any],
    limits: _limits.ServingLimits,
    certificates: _certificates.Certificates | None = None,
) -> None:
    """Serve callers until the calling green thread is killed.

    :param certificates: TLS files; None serves without TLS
    """

    def serve_request(environ: dict[str, Any], start_response: Any) -> Any:
        def start_closing(
            status: str, headers: list[tuple[str, str]], error: Any = None
        ) -> Any:
            if not environ['wsgi.input'].finished:
                environ[_CLOSE_KEY]()
            return start_response(status, headers, error)

        return application(environ, start_closing)

    _loop.serve(
        listener,
        serve_request,
        protocol=_certificates.wrap_protocol(
            functools.partial(Protocol, limits),
            certificates,
            limits.header_timeout,
        ),
        custom_pool=ClientThreadPool(limits.max_client_connections),
        keepalive=limits.progress_timeout.total_seconds(),
        socket_timeout=limits.progress_timeout.total_seconds(),
        # Chunks of a response are relayed as they arrive.
        minimum_chunk_size=1,
    )
