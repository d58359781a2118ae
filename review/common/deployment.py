"""A small deployment on loopback: entry processes, stand-ins and clients."""

from http import client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from common import instances
from common import ports
from common import records
from common import store
from common import workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
_START_SECONDS = 25.0


class Entry:
    """One process of the entry program."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.front, self.ready, self.peer, self.metrics = (
            f'127.0.0.1:{ports.find_free_port()}' for _ in range(4)
        )

    def start(self, settings: dict[str, Any]) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SKYLARKTALLY_NODE_FILE': str(path),
        }
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_state(self) -> dict[str, Any]:
        """Return the state dump; empty if the process does not answer."""
        answer = call(self.metrics, 'GET', '/state', timeout=1)
        return answer[1] if answer is not None else {}


class Deployment:
    """Stand-ins and entry processes; ``close`` ends all of them."""

    def __init__(self, folder: pathlib.Path, entries: int = 3) -> None:
        self.record = records.Record(folder / 'record.txt')
        self.jobs = records.Jobs()
        self.store = store.Store()
        self.instances = instances.Instances(self.record)
        self.instances.on_down = self._remove_worker
        self.instances.on_up = self._replace_worker
        self.workers: dict[str, workers.Worker] = {}
        self.services: set[str] = set()
        # Workers that moves have brought up so far.
        self._replaced = 0
        # Racks of machines; a rack stays with its machine.
        self._racks: dict[str, str] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.logs = pathlib.Path(self._temporary.name)
        self.entries = [
            Entry(f'entry-{number + 1}', self.logs)
            for number in range(entries)
        ]

    def add_worker(self, id_: str, service: str, **fields: Any) -> None:
        """Add a worker and its machine."""
        self.services.add(service)
        machine = f'm-{id_}'
        self.workers[id_] = workers.Worker(
            self.store, self.record, self.jobs, id_, machine, service, **fields
        )
        self.instances.machines[machine] = instances.Machine(
            machine, service, id_
        )

    def _remove_worker(self, machine: instances.Machine) -> None:
        worker = self.workers.pop(machine.worker)
        self._racks[machine.id] = worker.rack
        worker.leave()

    def _replace_worker(self, machine: instances.Machine) -> None:
        self._replaced += 1
        id_ = f'i-{machine.pool}-new-{self._replaced}'
        self.workers[id_] = workers.Worker(
            self.store,
            self.record,
            self.jobs,
            id_,
            machine.id,
            machine.pool,
            rack=self._racks[machine.id],
        )
        machine.worker = id_

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration as the operator; the services stay."""
        services = sorted(self.services)
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': routes,
                'services': [make_service(name) for name in services],
                'limits': {
                    'header_bytes': 16384,
                    'max_body_bytes': 262144,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
            },
        )
        self.record.note(
            'config written',
            version=version,
            routes={item['prefix']: item['service'] for item in routes},
        )

    def start(self) -> None:
        """Start all entry processes and wait until every pool has an owner."""
        for entry in self.entries:
            self.start_entry(entry)
        end = time.monotonic() + _START_SECONDS
        while time.monotonic() < end:
            if self.services <= set(self.find_owners()):
                return
            time.sleep(0.1)
        raise CannotRunError('the pools have no owners')

    def start_entry(self, entry: Entry) -> None:
        """Start a process with settings like those of a small deployment."""
        settings = {
            'name': entry.name,
            'zone': 'z-a',
            'serving_address': entry.front,
            'readiness_address': entry.ready,
            'peer_address': entry.peer,
            'metrics_address': entry.metrics,
            'store_address': self.store.server.address,
            'instances_address': self.instances.server.address,
            'processor_share': 0.537,
            'processor_speed': 2,
            'link_mbps': 1000.0,
            'stop_limit_seconds': 6,
        }
        entry.start(settings)

    def find_owners(self) -> dict[str, Entry]:
        """Return the entry that owns each shard, by what they say."""
        return {
            shard: entry
            for entry in self.entries
            for shard in entry.read_state().get('shards', ())
        }

    def find_holder(self, shard: str) -> Entry | None:
        """Return the entry that the stored term of a shard names."""
        term = self.store.find('terms', shard, 'term')
        return next(
            (item for item in self.entries if term and item.name == term[0]),
            None,
        )

    def send(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: float = 3.0,
    ) -> tuple[int, dict[str, Any]] | None:
        """Send a request as a client; None if there was no answer."""
        if method == 'POST' and body is not None:
            self.jobs.specs[path.rsplit('/', 1)[1]] = body
        answer = call(entry.front, method, path, body, timeout)
        self.record.note(
            'request',
            entry=entry.name,
            method=method,
            path=path,
            status=None if answer is None else answer[0],
            answer=None if answer is None else answer[1],
        )
        return answer

    def close(self) -> None:
        """End all processes that this deployment has started."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()
        if os.environ.get('KEEP_LOGS'):
            for entry in self.entries:
                log = (self.logs / f'{entry.name}.log').read_text()
                sys.stderr.write(f'== {entry.name}\n{log}\n')
        self._temporary.cleanup()


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


def make_route(
    name: str, prefix: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': 'non_idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 600,
        'priority': 0,
        'service': service,
        'max_attempts': 4,
        'deadline_stretch': 1.6,
        **fields,
    }


def make_service(name: str) -> dict[str, Any]:
    """Return a service of the configuration."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 64,
        'protocol': 'h1',
        'tls': False,
        'enforce_capacity': False,
        'standby': False,
    }


def call(
    address: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, Any]] | None:
    """Send a request on a new connection; None if there was no answer."""
    connection = client.HTTPConnection(address, timeout=timeout)
    headers = {
        'Host': HOST,
        'X-Skylarktally-Deadline-Ms': str(int(timeout * 1000)),
    }
    content = None
    if body is not None:
        content = json.dumps(body, separators=(',', ':')).encode()
        headers['Content-Type'] = 'application/json'
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def has_trouble() -> bool:
    """Tell whether the script is to cause its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'
