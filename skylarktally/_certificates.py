"""Certificates in use, read again when their files change."""

from collections.abc import Callable, Mapping
import datetime
import functools
import logging
import os
import signal
import socket
import ssl
from typing import Any

import prometheus_client
import urllib3

from skylarktally import _clock
from skylarktally import _loop
from skylarktally import _tls

log = logging.getLogger(__name__)

RELOADS = prometheus_client.Counter(
    'skylarktally_certificate_reloads_total',
    'Certificate files read again, by role and result.',
    ['role', 'result'],
)
HANDSHAKE_FAILURES = prometheus_client.Counter(
    'skylarktally_tls_handshake_failures_total',
    'TLS handshakes of clients that failed, by listener and reason.',
    ['role', 'reason'],
)
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# A client that does not speak TLS gets this long to read the end of the
# stream; closing with unread bytes would reset the connection.
_LINGER_SECONDS = 1.0
_LINGER_BYTES = 65536

_Signature = tuple[tuple[int, int, int] | None, ...]


class Certificates:
    """The contexts of one role, replaced as a whole at each reload.

    Connections keep the context that they were made with. The peer role
    uses the same files on both sides, so every role has both contexts.
    """

    def __init__(self, role: str, files: _tls.TlsFiles) -> None:
        """Read the files.

        :raises _tls.UnusableFileError: when a file cannot be used
        """
        self.role = role
        self._files = files
        self._loaded = self._seen = self._sign()
        self.server_context, self.client_context = self._build()

    def _build(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        client = _loop.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Routers come and go with their addresses; what a peer must prove
        # is a certificate of the CA and the shared secret.
        client.check_hostname = self.role != 'peer'
        server = _loop.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if self._files.ca_file is not None:
            required = self._files.require_client_certificate
            server.verify_mode = (
                ssl.CERT_REQUIRED if required else ssl.CERT_OPTIONAL
            )
        _tls.configure(server, self._files)
        _tls.configure(client, self._files)
        return server, client

    def _sign(self) -> _Signature:
        paths = self._files[:3]
        return tuple(_sign_file(path) for path in paths if path is not None)

    def reload_if_changed(self) -> None:
        """Load the files once they have changed and come to rest.

        The certificate and its key are replaced one after the other; a
        file seen between the two would look like a mismatch.
        """
        seen = self._sign()
        if seen != self._loaded and seen == self._seen:
            self.reload()
        self._seen = seen

    def reload(self) -> None:
        """Load the files; unusable ones leave the old context in use."""
        self._loaded = self._sign()
        try:
            self.server_context, self.client_context = self._build()
        except _tls.UnusableFileError as error:
            RELOADS.labels(self.role, 'failed').inc()
            log.error(
                'certificate not usable, keeping the one in use',
                extra={'role': self.role, 'error': str(error)},
            )
        else:
            RELOADS.labels(self.role, 'loaded').inc()
            log.info('certificate loaded', extra={'role': self.role})

    def wrap_client(
        self, connection: socket.socket, host: str
    ) -> socket.socket:
        """Return the connection under TLS as a client.

        :raises OSError: when the handshake fails, after closing
        """
        try:
            wrapped = _loop.wrap_tls(connection, self.client_context, host)
        except BaseException:
            connection.close()
            raise
        try:
            wrapped.do_handshake()
        except BaseException:
            wrapped.close()
            raise
        return wrapped

    def wrap_server(
        self, connection: socket.socket, keep: Callable[[Any], None]
    ) -> _loop.TlsConnection | None:
        """Return the connection under TLS as a server; None if it fails.

        :param keep: gets the connection to close, before the handshake
        """
        try:
            wrapped = _loop.wrap_tls(connection, self.server_context, None)
        except OSError as error:
            self._count_failure(error)
            return None
        keep(wrapped)
        try:
            wrapped.do_handshake()
        except OSError as error:
            self._count_failure(error)
            _linger(wrapped)
            return None
        return wrapped

    def _count_failure(self, error: OSError) -> None:
        reason = 'disconnected'
        if isinstance(error, ssl.SSLCertVerificationError):
            reason = 'certificate'
        elif isinstance(error, ssl.SSLError):
            reason = str(error.reason or 'tls').lower()
        self.count_failure(reason)

    def count_failure(self, reason: str) -> None:
        """Count a handshake that failed."""
        HANDSHAKE_FAILURES.labels(self.role, reason).inc()


def _sign_file(path: str) -> tuple[int, int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _linger(connection: _loop.TlsConnection) -> None:
    """End the stream cleanly after a handshake that failed."""
    try:
        with _loop.Timeout(_LINGER_SECONDS, False):
            connection.shutdown(socket.SHUT_WR)
            left = _LINGER_BYTES
            while left > 0 and (data := connection.recv(left)):
                left -= len(data)
    except (OSError, ValueError):
        return


def wrap_protocol(
    protocol: Callable[[list[Any], Any], Any],
    certificates: Certificates | None,
    limit: datetime.timedelta,
) -> Callable[[list[Any], Any], Any]:
    """Return the protocol of a WSGI server, below TLS if there is any.

    The handshake runs in the connection's own green thread, so that it
    counts against the limit on connections and delays no other.
    """
    if certificates is None:
        return protocol
    return functools.partial(_handle_secure, protocol, certificates, limit)


def _handle_secure(
    protocol: Callable[[list[Any], Any], Any],
    certificates: Certificates,
    limit: datetime.timedelta,
    state: list[Any],
    server: Any,
) -> None:
    def keep(wrapped: Any) -> None:
        # The server closes what the state holds.
        state[1] = wrapped

    timeout = _loop.Timeout(limit.total_seconds())
    try:
        wrapped = certificates.wrap_server(state[1], keep)
    except _loop.Timeout as expired:
        if expired is not timeout:
            raise
        certificates.count_failure('timeout')
        return
    finally:
        timeout.cancel()
    if wrapped is None:
        return
    try:
        protocol(state, server)
    except ssl.SSLError as error:
        # The client sent a record that cannot be read.
        log.debug('TLS stream broken', extra={'error': repr(error)})


class HttpClient:
    """Pooled HTTP connections, replaced when the certificates are."""

    def __init__(
        self, certificates: Certificates | None, **options: Any
    ) -> None:
        """Create the client.

        :param certificates: without any, an https address is not reached
        :param options: of urllib3.PoolManager
        """
        self._certificates = certificates
        self._options = options
        self._context: ssl.SSLContext | None = None
        self._manager = urllib3.PoolManager(**options)

    @property
    def manager(self) -> urllib3.PoolManager:
        """Return the connections to use for the next request."""
        if self._certificates is not None:
            context = self._certificates.client_context
            if context is not self._context:
                self._context = context
                self._manager.clear()
                self._manager = urllib3.PoolManager(
                    ssl_context=context, **self._options
                )
        return self._manager


class CertificateStore:
    """All certificates of a process, by role."""

    def __init__(self, files: Mapping[str, _tls.TlsFiles]) -> None:
        self._roles = {
            role: Certificates(role, each) for role, each in files.items()
        }

    def find(self, role: str) -> Certificates | None:
        """Return the certificates of a role; None for plain text."""
        return self._roles.get(role)

    def reload(self) -> None:
        """Load all files, changed or not."""
        for each in self._roles.values():
            each.reload()

    def reload_changed_files(self, clock: _clock.Clock) -> None:
        """Load changed files until the calling green thread is killed."""
        while self._roles:
            clock.sleep(_CHECK_INTERVAL)
            for each in self._roles.values():
                each.reload_if_changed()

    def install_sighup_handler(self) -> None:
        """Load all files on each SIGHUP."""
        # The handler runs in the middle of any code.
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: _loop.spawn_after(0, self.reload),
        )
