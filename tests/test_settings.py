"""Guards against settings whose errors are missed or not located."""

import datetime
import json

import pytest

from skylarktally import _settings
from tests import certificates

KEY = '0123456789abcdef0123456789abcdef'
DIGEST = 'ab' * 32
ROUTER = {
    'name': 'router-1',
    'zone': 'nairobi-a',
    'serving_address': '127.0.0.1:8000',
    'peer_address': '127.0.0.1:8001',
    'admin_address': '127.0.0.1:8002',
    'platform_address': '127.0.0.1:8003',
    'seeds': ['[::1]:8001'],
    'peer_secret': KEY,
    'tokens': {DIGEST: {'subject': 'a', 'role': 'caller', 'team': 't'}},
}


def check(**changes):
    data = {k: v for k, v in (ROUTER | changes).items() if v is not ...}
    return _settings.check_settings(
        _settings.RouterSettings, json.dumps(data), 'router.json'
    )


def test_comments_units_and_defaults():
    """Guards against misread JSON5, seconds or default values."""
    text = '// one router\n' + json.dumps(ROUTER)[:-1]
    text += ', gossip_interval_seconds: 0.25, /* tuned */}'
    settings, issues = _settings.check_settings(
        _settings.RouterSettings, text, 'f'
    )
    assert issues == []
    assert settings.gossip_interval == datetime.timedelta(seconds=0.25)
    assert settings.dead_after == datetime.timedelta(seconds=8)
    assert settings.tokens[DIGEST] == ('a', 'caller', 't')


@pytest.mark.parametrize(
    ('changes', 'path', 'message'),
    [
        ({'name': ...}, 'name', 'required'),
        ({'zone': 'a b'}, 'zone', 'must be a name'),
        ({'zone': 7}, 'zone', 'must be a string'),
        ({'gosip_interval_seconds': 1}, None, 'gossip_interval_seconds'),
        ({'gossip_interval': 1}, 'gossip_interval', 'interval_seconds'),
        ({'gossip_interval_seconds': 0}, None, 'must be 0.01 to 60 seconds'),
        ({'gossip_interval_seconds': True}, None, 'must be a number'),
        ({'gossip_interval_seconds': float('nan')}, None, 'must be 0.01'),
        ({'gossip_interval_seconds': 1e300}, None, 'must be 0.01'),
        ({'queue_limit': 1.5}, 'queue_limit', 'whole number'),
        ({'peer_address': 'localhost:1'}, 'peer_address', 'IP address'),
        ({'peer_address': '127.0.0.1:0'}, 'peer_address', 'IP address'),
        ({'peer_address': '::1:80'}, 'peer_address', 'IP address'),
        ({'peer_address': 4}, 'peer_address', 'IP address'),
        ({'peer_address': '127.0.0.1:8000'}, 'peer_address', 'the same'),
        ({'seeds': ['127.0.0.1:1', 'x']}, 'seeds[1]', 'IP address'),
        ({'seeds': 'x'}, 'seeds', 'must be a list'),
        ({'peer_secret': 'short'}, 'peer_secret', '32 to 256'),
        ({'other_peer_secrets': ['short']}, 'other_peer_secrets[0]', '32'),
        ({'other_peer_secrets': [KEY] * 5}, None, '0 to 4'),
        ({'tokens': {'x': {}}}, 'tokens.x', 'SHA-256'),
        ({'tokens': {DIGEST: 1}}, f'tokens.{DIGEST}', 'mapping'),
        (
            {'tokens': {DIGEST: {'subject': 'a', 'role': 'root'}}},
            f'tokens.{DIGEST}.role',
            'operator, caller, peer',
        ),
        (
            {'tokens': {DIGEST: {'subject': 'a', 'role': 'caller'}}},
            f'tokens.{DIGEST}.team',
            'required',
        ),
        ({'dead_after_seconds': 4}, 'dead_after_seconds', 'above suspect'),
        ({'tls': []}, 'tls', 'mapping from role'),
        ({'tls': {'api': {}}}, 'tls.api', 'unknown; the nearest'),
        ({'tls': {'admin': 1}}, 'tls.admin', 'mapping of files'),
        ({'tls': {'admin': {'key': 'k'}}}, 'tls.admin.key', 'key_file'),
        ({'tls': {'admin': {}}}, 'tls.admin.certificate_file', 'required'),
        ({'tls': {'platform': {}}}, 'tls.platform.ca_file', 'required'),
        (
            {'platform_address': 'https://127.0.0.1:1'},
            'tls.platform',
            'required for an https address',
        ),
        ({'platform_address': 'http://127.0.0.1:1'}, None, 'IP address'),
        ({'seeds': ['https://127.0.0.1:1']}, 'seeds[0]', 'IP address'),
    ],
)
def test_error_names_file_and_field(changes, path, message):
    """Guards against errors without their field, or that show a secret."""
    settings, issues = check(**changes)
    errors = [issue for issue in issues if issue.severity == 'error']
    assert settings is None
    assert errors[0].file == 'router.json'
    assert errors[0].path == (path or next(iter(changes)))
    assert message in str(errors[0])
    assert KEY not in str(issues) and 'short' not in str(issues)


