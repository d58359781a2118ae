"""Tests of the resource API: atomicity, conflicts, access and watches.

They guard against partial, lost and unauthorized writes.
"""

import json
import logging

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _reference
from skylarktally import _requests
from skylarktally import _settings
from skylarktally import _tokens
from skylarktally import _transitions
from tests import apis
from tests import fakes

WORKER = apis.declare_instance('w9', 'desk-n')['spec']


@pytest.fixture
def harness():
    new_harness = apis.ApiHarness()
    assert new_harness.apply(*apis.declare_small_fleet())[0] == 200
    return new_harness


def get_kind(answer):
    return answer['error']['kind']


@pytest.mark.parametrize(
    ('document', 'parts'),
    [
        ([], ['resources[1]: must be an object']),
        ({'kind': 'pod', 'name': 'a'}, ['resources[1].kind: must be one of']),
        ({'kind': 'pool', 'name': '../x'}, ['resources[1].name: must be 1']),
        (apis.declare('pool', 'p'), ['.spec.team: is required']),
        (
            apis.declare('pool', 'p', team='t', wieght=2),
            ['.spec.wieght: is unknown; the nearest known name is weight'],
        ),
        (
            apis.declare('job', 'j', pool='desk-n', urgency='now', cores=-1),
            ['.urgency: must be urgent or deferrable', '.cores: must be 0'],
        ),
        (
            apis.declare('job', 'j', pool='desk-n', expected_seconds=1e99),
            ['.spec.expected_seconds: must be 0.001 to 2592000 seconds'],
        ),
        (
            apis.declare('job', 'j', pool='desk-n', idempotent='yes'),
            ['.spec.idempotent: must be true or false'],
        ),
        (
            apis.declare('wave', 'v', pools=['desk-n', 'desk-n']),
            ["resources[1].spec.pools[1]: repeats 'desk-n'"],
        ),
        (
            apis.declare('budget', 'b', pool='absent', min_available=1),
            ["resources[1].spec.pool: there is no pool 'absent'"],
        ),
        (
            apis.declare('instance', 'w9', **{**WORKER, 'address': 'host:1'}),
            ['.spec.address: must be an IP address and port'],
        ),
        (
            apis.declare_instance('w1', 'desk-n', zone='z2'),
            ["resources[1].spec.zone: cannot change from 'z1'"],
        ),
        (
            apis.declare('pool', 'fresh', team='north'),
            ["resources[1].name: pool 'fresh' is declared twice"],
        ),
    ],
)
def test_a_malformed_resource_is_named_and_nothing_is_applied(
    harness, document, parts
):
    # The first resource is valid, so writing the resources one by one would
    # leave it in the table.
    before = harness.fleet.version
    status, answer = harness.apply(
        apis.declare('pool', 'fresh', team='north'), document
    )
    assert (status, get_kind(answer)) == (422, 'invalid_resource')
    for part in parts:
        assert part in answer['error']['message']
    assert harness.fleet.version == before
    assert harness.call('GET', '/v1/pools/fresh')[0] == 404


@pytest.mark.parametrize(
    ('path', 'body', 'expected'),
    [
        ('/v1/apply', b'{"resources": [', 'invalid_request'),
        ('/v1/apply', b'[' * 100000, 'invalid_request'),
        ('/v1/apply', {'resources': []}, 'invalid_request'),
        ('/v1/apply', b' ' * (2**20 + 1), 'body_too_large'),
        ('/v1/apply', {'resources': [{}] * 98}, 'invalid_request'),
        ('/v1/instances/w1/move', {}, 'invalid_request'),
        ('/v1/instances/w1/move', {'pool': 'absent'}, 'not_found'),
        ('/v1/instances/absent/drain', {}, 'not_found'),
        ('/v1/instances/w1/melt', {}, 'not_found'),
    ],
)
def test_a_malformed_request_gets_its_error(harness, path, body, expected):
    assert get_kind(harness.call('POST', path, body)[1]) == expected


