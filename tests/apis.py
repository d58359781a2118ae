"""Test harness of the resource API and builders of resource documents."""

import hashlib
import io
import json
import random

from returns import result

from skylarktally import _api
from skylarktally import _explanations
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _settings
from skylarktally import _tokens
from tests import fakes

TOKENS = {
    'root': _settings.Token('root', 'operator', '*'),
    'north': _settings.Token('north-app', 'caller', 'north'),
    'south': _settings.Token('south-app', 'caller', 'south'),
    'router': _settings.Token('router', 'peer', None),
}


def hash_tokens(tokens=None):
    pairs = (TOKENS if tokens is None else tokens).items()
    return {hashlib.sha256(k.encode()).hexdigest(): v for k, v in pairs}


def declare(kind, name, **spec):
    return {'kind': kind, 'name': name, 'spec': spec}


def declare_instance(name, pool, zone='z1', rack='r1', port=9001):
    return declare(
        'instance',
        name,
        pool=pool,
        zone=zone,
        rack=rack,
        address=f'127.0.0.1:{port}',
        cores=32,
        memory_bytes=64 << 30,
    )


class ApiHarness:
    """Resource API of one controller; several may share one table."""

    def __init__(self, table=None, name='c1', seed=1, clock=None):
        self.clock = clock or fakes.ManualClock()
        self.table = table or fakes.FaultyTable()
        self.fleet = _fleet.Fleet()
        self.tokens = hash_tokens()
        self.journal = _journal.Journal(
            self.table, self.fleet, self.clock, name, random.Random(seed)
        )
        store = _tokens.TokenStore(
            lambda: result.Success(self.tokens), self.clock
        )
        self.explanations = _explanations.Explanations()
        self.api = _api.Api(
            self.journal, self.fleet, store, self.clock, self.explanations
        )

    def open(self, method, path, body=None, token='root', **headers):
        path, _, query = path.partition('?')
        raw = b'' if body is None else body
        if not isinstance(raw, bytes):
            raw = json.dumps(raw).encode()
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(raw)),
            'wsgi.input': io.BytesIO(raw),
            'HTTP_AUTHORIZATION': f'Bearer {token}',
            **headers,
        }
        statuses = []
        pieces = self.api.application(
            environ, lambda status, _: statuses.append(int(status[:3]))
        )
        return statuses[0], pieces

    def call(self, method, path, body=None, token='root', **headers):
        status, pieces = self.open(method, path, body, token, **headers)
        return status, json.loads(b''.join(pieces))

    def apply(self, *documents, token='root', dry_run=False):
        path = f'/v1/apply?dry_run={str(dry_run).lower()}'
        return self.call('POST', path, {'resources': documents}, token)

    def get_status(self, name):
        return self.call('GET', f'/v1/instances/{name}')[1]['status']


def declare_small_fleet():
    """Build two teams' pools and jobs, three instances and one budget."""
    return [
        declare('pool', 'desk-n', team='north'),
        declare('pool', 'desk-s', team='south', spare=True),
        declare('job', 'gate-codes', pool='desk-n'),
        declare('job', 'notices', pool='desk-s', idempotent=False),
        declare('budget', 'desk-n', pool='desk-n', min_available=1),
        declare_instance('w1', 'desk-n', port=9001),
        declare_instance('w2', 'desk-n', port=9002, rack='r2'),
        declare_instance('w3', 'desk-s', port=9003, rack='r2'),
    ]
