"""Guards TLS of the listeners and of calls to workers and the platform."""

import datetime
from http import client
import socket
import ssl
import threading
import time
from wsgiref import simple_server

import pytest
from returns import result

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _table
from tests import certificates
from tests import scripted
from tests import serving
from tests import test_ctl

PATH = '/v1/pools/desk/jobs/report/a'
LIMITS = _limits.ServingLimits(
    header_timeout=datetime.timedelta(seconds=0.5),
    progress_timeout=datetime.timedelta(seconds=2),
    response_timeout=datetime.timedelta(seconds=0.4),
    max_client_connections=20,
)


@pytest.fixture
def authority(tmp_path):
    return certificates.Authority(tmp_path / 'ca')


@pytest.fixture
def cell():
    with serving.Cell(limits=LIMITS, tls=True) as cell:
        cell.add_worker()
        yield cell


def get_router(cell, **options):
    return cell.add_router(**options).serving_address


def count(counter, *labels):
    return counter.labels(*labels)._value.get()


def connect_plain(address):
    return serving.connect(address.removeprefix('https://'))


def test_request_through_both_hops(cell):
    """Guards against a router or worker that also answers in plain text."""
    address = get_router(cell)
    assert serving.call(address, 'GET', PATH).status == 200
    for tls_address in (address, cell.workers[0].server.address):
        connection = connect_plain(tls_address)
        connection.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n' * 50)
        # The server must end the stream cleanly: a reset raises here.
        assert not serving.read_all(connection).startswith(b'HTTP')
        connection.close()


@pytest.mark.parametrize(
    ('required', 'minimum', 'build', 'accepted'),
    [
        (False, '1.2', lambda a, b: a.create_client_tls(), True),
        (False, '1.2', lambda a, b: b.create_client_tls(), False),
        (True, '1.2', lambda a, b: a.create_client_tls(), False),
        (True, '1.2', lambda a, b: a.create_client_tls(name='c'), True),
        (True, '1.2', lambda a, b: b.create_client_tls('x', 'c', a), False),
        (False, '1.2', lambda a, b: b.create_client_tls('x', 'c', a), False),
        (False, '1.3', lambda a, b: a.create_client_tls(), True),
    ],
    ids=['ca', 'other-ca', 'none', 'own', 'foreign', 'offered', 'version'],
)
def test_callers_and_router_verify_each_other(
    cell, authority, tmp_path, required, minimum, build, accepted
):
    """Guards against a router or caller accepted without a valid certificate.

    Covers the router's certificate, client certificates that are required or
    only offered, and the minimum version.
    """
    other_authority = certificates.Authority(tmp_path / 'other')
    tls = authority.create_server_tls(
        require_client_certificate=required, minimum_version=minimum
    )
    address = get_router(cell, tls=tls)
    caller = build(authority, other_authority)
    if accepted:
        reply = serving.call(address, 'GET', PATH, client=caller)
        assert reply.status == 200
    else:
        with pytest.raises(OSError):
            serving.call(address, 'GET', PATH, client=caller)
        assert not cell.workers[0].worker.runs


def test_other_host_is_refused(authority):
    """Guards against a worker that presents the certificate of another."""
    server = serving.Server(lambda *_: [], tls=authority.create_server_tls())
    host, port = server.address.removeprefix('https://').rsplit(':', 1)
    connection = _loop.connect(host, int(port), 2)
    with pytest.raises(ssl.SSLCertVerificationError):
        authority.create_client_tls().wrap_client(connection, '127.0.0.2')
    server.stop()


@pytest.mark.filterwarnings('ignore:ssl.TLSVersion:DeprecationWarning')
@pytest.mark.parametrize('version', ['TLSv1', 'TLSv1_1'])
def test_old_versions_are_refused(cell, version):
    """Guards against a connection with a TLS version below 1.2."""
    address = get_router(cell)
    context = _loop.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.set_ciphers('ALL:@SECLEVEL=0')
    context.minimum_version = ssl.TLSVersion.TLSv1
    context.maximum_version = ssl.TLSVersion[version]
    wrapped = _loop.wrap_tls(connect_plain(address), context, '127.0.0.1')
    with pytest.raises(ssl.SSLError):
        wrapped.do_handshake()
    wrapped.close()


