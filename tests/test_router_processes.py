"""Tests of router processes: shutdown, pauses and replaced zones."""

from concurrent import futures
import contextlib
import json
import pathlib
import signal
import ssl
import subprocess
import sys
import time

import pytest
import urllib3

from tests import certificates
from tools import cluster

pytestmark = pytest.mark.processes

# A fifth of the default times, so that tests of longer pauses take less time.
FAST = {
    'gossip_interval_seconds': 0.1,
    'suspect_after_seconds': 0.8,
    'dead_after_seconds': 1.6,
    'table_poll_interval_seconds': 0.4,
}
TOKEN = 'caller'
TOKENS = {
    # SHA-256 of the token.
    '61de55ba3388aec4fdf6ecfc6eef846fb0f1b13e28cc8381270c27ffa313aee5': {
        'subject': 'test',
        'role': 'caller',
        'team': '*',
    }
}


@pytest.fixture
def started(tmp_path):
    with cluster.Cluster(tmp_path) as processes:
        processes.start_platform()
        yield processes


def wait_until(check, seconds=10):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        # A process that has just started does not accept connections yet.
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if check():
                return
        time.sleep(0.05)
    raise AssertionError('not reached in time')


def commit(started, count):
    journal = started.create_journal()
    base = journal.refresh().unwrap()
    for number in range(base, base + count):
        journal.propose([cluster.build_change(number)], number).unwrap()
    return base + count


def read_versions(started):
    return {
        started.read_state(name)['log_version'] for name in started.routers
    }


def read_messages(started, name):
    path = pathlib.Path(started.directory) / f'{name}.log'
    lines = path.read_text(encoding='utf-8').splitlines()
    found = [json.loads(line) for line in lines if line.startswith('{')]
    return [line.get('message') for line in found]


def count_members(started, name, state='alive'):
    members = started.read_state(name)['membership']['others']
    return sum(member['state'] == state for member in members)


def count_failed_handshakes(started, name, side):
    prefix = 'skylarktally_tls_handshake_failures_total/'
    return sum(
        count
        for counter, count in started.read_counters(name).items()
        if counter.startswith(prefix) and counter.endswith(f'/{side}')
    )


def send(started, name, seconds=0.0, token=TOKEN, http=None, scheme='http'):
    address = started.routers[name]['serving_address']
    return (http or started.http).request(
        'POST',
        f'{scheme}://{address}/v1/pools/p/jobs/j/x?seconds={seconds}',
        headers={'Authorization': f'Bearer {token}'},
        timeout=10,
    )


def test_paused_router_marks_no_member_dead(started):
    """Guards against a router that marks others dead after its own pause.

    The others must mark it dead meanwhile, and it must catch up afterwards.
    """
    for number in range(6):
        started.add_router(f'r{number}', f'z{number % 3}', **FAST)
    started.start_routers()
    names = list(started.routers)
    wait_until(lambda: all(count_members(started, n) == 5 for n in names))
    started.send_signal('r0', signal.SIGSTOP)
    paused_at = time.monotonic()
    version = commit(started, 3)
    del started.routers['r0'], names[0]
    wait_until(lambda: read_versions(started) == {version})
    wait_until(
        lambda: all(count_members(started, n, 'dead') == 1 for n in names)
    )
    detection_seconds = time.monotonic() - paused_at
    assert detection_seconds < 4
    # The state dump computes the count, but the log line is written in the
    # next gossip period.
    wait_until(lambda: 'member is dead' in read_messages(started, 'r1'))
    started.routers['r0'] = started.last_settings('r0')
    started.send_signal('r0', signal.SIGCONT)
    wait_until(lambda: read_versions(started) == {version}, 5)
    wait_until(lambda: all(count_members(started, n) == 5 for n in names))
    messages = read_messages(started, 'r0')
    assert 'member is dead' not in messages
    assert 'member is dead' in read_messages(started, 'r1')


