"""Authenticated connections between processes that share a secret.

Each side proves that it knows the secret by an HMAC over new nonces of both
sides. Every record after that has an HMAC over its direction, its sequence
number and its content, so that records cannot be forged, replayed or
reflected to their sender. Records are encrypted only if the connection is
under TLS.
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
    """The other side does not know the secret, or a record is not valid."""


class Channel(TTransport.TTransportBase):
    """Thrift transport that sends each write as one authenticated record."""

    def __init__(
        self,
        connection: socket.socket,
        key: bytes,
        is_client: bool,
        max_record_bytes: int,
    ) -> None:
        # Counts sent_bytes and received_bytes; the owner replaces it to count
        # several channels together.
        self.counts: collections.Counter[str] = collections.Counter()
        self._connection = connection
        self._key = key
        self._labels = (b'C', b'S') if is_client else (b'S', b'C')
        self._sent = 0
        self._received = 0
        self._max_record_bytes = max_record_bytes
        self._buffer = memoryview(b'')

    def isOpen(self) -> bool:  # noqa: N802
        """Tell whether this side has not closed the connection."""
        return self._connection.fileno() >= 0

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def write(self, data: bytes) -> None:
        """Send one record."""
        mac = self._compute_mac(self._labels[0], self._sent, data)
        self._sent += 1
        record = _LENGTH.pack(len(data)) + mac + data
        self._connection.sendall(record)
        self.counts['sent_bytes'] += len(record)

    def flush(self) -> None:
        """Do nothing: records are sent when written."""

    def read(self, size: int) -> bytes:
        """Return at most size bytes of verified records."""
        if not self._buffer:
            self._read_record()
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return bytes(data)

    def _read_record(self) -> None:
        header = receive_exactly(self._connection, _LENGTH.size + _MAC_BYTES)
        (size,) = _LENGTH.unpack_from(header)
        if size > self._max_record_bytes:
            raise AuthenticationError(f'record of {size} bytes')
        data = receive_exactly(self._connection, size)
        mac = self._compute_mac(self._labels[1], self._received, data)
        if not hmac.compare_digest(mac, header[_LENGTH.size :]):
            raise AuthenticationError('record was altered')
        self._received += 1
        self.counts['received_bytes'] += len(header) + size
        self._buffer = memoryview(data)

    def _compute_mac(self, label: bytes, number: int, data: bytes) -> bytes:
        mac = hmac.new(self._key, label + struct.pack('!Q', number), 'sha256')
        mac.update(data)
        return mac.digest()[:_MAC_BYTES]


def open_channel(
    connection: socket.socket, secret: str, max_record_bytes: int
) -> Channel:
    """Authenticate both sides, as the client.

    :raises AuthenticationError: if the server does not know the secret
    :raises EOFError: if the server closes the connection, as it does when it
        does not accept the secret
    """
    key = secret.encode()
    nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.sendall(_HELLO.pack(_MAGIC, compute_secret_id(secret), nonce))
    reply = receive_exactly(connection, _NONCE_BYTES + _PROOF_BYTES)
    nonces = nonce + reply[:_NONCE_BYTES]
    if not hmac.compare_digest(
        reply[_NONCE_BYTES:], _compute_hmac(key, b'server', nonces)
    ):
        raise AuthenticationError('server does not know the secret')
    connection.sendall(_compute_hmac(key, b'client', nonces))
    session = _compute_hmac(key, b'session', nonces)
    return Channel(connection, session, True, max_record_bytes)


def accept_channel(
    connection: socket.socket,
    accepted_secrets: Iterable[str],
    max_record_bytes: int,
) -> Channel:
    """Authenticate both sides, as the server.

    :raises AuthenticationError: if the client knows no accepted secret
    """
    hello = receive_exactly(connection, _HELLO.size)
    magic, secret_id, client_nonce = _HELLO.unpack(hello)
    keys = {
        compute_secret_id(secret): secret.encode()
        for secret in accepted_secrets
    }
    if magic != _MAGIC or secret_id not in keys:
        raise AuthenticationError('unknown secret or protocol')
    key = keys[secret_id]
    nonce = secrets.token_bytes(_NONCE_BYTES)
    nonces = client_nonce + nonce
    connection.sendall(nonce + _compute_hmac(key, b'server', nonces))
    proof = receive_exactly(connection, _PROOF_BYTES)
    if not hmac.compare_digest(proof, _compute_hmac(key, b'client', nonces)):
        raise AuthenticationError('client does not know the secret')
    session = _compute_hmac(key, b'session', nonces)
    return Channel(connection, session, False, max_record_bytes)


def receive_exactly(connection: socket.socket, size: int) -> bytes:
    """Return exactly size bytes.

    :raises EOFError: if the stream ends before
    """
    data = bytearray(size)
    view = memoryview(data)
    while view:
        count = connection.recv_into(view)
        if not count:
            raise EOFError('connection closed by the other side')
        view = view[count:]
    return bytes(data)


def compute_secret_id(secret: str) -> bytes:
    """Return the public id of a secret, by which a server looks it up."""
    digest = hashlib.sha256(b'identity' + secret.encode()).digest()
    return digest[:_ID_BYTES]


def _compute_hmac(key: bytes, label: bytes, nonces: bytes) -> bytes:
    return hmac.digest(key, label + nonces, 'sha256')