@pytest.mark.parametrize(
    'sent', [b'', b'\x16\x03\x01\x02\x00', b'\x16\x03\x01']
)
def test_incomplete_handshake_times_out(cell, sent):
    """Guards against a client that occupies a connection without a limit.

    It sends nothing, or only a part of the first TLS record.
    """
    address = get_router(cell)
    connection = connect_plain(address)
    connection.sendall(sent)
    start = time.monotonic()
    assert serving.read_all(connection) == b''
    assert 0.3 < time.monotonic() - start < 2
    connection.close()


def test_handshake_flood_does_not_block_callers(cell):
    """Guards against handshakes that don't count towards the limit.

    60 connections that never start their handshake exceed the limit of 20.
    """
    address = get_router(cell)
    silent = [connect_plain(address) for _ in range(60)]
    _loop.sleep(0.1)
    assert serving.call(address, 'GET', PATH, timeout=2).status == 200
    # Each connection above the limit closed an older one.
    assert sum(_loop.is_readable(x) for x in silent) >= 40
    for connection in silent:
        connection.close()


def read_subject(connection):
    return dict(x[0] for x in connection.getpeercert()['subject'])[
        'commonName'
    ]


def open_tls(address, authority):
    host = '127.0.0.1'
    return authority.create_client_tls().wrap_client(
        connect_plain(address), host
    )


def build_request():
    return f'GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


def send_request(connection):
    connection.sendall(build_request())
    return connection.recv(65536)


def test_reload_keeps_open_connections(cell, authority):
    """Guards against connections lost when a certificate is renewed.

    Open connections keep their certificate; new ones use the new one, as
    soon as two checks in a row have found the same files.
    """
    tls = authority.create_server_tls('reloaded')
    address = get_router(cell, tls=tls)
    before = open_tls(address, authority)
    assert send_request(before).startswith(b'HTTP/1.1 200')
    old = read_subject(before)
    authority.issue('reloaded')
    tls.reload_if_changed()
    # The first check after a change does not reload: more files may follow.
    assert read_subject(open_tls(address, authority)) == old
    tls.reload_if_changed()
    after = open_tls(address, authority)
    assert read_subject(after) != old
    for connection in (before, after):
        assert send_request(connection).startswith(b'HTTP/1.1 200')
        connection.close()


def test_bad_reload_keeps_the_old_certificate(cell, authority, caplog):
    """Guards against an outage caused by an invalid or half-replaced file.

    The failed reload is counted and logged once, not at every check.
    """
    tls = authority.create_server_tls('reloaded')
    address = get_router(cell, tls=tls)
    failed = count(_certificates.RELOADS, 'serving', 'failed')
    (authority.directory / 'reloaded.key').write_text('broken')
    for _ in range(5):
        tls.reload_if_changed()
    assert count(_certificates.RELOADS, 'serving', 'failed') == failed + 1
    assert len([x for x in caplog.records if 'not usable' in x.message]) == 1
    connection = open_tls(address, authority)
    assert send_request(connection).startswith(b'HTTP/1.1 200')
    connection.close()
    loaded = count(_certificates.RELOADS, 'serving', 'loaded')
    authority.issue('reloaded')
    tls.reload()
    assert count(_certificates.RELOADS, 'serving', 'loaded') == loaded + 1
    open_tls(address, authority).close()


def build_truncated_response(head, body):
    def script(worker, connection, request):
        connection.sendall(head + body)
        # Ends the TCP stream without the close_notify alert of TLS.
        socket.socket.shutdown(connection, socket.SHUT_RDWR)
        return False

    return script


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n',
        scripted.CHUNKED_HEAD,
        b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    ],
    ids=['length', 'chunked', 'until-close'],
)
def test_truncated_stream_is_not_a_complete_response(cell, head):
    """Guards against a truncated response that counts as complete.

    A worker ends its TCP stream within a response without close_notify.
    """
    cell.workers[0].stop()
    cell.workers.clear()
    cell.fleet.instances.clear()
    cell.add_scripted(script=build_truncated_response(head, b'5\r\nabcde\r\n'))
    try:
        reply = serving.call(get_router(cell), 'GET', PATH)
    except (OSError, client.IncompleteRead):
        # The router had already forwarded the start of the response.
        return
    assert reply.status == 502
    assert reply.outcome == 'unknown'


