"""Guards the peer protocol: authentication, time limits and bounds."""

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
OTHER = 'y' * 32
FRAME = 1 << 16
_LIMIT = datetime.timedelta(seconds=0.3)


class Handler:
    """Peer whose answers show what it was asked."""

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


class Fixture:
    """A server on loopback and a client of it."""

    def __init__(self, limit=8, tls=None):
        self.handler = Handler()
        self.server = _peers.PeerServer(
            self.handler,
            _peers.Secrets(SECRET, (SECRET, OTHER)),
            limit,
            FRAME,
            tls,
        )
        self.listener = _loop.listen(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        self.thread = _loop.spawn(self.server.serve, self.listener)
        self.calls = self.create_calls(SECRET)

    def create_calls(self, secret, limit=4, tls=None, source=''):
        return _peers.ThriftPeerClient(
            _peers.Secrets(secret, (secret,)),
            _LIMIT,
            _LIMIT,
            limit,
            FRAME,
            tls,
            source,
        )

    def connect(self):
        return _loop.connect('127.0.0.1', self.port, 2)

    def stop(self):
        self.thread.kill()
        self.listener.close()
        self.calls.close()


@pytest.fixture
def peer():
    fixture = Fixture()
    yield fixture
    fixture.stop()


def sync(calls, address, version=7):
    return calls.sync(address, ttypes.SyncRequest(log_version=version))


def is_refused(outcome):
    return not isinstance(outcome, result.Success)


def test_calls_share_one_connection(peer):
    for version in range(20):
        answer = sync(peer.calls, peer.address, version)
        assert answer.unwrap().log_version == version
    assert peer.server.counts['connections'] == 1
    assert peer.server.counts['received_bytes'] > 20 * 24


@pytest.mark.parametrize('source', ['', '127.0.0.9:8082'])
def test_calls_leave_from_the_own_address(source):
    """Guards against network rules that cannot tell instances apart."""
    listener = _loop.listen(('127.0.0.1', 0))
    calls = Fixture.create_calls(None, SECRET, source=source)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    thread = _loop.spawn(sync, calls, address)
    connection, (host, _port) = listener.accept()
    connection.close()
    listener.close()
    assert is_refused(thread.wait())
    assert host == (source.split(':')[0] or '127.0.0.1')


@pytest.mark.parametrize(
    ('secret', 'accepted'),
    [(SECRET, True), (OTHER, True), ('z' * 32, False)],
)
def test_only_holders_of_an_accepted_secret_are_served(peer, secret, accepted):
    outcome = sync(peer.create_calls(secret), peer.address)
    assert is_refused(outcome) is not accepted
    assert peer.server.counts['unauthenticated'] == (not accepted)


def test_server_that_does_not_know_the_secret_gets_no_request():
    received = []
    listener = _loop.listen(('127.0.0.1', 0))

    def pretend():
        connection, _ = listener.accept()
        received.append(connection.recv(1000))
        connection.sendall(b'\0' * 48)
        received.append(connection.recv(1000))

    thread = _loop.spawn(pretend)
    calls = Fixture.create_calls(None, SECRET)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    assert is_refused(sync(calls, address))
    thread.wait()
    listener.close()
    assert len(received[0]) == 28 and received[1] == b''


def capture(peer):
    """Return the bytes that a client sends for one call."""
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
    push(peer.calls, f'127.0.0.1:{listener.getsockname()[1]}')
    listener.close()
    return b''.join(sent)


def push(calls, address):
    entry = ttypes.LogEntry(version=1, body='{}')
    return calls.push_log(address, [entry])


def test_recorded_call_is_not_served_again(peer):
    recorded = capture(peer)
    assert len(peer.handler.pushed) == 1
    connection = peer.connect()
    connection.sendall(recorded)
    data = b''
    while part := connection.recv(1000):
        data += part
    # The server's nonce and proof, and nothing after the wrong proof.
    assert len(data) == 48
    assert len(peer.handler.pushed) == 1


@pytest.mark.parametrize('position', [20, 50, 61, -1])
def test_altered_bytes_are_refused(peer, position):
    def open_altered(connection):
        sendall, sent = connection.sendall, []

        def alter(data):
            start = sum(map(len, sent))
            sent.append(data)
            changed = bytearray(data)
            place = position - start if position >= 0 else len(data) - 1
            if 0 <= place < len(data) and (position >= 0 or len(sent) == 3):
                changed[place] ^= 1
            sendall(bytes(changed))

        proxy = Proxy(connection, alter)
        return _channels.open_channel(proxy, SECRET, FRAME)

    connection = peer.connect()
    with pytest.raises((EOFError, OSError, _channels.AuthenticationError)):
        channel = open_altered(connection)
        channel.write(b'\0\0\0\1x')
        channel.read(1)
    assert not peer.handler.pushed


class Proxy:
    """Connection whose sends are replaced."""

    def __init__(self, connection, sendall):
        self.sendall = sendall
        self.recv_into = connection.recv_into


def test_a_record_is_not_accepted_twice_or_by_its_sender():
    left, right = socket.socketpair()
    client = _channels.Channel(left, b'k', True, FRAME)
    server = _channels.Channel(right, b'k', False, FRAME)
    client.write(b'one')
    assert server.read(10) == b'one'
    server.write(b'two')
    record = _channels.receive(left, 4 + 16 + 3)
    left.sendall(record)
    with pytest.raises(_channels.AuthenticationError):
        server.read(10)
    right.sendall(record * 2)
    assert client.read(10) == b'two'
    with pytest.raises(_channels.AuthenticationError):
        client.read(10)


def test_oversized_record_is_refused_before_it_is_read():
    left, right = socket.socketpair()
    left.sendall(struct.pack('!I', FRAME + 1) + b'\0' * 16)
    channel = _channels.Channel(right, b'k', False, FRAME)
    with pytest.raises(_channels.AuthenticationError):
        channel.read(1)


@pytest.mark.parametrize('fault', ['slow', 'large', 'raises'])
def test_failed_calls_do_not_disturb_later_ones(peer, fault):
    assert not is_refused(sync(peer.calls, peer.address))
    started = time.monotonic()
    if fault == 'slow':
        peer.handler.delay = 5
        outcome = sync(peer.calls, peer.address)
        peer.handler.delay = 0
    elif fault == 'large':
        peer.handler.size = FRAME
        outcome = peer.calls.fetch_snapshot(peer.address)
    else:
        outcome = peer.calls.find_answer(peer.address, 'key')
    assert is_refused(outcome)
    assert time.monotonic() - started < 1
    assert not is_refused(sync(peer.calls, peer.address))


def test_recorded_answer_keeps_repeated_headers(peer):
    """Guards against headers lost between two routers."""
    recorded = _claims.RecordedResponse(
        _claims.ResponseState.RECORDED,
        200,
        (('Set-Cookie', 'a=1'), ('X-B', 'c'), ('Set-Cookie', 'b=2')),
        b'body',
    )
    claims = mock.Mock(find=lambda key: recorded)
    handler = _handlers.PeerHandler(None, None, claims, None)
    peer.handler.find_answer = handler.find_answer
    found = peer.calls.find_answer(peer.address, 'key').unwrap()
    assert _forwarding.decode_answer(found) == recorded


def test_silent_server_costs_one_time_limit():
    # The connection is accepted by the kernel and never answered.
    silent = socket.socket()
    silent.bind(('127.0.0.1', 0))
    silent.listen()
    calls = Fixture.create_calls(None, SECRET)
    started = time.monotonic()
    address = f'127.0.0.1:{silent.getsockname()[1]}'
    assert is_refused(sync(calls, address))
    assert 0.2 < time.monotonic() - started < 1
    silent.close()


def test_restarted_server_is_called_on_a_new_connection(peer):
    assert not is_refused(sync(peer.calls, peer.address))
    for connection in peer.calls._idle[peer.address]:
        connection.channel._connection.shutdown(socket.SHUT_RDWR)
    assert not is_refused(sync(peer.calls, peer.address))


def test_connections_of_the_server_are_bounded():
    fixture = Fixture(limit=2)
    held = [fixture.connect() for _ in range(5)]
    _loop.sleep(0.05)
    assert fixture.server.counts['refused'] == 3
    for connection in held:
        connection.close()
    _loop.sleep(0.05)
    assert not is_refused(sync(fixture.calls, fixture.address))
    fixture.stop()


def test_connections_of_the_client_are_bounded():
    fixtures = [Fixture() for _ in range(6)]
    calls = fixtures[0].create_calls(SECRET, limit=3)
    for fixture in fixtures:
        assert not is_refused(sync(calls, fixture.address))
    assert calls._open == 3
    for fixture in fixtures[:4]:
        fixture.handler.delay = 0.2
    threads = [_loop.spawn(sync, calls, f.address) for f in fixtures[:4]]
    outcomes = [is_refused(thread.wait()) for thread in threads]
    assert sorted(outcomes) == [False, False, False, True]
    for fixture in fixtures:
        fixture.stop()


@pytest.mark.parametrize(
    'garbage', [b'', b'GET / HTTP/1.1\r\n\r\n', b'\xff' * 4000]
)
def test_garbage_ends_its_connection_alone(peer, garbage):
    connection = peer.connect()
    connection.sendall(garbage)
    assert not is_refused(sync(peer.calls, peer.address))
    connection.close()


@pytest.fixture
def secure_peer(tmp_path):
    authority = certificates.Authority(tmp_path / 'ca')
    tls = authority.create_server_tls(
        role='peer', require_client_certificate=True
    )
    fixture = Fixture(limit=2, tls=tls)
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
    calls = secure_peer.create_calls(SECRET, tls=tls)
    for _ in range(4):
        # Refused connections must not use up the server's limit of 2.
        outcome = sync(calls, secure_peer.address)
        assert is_refused(outcome) is not accepted
        if not accepted:
            _loop.sleep(0.1)
    assert secure_peer.server.counts['connections'] == accepted
    calls.close()


def test_bad_file_of_both_sides_is_reported_once(secure_peer, caplog):
    """Guards against two log lines for one file."""
    files = secure_peer.authority.build_files('both')
    store = _certificates.CertificateStore({'peer': files})
    pathlib.Path(files.key_file).write_text('broken')
    store.reload()
    assert len([x for x in caplog.records if 'not usable' in x.message]) == 1


def test_large_snapshot_and_restarted_server_under_tls(secure_peer):
    """Guards against a closed TLS connection that is not opened again."""
    tls = secure_peer.authority.create_client_tls('peer', 'p')
    calls = secure_peer.create_calls(SECRET, tls=tls)
    secure_peer.handler.size = FRAME // 2
    for _ in range(2):
        snapshot = calls.fetch_snapshot(secure_peer.address).unwrap()
        assert len(snapshot.body) == FRAME // 2
        for held in calls._idle[secure_peer.address]:
            # The other side ends TCP without the closing record.
            raw = held.channel._connection
            socket.socket.shutdown(raw, socket.SHUT_RDWR)
    calls.close()
