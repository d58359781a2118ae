"""A small HTTP/1.1 server and client with JSON bodies, on asyncio."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
import urllib.parse


class Request(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]
    # Tells whether the caller has closed its connection meanwhile.
    is_abandoned: Callable[[], bool]


class Reply(NamedTuple):
    """Status and JSON body of a response; no response if status is 0."""

    status: int
    body: dict[str, Any]


Handler = Callable[[Request], Awaitable[Reply]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    first = (await reader.readuntil(b'\r\n')).decode('latin-1').rstrip()
    headers = {}
    while line := (await reader.readuntil(b'\r\n')).decode('latin-1').rstrip():
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return first, headers, body


class Server:
    """Serves one handler on a loopback port until it is closed."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'127.0.0.1:{self.port}'

    async def open(self) -> None:
        """Listen, on the same port as before if it was open before."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, content = await _read_message(reader)
                method, target, _ = first.split(' ')
                parts = urllib.parse.urlsplit(target)
                reply = await self._handler(
                    Request(
                        method,
                        parts.path,
                        dict(urllib.parse.parse_qsl(parts.query)),
                        headers,
                        json.loads(content) if content else {},
                        writer.transport.is_closing,
                    )
                )
                if not reply.status or self._server is None:
                    break
                data = json.dumps(reply.body).encode()
                writer.write(
                    f'HTTP/1.1 {reply.status} Answer\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            # The other side has closed the connection.
            return
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    timeout: float,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send a request on a new connection; status 0 without a response."""
    host, _, port = address.rpartition(':')
    content = b'' if body is None else json.dumps(body).encode()
    fields = {'Host': address, 'Connection': 'close', **(headers or {})}
    if body is not None:
        fields['Content-Type'] = 'application/json'
    fields['Content-Length'] = str(len(content))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join([*lines, '', '']).encode() + content)
            first, _, answer = await _read_message(reader)
            status = int(first.split(' ')[1])
            return Reply(status, json.loads(answer) if answer else {})
    except (OSError, EOFError, TimeoutError, ValueError):
        return Reply(0, {})
    finally:
        if writer is not None:
            writer.transport.abort()
