"""Authenticated connections between processes that share a secret.

Both sides prove that they know the secret by an HMAC over fresh nonces of
both, and every record after that carries an HMAC over its direction, its
number and its content. Records can thus be neither forged, replayed nor
reflected. They are encrypted only when the connection below is.
"""

import collections
from collections.abc import Iterable
import hashlib
import hmac
import secrets
import socket
import struct

from thrift.transport import TTransport

_MAGIC = b'SKT1'
_ID_BYTES = 8
_NONCE_BYTES = 16
_PROOF_BYTES = 32
_MAC_BYTES = 16
_HELLO = struct.Struct(f'4s{_ID_BYTES}s{_NONCE_BYTES}s')
_LENGTH = struct.Struct('!I')


class AuthenticationError(Exception):
    """The other side does not know the secret, or a record was altered."""


class Channel(TTransport.TTransportBase):
    """Transport whose every write becomes one authenticated record."""

    def __init__(
        self,
        connection: socket.socket,
        key: bytes,
        is_client: bool,
        record_bytes: int,
    ) -> None:
        # Where the bytes of records are counted.
        self.counts: collections.Counter[str] = collections.Counter()
        self._connection = connection
        self._key = key
        self._labels = (b'C', b'S') if is_client else (b'S', b'C')
        self._sent = 0
        self._received = 0
        self._record_bytes = record_bytes
        self._buffer = memoryview(b'')

    def isOpen(self) -> bool:  # noqa: N802
        """Tell whether the connection has not been closed here."""
        return self._connection.fileno() >= 0

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def write(self, data: bytes) -> None:
        """Send one record."""
        mac = self._seal(self._labels[0], self._sent, data)
        self._sent += 1
        record = _LENGTH.pack(len(data)) + mac + data
        self._connection.sendall(record)
        self.counts['sent_bytes'] += len(record)

    def flush(self) -> None:
        """Do nothing: records are sent when written."""

    def read(self, size: int) -> bytes:
        """Return up to size bytes of verified records."""
        if not self._buffer:
            self._read_record()
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return bytes(data)

    def _read_record(self) -> None:
        header = receive(self._connection, _LENGTH.size + _MAC_BYTES)
        (size,) = _LENGTH.unpack_from(header)
        if size > self._record_bytes:
            raise AuthenticationError(f'record of {size} bytes')
        data = receive(self._connection, size)
        mac = self._seal(self._labels[1], self._received, data)
        if not hmac.compare_digest(mac, header[_LENGTH.size :]):
            raise AuthenticationError('record was altered')
        self._received += 1
        self.counts['received_bytes'] += len(header) + size
        self._buffer = memoryview(data)

    def _seal(self, label: bytes, number: int, data: bytes) -> bytes:
        mac = hmac.new(self._key, label + struct.pack('!Q', number), 'sha256')
        mac.update(data)
        return mac.digest()[:_MAC_BYTES]


def open_channel(
    connection: socket.socket, secret: str, record_bytes: int
) -> Channel:
    """Authenticate as a client, and the server as knowing the secret."""
    key = secret.encode()
    nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.sendall(_HELLO.pack(_MAGIC, identify(secret), nonce))
    answer = receive(connection, _NONCE_BYTES + _PROOF_BYTES)
    nonces = nonce + answer[:_NONCE_BYTES]
    if not hmac.compare_digest(
        answer[_NONCE_BYTES:], _derive(key, b'server', nonces)
    ):
        raise AuthenticationError('server does not know the secret')
    connection.sendall(_derive(key, b'client', nonces))
    session = _derive(key, b'session', nonces)
    return Channel(connection, session, True, record_bytes)


def accept_channel(
    connection: socket.socket, accepted: Iterable[str], record_bytes: int
) -> Channel:
    """Authenticate as a server, and the client as knowing a secret."""
    hello = receive(connection, _HELLO.size)
    magic, identity, client_nonce = _HELLO.unpack(hello)
    keys = {identify(secret): secret.encode() for secret in accepted}
    if magic != _MAGIC or identity not in keys:
        raise AuthenticationError('unknown secret or protocol')
    key = keys[identity]
    nonce = secrets.token_bytes(_NONCE_BYTES)
    nonces = client_nonce + nonce
    connection.sendall(nonce + _derive(key, b'server', nonces))
    proof = receive(connection, _PROOF_BYTES)
    if not hmac.compare_digest(proof, _derive(key, b'client', nonces)):
        raise AuthenticationError('client does not know the secret')
    session = _derive(key, b'session', nonces)
    return Channel(connection, session, False, record_bytes)


def receive(connection: socket.socket, size: int) -> bytes:
    """Return exactly size bytes; raise EOFError if the stream ends."""
    data = bytearray(size)
    view = memoryview(data)
    while view:
        count = connection.recv_into(view)
        if not count:
            raise EOFError('connection closed by the other side')
        view = view[count:]
    return bytes(data)


def identify(secret: str) -> bytes:
    """Return the public id of a secret, by which a server finds it."""
    digest = hashlib.sha256(b'identity' + secret.encode()).digest()
    return digest[:_ID_BYTES]


def _derive(key: bytes, label: bytes, nonces: bytes) -> bytes:
    return hmac.digest(key, label + nonces, 'sha256')
