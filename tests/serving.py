"""Fakes and servers on loopback for tests of the request path."""

import socket
from typing import Any, NamedTuple

import pytest
from returns import result

from skylarktally import _certificates
from skylarktally import _claims
from skylarktally import _clock
from skylarktally import _connections
from skylarktally import _errors
from skylarktally import _handlers
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _metrics
from skylarktally import _pipeline
from skylarktally import _resources
from skylarktally import _server
from standins import worker as worker_standin
from tests import certificates
from tests import naive
from tools import clocks

POOL = 'desk'


class ManualClock(clocks.ManualClock):
    """Clock whose monotonic time starts at one hour, not at zero."""

    def __init__(self):
        super().__init__()
        self.advance(3600)


class FakeFleet:
    """Replica of instances and jobs that tests change directly."""

    def __init__(self):
        self.version = 1
        self.instances = {}
        self.jobs = {}

    def find(self, kind, name):
        assert kind is _resources.Kind.JOB
        return self.jobs.get(name)

    def find_instances(self, pool=None, zone=None):
        return [
            x
            for x in self.instances.values()
            if pool in (None, x.pool) and zone in (None, x.zone)
        ]

    def put_instance(self, name, address, **fields):
        values = {
            'pool': POOL,
            'zone': 'a',
            'rack': 'r1',
            'cores': 32,
            'memory_bytes': 64 << 30,
            'accelerators': 0,
            'slots': 8,
            'connections': 64,
            'phase': _resources.Phase.SERVING,
            'epoch': 1,
        }
        values.update(fields)
        self.instances[name] = _resources.Instance(
            name=name, address=address, **values
        )
        self.version += 1

    def put_job(self, name, pool=POOL, **spec):
        self.jobs[name] = {
            'kind': 'job',
            'name': name,
            'spec': {'pool': pool, **spec},
            'status': {},
            'resource_version': 1,
        }
        self.version += 1


class Row(NamedTuple):
    key: str
    value: dict
    version: int


class FakeTable:
    """Transactional table in memory, with faults that tests set."""

    is_unresponsive = is_refusing = False

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.down = False
        # Number of next commits that take effect but whose reply is lost.
        self.lost_answers = 0
        # Number of next commits that are lost before they take effect.
        self.lost_commits = 0

    def _fail(self, kind):
        return result.Failure(_errors.Failure(kind, kind.value))

    def commit(self, transaction):
        if self.down:
            return self._fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        if self.lost_commits:
            self.lost_commits -= 1
            return self._fail(_errors.ErrorKind.OUTCOME_UNKNOWN)
        for key, version in transaction.conditions:
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                return self._fail(_errors.ErrorKind.CONFLICT)
        self.version += 1
        for key, value in transaction.writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(key, value, self.version)
        if self.lost_answers:
            self.lost_answers -= 1
            return self._fail(_errors.ErrorKind.OUTCOME_UNKNOWN)
        return result.Success(self.version)

    def read(self, key):
        if self.down:
            return self._fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        return result.Success(self.rows.get(key))


class FakePeers:
    """Membership and peer calls of the routers in one test."""

    def __init__(self):
        self.routers = []
        # Peer addresses of routers that accept calls but do not respond.
        self.paused = set()

    def list_routers(self, zone=None):
        return [x for x in self.routers if zone in (None, x.zone)]

    def find_answer(self, address, key):
        if address in self.paused:
            _loop.sleep(1)
            address = ''
        for router in self.routers:
            if router.peer_address == address:
                handler = _handlers.PeerHandler(
                    None, None, router.claims, None
                )
                return result.Success(handler.find_answer(key))
        kind = _errors.ErrorKind.PEER_UNREACHABLE
        return result.Failure(_errors.Failure(kind, address))


class Settings(NamedTuple):
    name: str
    zone: str
    serving_address: str
    peer_address: str
    limits: _limits.ServingLimits


def listen(address='127.0.0.1:0'):
    """Return a listener, by default on a free port, and its address."""
    host, port = address.rsplit(':', 1)
    # With a short backlog, connection requests are dropped and retried after
    # a second, which would hide the order in which requests are served.
    listener = _loop.listen((host, int(port)), backlog=1024)
    return listener, f'127.0.0.1:{listener.getsockname()[1]}'


class Server:
    """A server on loopback for a WSGI application.

    :param limits: if given, serve like a router with these limits;
        otherwise with the plain server
    """

    def __init__(
        self,
        application,
        limits=None,
        address='127.0.0.1:0',
        tls=None,
        **options,
    ):
        self.listener, self.address = listen(address)
        if tls is not None:
            self.address = f'https://{self.address}'
        if limits is not None:
            options['limits'] = limits
            options['certificates'] = tls
        elif tls is not None:
            options['protocol'] = _certificates.wrap_protocol(
                _loop.HttpProtocol, tls, _limits.ServingLimits().header_timeout
            )
        function = _loop.serve if limits is None else _server.serve
        self.thread = _loop.spawn(
            function, self.listener, application, **options
        )

    def stop(self):
        self.thread.kill()
        self.listener.close()


class OtherRouters:
    """Membership and peer calls as seen by one router."""

    def __init__(self, peers, own):
        self.own = own
        self.peers = peers
        self.find_answer = peers.find_answer

    def list_routers(self, zone=None):
        found = self.peers.list_routers(zone)
        return [x for x in found if x is not self.own]