@pytest.mark.parametrize('reachable', [True, False])
def test_zone_replaced_while_the_platform_is_down(started, reachable):
    """Guards against new routers that need the table for their state.

    They load it from the other zone if they reach it, and otherwise refuse
    requests until the table is back.
    """
    for number in range(4):
        started.add_router(f'r{number}', f'z{number % 2}', **FAST)
    started.start_routers()
    version = commit(started, 5)
    wait_until(lambda: read_versions(started) == {version})
    started.set_faults(down=True)
    started.kill('r1', 'r3')
    del started.routers['r1'], started.routers['r3']
    for name in ('new1', 'new3'):
        started.add_router(name, 'z1', **FAST)
    new = [started.routers[n]['peer_address'] for n in ('new1', 'new3')]
    for name in ('new1', 'new3'):
        # Without seeds in the other zone they know each other only, and
        # neither has a state.
        seeds = {} if reachable else {'seeds': new}
        started.start_router(name, **seeds)
    if reachable:
        for name in ('new1', 'new3'):
            started.wait_ready(name, 10)
        assert read_versions(started) == {version}
        return
    wait_until(lambda: count_members(started, 'new1') == 1)
    response = send(started, 'new1')
    assert response.status == 503
    assert response.headers['Skylarktally-Outcome'] == 'not-run'
    assert not started.is_ready('new1') and not started.is_ready('new3')
    started.set_faults(down=False)
    for name in ('new1', 'new3'):
        started.wait_ready(name, 10)
        assert started.read_state(name)['log_version'] == version


def build_resource(kind, name, spec, status=None):
    value = {
        'kind': kind,
        'name': name,
        'spec': spec,
        'status': status or {},
        'resource_version': 0,
    }
    return {'kind': kind, 'name': name, 'value': value}


def start_and_declare_worker(started):
    """Start a worker; declare it with a pool and a job; return the version."""
    address = started.start_worker('w')
    started.http.request(
        'PUT', f'http://{address}/v1/fence', json={'epoch': 1, 'pool': 'p'}
    )
    journal = started.create_journal()
    size = dict.fromkeys(('memory_bytes', 'accelerators'), 0)
    size |= {'cores': 1.0, 'slots': 8, 'connections': 64}
    instance = {'pool': 'p', 'zone': 'z', 'rack': 'k', 'address': address}
    changes = [
        build_resource('pool', 'p', {'team': 't'}),
        build_resource('job', 'j', {'pool': 'p', 'idempotent': True}),
        build_resource(
            'instance', 'w', instance | size, {'phase': 'serving', 'epoch': 1}
        ),
    ]
    return journal.propose(changes, 0).unwrap()


@pytest.mark.parametrize('signals', [1, 2])
def test_graceful_shutdown_finishes_what_runs(started, signals):
    """Guards against a shutdown that cuts off requests or ends too early.

    A repeated signal must change nothing.
    """
    version = start_and_declare_worker(started)
    for name in ('r0', 'r1'):
        started.add_router(
            name, 'z', tokens=TOKENS, **FAST | {'drain_notice_seconds': 1}
        )
    started.start_routers()
    assert read_versions(started) == {version}
    assert send(started, 'r0').status == 200
    pool = futures.ThreadPoolExecutor(1)
    assert send(started, 'r0', token='unknown').status == 401
    running = pool.submit(send, started, 'r0', 3.0)
    time.sleep(0.3)
    signalled_at = time.monotonic()
    for _ in range(signals):
        started.send_signal('r0', signal.SIGTERM)
        time.sleep(0.2)
    # At first it is not ready, but still serves what the balancer sends.
    wait_until(lambda: not started.is_ready('r0'), 0.6)
    assert send(started, 'r0').status == 200
    time.sleep(max(0, signalled_at + 1.4 - time.monotonic()))
    refused = send(started, 'r0')
    assert refused.status == 503
    assert refused.headers['Skylarktally-Outcome'] == 'not-run'
    response = running.result()
    assert response.status == 200
    assert response.headers['Skylarktally-Outcome'] == 'complete'
    assert started.wait_exit('r0', 5) == 0
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        send(started, 'r0')
        raise AssertionError('the router still accepts connections')
    # The other router was told of the shutdown.
    others = started.read_state('r1')['membership']['others']
    assert [member['leaving'] for member in others] == [True]


