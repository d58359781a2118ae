"""TLS certificates of a process, reloaded when their files change."""

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
    'Reloads of certificate files, by role and result.',
    ['role', 'result'],
)
HANDSHAKE_FAILURES = prometheus_client.Counter(
    'skylarktally_tls_handshake_failures_total',
    'Failed TLS handshakes with clients, by role and reason.',
    ['role', 'reason'],
)
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# Limits of the lingering close after a failed handshake. A client that does
# not speak TLS can then read the end of the stream; closing the connection
# with unread bytes would reset it.
_LINGER_SECONDS = 1.0
_LINGER_BYTES = 65536

# Modification time in ns, size in bytes and inode of each file; None for a
# file that cannot be read.
_FileStates = tuple[tuple[int, int, int] | None, ...]


class Certificates:
    """TLS contexts of one role, replaced together at each reload.

    Connections keep the context that they were created with. The peer role
    uses the same files as a server and as a client, so every role has both
    contexts.
    """

    def __init__(self, role: str, files: _tls.TlsFiles) -> None:
        """Load the files.

        :raises _tls.UnusableFileError: if a file cannot be used
        """
        self.role = role
        self._files = files
        self._loaded_states = self._last_states = self._read_file_states()
        self.server_context, self.client_context = self._build()

    def _build(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        client = _loop.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # The addresses of routers change as routers start and stop, so the
        # certificate of a peer need not name its address. It authenticates
        # itself by a certificate of the CA and by the shared secret.
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

    def _read_file_states(self) -> _FileStates:
        paths = self._files[:3]
        return tuple(
            _read_file_state(path) for path in paths if path is not None
        )

    def reload_if_changed(self) -> None:
        """Reload changed files that have not changed since the last call.

        The certificate and its key are replaced one after the other, and a
        reload between the two would fail because they do not match. Changed
        files are therefore loaded once two calls in a row have found them
        in the same state.
        """
        current = self._read_file_states()
        if current != self._loaded_states and current == self._last_states:
            self.reload()
        self._last_states = current

    def reload(self) -> None:
        """Reload the files; keep the old contexts if one cannot be used."""
        self._loaded_states = self._read_file_states()
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
        """Perform the TLS handshake as a client on a TCP connection.

        :param host: IP address that the certificate of the server must name,
            except for the role peer
        :returns: the TLS connection
        :raises OSError: if the handshake fails; the connection is closed
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
        self, connection: socket.socket, register: Callable[[Any], None]
    ) -> _loop.TlsConnection | None:
        """Perform the TLS handshake as a server on a TCP connection.

        :param register: called before the handshake with the TLS connection,
            which the caller must close
        :returns: the TLS connection; None if the handshake failed
        """
        try:
            wrapped = _loop.wrap_tls(connection, self.server_context, None)
        except OSError as error:
            self._count_error(error)
            return None
        register(wrapped)
        try:
            wrapped.do_handshake()
        except OSError as error:
            self._count_error(error)
            _linger(wrapped)
            return None
        return wrapped

    def _count_error(self, error: OSError) -> None:
        reason = 'disconnected'
        if isinstance(error, ssl.SSLCertVerificationError):
            reason = 'certificate'
        elif isinstance(error, ssl.SSLError):
            reason = str(error.reason or 'tls').lower()
        self.count_failure(reason)

    def count_failure(self, reason: str) -> None:
        """Count a failed handshake with a client."""
        HANDSHAKE_FAILURES.labels(self.role, reason).inc()


def _read_file_state(path: str) -> tuple[int, int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _linger(connection: _loop.TlsConnection) -> None:
    """End the stream and discard what the client still sends."""
    try:
        with _loop.Timeout(_LINGER_SECONDS, False):
            connection.shutdown(socket.SHUT_WR)
            remaining = _LINGER_BYTES
            while remaining > 0 and (data := connection.recv(remaining)):
                remaining -= len(data)
    except (OSError, ValueError):
        return


def wrap_protocol(
    protocol: Callable[[list[Any], Any], Any],
    certificates: Certificates | None,
    handshake_timeout: datetime.timedelta,
) -> Callable[[list[Any], Any], Any]:
    """Return a WSGI server protocol that starts with a TLS handshake.

    The handshake runs in the green thread of its connection, so that it
    counts towards the limit on connections and delays no other connection.

    :param certificates: None for the unchanged protocol without TLS
    """
    if certificates is None:
        return protocol
    return functools.partial(
        _handle_tls, protocol, certificates, handshake_timeout
    )


def _handle_tls(
    protocol: Callable[[list[Any], Any], Any],
    certificates: Certificates,
    handshake_timeout: datetime.timedelta,
    state: list[Any],
    server: Any,
) -> None:
    def register(wrapped: Any) -> None:
        # The WSGI server closes the connection in its state list.
        state[1] = wrapped

    timeout = _loop.Timeout(handshake_timeout.total_seconds())
    try:
        wrapped = certificates.wrap_server(state[1], register)
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
        # The client sent an invalid TLS record.
        log.debug(
            'invalid TLS record from a client', extra={'error': repr(error)}
        )


class HttpClient:
    """HTTP connection pool, replaced when its certificates are reloaded."""

    def __init__(
        self, certificates: Certificates | None, **options: Any
    ) -> None:
        """Create the client.

        :param certificates: None if no https address is called
        :param options: passed to urllib3.PoolManager
        """
        self._certificates = certificates
        self._options = options
        self._context: ssl.SSLContext | None = None
        self._manager = urllib3.PoolManager(**options)

    @property
    def manager(self) -> urllib3.PoolManager:
        """Return the connection pool for the next request."""
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

    def __init__(self, files_by_role: Mapping[str, _tls.TlsFiles]) -> None:
        self._roles = {
            role: Certificates(role, files)
            for role, files in files_by_role.items()
        }

    def find(self, role: str) -> Certificates | None:
        """Return the certificates of a role; None if it does not use TLS."""
        return self._roles.get(role)

    def reload(self) -> None:
        """Reload all files, whether they changed or not."""
        for certificates in self._roles.values():
            certificates.reload()

    def reload_changed_files(self, clock: _clock.Clock) -> None:
        """Reload changed files until the calling green thread is killed."""
        while self._roles:
            clock.sleep(_CHECK_INTERVAL)
            for certificates in self._roles.values():
                certificates.reload_if_changed()

    def install_sighup_handler(self) -> None:
        """Reload all files on each SIGHUP."""
        # A signal handler interrupts any code, so that the reload is left to
        # the event loop.
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: _loop.spawn_after(0, self.reload),
        )