def test_a_dry_run_shows_the_difference_and_writes_nothing(harness):
    before = harness.table.rows.scan('', '', 1000)
    changed = apis.declare('pool', 'desk-n', team='north', weight=3)
    status, answer = harness.apply(
        changed, apis.declare('pool', 'new', team='x'), dry_run=True
    )
    assert status == 200
    update, create = answer['changes']
    weight = {'path': 'spec.weight', 'old': 1.0, 'new': 3}
    assert (update['action'], update['fields']) == ('update', [weight])
    assert create['action'] == 'create'
    assert harness.table.rows.scan('', '', 1000) == before


def test_applying_a_file_again_changes_nothing(harness):
    harness.call('POST', '/v1/instances/w3/move', {'pool': 'desk-n'})
    for phase in ('draining', 'serving'):
        before = harness.fleet.version
        status, answer = harness.apply(*apis.declare_small_fleet())
        assert status == 200
        assert {c['action'] for c in answer['changes']} == {'unchanged'}
        # The file still declares the pool before the move. Applying it again
        # must not undo the move.
        resource = harness.call('GET', '/v1/instances/w3')[1]
        assert resource['status']['phase'] == phase
        assert harness.fleet.version == before
        step = _transitions.finish_drain(resource, harness.clock.now(), 'b1')
        harness.journal.propose([step], harness.fleet.version).unwrap()
        harness.call('POST', '/v1/instances/w3/return', {})
    assert resource['spec']['pool'] == 'desk-n'


def test_of_two_operators_the_second_gets_a_conflict(harness):
    other = apis.ApiHarness(harness.table, 'c2', seed=2)
    other.journal.refresh()
    version = harness.call('GET', '/v1/pools/desk-n')[1]['resource_version']
    answers = [
        api.call(
            'PUT',
            '/v1/pools/desk-n',
            {'spec': {'team': 'north', 'weight': weight}},
            HTTP_IF_MATCH=f'"{version}"',
        )
        for api, weight in ((harness, 2), (other, 3))
    ]
    assert [status for status, _ in answers] == [200, 409]
    assert get_kind(answers[1][1]) == 'conflict'
    harness.journal.refresh()
    assert harness.call('GET', '/v1/pools/desk-n')[1]['spec']['weight'] == 2


@pytest.mark.parametrize('header', [{}, {'HTTP_IF_MATCH': '0'}])
def test_a_write_without_a_version_does_not_overwrite(harness, header):
    body = {'spec': {'team': 'north', 'weight': 9}}
    answer = harness.call('PUT', '/v1/pools/desk-n', body, **header)
    assert answer[0] == 409


def test_a_write_whose_answer_is_lost_takes_effect_once(harness):
    before = harness.fleet.version
    harness.table.faults = ['lose']
    pool = {'spec': {'team': 'north', 'weight': 4}}
    assert (
        harness.call('PUT', '/v1/pools/desk-n', pool, HTTP_IF_MATCH='*')[0]
        == 200
    )
    assert harness.fleet.version == before + 1


def test_a_table_outage_refuses_writes_and_serves_reads(harness):
    harness.table.down = True
    status, answer = harness.apply(apis.declare('pool', 'p', team='t'))
    assert (status, get_kind(answer)) == (503, 'platform_unavailable')
    assert harness.call('GET', '/v1/pools/desk-n')[0] == 200


def test_the_budget_is_spent_once_between_racing_operators(harness):
    # The operators use different controllers, whose replicas both predate
    # the race. A check against the replica alone would admit both drains.
    other = apis.ApiHarness(harness.table, 'c2', seed=2)
    other.journal.refresh()
    first = harness.call('POST', '/v1/instances/w1/drain', {})
    second = other.call('POST', '/v1/instances/w2/drain', {})
    third = other.call('POST', '/v1/instances/w1/drain', {})
    assert first[0] == 200
    assert get_kind(second[1]) == 'budget_exhausted'
    assert get_kind(third[1]) == 'conflict'


def test_a_move_leaves_a_pool_its_floor(harness):
    harness.apply(apis.declare('pool', 'desk-s', team='south', floor=1))
    body = {'pool': 'desk-n'}
    status, answer = harness.call('POST', '/v1/instances/w3/move', body)
    assert (status, get_kind(answer)) == (409, 'budget_exhausted')
    assert 'its floor is 1' in answer['error']['message']