class Router:
    """The request path of one router on loopback, with its own claims."""

    def __init__(
        self,
        fleet,
        table,
        peers,
        name='r1',
        zone='a',
        limits=None,
        tls=None,
        upstream=None,
    ):
        limits = limits or _limits.ServingLimits()
        clock = _clock.SystemClock()
        self.name = name
        self.zone = zone
        self.incarnation = len(peers.routers) + 1
        self.server = Server(self._call, limits, tls=tls)
        self.serving_address = self.server.address
        self.peer_address = f'peer-{name}'
        self.settings = Settings(
            name, zone, self.serving_address, self.peer_address, limits
        )
        owner = _claims.Owner(name, self.incarnation, self.peer_address)
        self.claims = _claims.Claims(table, clock, owner, limits)
        self.metrics = _metrics.ServingMetrics(_metrics.create_registry())
        self.pipeline = _pipeline.Pipeline(
            self.settings,
            fleet,
            clock,
            self.claims,
            OtherRouters(peers, self),
            self.metrics,
            certificates=upstream,
        )
        peers.routers.append(self)

    def _call(self, environ, start_response):
        return self.pipeline.application(environ, start_response)

    def stop(self):
        self.pipeline.drain()
        self.server.stop()


class NaiveRouter:
    """The naive baseline on loopback.

    :param queued: use the variant with one queue for all pools
    """

    def __init__(self, fleet, queued=False):
        pipeline_class = (
            naive.QueuedNaivePipeline if queued else naive.NaivePipeline
        )
        self.pipeline = pipeline_class(fleet)
        self.server = Server(self.pipeline.application)
        self.serving_address = self.server.address

    def stop(self):
        self.server.stop()


class Reply(NamedTuple):
    status: int
    headers: Any
    body: bytes

    @property
    def outcome(self):
        return self.headers['Skylarktally-Outcome']


def call(
    address, method, path, body=None, headers=None, timeout=20, client=None
):
    """Send one request on a new connection and return the whole response."""
    if client is None and address.startswith('https:'):
        client = certificates.get_shared_authority().client
    connection = _connections.Connection(address, timeout, client)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Reply(response.status, response.headers, response.read())
    finally:
        connection.close()


def run_all(functions):
    """Run functions concurrently and return their results in order."""
    threads = [_loop.spawn(x) for x in functions]
    return [x.wait() for x in threads]


class WorkerServer:
    """A stand-in worker on loopback that already has a fence for the pool."""

    def __init__(self, fleet, name='w1', pool=POOL, tls=None, **fields):
        self.worker = worker_standin.Worker(name)
        self.worker.fence = (fields.get('epoch', 1), pool)
        self.server = Server(self.worker.application, keepalive=30, tls=tls)
        fleet.put_instance(name, self.server.address, pool=pool, **fields)

    def stop(self):
        self.server.stop()


def connect(address):
    """Open a raw connection, with TLS for an https address."""
    host, port = address.removeprefix('https://').rsplit(':', 1)
    connection = _loop.connect(host, int(port), 5)
    if address.startswith('https:'):
        return certificates.get_shared_authority().client.wrap_client(
            connection, host
        )
    return connection


def read_all(connection: socket.socket) -> bytes:
    """Read until the peer closes."""
    chunks = []
    while chunk := connection.recv(65536):
        chunks.append(chunk)
    return b''.join(chunks)


class Cell:
    """An isolated deployment of workers and routers for one test.

    :param naive: use the baseline instead of real routers
    :param tls: serve and call with TLS
    """

    def __init__(self, limits=None, naive=False, tls=False):
        self.limits = limits
        # Options of servers, and of calls by routers, for TLS.
        self.tls = {}
        self.upstream = {}
        if tls:
            self.tls = {'tls': certificates.get_shared_authority().server}
            self.upstream = {
                'upstream': certificates.get_shared_authority().client
            }
        self.naive = naive
        self.fleet = FakeFleet()
        self.table = FakeTable()
        self.peers = FakePeers()
        self.routers = []
        self.workers = []
        self.fleet.put_job('report', idempotent=True)
        self.fleet.put_job('lien', idempotent=False)

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for server in (*self.routers, *self.workers):
            server.stop()

    def add_worker(self, name=None, **fields):
        name = name or f'w{len(self.workers) + 1}'
        fields = self.tls | fields
        self.workers.append(WorkerServer(self.fleet, name, **fields))
        return self.workers[-1].worker

    def add_scripted(self, **options):
        from tests import scripted

        name = f'w{len(self.workers) + 1}'
        options = self.tls | options
        worker = scripted.ScriptedWorker(self.fleet, name, **options)
        self.workers.append(worker)
        return worker

    def expect_failure_if_naive(self, check):
        """Run a check that routers must pass and the baseline must fail.

        A check that the baseline passes would not show what it guards
        against.
        """
        if not self.naive:
            check()
            return
        with pytest.raises(AssertionError):
            check()

    def add_router(self, name=None, queued=False, **options):
        """Add a router.

        :param queued: for the baseline, use one queue for all pools
        """
        options = {
            'limits': self.limits,
            **self.tls,
            **self.upstream,
            **options,
        }
        if self.naive:
            self.routers.append(NaiveRouter(self.fleet, queued))
            return self.routers[-1]
        name = name or f'r{len(self.routers) + 1}'
        router = Router(self.fleet, self.table, self.peers, name, **options)
        self.routers.append(router)
        return router

    def burst(self, count, path):
        """Send that many GET requests concurrently."""
        return run_all([lambda: self.call('GET', path)] * count)

    def call(self, method, path, body=None, headers=None, **options):
        router = self.routers[0] if self.routers else self.add_router()
        return call(
            router.serving_address, method, path, body, headers, **options
        )
