"""Tests of skylarktallyctl over HTTP: output, exit codes and waiting."""

import json
import threading
from wsgiref import simple_server

import pytest

from skylarktally import _client
from skylarktally import _transitions
from skylarktally import ctl
from tests import apis

SETTINGS = """{
    // Comments are allowed.
    "name": "c1", "zone": "z1", "peer_secret": "%s",
    "tokens": {}, "peer_address": "127.0.0.1:7000",
    "admin_address": "127.0.0.1:7001", "api_address": "127.0.0.1:7002",
    "platform_address": "127.0.0.1:7003", "seeds": ["127.0.0.1:7004"],
    %s
}"""


class QuietHandler(simple_server.WSGIRequestHandler):
    def log_message(self, *arguments):
        pass


@pytest.fixture
def harness():
    new_harness = apis.ApiHarness()
    new_harness.apply(*apis.declare_small_fleet())
    server = simple_server.make_server(
        '127.0.0.1', 0, new_harness.api.application, handler_class=QuietHandler
    )
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    new_harness.address = f'127.0.0.1:{server.server_port}'
    yield new_harness
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def run(harness, tmp_path, capsys):
    token = tmp_path / 'token'
    token.write_text('root\n')

    def run_command(*arguments, api=(), token_file=str(token)):
        addresses = [*api, harness.address]
        given = [f'--api={address}' for address in addresses]
        if token_file:
            given.append(f'--token-file={token_file}')
        ctl.FLAGS.set_gnu_getopt(True)
        left = ctl.FLAGS(['ctl', *given, *arguments])
        try:
            code = ctl._run(left)
        finally:
            ctl.FLAGS.unparse_flags()
            for name in ctl.FLAGS:
                ctl.FLAGS[name].unparse()
        return code, *capsys.readouterr()

    return run_command


def write(path, resources):
    path.write_text('// comment\n' + json.dumps({'resources': resources}))
    return str(path)


def test_apply_shows_the_difference_then_applies(run, harness, tmp_path):
    pool = apis.declare('pool', 'desk-n', team='north', weight=2)
    path = write(tmp_path / 'a.json', [pool])
    code, out, _ = run('apply', path, '--dry-run')
    assert code == 0
    assert 'spec.weight: 1.0 -> 2' in out
    assert 'would apply to version 1' in out
    assert run('apply', path)[0] == 0
    code, out, _ = run('apply', path, '--output=json')
    assert json.loads(out)['changes'][0]['action'] == 'unchanged'


def declare_many(count, bad=None):
    """Build resources that precede the pool that they refer to.

    :param bad: index of an instance that gets a pool that does not exist
    """
    resources = [
        apis.declare('wave', 'v', pools=['big'], max_parallel=1),
        apis.declare('job', 'j', pool='big'),
        *(
            apis.declare_instance(f'x{n}', 'big', port=1000 + n)
            for n in range(count)
        ),
        apis.declare('budget', 'big', pool='big', min_available=1),
        apis.declare('pool', 'big', team='north'),
    ]
    if bad is not None:
        resources[bad]['spec']['pool'] = 'absent'
    return resources


def list_committed_kinds(harness, after):
    return [
        [change['kind'] for change in record['changes']]
        for record in harness.fleet.read_records(after, 100)
    ]


def test_large_file_is_applied_in_a_safe_order(run, harness, tmp_path):
    """Guards against jobs and waves that take effect before budgets.

    The file lists them in the opposite order and exceeds one transaction.
    """
    before = harness.fleet.version
    path = write(tmp_path / 'a.json', declare_many(200))
    code, out, _ = run('apply', path, '--dry-run')
    assert (code, harness.fleet.version) == (0, before)
    assert out.count('create') == 204
    code, out, err = run('apply', path)
    assert (code, out.count('create')) == (0, 204)
    assert f'204 of 204 resources at version {before + 3}' in err
    written = list_committed_kinds(harness, before)
    assert [len(kinds) for kinds in written] == [97, 97, 10]
    assert written[0][:3] == ['pool', 'budget', 'instance']
    assert written[2][-2:] == ['job', 'wave']


def test_bad_resource_stops_a_large_file_at_once(run, harness, tmp_path):
    """Guards against a partially applied file.

    The malformed resource is in the second of three transactions.
    """
    before = harness.fleet.version
    path = write(tmp_path / 'a.json', declare_many(200, bad=150))
    code, _, err = run('apply', path)
    assert (code, harness.fleet.version) == (1, before)
    assert "resources[150].spec.pool: there is no pool 'absent'" in err