def start_routers_or_baseline(started, naive, count):
    """Start routers of one zone or of the baseline; return their names."""
    start_and_declare_worker(started)
    names = [f'r{number}' for number in range(count)]
    for name in names:
        started.add_router(name, 'z', tokens=TOKENS)
    if not naive:
        started.start_routers()
        return names
    worker = started.find_address('w')
    for name in names:
        address = started.routers[name]['serving_address']
        started.start(name, 'tests.naive', address, worker)
        started.wait_for(f'http://{address}/v1/pools/p/jobs/j/x')
    return names


def read_record(started, address):
    url = f'http://{address}/v1/record'
    return started.http.request('GET', url).json()


@pytest.mark.parametrize('naive', [False, True])
def test_four_routers_keep_the_limits_of_a_worker(started, naive):
    """Guards against more tasks or connections than a worker allows.

    The routers of a zone have to divide the worker's slots and connections.
    """
    names = start_routers_or_baseline(started, naive, 4)
    worker = started.find_address('w')
    # Closes the connections of the test itself, which would count as well.
    started.http.clear()
    with futures.ThreadPoolExecutor(160) as pool:
        sent = [pool.submit(send, started, n, 0.02) for n in names * 120]
        statuses = {x.result().status for x in sent}
    started.kill(*names)
    record = read_record(started, worker)

    def check():
        assert record['peak_connections'] <= 64

    if naive:
        with pytest.raises(AssertionError):
            check()
        return
    check()
    assert statuses == {200}
    assert record['peak_running'] == 8
    assert len(record['runs']) == 480


@pytest.mark.parametrize('naive', [False, True])
def test_stop_signal_cuts_off_no_request(started, naive):
    """Guards against a planned stop that cuts off a running request."""
    start_routers_or_baseline(started, naive, 1)
    pool = futures.ThreadPoolExecutor(1)
    running = pool.submit(send, started, 'r0', 1.0)
    time.sleep(0.5)
    started.send_signal('r0', signal.SIGTERM)

    def check():
        assert isinstance(running.exception(), type(None))
        assert running.result().status == 200

    if naive:
        with pytest.raises(AssertionError):
            check()
        return
    check()
    assert started.wait_exit('r0', 5) == 0


