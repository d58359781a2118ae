"""Declaration of the setting tls, and what it makes of an SSL context."""

import ssl
from typing import Any, NamedTuple

from skylarktally import _fields

# A named tuple has an attribute _fields, which hides the module.
Report = _fields.Report

_VERSIONS = {
    '1.2': ssl.TLSVersion.TLSv1_2,
    '1.3': ssl.TLSVersion.TLSv1_3,
}
# Roles that call others; all other roles are listeners.
_CLIENTS = ('platform', 'upstream')
# Both sides of the peer protocol present a certificate.
_PEER = 'peer'
_MISMATCHES = ('KEY_VALUES_MISMATCH', 'KEY_TYPE_MISMATCH')


class TlsFiles(NamedTuple):
    """Files of one role, in PEM."""

    certificate_file: str | None = None
    key_file: str | None = None
    ca_file: str | None = None
    require_client_certificate: bool = False
    minimum_version: str = '1.2'


class UnusableFileError(Exception):
    """A file that cannot be used, with the name of its field."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f'{field} {message}')
        self.field = field
        self.message = message


def configure(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load the files into a new context.

    :raises UnusableFileError: when a file is missing or malformed, or the
        key does not belong to the certificate
    """
    context.minimum_version = _VERSIONS[files.minimum_version]
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
        if error.reason in _MISMATCHES:
            raise UnusableFileError(
                'key_file', 'does not match certificate_file'
            ) from error
        raise UnusableFileError(
            'certificate_file',
            f'and key_file are unusable: {error.reason or error}',
        ) from error


def _refuse_password() -> str:
    # Without this OpenSSL asks for the password on the terminal.
    raise UnusableFileError('key_file', 'must not be encrypted')


class TlsRoles(NamedTuple):
    """A mapping from the roles of a process to their TlsFiles."""

    roles: tuple[str, ...]
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return a dict from role to TlsFiles."""
        if not isinstance(value, dict):
            report('', 'must be a mapping from role to files')
            return {}
        parsed = {}
        for role, body in value.items():
            own = _fields.prefix_report(report, f'.{role}')
            if role not in self.roles:
                own('', _fields.describe_unknown(role, self.roles))
            else:
                parsed[role] = _parse_files(role, body, own)
        return parsed


def parse_client_files(body: dict[str, Any], report: Report) -> TlsFiles:
    """Return the files of a client, after reporting every error in them."""
    return _parse_files('platform', body, report)


def _parse_files(role: str, body: Any, report: Report) -> TlsFiles:
    if not isinstance(body, dict):
        report('', 'must be a mapping of files')
        return TlsFiles()
    wrong = False

    def note(path: str, message: str) -> None:
        nonlocal wrong
        wrong = True
        report(path, message)

    for key in body.keys() - set(TlsFiles._fields):
        note(f'.{key}', _fields.describe_unknown(key, TlsFiles._fields))
    known = {key: body[key] for key in TlsFiles._fields if key in body}
    files = TlsFiles(**known)
    _check_types(files, note)
    if not wrong:
        _check_presence(role, files, note)
    if not wrong:
        _check_files(role, files, note)
    if role == _PEER:
        files = files._replace(require_client_certificate=True)
    return files


def _check_types(files: TlsFiles, report: Report) -> None:
    for field in ('certificate_file', 'key_file', 'ca_file'):
        path = getattr(files, field)
        if path is not None and (not isinstance(path, str) or not path):
            report(f'.{field}', f'must be a path, is {path!r}')
    if not isinstance(files.require_client_certificate, bool):
        report('.require_client_certificate', 'must be true or false')
    if files.minimum_version not in tuple(_VERSIONS):
        report('.minimum_version', f'must be one of {", ".join(_VERSIONS)}')


def _check_presence(role: str, files: TlsFiles, report: Report) -> None:
    if role in _CLIENTS:
        required: tuple[str, ...] = ('ca_file',)
        if files.certificate_file or files.key_file:
            required = ('certificate_file', 'key_file', 'ca_file')
        if files.require_client_certificate:
            report('.require_client_certificate', 'is for listeners only')
    else:
        required = ('certificate_file', 'key_file')
        if files.require_client_certificate or role == _PEER:
            required = (*required, 'ca_file')
    for field in required:
        if getattr(files, field) is None:
            report(f'.{field}', 'is required')


def _check_files(role: str, files: TlsFiles, report: Report) -> None:
    try:
        configure(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), files)
    except UnusableFileError as error:
        report(f'.{error.field}', error.message)
