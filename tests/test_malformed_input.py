"""Guards against exceptions on input that other software has written.

The input is mutated from valid documents, so that most of it passes the
first checks and reaches the later ones.
"""

import json

import hypothesis
from hypothesis import strategies as st
from returns import result

from skylarktally import _fleet
from skylarktally._gen.peer import ttypes
from skylarktally import _messages
from skylarktally import _objects
from skylarktally import _schemas
from skylarktally import _settings
from skylarktally import _snapshots
from tests import apis
from tests import fleets
from tests import strategies

DOCUMENTS = [
    apis.declare('pool', 'desk', team='north'),
    apis.declare('job', 'codes', pool='desk'),
    apis.declare('budget', 'desk', pool='desk', min_available=1),
    apis.declare('wave', 'reboot', pools=['desk']),
    apis.declare('quota', 'north', team='north', slots=4),
    apis.declare('configuration', 'tariff', data={'rate': 1}),
    apis.declare_instance('w1', 'desk'),
]
SETTINGS = {
    'name': 'r1',
    'zone': 'z1',
    'serving_address': '127.0.0.1:1',
    'admin_address': '127.0.0.1:2',
    'peer_address': '127.0.0.1:3',
    'platform_address': '127.0.0.1:4',
    'peer_secret': 'x' * 32,
    'seeds': ['127.0.0.1:5'],
}


MUTATED = strategies.check_many(400)
SEEDS = st.integers(0, 1 << 32)


@MUTATED
@hypothesis.given(st.sampled_from(DOCUMENTS), strategies.JSON_VALUES, SEEDS)
def test_resource_documents(document, value, seed):
    parsed = _schemas.parse_resource(strategies.mutate(document, value, seed))
    if isinstance(parsed, result.Success):
        # An accepted document must survive JSON and load into a replica.
        stored = json.loads(json.dumps(parsed.unwrap()))
        fleet = _fleet.Fleet()
        assert fleet.load([stored], 1)
        assert len(fleet.find_instances()) == (stored['kind'] == 'instance')


@MUTATED
@hypothesis.given(strategies.JSON_VALUES, SEEDS)
def test_settings_files(value, seed):
    text = json.dumps(strategies.mutate(SETTINGS, value, seed))
    checked = _settings.check_settings(
        _settings.RouterSettings, text, 'router.json'
    )
    errors = [i for i in checked.issues if i.severity == 'error']
    assert (checked.settings is None) == bool(errors)


@MUTATED
@hypothesis.given(strategies.JSON_VALUES, SEEDS)
def test_snapshots(value, seed):
    resources = [fleets.build_instance(n, 1) for n in range(2)]
    stored = strategies.mutate(
        {'version': 3, 'resources': resources}, value, seed
    )
    fleet = _fleet.Fleet()
    found = _objects.StoredObject(json.dumps(stored).encode(), 'etag')
    _snapshots.Snapshots(fleet).load_object(lambda key: result.Success(found))
    body = json.dumps(stored.get('resources'))
    _snapshots.Snapshots(_fleet.Fleet()).load(
        ttypes.Snapshot(log_version=3, body=body)
    )


@MUTATED
@hypothesis.given(strategies.JSON_VALUES, SEEDS)
def test_log_entries(value, seed):
    record = strategies.mutate(fleets.build_record(1, 0), value, seed)
    entry = ttypes.LogEntry(version=1, body=json.dumps(record))
    for decoded in _messages.decode_entries([entry]):
        _fleet.Fleet().apply(decoded)