@pytest.mark.parametrize('platform', ['up', 'stopped'])
def test_leaving_instance_gets_no_new_work_within_the_bound(platform):
    """Guards against work for a draining instance after 3 s.

    The tool fails beyond that limit. It runs as a process, since it patches
    the standard library.
    """
    command = [sys.executable, '-m', 'tools.measure_drain', '--repeats=1']
    ended = subprocess.run(
        [*command, f'--platforms={platform}'],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert 'slowest' in ended.stdout


def test_routers_under_tls(started, tmp_path):
    """Guards against a listener or a call without TLS.

    The request to r1 is forwarded to another zone, so that a router calls
    another one. Members do not accept r2, whose certificate is of another CA.
    """
    host = started.platform_address.split(':')[0]
    own = certificates.Authority(tmp_path / 'own', host)
    other = certificates.Authority(tmp_path / 'other', host)
    start_and_declare_worker(started)
    for name, zone, signer in (
        ('r0', 'z', own),
        ('r1', 'y', own),
        ('r2', 'x', other),
    ):
        files = signer.build_files(name)._asdict()
        serving = {**files, 'require_client_certificate': True}
        upstream = {**files, 'require_client_certificate': False}
        tls = {'serving': serving, 'peer': files, 'upstream': upstream}
        started.add_router(name, zone, tokens=TOKENS, tls=tls, **FAST)
    started.start_routers()
    names = ('r0', 'r1')
    wait_until(lambda: all(count_members(started, n) == 1 for n in names))
    context = ssl.create_default_context(cafile=str(own.ca_file))
    context.load_cert_chain(*own.issue('caller'))
    http = urllib3.PoolManager(retries=False, ssl_context=context)
    for name in names:
        response = send(started, name, http=http, scheme='https')
        assert response.status == 200, response.data
        assert response.headers['Skylarktally-Instance'] == 'w'
    with pytest.raises(urllib3.exceptions.SSLError):
        send(started, 'r2', http=http, scheme='https')
    assert count_members(started, 'r2') == 0
    # The first exchange with r2 may come after r2 is ready.
    wait_until(lambda: count_failed_handshakes(started, 'r0', 'peer') > 0)


def test_woken_router_sends_nothing_under_its_old_leases(started):
    """Guards against a task under a lease that expired during a pause."""
    start_and_declare_worker(started)
    lease = {'slot_lease_ttl_seconds': 2, 'slot_lease_margin_seconds': 0.5}
    # Else the woken router returns idle leases before it handles a request.
    for name, idle in (('r0', 30), ('r1', 0.5)):
        lease['slot_lease_idle_seconds'] = idle
        started.add_router(name, 'z', tokens=TOKENS, **lease)
    started.start_routers()
    worker = started.find_address('w')
    pool = futures.ThreadPoolExecutor(32)
    list(pool.map(lambda _: send(started, 'r0', 0.2), range(16)))
    before = read_record(started, worker)['runs']
    started.send_signal('r0', signal.SIGSTOP)
    # They wait in the socket buffers of the paused router, which believes that
    # it has free leases.
    waiting = [pool.submit(send, started, 'r0', 0.2) for _ in range(16)]
    time.sleep(3)
    # The slots of the expired leases are free for the other router.
    others = [pool.submit(send, started, 'r1', 1.0) for _ in range(8)]
    assert {x.result().status for x in others} == {200}
    started.send_signal('r0', signal.SIGCONT)
    assert {x.result().status for x in waiting} == {200}
    record = read_record(started, worker)
    runs = record['runs'][len(before) :]
    assert len(runs) == 24
    old = {run['lease_id'] for run in before}
    assert not old & {run['lease_id'] for run in runs}
    assert record['peak_running'] == 8


def test_a_fifth_router_leaves_the_others_in_service(started):
    """Guards against a zone whose routers all consider themselves surplus."""
    start_and_declare_worker(started)
    for number in range(5):
        started.add_router(f'r{number}', 'z', tokens=TOKENS)
    for name in started.routers:
        started.start_router(name)
        # The oldest routers stay in service, so the order matters.
        wait_until(lambda name=name: started.is_listening(name))
    names = list(started.routers)
    wait_until(lambda: all(count_members(started, n) == 4 for n in names))
    for _ in range(2):
        statuses = [send(started, name).status for name in names]
        assert statuses == [200] * 4 + [503]
        # The first request starts the regular check of whether the router
        # may serve.
        time.sleep(1)
    expected = [True] * 4 + [False]
    assert [started.is_ready(n) for n in names] == expected
    started.kill('r0')
    del started.routers['r0']
    wait_until(lambda: send(started, 'r4').status == 200)


def test_errors_in_settings_end_the_process(tmp_path):
    """Guards against a start with invalid settings, or unreported errors."""
    path = tmp_path / 'router.json'
    path.write_text('{"name": "r", "zon": "z", "queue_limit": 0}')
    command = [sys.executable, '-W', 'ignore', '-m', 'skylarktally.router']
    ended = subprocess.run(
        [*command, f'--settings={path}'],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 2
    assert f'error: {path}: zon: is unknown; the nearest' in ended.stderr
    assert f'error: {path}: queue_limit: must be' in ended.stderr
    assert f'error: {path}: peer_secret: is required' in ended.stderr
