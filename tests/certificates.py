"""Certificates for the tests, created with the openssl command."""

import functools
import pathlib
import subprocess
import tempfile

from skylarktally import _certificates
from skylarktally import _tls

_KEY = ('-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes')


def _run(*arguments):
    subprocess.run(
        ['openssl', *map(str, arguments)],
        check=True,
        capture_output=True,
        timeout=30,
    )


class Authority:
    """A CA that signs certificates for one IP address."""

    def __init__(self, directory, host='127.0.0.1'):
        self.host = host
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.ca_file = self.directory / 'ca.pem'
        self.count = 0
        _run(
            'req', '-x509', *_KEY, '-days', 30, '-subj', '/CN=test CA',
            '-keyout', self.directory / 'ca.key', '-out', self.ca_file,
        )  # fmt: skip

    def issue(self, name):
        """Write a new certificate and key and return their paths.

        Files of an earlier certificate with the name are overwritten.
        """
        self.count += 1
        certificate = self.directory / f'{name}.pem'
        key = self.directory / f'{name}.key'
        request = self.directory / f'{name}.csr'
        san = self.directory / 'names.cnf'
        san.write_text(f'subjectAltName = IP:{self.host}\n')
        _run(
            'req', *_KEY, '-subj', f'/CN={name}-{self.count}',
            '-keyout', key, '-out', request,
        )  # fmt: skip
        _run(
            'x509', '-req', '-in', request, '-days', 30,
            '-CA', self.ca_file, '-CAkey', self.directory / 'ca.key',
            '-set_serial', self.count, '-extfile', san, '-out', certificate,
        )  # fmt: skip
        return str(certificate), str(key)

    def build_files(self, name='server', **fields):
        certificate, key = self.issue(name)
        return _tls.TlsFiles(certificate, key, str(self.ca_file), **fields)

    def create_server_tls(self, name='server', role='serving', **fields):
        files = self.build_files(name, **fields)
        return _certificates.Certificates(role, files)

    def create_client_tls(self, role='upstream', name=None, trusted=None):
        """Return the TLS contexts of a client.

        :param name: of its own certificate; None for a client without one
        :param trusted: authority that the client trusts, by default this one
        """
        files = _tls.TlsFiles()
        if name is not None:
            files = self.build_files(name)
        ca_file = str((trusted or self).ca_file)
        files = files._replace(ca_file=ca_file)
        return _certificates.Certificates(role, files)


@functools.cache
def get_shared_authority():
    """Return an authority that tests share and whose files stay unchanged."""
    authority = Authority(tempfile.mkdtemp(prefix='skylarktally-tls-'))
    authority.server = authority.create_server_tls()
    authority.client = authority.create_client_tls()
    return authority


def encrypt_key(source, target):
    """Write a copy of the key that is encrypted with a password."""
    _run('ec', '-in', source, '-aes256', '-passout', 'pass:x', '-out', target)