def test_failure_between_transactions_is_reported(
    run, harness, tmp_path, monkeypatch
):
    """Guards against a failure that hides what has been applied.

    The table fails after the first of three transactions.
    """
    before = harness.fleet.version
    path = write(tmp_path / 'a.json', declare_many(200))
    transact = harness.journal.transact

    def fail_later(decide):
        if harness.fleet.version > before:
            return _client.fail(_client.ErrorKind.PLATFORM_UNAVAILABLE, 'down')
        return transact(decide)

    with monkeypatch.context() as patch:
        patch.setattr(harness.journal, 'transact', fail_later)
        code, _, err = run('apply', path)
    assert code == 4
    assert '97 of 204 resources were applied, in 1 transactions' in err
    code, out, _ = run('apply', path)
    assert (code, out.count('unchanged')) == (0, 97)


@pytest.mark.parametrize(
    ('arguments', 'code', 'text'),
    [
        ((), 2, 'commands are apply, get'),
        (('drain',), 2, 'commands are'),
        (('get', 'pods'), 2, 'kind must be one of pool, job'),
        (('apply', '/absent/file'), 2, 'No such file'),
        (('get', 'pool', 'absent'), 1, 'error: not_found'),
        (('delete', 'pool', 'desk-n'), 3, 'is used by job gate-codes'),
        (('move', 'w1', 'absent'), 1, "there is no pool 'absent'"),
        (('check-settings', '/absent/file'), 1, ''),
        (('dump', '127.0.0.1:1'), 4, 'error: peer_unreachable'),
    ],
)
def test_failures_have_exit_codes_and_a_cause(run, arguments, code, text):
    found, _, err = run(*arguments)
    assert (found, text in err) == (code, True), err


def test_a_second_address_answers_when_the_first_does_not(run):
    code, out, _ = run('get', 'pool', 'desk-n', api=['127.0.0.1:1'])
    assert code == 0
    assert out.splitlines()[0].startswith('NAME')
    assert run('get', 'pool', token_file='')[0] == 1


def test_get_prints_an_aligned_table_of_all_pages(run, harness, monkeypatch):
    monkeypatch.setattr('skylarktally._api._PAGE_LIMIT', 2)
    code, out, _ = run('get', 'instance')
    lines = out.splitlines()
    assert [line.split()[0] for line in lines] == ['NAME', 'w1', 'w2', 'w3']
    column = lines[0].index('PHASE')
    assert all(line[column:].startswith('serving') for line in lines[1:])


def test_watch_continues_after_a_version(run, harness, monkeypatch):
    # The test server detects that the client disconnected only when it
    # sends a heartbeat.
    monkeypatch.setattr('skylarktally._watches.HEARTBEAT_SECONDS', 0.05)
    harness.call('POST', '/v1/instances/w1/drain', {})
    code, out, _ = run('watch', '--after=1', '--limit=1')
    assert code == 0
    assert out.startswith('2 instance/w1 draining in desk-n, epoch 2')


def commit_steps_while_waiting(harness, name, steps):
    """Return a sleep that commits the next step, as a controller would."""
    original = harness.clock.sleep

    def sleep(delay):
        original(delay)
        if steps:
            item = harness.fleet.find(_transitions.Kind.INSTANCE, name)
            change = steps.pop(0)(item, harness.clock.now())
            harness.journal.propose([change], harness.fleet.version).unwrap()

    return sleep


@pytest.mark.parametrize(
    ('steps', 'code', 'text'),
    [
        (
            [
                lambda i, now: _transitions.finish_drain(i, now, 'b1'),
                lambda i, now: _transitions.serve(i, now, 'rebooted'),
            ],
            0,
            'stopping',
        ),
        ([lambda i, now: _transitions.fail(i, now, 'died')], 1, 'died'),
        ([], 5, 'still draining'),
    ],
)
def test_drain_waits_and_shows_progress(
    run, harness, monkeypatch, steps, code, text
):
    harness.clock.sleep = commit_steps_while_waiting(
        harness, 'w1', list(steps)
    )
    monkeypatch.setattr(ctl._clock, 'SystemClock', lambda: harness.clock)
    found, _, err = run('drain', 'w1', '--wait', '--timeout=5')
    assert found == code
    assert 'draining' in err
    assert text in err


def test_explain_merges_the_records_of_all_controllers(run, harness):
    code, out, _ = run('explain', 'pool', 'desk-n')
    assert (code, out) == (0, '')


def test_check_settings_reports_every_error(run, tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(SETTINGS % ('k' * 32, ''))
    assert run('check-settings', str(path))[0] == 0
    path.write_text(SETTINGS % ('short', '"beat_intervall_seconds": 1'))
    code, out, _ = run('check-settings', str(path))
    assert code == 1
    assert 'peer_secret' in out
    assert 'nearest known name is beat_interval_seconds' in out
