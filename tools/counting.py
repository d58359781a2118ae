"""Endpoints on loopback that count the bytes of a controller's calls."""

import asyncio
from collections.abc import Iterable
import json
import threading

_PIECE = 65536


class Endpoints:
    """Workers that answer only probes of their fence, and a relay.

    All workers share a port and differ in address. Bytes are those of the
    streams in both directions, without TCP/IP headers.
    """

    def __init__(self) -> None:
        self.worker_bytes = 0
        self.probes = 0
        self.platform_bytes = 0
        self.platform_requests = 0
        self._fences: dict[str, dict[str, object]] = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def serve_workers(self, hosts: Iterable[str], port: int) -> None:
        """Answer as unfenced workers on a port of many addresses."""
        listed = list(hosts)
        self._run(asyncio.start_server(self._answer, listed, port))

    def relay(self, address: str, target: str) -> None:
        """Relay the connections to an address to another one."""
        host, port = address.split(':')

        async def connect(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            far_host, far_port = target.split(':')
            far = await asyncio.open_connection(far_host, int(far_port))
            await asyncio.gather(
                self._copy(reader, far[1], 1), self._copy(far[0], writer, 0)
            )

        self._run(asyncio.start_server(connect, host, int(port)))

    def _run(self, starting: object) -> None:
        future = asyncio.run_coroutine_threadsafe(
            starting,  # type: ignore[arg-type]
            self._loop,
        )
        future.result(10)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: int,
    ) -> None:
        while data := await reader.read(_PIECE):
            self.platform_bytes += len(data)
            # Each request of the platform client is one small write.
            self.platform_requests += requests
            writer.write(data)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info('sockname')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().lower().split('\r\n')
                sizes = [x for x in lines if x.startswith('content-length')]
                size = int(sizes[0].split(':')[1]) if sizes else 0
                body = await reader.readexactly(size)
                fence = self._fences.setdefault(host, {'epoch': 0})
                if body:
                    fence.update(json.loads(body))
                reply = self._write_fence(fence)
                self.probes += 1
                self.worker_bytes += len(head) + len(body) + len(reply)
                writer.write(reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _write_fence(self, fence: dict[str, object]) -> bytes:
        # The head is as long as that of the worker stand-in.
        body = json.dumps(
            {'pool': None, 'running': 0, 'boot_id': 32 * '0', **fence}
        )
        return (
            'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'ETag: "{32 * "0"}-{fence["epoch"]}"\r\n'
            'Date: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n' + body
        ).encode()
