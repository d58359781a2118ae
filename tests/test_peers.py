"""Tests of the peer protocol: authentication, timeouts and limits."""

import datetime
import pathlib
import socket
import struct
import time
from unittest import mock

import pytest
from returns import result

from skylarktally import _certificates
from skylarktally import _channels
from skylarktally import _claims
from skylarktally import _forwarding
from skylarktally._gen.peer import ttypes
from skylarktally import _handlers
from skylarktally import _loop
from skylarktally import _peers
from tests import certificates

SECRET = 'x' * 32
OTHER_SECRET = 'y' * 32
FRAME_BYTES = 1 << 16
_TIMEOUT = datetime.timedelta(seconds=0.3)


class Handler:
    """Handler whose replies repeat parts of the request."""

    def __init__(self):
        self.delay = 0
        self.size = 0
        self.pushed = []

    def sync(self, request):
        _loop.sleep(self.delay)
        return ttypes.SyncReply(
            responder=request.sender, log_version=request.log_version
        )

    def push_log(self, entries):
        self.pushed.append(entries)
        return entries[-1].version

    def fetch_snapshot(self):
        return ttypes.Snapshot(log_version=1, body='x' * self.size)

    def find_answer(self, request_key):
        raise ValueError(request_key)

    def get_observations(self):
        return '{}'