@pytest.mark.parametrize('close_notify', [True, False])
def test_end_of_stream_differs_from_truncation(authority, close_notify):
    """Guards against a truncated stream that reads like a regular end."""
    listener, address = serving.listen()
    server = authority.create_server_tls()

    def answer():
        opened = server.wrap_server(listener.accept()[0], lambda _: None)
        opened.sendall(b'abc')
        if close_notify:
            opened.unwrap()
        else:
            socket.socket.shutdown(opened, socket.SHUT_RDWR)

    thread = _loop.spawn(answer)
    connection = open_tls(address, authority)
    assert connection.recv(10) == b'abc'
    assert _loop.wait_readable(connection, 2)
    if close_notify:
        assert connection.recv(10) == b''
    else:
        with pytest.raises(ConnectionResetError):
            connection.recv(10)
    thread.kill()
    connection.close()
    listener.close()


def test_session_tickets_are_not_data(cell):
    """Guards against session tickets mistaken for the start of a response."""
    connection = serving.connect(get_router(cell))
    assert not _loop.wait_readable(connection, 0.1)
    assert not _loop.is_readable(connection)
    connection.sendall(build_request() * 2)
    assert _loop.wait_readable(connection, 2)
    stream = connection.makefile('rb')
    assert stream.readline() == b'HTTP/1.1 200 OK\r\n'
    stream.close()
    connection.close()


def test_first_response_is_not_delayed_by_session_tickets(cell):
    """Guards against a delay of 40 ms on each new connection.

    Without TCP_NODELAY the first response waits until the client has
    acknowledged the session tickets, which TCP delays.
    """
    address = get_router(cell)

    def measure():
        start = time.monotonic()
        assert serving.call(address, 'GET', PATH).status == 200
        return time.monotonic() - start

    # With the fault each connection is delayed. Other processes can delay
    # many of them as well, but not all of so many.
    assert any(measure() < 0.03 for _ in range(200))


def test_slow_tasks_on_new_connections_do_not_time_out(cell):
    """Guards against slow tasks that are ended by response_timeout.

    A task of 1 s must succeed although no byte of its response arrives for
    0.4 s, also when session tickets make its new connection readable.
    """
    get_router(cell)
    path = '/v1/pools/desk/jobs/report/work?seconds=1.0'
    assert [x.status for x in cell.burst(6, path)] == [200] * 6
    assert len(cell.workers[0].worker.runs) == 6


def test_idle_connections_are_reused(cell):
    """Guards against a new connection, and handshake, for each request."""
    address = get_router(cell)
    for _ in range(5):
        assert serving.call(address, 'GET', PATH).status == 200
    pipeline = cell.routers[0].pipeline
    assert sum(pipeline._connections.open_counts.values()) <= 2


@pytest.fixture
def platform(authority):
    """A platform without rows, which runs in a thread of its own."""

    def answer(environ, start_response):
        start_response('404 Not Found', [('Content-Type', 'text/plain')])
        return [b'{}']

    server = simple_server.make_server(
        '127.0.0.1', 0, answer, handler_class=test_ctl.QuietHandler
    )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(*authority.issue('platform'))
    server.socket = context.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield f'https://127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize('trusted', [True, False])
def test_certificate_of_the_platform_is_verified(
    platform, authority, tmp_path, trusted
):
    """Guards against state read from a platform with an untrusted CA."""
    other_authority = certificates.Authority(tmp_path / 'other')
    tls = (authority if trusted else other_authority).create_client_tls(
        'platform'
    )
    clock = _clock.SystemClock()
    limits = _limits.PlatformLimits(clock, 10, 10)
    table = _table.HttpTable(platform, clock, limits, tls)
    outcome = table.read('k')
    if trusted:
        assert outcome == result.Success(None)
    else:
        assert outcome.failure().kind.value == 'platform_unavailable'
        assert 'CERTIFICATE_VERIFY_FAILED' in outcome.failure().message
