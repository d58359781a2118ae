"""Guards the controller binary against the stand-ins over real sockets."""

import json
import signal
import socket
import ssl
import subprocess
import sys
import time

import pytest
import urllib3

from tests import apis
from tests import certificates

pytestmark = pytest.mark.processes

_LIMIT_SECONDS = 30


class Processes:
    """Processes on free ports of the loopback network."""

    def __init__(self, directory):
        self.directory = directory
        self.running = []
        # Flags of every command.
        self.flags = ()
        self.http = urllib3.PoolManager(retries=False, timeout=2.0)

    def start(self, module, *arguments):
        log = open(self.directory / f'{module}-{len(self.running)}.log', 'wb')
        process = subprocess.Popen(
            [sys.executable, '-W', 'ignore', '-m', module, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.running.append(process)
        return process

    def stop(self):
        for process in self.running:
            if process.poll() is None:
                process.kill()
            process.wait()

    def get(self, address, path, scheme='http'):
        try:
            answer = self.http.request('GET', f'{scheme}://{address}{path}')
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return answer.status, answer.data

    def run_ctl(self, *arguments):
        return subprocess.run(
            [
                sys.executable,
                '-W',
                'ignore',
                '-m',
                'skylarktally.ctl',
                f'--token-file={self.directory / "token"}',
                *self.flags,
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=_LIMIT_SECONDS,
        )


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def wait_until(check):
    end = time.monotonic() + _LIMIT_SECONDS
    while not check():
        assert time.monotonic() < end, check
        time.sleep(0.1)


@pytest.fixture
def processes(tmp_path):
    made = Processes(tmp_path)
    (tmp_path / 'token').write_text('root')
    yield made
    made.stop()


def start_worker(processes, name):
    address = find_address()
    processes.start(
        'standins.worker', f'--name={name}', f'--address={address}'
    )
    document = apis.declare_instance(name, 'desk')
    document['spec']['address'] = address
    return document


def write_settings(path, name, platform, **extra):
    settings = {
        'name': name,
        'zone': 'z1',
        'platform_address': platform,
        'peer_secret': 'k' * 32,
        'tokens': {
            digest: token._asdict()
            for digest, token in apis.hash_tokens().items()
        },
        **extra,
    }
    for kind in ('admin', 'api', 'peer'):
        settings[f'{kind}_address'] = find_address()
    path.write_text(json.dumps(settings))
    return settings


def register_instances(processes, platform, workers):
    processes.http.request(
        'PUT',
        f'http://{platform}/standin/instances',
        json={
            'instances': [
                {
                    'name': w['name'],
                    'state': 'live',
                    'accelerators': 0,
                    'slots': 8,
                    'connections': 64,
                    **w['spec'],
                }
                for w in workers
            ]
        },
    )


def start_routers(processes, settings):
    """Start two routers, the first one next to the controller."""
    shared = ('zone', 'platform_address', 'peer_secret', 'peer_address')
    routers = [
        {
            **{key: settings[key] for key in (*shared, 'tokens')},
            'name': name,
            'serving_address': find_address(),
            'admin_address': find_address(),
            'seeds': [settings['peer_address']],
        }
        for name in ('r1', 'r2')
    ]
    routers[1]['peer_address'] = find_address()
    for router in routers:
        path = processes.directory / f'{router["name"]}.json'
        path.write_text(json.dumps(router))
        processes.start('skylarktally.router', f'--settings={path}')
    return routers


def test_a_controller_stops_reboots_and_returns_a_worker(processes, tmp_path):
    platform = find_address()
    processes.start('standins.platform', f'--address={platform}')
    workers = [start_worker(processes, name) for name in ('w1', 'w2')]
    path = tmp_path / 'c1.json'
    settings = write_settings(path, 'c1', platform)
    controller = processes.start(
        'skylarktally.controller', f'--settings={path}'
    )
    api = f'--api={settings["api_address"]}'
    admin = settings['admin_address']
    wait_until(lambda: processes.get(admin, '/readyz')[0] == 200)
    register_instances(processes, platform, workers)
    resources = tmp_path / 'resources.json'
    resources.write_text(
        json.dumps([apis.declare('pool', 'desk', team='north'), *workers])
    )
    assert processes.run_ctl(api, 'apply', str(resources)).returncode == 0
    address = workers[0]['spec']['address']

    def read_fence(address=address):
        status, data = processes.get(address, '/v1/fence')
        return json.loads(data) if status == 200 else {'epoch': 0}

    wait_until(lambda: read_fence()['epoch'])
    before = read_fence()
    drained = processes.run_ctl(api, 'drain', 'w1', '--wait', '--timeout=25')
    assert drained.returncode == 0, drained.stderr
    assert 'draining in desk' in drained.stderr
    wait_until(lambda: read_fence()['epoch'] == before['epoch'] + 4)
    assert read_fence()['boot_id'] != before['boot_id']
    dump = processes.run_ctl('dump', admin)
    assert json.loads(dump.stdout)['log_version'] == 5
    assert 'k' * 32 not in dump.stdout
    # The platform takes the other worker away without being asked.
    processes.http.request(
        'PUT',
        f'http://{platform}/standin/instances/w2',
        json={'state': 'leaving'},
    )
    leaving = workers[1]['spec']['address']
    wait_until(lambda: read_fence(leaving)['epoch'] > before['epoch'])
    got = processes.run_ctl(api, '--output=json', 'get', 'instance', 'w2')
    assert json.loads(got.stdout)['status']['departing']
    controller.send_signal(signal.SIGTERM)
    assert controller.wait(_LIMIT_SECONDS) == 0
    # The leases are given back, so that another controller need not wait.
    _, data = processes.get(platform, '/v1/rows?prefix=lease/')
    assert json.loads(data)['rows'] == []


def read_certificate(address):
    host, port = address.split(':')
    return ssl.get_server_certificate((host, int(port)), timeout=5)


def test_api_and_admin_port_under_tls(processes, tmp_path):
    """Guards against a command line or a signal that does not know TLS."""
    authority = certificates.Authority(tmp_path / 'ca')
    platform = find_address()
    processes.start('standins.platform', f'--address={platform}')
    path = tmp_path / 'c1.json'
    required = {'require_client_certificate': True}
    tls = {
        'api': authority.build_files('api')._asdict() | required,
        'admin': authority.build_files('admin')._asdict(),
    }
    settings = write_settings(path, 'c1', platform, tls=tls)
    controller = processes.start(
        'skylarktally.controller', f'--settings={path}'
    )
    api, admin = settings['api_address'], settings['admin_address']
    context = ssl.create_default_context(cafile=str(authority.ca_file))
    certificate, key = authority.issue('operator')
    context.load_cert_chain(certificate, key)
    processes.http = urllib3.PoolManager(
        retries=False, timeout=2.0, ssl_context=context
    )
    wait_until(lambda: processes.get(admin, '/readyz', 'https')[0] == 200)
    assert processes.get(admin, '/readyz')[0] == 0

    def run(*arguments):
        return processes.run_ctl(f'--api={api}', *arguments).returncode

    ca, pair = (
        (f'--ca_file={authority.ca_file}',),
        (f'--certificate_file={certificate}', f'--key_file={key}'),
    )
    other = certificates.Authority(tmp_path / 'other')
    for flags, code in (
        ((), 4),
        (ca, 4),
        ((f'--ca_file={other.ca_file}', *pair), 4),
        (pair, 2),
        ((*ca, *pair[:1]), 2),
        ((*ca, *pair), 0),
    ):
        processes.flags = flags
        assert run('get', 'pool') == code, flags
    processes.flags = ca
    assert run('dump', f'https://{admin}') == 0
    before = read_certificate(api)
    authority.issue('api')
    controller.send_signal(signal.SIGHUP)
    wait_until(lambda: read_certificate(api) != before)
    assert controller.poll() is None


def test_a_worker_that_fails_every_task_is_cordoned_rebooted_and_returned(
    processes, tmp_path
):
    """Guards against failures that routers see and controllers ignore."""
    platform = find_address()
    processes.start('standins.platform', f'--address={platform}')
    names = [f'w{n}' for n in range(1, 6)]
    workers = [start_worker(processes, name) for name in names]
    addresses = {w['name']: w['spec']['address'] for w in workers}
    path = tmp_path / 'c1.json'
    settings = write_settings(path, 'c1', platform, cordon_time_seconds=3)
    processes.start('skylarktally.controller', f'--settings={path}')
    routers = start_routers(processes, settings)
    for admin in [x['admin_address'] for x in (settings, *routers)]:
        wait_until(lambda a=admin: processes.get(a, '/readyz')[0] == 200)
    register_instances(processes, platform, workers)
    resources = tmp_path / 'resources.json'
    resources.write_text(
        json.dumps(
            [
                apis.declare('pool', 'desk', team='north'),
                apis.declare('job', 'report', pool='desk'),
                *workers,
            ]
        )
    )
    api = f'--api={settings["api_address"]}'
    assert processes.run_ctl(api, 'apply', str(resources)).returncode == 0

    def set_fail_ratio(name, ratio):
        url = f'http://{addresses[name]}/standin/faults'
        processes.http.request('PUT', url, json={'fail_ratio': ratio})

    def find_boot(name):
        """Return the boot of a worker that a controller has fenced."""
        status, data = processes.get(addresses[name], '/v1/fence')
        fence = json.loads(data) if status == 200 else {'epoch': 0}
        return fence['boot_id'] if fence['epoch'] else ''

    def read_phases():
        _, data = processes.get(platform, '/v1/rows?prefix=resource/instance/')
        rows = [row['value'] for row in json.loads(data)['rows']]
        return {row['name']: row['status']['phase'] for row in rows}

    wait_until(lambda: all(map(find_boot, names)))
    for name in ('w1', 'w2'):
        set_fail_ratio(name, 1.0)
    seen = []

    def send_until(check):
        def send():
            for router in routers:
                processes.http.request(
                    'GET',
                    f'http://{router["serving_address"]}'
                    '/v1/pools/desk/jobs/report/a',
                    headers={'Authorization': 'Bearer north'},
                    timeout=15.0,
                )
            phases = read_phases()
            away = {n for n, phase in phases.items() if phase != 'serving'}
            seen.append(away)
            return check(away)

        end = time.monotonic() + 2 * _LIMIT_SECONDS
        while not send():
            assert time.monotonic() < end, seen[-1]
            time.sleep(0.01)

    send_until(lambda away: away)
    (first,) = seen[-1]
    boot = find_boot(first)
    set_fail_ratio(first, 0.0)
    send_until(lambda away: first not in away)
    wait_until(lambda: find_boot(first) not in ('', boot))
    # The other one may follow, but a fifth of five workers is one.
    assert max(map(len, seen)) == 1
    assert set().union(*seen) <= {'w1', 'w2'}