def test_a_drain_repeated_under_its_operation_id_is_one_drain(harness):
    body = {'operation_id': 'reboot-1'}
    answers = [
        harness.call('POST', '/v1/instances/w1/drain', body) for _ in range(3)
    ]
    assert answers[0] == answers[1] == answers[2]
    assert answers[0][0] == 200
    assert harness.get_status('w1')['phase'] == 'draining'


def test_an_instance_declared_again_never_reuses_an_epoch(harness):
    # A worker rejects a fencing epoch lower than its current one, so it
    # could not serve again under a reused epoch.
    harness.call('POST', '/v1/instances/w1/drain', {'then': 'cordon'})
    epoch = harness.get_status('w1')['epoch']
    assert harness.call('DELETE', '/v1/instances/w1')[0] == 409
    resource = harness.call('GET', '/v1/instances/w1')[1]
    drained = _transitions.finish_drain(resource, harness.clock.now(), 'b1')
    harness.journal.propose([drained], harness.fleet.version).unwrap()
    assert harness.call('DELETE', '/v1/instances/w1')[0] == 200
    harness.apply(apis.declare_instance('w1', 'desk-n'))
    assert harness.get_status('w1')['epoch'] > epoch


def test_a_pool_in_use_is_not_deleted(harness):
    status, answer = harness.call('DELETE', '/v1/pools/desk-n')
    assert (status, get_kind(answer)) == (409, 'conflict')
    assert 'job gate-codes' in answer['error']['message']


@pytest.mark.parametrize(
    ('token', 'method', 'path', 'body', 'expected'),
    [
        ('north', 'GET', '/v1/jobs/gate-codes', None, 200),
        ('north', 'GET', '/v1/jobs/notices', None, 404),
        ('north', 'GET', '/v1/pools/desk-s', None, 404),
        ('north', 'GET', '/v1/explanations/pool/desk-s', None, 404),
        ('north', 'PUT', '/v1/jobs/new', {'pool': 'desk-n'}, 200),
        ('north', 'PUT', '/v1/jobs/new', {'pool': 'desk-s'}, 403),
        ('north', 'PUT', '/v1/jobs/notices', {'pool': 'desk-n'}, 403),
        ('north', 'DELETE', '/v1/jobs/gate-codes', None, 200),
        ('north', 'DELETE', '/v1/jobs/notices', None, 404),
        (
            'north',
            'PUT',
            '/v1/pools/desk-n',
            {'team': 'north', 'urgent_deadline_seconds': 2},
            200,
        ),
        (
            'north',
            'PUT',
            '/v1/pools/desk-n',
            {'team': 'north', 'weight': 9},
            403,
        ),
        ('north', 'PUT', '/v1/pools/desk-n', {'team': 'south'}, 403),
        ('north', 'PUT', '/v1/pools/more', {'team': 'north'}, 403),
        ('north', 'PUT', '/v1/quotas/q', {'team': 'north'}, 403),
        (
            'north',
            'PUT',
            '/v1/budgets/desk-n',
            {'pool': 'desk-n', 'min_available': 0},
            403,
        ),
        ('north', 'POST', '/v1/instances/w1/drain', {}, 403),
        ('north', 'POST', '/v1/instances/w1/move', {'pool': 'desk-s'}, 403),
        ('router', 'GET', '/v1/pools/desk-n', None, 404),
        ('guess', 'GET', '/v1/pools/desk-n', None, 401),
        ('', 'GET', '/v1/pools/desk-n', None, 401),
    ],
)
def test_a_team_sees_and_changes_only_its_own(
    harness, token, method, path, body, expected
):
    sent = {'spec': body} if method == 'PUT' else body
    status, _ = harness.call(method, path, sent, token, HTTP_IF_MATCH='*')
    assert status == expected


def test_lists_hold_only_what_the_team_owns(harness):
    for kind, names in (('jobs', ['notices']), ('instances', ['w3'])):
        _, page = harness.call('GET', f'/v1/{kind}', token='south')
        assert [item['name'] for item in page['items']] == names
    _, page = harness.call('GET', '/v1/instances?pool=desk-n&after=w1')
    assert [item['name'] for item in page['items']] == ['w2']


