"""Tests of limits on callers: heads, bodies, slow and idle connections."""

import datetime
import json
import time

import pytest

from skylarktally import _limits
from skylarktally import _loop
from tests import serving

PATH = '/v1/pools/desk/jobs/report/a'
HOST = 'Host: x\r\n'
LIMITS = _limits.ServingLimits(
    header_timeout=datetime.timedelta(seconds=0.4),
    progress_timeout=datetime.timedelta(seconds=0.6),
    max_body_bytes=200000,
    max_client_connections=20,
)


@pytest.fixture(params=['product', 'naive'])
def cell(request):
    with serving.Cell(limits=LIMITS, naive=request.param == 'naive') as cell:
        cell.add_worker()
        cell.add_router()
        yield cell


@pytest.fixture
def product():
    with serving.Cell(limits=LIMITS) as cell:
        cell.add_worker()
        cell.add_router()
        yield cell


def send_raw(cell, data, wait=5.0):
    """Send raw bytes and return all bytes until the router closes.

    :param wait: timeout in seconds; like any error, it returns no bytes
    """
    connection = serving.connect(cell.routers[0].serving_address)
    connection.settimeout(wait)
    try:
        connection.sendall(data)
        return serving.read_all(connection)
    except OSError:
        return b''
    finally:
        connection.close()


def count_runs(cell):
    return len(cell.workers[0].worker.runs)


def build_request(headers, body='', line=f'POST {PATH} HTTP/1.1'):
    close = 'Connection: close\r\n'
    return f'{line}\r\n{HOST}{close}{headers}\r\n{body}'.encode()


MALFORMED = {
    'both': ('Content-Length: 5\r\nTransfer-Encoding: chunked\r\n', '0\r\n'),
    'both-swapped': (
        'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n',
        '0\r\n\r\n',
    ),
    'two-lengths': ('Content-Length: 5\r\nContent-Length: 6\r\n', 'abcdef'),
    'same-length-twice': (
        'Content-Length: 1\r\nContent-Length: 1\r\n',
        'a',
    ),
    'length-list': ('Content-Length: 1, 1\r\n', 'a'),
    'plus': ('Content-Length: +1\r\n', 'a'),
    'minus': ('Content-Length: -1\r\n', 'a'),
    'underscore': ('Content-Length: 1_0\r\n', 'abcdefghij'),
    'hex': ('Content-Length: 0x1\r\n', 'a'),
    'space-in-name': ('Content-Length : 1\r\n', 'a'),
    'folded': ('Content-Length: 1\r\nX-A: b\r\n c\r\n', 'a'),
    'unknown-encoding': ('Transfer-Encoding: gzip, chunked\r\n', '0\r\n\r\n'),
    'two-encodings': (
        'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
        '0\r\n\r\n',
    ),
    'chunk-minus': ('Transfer-Encoding: chunked\r\n', '-1\r\na\r\n0\r\n\r\n'),
    'chunk-plus': ('Transfer-Encoding: chunked\r\n', '+1\r\na\r\n0\r\n\r\n'),
    'chunk-hex': ('Transfer-Encoding: chunked\r\n', '0x1\r\na\r\n0\r\n\r\n'),
    'chunk-end': ('Transfer-Encoding: chunked\r\n', '1\r\naXX0\r\n\r\n'),
    'chunk-bare-lf': ('Transfer-Encoding: chunked\r\n', '1\na\n0\n\n'),
    'chunk-no-size': (
        'Transfer-Encoding: chunked\r\n',
        ';a\r\na\r\n0\r\n\r\n',
    ),
    'chunk-space': ('Transfer-Encoding: chunked\r\n', '1 \r\na\r\n0\r\n\r\n'),
    'chunk-huge': (
        'Transfer-Encoding: chunked\r\n',
        '100000001\r\na\r\n0\r\n\r\n',
    ),
    'chunk-extension-lf': (
        'Transfer-Encoding: chunked\r\n',
        '1;a\nb\r\na\r\n0\r\n\r\n',
    ),
    'chunk-extension-long': (
        'Transfer-Encoding: chunked\r\n',
        f'1;{"a" * 2000}\r\na\r\n0\r\n\r\n',
    ),
    'empty-length': ('Content-Length: \r\n', ''),
    'bare-lf': ('X-A: b\nContent-Length: 1\r\n', 'a'),
    'bare-lf-at-end': ('Content-Length: 1\n', 'a'),
    'bare-cr': ('X-A: b\rContent-Length: 1\r\n', 'a'),
    'null': ('X-A: b\0c\r\nContent-Length: 1\r\n', 'a'),
    'folded-length': ('Content-Length:\r\n 1\r\n', 'a'),
    'no-colon': ('X-A\r\nContent-Length: 1\r\n', 'a'),
}


