"""Tests tokens, snapshots and router calls of the controller process."""

import json
import os
import re

import prometheus_client
import pytest
from returns import result

from skylarktally import _api
from skylarktally import _controller_metrics
from skylarktally import _errors
from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _objects
from skylarktally import _reconciler
from skylarktally import _routers
from skylarktally import _settings
from skylarktally import _snapshots
from skylarktally import _tokens
from tests import apis
from tests import fakes

SETTINGS = {
    'name': 'c1',
    'zone': 'z1',
    'admin_address': '127.0.0.1:7001',
    'api_address': '127.0.0.1:7002',
    'peer_address': '127.0.0.1:7003',
    'platform_address': '127.0.0.1:7004',
    'peer_secret': 'k' * 32,
}


def write_settings(path, secret):
    tokens = {
        digest: {'subject': 's', 'role': 'operator', 'team': '*'}
        for digest in apis.hash_tokens({secret: None})
    }
    # Replaced atomically, as editors do: a write in place could be read
    # while it is incomplete.
    new = path.with_suffix('.new')
    new.write_text(json.dumps({**SETTINGS, 'tokens': tokens}))
    os.replace(new, path)


def test_tokens_are_reloaded_from_the_settings_file_unless_it_is_broken(
    tmp_path,
):
    path = tmp_path / 'c1.json'
    write_settings(path, 'old')
    clock = fakes.ManualClock()
    source = _tokens.TokenFile(_settings.ControllerSettings, str(path))
    store = _tokens.TokenStore(source.read, clock)
    assert store.identify('Bearer old').unwrap().is_operator
    write_settings(path, 'new')
    clock.advance(1)
    assert store.identify('Bearer new').unwrap().is_operator
    assert not isinstance(store.identify('Bearer old'), result.Success)
    for broken in ('{', None):
        path.write_text(broken) if broken else path.unlink()
        clock.advance(1)
        assert store.identify('Bearer new').unwrap().is_operator


class FakeObjectStore:
    def __init__(self):
        self.data = None
        self.writes = 0

    def read(self, key):
        if self.data is None:
            return result.Success(None)
        etag = str(self.writes)
        return result.Success(_objects.StoredObject(self.data, etag))

    def write(self, key, data, if_match=None, if_absent=False):
        if if_absent and self.data is not None:
            return fakes.fail(_errors.ErrorKind.CONFLICT)
        if if_match is not None and if_match != str(self.writes):
            return fakes.fail(_errors.ErrorKind.CONFLICT)
        self.data = data
        self.writes += 1
        return result.Success(str(self.writes))


def make_fleet(version):
    fleet = _fleet.Fleet()
    fleet.load([], version)
    return fleet


@pytest.mark.parametrize(
    ('stored', 'version', 'expected'),
    [
        (None, 99, None),
        (None, 100, 100),
        (b'{"version": 150, "resources": []}', 249, 150),
        (b'{"version": 150, "resources": []}', 250, 250),
        # A controller that is behind must not replace a newer snapshot.
        (b'{"version": 900, "resources": []}', 300, 900),
        (b'not a snapshot', 100, 100),
    ],
)
def test_snapshots_are_stored_every_100_versions_and_never_go_back(
    stored, version, expected
):
    objects = FakeObjectStore()
    objects.data = stored
    writer = _reconciler.SnapshotWriter(make_fleet(version), objects, 100)
    writer.step()
    writer.step()
    if expected is None:
        assert objects.data is None
        return
    reader = _fleet.Fleet()
    loaded = _snapshots.Snapshots(reader).load_object(objects.read)
    assert loaded.unwrap() == expected


def test_a_snapshot_written_concurrently_is_kept():
    objects = FakeObjectStore()
    objects.data = b'{"version": 1, "resources": []}'
    writer = _reconciler.SnapshotWriter(make_fleet(300), objects, 100)
    read = objects.read

    def read_before_a_concurrent_write(key):
        found = read(key)
        objects.write(key, b'{"version": 400, "resources": []}')
        return found

    objects.read = read_before_a_concurrent_write
    writer.step()
    assert json.loads(objects.data)['version'] == 400


class FakeCalls:
    """Peer calls to routers, some of which are unreachable."""

    def __init__(self, members, down=()):
        self.members = members
        self.down = set(down)
        self.pushed = []

    def _respond(self, address, value):
        if address in self.down:
            return fakes.fail(_errors.ErrorKind.PEER_UNREACHABLE)
        return result.Success(value)

    def sync(self, address, request):
        assert not request.sender.name
        reply = ttypes.SyncReply(
            responder=self.members[0],
            members=self.members[1:],
            log_version=0,
            entries=[],
        )
        return self._respond(address, reply)

    def push_log(self, address, entries):
        outcome = self._respond(address, entries[-1].version)
        if isinstance(outcome, result.Success):
            self.pushed.append(address)
        return outcome

    def get_observations(self, address):
        return self._respond(address, '{"pools": {}}')


def make_member(name, zone, heartbeat=1):
    return ttypes.Member(
        name=name,
        zone=zone,
        incarnation=1,
        peer_address=f'{name}:1',
        serving_address='',
        heartbeat=heartbeat,
        leaving=False,
    )


def test_records_are_pushed_to_another_router_while_the_local_one_is_down():
    members = [make_member('r1', 'z1'), make_member('r2', 'z1')]
    calls = FakeCalls([*members, make_member('r3', 'z2')], {'r1:1'})
    clock = fakes.ManualClock()
    routers = _routers.ZoneRouters(calls, 'r1:1', ['r3:1'], 'z1', clock)
    record = {'version': 7, 'changes': []}
    routers.discover(0)
    assert routers.list_addresses() == ['r1:1', 'r2:1']
    assert routers.push_records([record]) == 7
    assert calls.pushed == ['r2:1']
    # Only routers of the zone are asked for observations of its demand.
    assert [name for name, _ in routers.fetch_observations()] == ['r2:1']
    clock.advance(11)
    assert routers.list_addresses() == ['r1:1']
    assert routers.push_records([record]) == 7
    assert calls.pushed == ['r2:1', 'r3:1']


def test_every_alert_reads_a_metric_that_exists():
    registry = prometheus_client.CollectorRegistry()
    _controller_metrics.ControllerMetrics(registry)
    for counter in (_api.REQUESTS, _tokens.REFUSALS):
        registry.register(counter)
    metric_names = set()
    for metric in registry.collect():
        kinds = {'counter': ['_total'], 'histogram': ['_bucket', '_sum']}
        for suffix in kinds.get(metric.type, ['']):
            metric_names.add(metric.name + suffix)
    with open('docs/alerts.yaml', encoding='utf-8') as file:
        rules = re.findall(r'expr: (.*)', file.read())
    assert len(rules) >= 10
    for rule in rules:
        used = set(re.findall(r'skylarktally_\w+', rule))
        assert used and used <= metric_names, rule
