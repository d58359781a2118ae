"""Guards against exceptions on input that other software has written.

The input is mutated from valid documents, so that most of it passes the
first checks and reaches the later ones.
"""

import copy
import json
import random

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

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)
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


def mutate(document, value, seed):
    """Return a copy of a document with one value replaced.

    The seed chooses which one; containers may be replaced as a whole.
    """
    generator = random.Random(seed)
    changed = copy.deepcopy(document)
    container = changed
    while True:
        keys = list(
            container if isinstance(container, dict) else range(len(container))
        )
        if not keys:
            return changed
        key = generator.choice(keys)
        if (
            not isinstance(container[key], dict | list)
            or generator.random() < 0.3
        ):
            container[key] = value
            return changed
        container = container[key]


MUTATED = strategies.check_many(400)
SEEDS = st.integers(0, 1 << 32)


@MUTATED
@hypothesis.given(st.sampled_from(DOCUMENTS), VALUES, SEEDS)
def test_resource_documents(document, value, seed):
    parsed = _schemas.parse_resource(mutate(document, value, seed))
    if isinstance(parsed, result.Success):
        # An accepted document must survive JSON and load into a replica.
        stored = json.loads(json.dumps(parsed.unwrap()))
        fleet = _fleet.Fleet()
        assert fleet.load([stored], 1)
        assert len(fleet.find_instances()) == (stored['kind'] == 'instance')


@MUTATED
@hypothesis.given(VALUES, SEEDS)
def test_settings_files(value, seed):
    text = json.dumps(mutate(SETTINGS, value, seed))
    checked = _settings.check_settings(
        _settings.RouterSettings, text, 'router.json'
    )
    errors = [i for i in checked.issues if i.severity == 'error']
    assert (checked.settings is None) == bool(errors)


@MUTATED
@hypothesis.given(VALUES, SEEDS)
def test_snapshots(value, seed):
    resources = [fleets.build_instance(n, 1) for n in range(2)]
    stored = mutate({'version': 3, 'resources': resources}, value, seed)
    fleet = _fleet.Fleet()
    found = _objects.StoredObject(json.dumps(stored).encode(), 'etag')
    _snapshots.Snapshots(fleet).load_object(lambda key: result.Success(found))
    body = json.dumps(stored.get('resources'))
    _snapshots.Snapshots(_fleet.Fleet()).load(
        ttypes.Snapshot(log_version=3, body=body)
    )


@MUTATED
@hypothesis.given(VALUES, SEEDS)
def test_log_entries(value, seed):
    record = mutate(fleets.build_record(1, 0), value, seed)
    entry = ttypes.LogEntry(version=1, body=json.dumps(record))
    for decoded in _messages.decode_entries([entry]):
        _fleet.Fleet().apply(decoded)
