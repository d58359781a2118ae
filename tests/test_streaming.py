"""Tests of streaming and backpressure: large bodies in both directions."""

import json
import time

import pytest

from skylarktally import _loop
from tests import scripted
from tests import serving

MEGABYTE = 1000000
PATH = '/v1/pools/desk/jobs/report/t'


@pytest.mark.parametrize('tls', [False, True])
@pytest.mark.parametrize('chunked', [False, True])
def test_large_body_arrives_whole(chunked, tls):
    """Guards against bytes that are lost or repeated between chunks."""
    with serving.Cell(tls=tls) as cell:
        cell.add_worker()
        chunks = [bytes([65 + i % 26]) * 10007 for i in range(200)]
        body = b''.join(chunks)
        sent = iter(chunks) if chunked else body
        reply = cell.call('PUT', PATH, sent)
        assert reply.status == 200
        assert json.loads(reply.body)['body'].encode() == body


@pytest.mark.parametrize(
    'naive, tls', [(False, False), (True, False), (False, True)]
)
def test_upload_waits_for_the_worker(naive, tls):
    """Guards against a router that buffers whole request bodies.

    The worker does not read for 3 s, so that the caller must soon be unable
    to send.
    """
    with serving.Cell(naive=naive, tls=tls) as cell:
        worker = cell.add_scripted()
        worker.stall = 3.0
        router = cell.add_router()
        connection = serving.connect(router.serving_address)
        size = 60 * MEGABYTE
        head = f'PUT {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n'
        connection.sendall(head.encode() + b'\r\n')
        connection.settimeout(1.0)
        sent = 0
        chunk = b'x' * MEGABYTE
        try:
            while sent < size:
                sent += connection.send(chunk)
        except TimeoutError:
            pass
        connection.close()

        def check():
            # The socket buffers of both connections take some megabytes.
            assert sent < size / 2

        cell.expect_failure_if_naive(check)


@pytest.mark.parametrize('tls', [False, True])
def test_download_waits_for_the_caller(tls):
    """Guards against a router that buffers whole response bodies.

    The caller does not read, so that the worker must soon be unable to send.
    """
    sent = []

    def send(worker, connection, request):
        connection.settimeout(1.0)
        connection.sendall(scripted.CHUNKED_HEAD)
        chunk = scripted.build_chunks(b'x' * MEGABYTE, MEGABYTE)
        try:
            for _ in range(60):
                connection.sendall(chunk)
                sent.append(MEGABYTE)
        except TimeoutError:
            pass
        return False

    with serving.Cell(tls=tls) as cell:
        cell.add_scripted(script=send)
        connection = serving.connect(cell.add_router().serving_address)
        connection.sendall(f'GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        _loop.sleep(2.0)
        assert 0 < sum(sent) < 30 * MEGABYTE
        # The worker cut the response off, so it must not end with the last
        # chunk.
        received = bytearray()
        if tls:
            # The closing record of TLS must be missing as well.
            with pytest.raises(ConnectionResetError):
                while True:
                    received += connection.recv(65536)
        else:
            received += serving.read_all(connection)
        assert not received.endswith(b'0\r\n\r\n')
        connection.close()


def test_pieces_are_passed_on_as_they_arrive():
    """Guards against a stream that is held back until it is large.

    The worker pauses in the middle of each size line. The router must relay
    the previous chunk all the same.
    """

    def send(worker, connection, request):
        connection.sendall(scripted.CHUNKED_HEAD)
        for number in range(4):
            connection.sendall(b'1\r\n%d\r' % number)
            _loop.sleep(0.3)
            connection.sendall(b'\n')
        connection.sendall(b'0\r\n\r\n')
        _loop.sleep(0.3)
        return False

    with serving.Cell() as cell:
        cell.add_scripted(script=send)
        connection = serving.connect(cell.add_router().serving_address)
        connection.sendall(f'GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        start = time.monotonic()
        received = b''
        while b'\r\n\r\n1\r\n0\r\n' not in received:
            received += connection.recv(65536)
        assert time.monotonic() - start < 0.3
        while not received.endswith(b'0\r\n\r\n'):
            received += connection.recv(65536)
        assert b'1\r\n1\r\n1\r\n2\r\n1\r\n3\r\n' in received
        connection.close()