@pytest.mark.parametrize('name', MALFORMED)
def test_malformed_framing_is_refused(cell, name):
    """Guards against request smuggling.

    HTTP parsers find different ends of the body in these requests.
    """
    response = send_raw(cell, build_request(*MALFORMED[name]), wait=2.0)

    def check():
        assert response.startswith(b'HTTP/1.1 400 ')
        assert b'Skylarktally-Outcome: not-run' in response
        assert count_runs(cell) == 0

    cell.expect_failure_if_naive(check)


@pytest.mark.parametrize(
    'data, status',
    [
        (
            build_request(
                'X-A: ' + 'a' * 9000 + '\r\n' + 'X-B: ' + 'b' * 9000
            ),
            431,
        ),
        (build_request('X-A: ' + 'a' * 17000), 431),
        (build_request('X-A: b\r\n' * 2500), 431),
        (build_request('', line=f'GET {PATH}{"a" * 9000} HTTP/1.1'), 431),
        (build_request('Content-Length: 200001\r\n'), 413),
        (
            build_request(
                'Transfer-Encoding: chunked\r\n',
                f'{50000:x}\r\n{"a" * 50000}\r\n' * 5 + '0\r\n\r\n',
            ),
            502,
        ),
        (build_request('', line=f'GET {PATH} HTTP/1.0'), 400),
        (build_request('', line='GET /'), 400),
    ],
)
def test_oversized_requests_are_refused(cell, data, status):
    """Guards against callers that make the router use unlimited memory."""
    response = send_raw(cell, data, wait=2.0)

    def check():
        assert response.startswith(f'HTTP/1.1 {status} '.encode())
        # A chunked body is already being relayed when it exceeds the limit,
        # so that the request may have run.
        outcome = b'unknown' if status == 502 else b'not-run'
        assert b'Skylarktally-Outcome: ' + outcome in response

    cell.expect_failure_if_naive(check)


@pytest.mark.parametrize(
    'sent, status',
    [
        (f'GET {PATH} HTTP/1.1\r\nHost: x\r\n', 408),
        (f'GET {PATH} HT', 408),
        (build_request('Content-Length: 10\r\n', 'abc').decode(), 408),
        (
            build_request(
                'Transfer-Encoding: chunked\r\n', '5\r\nab'
            ).decode(),
            408,
        ),
    ],
)
def test_slow_sender_is_cut_off(cell, sent, status):
    """Guards against unfinished requests that occupy a connection or slot."""
    start = time.monotonic()
    response = send_raw(cell, sent.encode(), wait=1.5)
    seconds = time.monotonic() - start

    def check():
        assert response.startswith(f'HTTP/1.1 {status} '.encode())
        assert seconds < 1.5
        assert count_runs(cell) == 0

    cell.expect_failure_if_naive(check)


def test_drip_of_header_bytes_is_cut_off(cell):
    """Guards against a head that never ends.

    Each line arrives within the progress timeout, so that only the timeout
    of the whole head ends it.
    """
    connection = serving.connect(cell.routers[0].serving_address)
    connection.sendall(f'GET {PATH} HTTP/1.1\r\n'.encode())

    def check():
        with pytest.raises(OSError):
            for _ in range(40):
                connection.sendall(b'X-A: b\r\n')
                _loop.sleep(0.05)

    if cell.naive:
        with pytest.raises(pytest.fail.Exception):
            check()
    else:
        check()
    connection.close()


def test_drip_of_body_bytes_ends_at_the_deadline(cell):
    """Guards against a slow body that occupies a slot beyond the deadline.

    Each byte arrives within the progress timeout.
    """
    connection = serving.connect(cell.routers[0].serving_address)
    headers = 'Skylarktally-Timeout-Ms: 1000\r\nContent-Length: 150000\r\n'
    connection.sendall(build_request(headers, 'a' * 70000))

    def check():
        deadline = time.monotonic() + 2.5
        while not _loop.is_readable(connection):
            assert time.monotonic() < deadline
            connection.sendall(b'a')
            _loop.sleep(0.1)
        response = connection.recv(65536)
        assert b'Skylarktally-Outcome: unknown' in response
        _loop.sleep(0.1)
        assert not cell.workers[0].worker.running

    cell.expect_failure_if_naive(check)
    connection.close()