def build_tls(directory, replaced=None, encrypted=False, **fields):
    """Return the TLS settings of a listener, with some of them replaced.

    :param replaced: field whose file is replaced by that of another key pair
    """
    authority = certificates.get_shared_authority()
    body = authority.build_files('settings')._asdict()
    if encrypted:
        path = str(directory / 'encrypted.key')
        certificates.encrypt_key(body['key_file'], path)
        body['key_file'] = path
    if replaced is not None:
        body[replaced] = authority.issue('other')[replaced == 'key_file']
    return body | fields


@pytest.mark.parametrize(
    ('role', 'fields', 'path', 'message'),
    [
        ('admin', {'certificate_file': '/absent'}, None, 'No such file'),
        ('admin', {'key_file': '/'}, None, 'cannot be read'),
        ('admin', {'ca_file': '/dev/null'}, None, 'no usable certificate'),
        ('admin', {'certificate_file': '/dev/null'}, None, 'unusable'),
        ('admin', {'key_file': 7}, None, 'must be a path'),
        ('admin', {'replaced': 'key_file'}, 'key_file', 'does not match'),
        ('admin', {'encrypted': True}, 'key_file', 'not be encrypted'),
        ('admin', {'minimum_version': '1.1'}, None, '1.2, 1.3'),
        (
            'serving',
            {'ca_file': None, 'require_client_certificate': True},
            'ca_file',
            'required',
        ),
        ('peer', {'ca_file': None}, None, 'required'),
        ('upstream', {'key_file': None}, None, 'required'),
        (
            'upstream',
            {'require_client_certificate': True},
            None,
            'listeners only',
        ),
    ],
)
def test_tls_error_names_its_field(tmp_path, role, fields, path, message):
    """Guards against an unusable file that is found only at a handshake."""
    body = build_tls(tmp_path, **fields)
    settings, issues = check(tls={role: body})
    assert settings is None
    field = f'tls.{role}.{path or next(iter(fields))}'
    assert [issue.path for issue in issues] == [field]
    assert message in str(issues[0])


def test_tls_of_every_role_is_read(tmp_path):
    """Guards against a peer port that requires no client certificate."""
    body = build_tls(tmp_path)
    roles = ('serving', 'admin', 'peer', 'platform', 'upstream')
    settings, issues = check(
        tls=dict.fromkeys(roles, body), platform_address='https://[::1]:8003'
    )
    assert issues == []
    required = {
        r: t.require_client_certificate for r, t in settings.tls.items()
    }
    assert required == dict.fromkeys(roles, False) | {'peer': True}
    assert settings.serving_url == 'https://127.0.0.1:8000'


def test_all_errors_are_collected():
    """Guards against a check that stops at the first error."""
    settings, issues = check(zone=1, queue_limit=0, nme='x')
    assert settings is None
    assert {issue.path for issue in issues} == {'zone', 'queue_limit', 'nme'}


@pytest.mark.parametrize('text', ['', '{', '[]', '{"a": 1, "a": 2}'])
def test_malformed_files(text):
    """Guards against an exception for a file that is not a mapping."""
    settings, issues = _settings.check_settings(
        _settings.RouterSettings, text, 'f'
    )
    assert settings is None and issues[0].file == 'f'


def test_unreadable_file(tmp_path):
    """Guards against an exception for a file that does not exist."""
    path = str(tmp_path / 'absent.json')
    settings, issues = _settings.load_settings(
        _settings.ControllerSettings, path
    )
    assert settings is None and 'No such file' in str(issues[0])


def test_warnings_do_not_reject_the_settings():
    """Guards against a process that does not start on a warning."""
    settings, issues = check(seeds=[], suspect_after_seconds=1)
    assert settings is not None
    assert {i.path for i in issues} == {'seeds', 'suspect_after_seconds'}
