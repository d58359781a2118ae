"""HTTP calls to the platform and to workers, with JSON bodies.

An owner makes a thousand and more calls a second in a surge, so that the
cost of a call decides how large a pool an entry instance can own. The
client is therefore a thin layer over the parser of httptools: a call of
urllib3 makes 650 calls of Python functions, which took four times as long.
"""

import collections
from collections.abc import Callable
import datetime
import json
import re
from typing import Any, NamedTuple
from urllib import parse

import httptools
from returns import result

from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _loop
from skylarktally import _values

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
# Idle connections kept open to each address, and number of addresses with
# open connections.
_IDLE_CONNECTIONS = 16
_MAX_ADDRESSES = 512
_READ_BYTES = 65536
# A larger body would take too much of the memory of a small entry instance.
_MAX_BODY_BYTES = 16 * 1024 * 1024
# Would end a line of the request.
_LINE_BREAK = re.compile('[\r\n]')


class Response(NamedTuple):
    """Status and decoded JSON body of a response."""

    status: int
    body: dict[str, Any]


CallOutcome = result.Result[Response, _errors.Failure]


class _ResponseReader:
    """Collects a response from the parser, which calls its methods."""

    def __init__(self) -> None:
        self.is_complete = False
        # Whether the connection can be used for another request; the parser
        # knows that only while it completes the message.
        self.keeps_connection = False
        self._status = 0
        self._content: list[bytes] = []
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse data; HttpParserError if it is no HTTP response."""
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > _MAX_BODY_BYTES:
            # The parser wraps it, so that the caller sees a parser error.
            raise ValueError(f'the body is above {_MAX_BODY_BYTES} bytes')
        self._content.append(data)

    def on_message_complete(self) -> None:
        self._status = self._parser.get_status_code()
        # A response with status 1xx announces the actual one.
        if self._status >= 200:
            self.is_complete = True
            self.keeps_connection = self._parser.should_keep_alive()

    def decode(self) -> Response:
        """Return the response; MalformedInput if it is no JSON object."""
        content = b''.join(self._content)
        body = _values.parse_object(content) if content else {}
        return Response(self._status, body)


class _Connection:
    """An open connection to a server."""

    def __init__(self, address: str) -> None:
        host, port = _fields.split_address(address)
        self._socket = _loop.connect_patiently(
            host, port, _CONNECT_TIMEOUT.total_seconds()
        )

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread data.

        Asks the system at once, without a round of the loop: with hundreds
        of green threads ready, each call would wait for all of them.
        """
        return not _loop.is_readable(self._socket)

    def exchange(
        self, request: bytes, timeout: datetime.timedelta
    ) -> _ResponseReader:
        """Send a request and read its response."""
        self._socket.settimeout(timeout.total_seconds())
        self._socket.sendall(request)
        reader = _ResponseReader()
        while not reader.is_complete:
            data = self._socket.recv(_READ_BYTES)
            if not data:
                raise ConnectionError('the server closed the connection')
            reader.feed(data)
        return reader

    def close(self) -> None:
        self._socket.close()

    def abort(self) -> None:
        """Close the connection and discard a request not yet delivered."""
        _loop.abort(self._socket)


class HttpClient:
    """HTTP client with a pool of connections for each address.

    A call that may have reached the server but has no usable response fails
    with OUTCOME_UNKNOWN; a call without a connection was never sent and
    fails with the kind given at construction.
    """

    def __init__(self, unreachable_kind: _errors.ErrorKind) -> None:
        self._unreachable_kind = unreachable_kind
        # Idle connections by address, the most recently used address last.
        self._idle: collections.OrderedDict[str, list[_Connection]] = (
            collections.OrderedDict()
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: datetime.timedelta,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, Any] | None = None,
        *,
        find_time_left: Callable[[], datetime.timedelta] | None = None,
    ) -> CallOutcome:
        """Send a request and return its response.

        :param timeout: longest wait for the next data of the response
        :param find_time_left: returns how long the request is permitted.
            Asked when the connection is open, since that may take some time;
            without time left, the request is not sent
        """
        target = f'{path}?{parse.urlencode(query)}' if query else path
        try:
            request = _encode_request(
                method, address, target, body, headers or {}
            )
            connection = self._connect(address)
        except (OSError, ValueError) as error:
            return _fail(self._unreachable_kind, f'{address}: {error}')
        if find_time_left is not None:
            timeout = min(timeout, find_time_left())
            if not timeout:
                self._keep(address, connection, is_reusable=True)
                message = f'{address}: the permission has ended'
                return _fail(self._unreachable_kind, message)
        try:
            reader = connection.exchange(request, timeout)
            response = reader.decode()
        except (OSError, ValueError, httptools.HttpParserError) as error:
            # A late delivery would carry out what the caller has given up.
            connection.abort()
            self._close_idle(address)
            kind = _errors.ErrorKind.OUTCOME_UNKNOWN
            return _fail(kind, f'{address}: {error}')
        self._keep(address, connection, reader.keeps_connection)
        return result.Success(response)

    def _connect(self, address: str) -> _Connection:
        """Return an idle connection, or open a new one."""
        idle = self._find_idle(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        return _Connection(address)

    def _find_idle(self, address: str) -> list[_Connection]:
        """Return the idle connections to an address, and mark it as used."""
        idle = self._idle.setdefault(address, [])
        self._idle.move_to_end(address)
        if len(self._idle) > _MAX_ADDRESSES:
            self._close_idle(next(iter(self._idle)))
        return idle

    def _close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        All that go through a device which has lost their state are silent,
        and each would cost another timeout.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def _keep(
        self, address: str, connection: _Connection, is_reusable: bool
    ) -> None:
        """Keep a connection for the next call, or close it."""
        idle = self._find_idle(address)
        if is_reusable and len(idle) < _IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()


def _encode_request(
    method: str,
    address: str,
    target: str,
    body: dict[str, Any] | None,
    headers: dict[str, str],
) -> bytes:
    """Return the bytes of a request; ValueError if a header has a break."""
    content = b''
    fields = {'Host': address, **headers}
    if body is not None:
        content = json.dumps(body, separators=(',', ':')).encode()
        fields['Content-Type'] = 'application/json'
        fields['Content-Length'] = str(len(content))
    head = [f'{method} {target} HTTP/1.1']
    head += [f'{name}: {value}' for name, value in fields.items()]
    if any(_LINE_BREAK.search(line) for line in head):
        raise ValueError('a header contains a line break')
    return '\r\n'.join([*head, '', '']).encode('latin-1') + content


def _fail(kind: _errors.ErrorKind, message: str) -> CallOutcome:
    return result.Failure(_errors.Failure(kind, message))