def test_cut_request_body_does_not_run(cell):
    """Guards against a task that runs with a truncated body."""
    connection = serving.connect(cell.routers[0].serving_address)
    connection.sendall(build_request('Content-Length: 10\r\n', 'abc'))
    connection.shutdown(1)
    response = serving.read_all(connection)
    connection.close()

    def check():
        assert count_runs(cell) == 0
        assert b'Skylarktally-Outcome: not-run' in response

    cell.expect_failure_if_naive(check)


def test_idle_connections_do_not_keep_callers_out(cell):
    """Guards against idle connections that lock callers out.

    There are three times as many as the router accepts.
    """
    address = cell.routers[0].serving_address
    idle = [serving.connect(address) for _ in range(60)]
    _loop.sleep(0.1)

    def check():
        assert cell.call('GET', PATH, timeout=2).status == 200
        # For each connection above the limit an older one was closed.
        closed = sum(_loop.is_readable(x) for x in idle)
        assert closed >= 40

    cell.expect_failure_if_naive(check)
    for connection in idle:
        connection.close()


def test_slow_reader_frees_the_slot(cell):
    """Guards against callers that never read and so occupy slots forever."""
    path = '/v1/pools/desk/jobs/report/work?bytes=30000000'
    request = f'GET {path} HTTP/1.1\r\n{HOST}\r\n'.encode()
    connections = []
    for _ in range(8):
        connections.append(serving.connect(cell.routers[0].serving_address))
        connections[-1].sendall(request)
    worker = cell.workers[0].worker

    def check():
        deadline = time.monotonic() + 4
        while worker.running or not worker.runs:
            assert time.monotonic() < deadline
            _loop.sleep(0.05)
        assert cell.call('GET', PATH).status == 200

    cell.expect_failure_if_naive(check)
    for connection in connections:
        connection.close()


def test_early_refusal_is_readable(product):
    """Guards against a response that is lost in a connection reset.

    Closing a connection with unread bytes of the body resets it.
    """
    head = f'POST /elsewhere HTTP/1.1\r\n{HOST}Content-Length: 150000\r\n\r\n'
    response = send_raw(product, head.encode() + b'a' * 150000)
    assert response.startswith(b'HTTP/1.1 404 ')
    error = json.loads(response.split(b'\r\n\r\n', 1)[1])['error']
    assert error['outcome'] == 'not-run'


def test_connection_is_reused_after_an_answer(product):
    """Guards against requests that start at a wrong byte after a body."""
    connection = serving.connect(product.routers[0].serving_address)
    stream = connection.makefile('rb')
    for body in (b'first', b'', b'third'):
        head = f'POST {PATH} HTTP/1.1\r\n{HOST}Content-Length: {len(body)}'
        connection.sendall(head.encode() + b'\r\n\r\n' + body)
        length = 0
        while (line := stream.readline()) not in (b'\r\n', b''):
            if line.lower().startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        assert json.loads(stream.read(length))['body'] == body.decode()
    connection.close()


def test_bare_line_feed_after_the_request_line_is_refused(cell):
    """Guards against request smuggling by a bare line feed.

    HTTP parsers find different lines in such a head.
    """
    data = build_request('Content-Length: 1\r\n', 'a').replace(
        b'\r\n', b'\n', 1
    )
    response = send_raw(cell, data, wait=2.0)

    def check():
        assert response.startswith(b'HTTP/1.1 400 ')
        assert count_runs(cell) == 0

    cell.expect_failure_if_naive(check)


def test_chunk_extensions_end_at_the_router(cell):
    """Guards against chunk extensions that reach a worker.

    A worker could take them for a part of the body.
    """
    body = '1;a=b\r\na\r\n2;c="d"\r\nbc\r\n0;e\r\nX-T: t\r\n\r\n'
    response = send_raw(
        cell, build_request('Transfer-Encoding: chunked\r\n', body)
    )

    def check():
        assert response.startswith(b'HTTP/1.1 200 ')
        assert b'"body": "abc"' in response
        assert count_runs(cell) == 1

    cell.expect_failure_if_naive(check)