def test_refusals_are_counted_and_logged_without_the_secret(harness, caplog):
    caplog.set_level(logging.DEBUG)
    counter = _tokens.REFUSALS.labels('unknown')
    before = counter._value.get()
    assert harness.call('GET', '/v1/pools', token='s3cret-x')[0] == 401
    assert counter._value.get() == before + 1
    assert 'refused GET /v1/pools' in caplog.text
    assert 's3cret-x' not in caplog.text


def test_new_tokens_take_effect_without_a_restart(harness):
    assert harness.call('GET', '/v1/pools', token='fresh')[0] == 401
    harness.tokens = apis.hash_tokens(
        {'fresh': _settings.Token('fresh', 'operator', '*')}
    )
    harness.clock.advance(1)
    assert harness.call('GET', '/v1/pools', token='fresh')[0] == 200
    assert harness.call('GET', '/v1/pools', token='root')[0] == 401


class Watcher:
    """Client of a watch, which skips the heartbeats."""

    def __init__(self, harness, after, token='root'):
        path = f'/v1/watch?after={after}'
        self.status, self.lines = harness.open('GET', path, token=token)

    def read(self, count):
        found = []
        while len(found) < count:
            line = next(self.lines)
            if line.strip():
                found.append(json.loads(line))
        return found


def test_a_watch_misses_and_repeats_nothing(harness):
    start = harness.fleet.version
    for weight in range(2, 8):
        pool = apis.declare('pool', 'desk-n', team='north', weight=weight)
        harness.apply(pool)
    first = Watcher(harness, start)
    seen = first.read(3)
    # The client loses its connection and continues at another controller.
    other = apis.ApiHarness(harness.table, 'c2', seed=2)
    other.journal.refresh()
    seen += Watcher(other, seen[-1]['version']).read(3)
    assert [m['version'] for m in seen] == list(range(start + 1, start + 7))
    weights = [m['changes'][0]['value']['spec']['weight'] for m in seen]
    assert weights == list(range(2, 8))


def test_a_watch_from_a_trimmed_version_starts_with_a_snapshot(harness):
    late = apis.ApiHarness(harness.table, 'c2', seed=2)
    late.journal._load_snapshot()
    (message,) = Watcher(late, 0).read(1)
    assert message['version'] == harness.fleet.version
    assert len(message['snapshot']) == len(apis.declare_small_fleet())


def test_a_team_watches_its_own_resources_only(harness):
    watch = Watcher(harness, harness.fleet.version, 'north')
    harness.apply(apis.declare('job', 'other', pool='desk-s'))
    harness.apply(apis.declare('job', 'own', pool='desk-n'))
    harness.call('DELETE', '/v1/jobs/other')
    harness.call('DELETE', '/v1/jobs/own')
    shown = [
        [(c['name'], c['value'] is None) for c in message['changes']]
        for message in watch.read(4)
    ]
    assert shown == [[], [('own', False)], [], [('own', True)]]
    # When a pool moves to another team, the former owner loses sight of
    # its jobs as well.
    harness.apply(apis.declare('pool', 'desk-n', team='south'))
    (message,) = watch.read(1)
    assert message['snapshot'] == []


def test_closing_the_api_ends_its_watches(harness):
    watch = Watcher(harness, harness.fleet.version - 1)
    watch.read(1)
    harness.api.close()
    assert list(watch.lines) == []


@pytest.mark.parametrize(
    'page, describe, command',
    [
        ('resources', _reference.describe_kinds, 'reference'),
        ('settings', _reference.describe_settings, 'reference-settings'),
    ],
)
def test_the_reference_pages_are_up_to_date(page, describe, command):
    with open(f'docs/reference-{page}.md', encoding='utf-8') as file:
        assert file.read() == describe(), (
            f'run python -m skylarktally.ctl {command}'
        )


def test_a_broken_token_source_keeps_the_tokens_in_force():
    clock = fakes.ManualClock()
    outcomes = [
        result.Success(apis.hash_tokens()),
        _requests.fail(_errors.ErrorKind.INVALID_REQUEST, 'malformed'),
    ]
    store = _tokens.TokenStore(lambda: outcomes.pop(0), clock)
    assert store.identify('Bearer root').unwrap().is_operator
    clock.advance(1)
    assert store.identify('Bearer root').unwrap().is_operator