class PeerFixture:
    """A server on loopback and a client for it."""

    def __init__(self, limit=8, tls=None):
        self.handler = Handler()
        self.server = _peers.PeerServer(
            self.handler,
            _peers.Secrets(SECRET, (SECRET, OTHER_SECRET)),
            limit,
            FRAME_BYTES,
            tls,
        )
        self.listener = _loop.listen(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        self.thread = _loop.spawn(self.server.serve, self.listener)
        self.client = self.create_client(SECRET)

    def create_client(self, secret, limit=4, tls=None, source=''):
        return _peers.ThriftPeerClient(
            _peers.Secrets(secret, (secret,)),
            _TIMEOUT,
            _TIMEOUT,
            limit,
            FRAME_BYTES,
            tls,
            source,
        )

    def connect(self):
        return _loop.connect('127.0.0.1', self.port, 2)

    def stop(self):
        self.thread.kill()
        self.listener.close()
        self.client.close()


@pytest.fixture
def peer():
    fixture = PeerFixture()
    yield fixture
    fixture.stop()


def sync(client, address, version=7):
    return client.sync(address, ttypes.SyncRequest(log_version=version))


def is_refused(outcome):
    return not isinstance(outcome, result.Success)


def test_calls_share_one_connection(peer):
    """Guards against a new connection and handshake for each call."""
    for version in range(20):
        answer = sync(peer.client, peer.address, version)
        assert answer.unwrap().log_version == version
    assert peer.server.counts['connections'] == 1
    assert peer.server.counts['received_bytes'] > 20 * 24


@pytest.mark.parametrize('source', ['', '127.0.0.9:8082'])
def test_calls_leave_from_the_own_address(source):
    """Guards against calls that leave from the default address.

    Rules of the network tell instances apart by their addresses.
    """
    listener = _loop.listen(('127.0.0.1', 0))
    client = PeerFixture.create_client(None, SECRET, source=source)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    thread = _loop.spawn(sync, client, address)
    connection, (host, _port) = listener.accept()
    connection.close()
    listener.close()
    assert is_refused(thread.wait())
    assert host == (source.split(':')[0] or '127.0.0.1')


@pytest.mark.parametrize(
    ('secret', 'accepted'),
    [(SECRET, True), (OTHER_SECRET, True), ('z' * 32, False)],
)
def test_only_holders_of_an_accepted_secret_are_served(peer, secret, accepted):
    """Guards against calls that are served without an accepted secret."""
    outcome = sync(peer.create_client(secret), peer.address)
    assert is_refused(outcome) is not accepted
    assert peer.server.counts['unauthenticated'] == (not accepted)


def test_server_that_does_not_know_the_secret_gets_no_request():
    """Guards against requests sent to a server that has not proved itself.

    The server replies with a wrong proof.
    """
    received = []
    listener = _loop.listen(('127.0.0.1', 0))

    def impersonate_server():
        connection, _ = listener.accept()
        received.append(connection.recv(1000))
        connection.sendall(b'\0' * 48)
        received.append(connection.recv(1000))

    thread = _loop.spawn(impersonate_server)
    client = PeerFixture.create_client(None, SECRET)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    assert is_refused(sync(client, address))
    thread.wait()
    listener.close()
    assert len(received[0]) == 28 and received[1] == b''


def record_call(peer):
    """Return the bytes that a client sends for one call, seen by a proxy."""
    sent = []
    listener = _loop.listen(('127.0.0.1', 0))

    def relay():
        client, _ = listener.accept()
        server = peer.connect()
        _loop.spawn(pump, server, client, [])
        pump(client, server, sent)

    def pump(source, target, copy):
        while data := source.recv(65536):
            copy.append(data)
            target.sendall(data)

    _loop.spawn(relay)
    push(peer.client, f'127.0.0.1:{listener.getsockname()[1]}')
    listener.close()
    return b''.join(sent)


def push(client, address):
    entry = ttypes.LogEntry(version=1, body='{}')
    return client.push_log(address, [entry])


def test_recorded_call_is_not_served_again(peer):
    """Guards against replay attacks: all bytes of a call are sent again."""
    recorded = record_call(peer)
    assert len(peer.handler.pushed) == 1
    connection = peer.connect()
    connection.sendall(recorded)
    data = b''
    while part := connection.recv(1000):
        data += part
    # The server sends its nonce and proof. It closes the connection after the
    # replayed proof, which does not match its new nonce.
    assert len(data) == 48
    assert len(peer.handler.pushed) == 1


@pytest.mark.parametrize('position', [20, 50, 61, -1])
def test_altered_bytes_are_refused(peer, position):
    """Guards against calls that are altered on the network.

    One bit is inverted in the nonce, the proof, or the length or content of a
    record.
    """

    def open_altered(connection):
        sendall, sent = connection.sendall, []

        def alter(data):
            start = sum(map(len, sent))
            sent.append(data)
            changed = bytearray(data)
            index = position - start if position >= 0 else len(data) - 1
            if 0 <= index < len(data) and (position >= 0 or len(sent) == 3):
                changed[index] ^= 1
            sendall(bytes(changed))

        proxy = AlteringConnection(connection, alter)
        return _channels.open_channel(proxy, SECRET, FRAME_BYTES)

    connection = peer.connect()
    with pytest.raises((EOFError, OSError, _channels.AuthenticationError)):
        channel = open_altered(connection)
        channel.write(b'\0\0\0\1x')
        channel.read(1)
    assert not peer.handler.pushed


class AlteringConnection:
    """Connection whose sendall is replaced."""

    def __init__(self, connection, sendall):
        self.sendall = sendall
        self.recv_into = connection.recv_into


def test_a_record_is_not_accepted_twice_or_by_its_sender():
    """Guards against records that are replayed or reflected."""
    left, right = socket.socketpair()
    client = _channels.Channel(left, b'k', True, FRAME_BYTES)
    server = _channels.Channel(right, b'k', False, FRAME_BYTES)
    client.write(b'one')
    assert server.read(10) == b'one'
    server.write(b'two')
    record = _channels.receive_exactly(left, 4 + 16 + 3)
    left.sendall(record)
    with pytest.raises(_channels.AuthenticationError):
        server.read(10)
    right.sendall(record * 2)
    assert client.read(10) == b'two'
    with pytest.raises(_channels.AuthenticationError):
        client.read(10)


def test_oversized_record_is_refused_before_it_is_read():
    """Guards against memory use by the stated length of a record."""
    left, right = socket.socketpair()
    left.sendall(struct.pack('!I', FRAME_BYTES + 1) + b'\0' * 16)
    channel = _channels.Channel(right, b'k', False, FRAME_BYTES)
    with pytest.raises(_channels.AuthenticationError):
        channel.read(1)


@pytest.mark.parametrize('fault', ['slow', 'large', 'raises'])
def test_failed_calls_do_not_disturb_later_ones(peer, fault):
    """Guards against a late or partial reply that a later call reads."""
    assert not is_refused(sync(peer.client, peer.address))
    started = time.monotonic()
    if fault == 'slow':
        peer.handler.delay = 5
        outcome = sync(peer.client, peer.address)
        peer.handler.delay = 0
    elif fault == 'large':
        peer.handler.size = FRAME_BYTES
        outcome = peer.client.fetch_snapshot(peer.address)
    else:
        outcome = peer.client.find_answer(peer.address, 'key')
    assert is_refused(outcome)
    assert time.monotonic() - started < 1
    assert not is_refused(sync(peer.client, peer.address))


def test_recorded_answer_keeps_repeated_headers(peer):
    """Guards against repeated headers that are lost between two routers."""
    recorded = _claims.RecordedResponse(
        _claims.ResponseState.RECORDED,
        200,
        (('Set-Cookie', 'a=1'), ('X-B', 'c'), ('Set-Cookie', 'b=2')),
        b'body',
    )
    claims = mock.Mock(find=lambda key: recorded)
    handler = _handlers.PeerHandler(None, None, claims, None)
    peer.handler.find_answer = handler.find_answer
    found = peer.client.find_answer(peer.address, 'key').unwrap()
    assert _forwarding.decode_answer(found) == recorded


def test_silent_server_costs_one_time_limit():
    """Guards against a call that exceeds its timeout, or retries after it."""
    # The kernel accepts the connection, but no process ever responds.
    unresponsive = socket.socket()
    unresponsive.bind(('127.0.0.1', 0))
    unresponsive.listen()
    client = PeerFixture.create_client(None, SECRET)
    started = time.monotonic()
    address = f'127.0.0.1:{unresponsive.getsockname()[1]}'
    assert is_refused(sync(client, address))
    assert 0.2 < time.monotonic() - started < 1
    unresponsive.close()


def test_restarted_server_is_called_on_a_new_connection(peer):
    """Guards against a failed call after the server closed a connection."""
    assert not is_refused(sync(peer.client, peer.address))
    for connection in peer.client._idle[peer.address]:
        connection.channel._connection.shutdown(socket.SHUT_RDWR)
    assert not is_refused(sync(peer.client, peer.address))


def test_connections_of_the_server_are_bounded():
    """Guards against more connections to a server than its limit.

    Closed ones must not count any more.
    """
    fixture = PeerFixture(limit=2)
    held = [fixture.connect() for _ in range(5)]
    _loop.sleep(0.05)
    assert fixture.server.counts['refused'] == 3
    for connection in held:
        connection.close()
    _loop.sleep(0.05)
    assert not is_refused(sync(fixture.client, fixture.address))
    fixture.stop()


def test_connections_of_the_client_are_bounded():
    """Guards against a client that opens more connections than its limit.

    Idle ones must be closed for new ones; with none idle the call fails.
    """
    fixtures = [PeerFixture() for _ in range(6)]
    client = fixtures[0].create_client(SECRET, limit=3)
    for fixture in fixtures:
        assert not is_refused(sync(client, fixture.address))
    assert client._open_count == 3
    for fixture in fixtures[:4]:
        fixture.handler.delay = 0.2
    threads = [_loop.spawn(sync, client, f.address) for f in fixtures[:4]]
    outcomes = [is_refused(thread.wait()) for thread in threads]
    assert sorted(outcomes) == [False, False, False, True]
    for fixture in fixtures:
        fixture.stop()


@pytest.mark.parametrize(
    'garbage', [b'', b'GET / HTTP/1.1\r\n\r\n', b'\xff' * 4000]
)
def test_garbage_ends_its_connection_alone(peer, garbage):
    """Guards against a server that stops after a malformed connection."""
    connection = peer.connect()
    connection.sendall(garbage)
    assert not is_refused(sync(peer.client, peer.address))
    connection.close()


@pytest.fixture
def secure_peer(tmp_path):
    authority = certificates.Authority(tmp_path / 'ca')
    tls = authority.create_server_tls(
        role='peer', require_client_certificate=True
    )
    fixture = PeerFixture(limit=2, tls=tls)
    fixture.authority = authority
    yield fixture
    fixture.stop()


@pytest.mark.parametrize(
    ('signer', 'name', 'accepted'),
    [
        ('own', 'p', True),
        ('own', None, False),
        ('other', 'p', False),
        (None, None, False),
    ],
)
def test_only_peers_of_the_own_ca_are_served(
    secure_peer, tmp_path, signer, name, accepted
):
    """Guards against a peer that knows the secret but has no certificate."""
    signers = {
        'own': secure_peer.authority,
        'other': certificates.Authority(tmp_path / 'other'),
    }
    tls = None
    if signer is not None:
        tls = signers[signer].create_client_tls(
            'peer', name, trusted=secure_peer.authority
        )
    client = secure_peer.create_client(SECRET, tls=tls)
    for _ in range(4):
        # Refused connections must not count towards the server's limit of 2.
        outcome = sync(client, secure_peer.address)
        assert is_refused(outcome) is not accepted
        if not accepted:
            _loop.sleep(0.1)
    assert secure_peer.server.counts['connections'] == accepted
    client.close()


def test_bad_file_of_both_sides_is_reported_once(secure_peer, caplog):
    """Guards against two log lines for a file that both sides use."""
    files = secure_peer.authority.build_files('both')
    store = _certificates.CertificateStore({'peer': files})
    pathlib.Path(files.key_file).write_text('broken')
    store.reload()
    assert len([x for x in caplog.records if 'not usable' in x.message]) == 1


def test_large_snapshot_and_restarted_server_under_tls(secure_peer):
    """Guards against calls that fail after a TLS connection was closed."""
    tls = secure_peer.authority.create_client_tls('peer', 'p')
    client = secure_peer.create_client(SECRET, tls=tls)
    secure_peer.handler.size = FRAME_BYTES // 2
    for _ in range(2):
        snapshot = client.fetch_snapshot(secure_peer.address).unwrap()
        assert len(snapshot.body) == FRAME_BYTES // 2
        for held in client._idle[secure_peer.address]:
            # Ends the TCP connection without the closing record of TLS.
            raw = held.channel._connection
            socket.socket.shutdown(raw, socket.SHUT_RDWR)
    client.close()
