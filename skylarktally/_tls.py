"""The setting tls: its type, and the SSL contexts configured from it."""

import ssl
from typing import Any, NamedTuple

from skylarktally import _fields

# In the body of a NamedTuple mypy takes _fields for its attribute instead of
# the module.
Report = _fields.Report

_MINIMUM_VERSIONS = {
    '1.2': ssl.TLSVersion.TLSv1_2,
    '1.3': ssl.TLSVersion.TLSv1_3,
}
# Roles of outgoing calls; all other roles are listeners.
_CLIENT_ROLES = ('platform', 'upstream')
# Both sides of the peer protocol must present a certificate.
_PEER_ROLE = 'peer'
# OpenSSL reasons for a key that does not belong to its certificate.
_KEY_MISMATCH_REASONS = ('KEY_VALUES_MISMATCH', 'KEY_TYPE_MISMATCH')


class TlsFiles(NamedTuple):
    """PEM files and TLS options of one role."""

    certificate_file: str | None = None
    key_file: str | None = None
    ca_file: str | None = None
    require_client_certificate: bool = False
    minimum_version: str = '1.2'


class UnusableFileError(Exception):
    """A file cannot be used; names the field of TlsFiles."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f'{field} {message}')
        self.field = field
        self.message = message


def configure(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load the files into a new SSL context.

    :raises UnusableFileError: if a file is missing or malformed, or the
        key does not belong to the certificate
    """
    context.minimum_version = _MINIMUM_VERSIONS[files.minimum_version]
    for field in ('certificate_file', 'key_file', 'ca_file'):
        path = getattr(files, field)
        if path is not None:
            _check_readable(field, path)
    if files.certificate_file is not None:
        _load_certificate(context, files.certificate_file, files.key_file)
    if files.ca_file is not None:
        try:
            context.load_verify_locations(files.ca_file)
        except ssl.SSLError as error:
            message = f'holds no usable certificate: {error.reason or error}'
            raise UnusableFileError('ca_file', message) from error


def _check_readable(field: str, path: str) -> None:
    try:
        with open(path, 'rb') as file:
            file.read(1)
    except OSError as error:
        raise UnusableFileError(field, f'cannot be read: {error}') from error


def _load_certificate(
    context: ssl.SSLContext, certificate: str, key: str | None
) -> None:
    try:
        context.load_cert_chain(certificate, key, _refuse_password)
    except ssl.SSLError as error:
        if error.reason in _KEY_MISMATCH_REASONS:
            raise UnusableFileError(
                'key_file', 'does not match certificate_file'
            ) from error
        raise UnusableFileError(
            'certificate_file',
            f'and key_file are unusable: {error.reason or error}',
        ) from error


def _refuse_password() -> str:
    # Without a callback OpenSSL asks for the password on the terminal.
    raise UnusableFileError('key_file', 'must not be encrypted')


class TlsRoles(NamedTuple):
    """A mapping from the TLS roles of a process to their TlsFiles."""

    # Roles that the process may use.
    roles: tuple[str, ...]
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return a dict from role to TlsFiles; empty if value is no dict."""
        if not isinstance(value, dict):
            report('', 'must be a mapping from role to files')
            return {}
        parsed = {}
        for role, body in value.items():
            report_role = _fields.prefix_report(report, f'.{role}')
            if role not in self.roles:
                report_role('', _fields.describe_unknown(role, self.roles))
            else:
                parsed[role] = _parse_files(role, body, report_role)
        return parsed


def parse_client_files(body: dict[str, Any], report: Report) -> TlsFiles:
    """Return the files of a client; report the errors in them."""
    return _parse_files('platform', body, report)


def _parse_files(role: str, body: Any, report: Report) -> TlsFiles:
    if not isinstance(body, dict):
        report('', 'must be a mapping of files')
        return TlsFiles()
    has_errors = False

    def report_error(path: str, message: str) -> None:
        nonlocal has_errors
        has_errors = True
        report(path, message)

    for key in body.keys() - set(TlsFiles._fields):
        report_error(
            f'.{key}', _fields.describe_unknown(key, TlsFiles._fields)
        )
    known = {key: body[key] for key in TlsFiles._fields if key in body}
    files = TlsFiles(**known)
    _check_types(files, report_error)
    if not has_errors:
        _check_presence(role, files, report_error)
    if not has_errors:
        _check_files(role, files, report_error)
    if role == _PEER_ROLE:
        files = files._replace(require_client_certificate=True)
    return files


def _check_types(files: TlsFiles, report: Report) -> None:
    for field in ('certificate_file', 'key_file', 'ca_file'):
        path = getattr(files, field)
        if path is not None and (not isinstance(path, str) or not path):
            report(f'.{field}', f'must be a path, is {path!r}')
    if not isinstance(files.require_client_certificate, bool):
        report('.require_client_certificate', 'must be true or false')
    if files.minimum_version not in tuple(_MINIMUM_VERSIONS):
        report(
            '.minimum_version',
            f'must be one of {", ".join(_MINIMUM_VERSIONS)}',
        )


def _check_presence(role: str, files: TlsFiles, report: Report) -> None:
    if role in _CLIENT_ROLES:
        required: tuple[str, ...] = ('ca_file',)
        if files.certificate_file or files.key_file:
            required = ('certificate_file', 'key_file', 'ca_file')
        if files.require_client_certificate:
            report('.require_client_certificate', 'is for listeners only')
    else:
        required = ('certificate_file', 'key_file')
        if files.require_client_certificate or role == _PEER_ROLE:
            required = (*required, 'ca_file')
    for field in required:
        if getattr(files, field) is None:
            report(f'.{field}', 'is required')


def _check_files(role: str, files: TlsFiles, report: Report) -> None:
    try:
        configure(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), files)
    except UnusableFileError as error:
        report(f'.{error.field}', error.message)
