"""Starts routers and the platform stand-in as processes on loopback."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import uuid

from prometheus_client import parser
import urllib3

from skylarktally import _clock
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _limits
from skylarktally import _table

SECRET = 'for-processes-on-loopback-only-0000'
_START_SECONDS = 30
# Addresses of one run do not collide with those of another.
_NETWORKS = itertools.count()


class Cluster:
    """Routers of some zones, the platform, and an author of changes."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        pid = os.getpid()
        self._network = (
            f'127.{pid // 250 % 200 + 20}.{pid % 250}.{next(_NETWORKS)}'
        )
        self._ports = itertools.count(20001)
        self.platform_address = self.choose_address()
        self.http = urllib3.PoolManager(retries=False, timeout=3.0)
        self.routers: dict[str, dict[str, Any]] = {}
        self._added: dict[str, dict[str, Any]] = {}
        self._workers: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *details: object) -> None:
        for process in self._processes.values():
            # A stopped process ends on SIGKILL as well.
            process.kill()
        for process in self._processes.values():
            process.wait()

    def choose_address(self) -> str:
        """Return an address that nothing listens on."""
        return f'{self._network}:{next(self._ports)}'

    def start_platform(self, *flags: str) -> None:
        """Start the platform stand-in and wait until it answers."""
        self.start(
            'platform',
            'standins.platform',
            f'--address={self.platform_address}',
            *flags,
        )
        self.wait_for(f'http://{self.platform_address}/v1/rows?prefix=x')

    def start_worker(self, name: str) -> str:
        """Start a worker stand-in and return its address."""
        address = self._workers[name] = self.choose_address()
        self.start(
            name, 'standins.worker', f'--name={name}', f'--address={address}'
        )
        self.wait_for(f'http://{address}/v1/fence')
        return address

    def find_address(self, name: str) -> str:
        """Return the address of a worker stand-in."""
        return self._workers[name]

    def set_faults(self, **faults: Any) -> None:
        """Inject faults into the platform."""
        self.http.request(
            'PUT',
            f'http://{self.platform_address}/standin/faults',
            json=faults,
        )

    def add_router(self, name: str, zone: str, **settings: Any) -> None:
        """Choose the settings of a router."""
        self.routers[name] = {
            'name': name,
            'zone': zone,
            'serving_address': self.choose_address(),
            'peer_address': self.choose_address(),
            'admin_address': self.choose_address(),
            'platform_address': self.platform_address,
            'peer_secret': SECRET,
            'drain_notice_seconds': 0.5,
            **settings,
        }
        self._added[name] = self.routers[name]

    def last_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of a router that may have been removed."""
        return self._added[name]

    def start_router(self, name: str, **changes: Any) -> None:
        """Start a router with all others as seeds, unless changed."""
        seeds = [
            other['peer_address']
            for other in self.routers.values()
            if other['name'] != name
        ]
        settings = {'seeds': seeds, **self.routers[name], **changes}
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        self.start(name, 'skylarktally.router', f'--settings={path}')

    def start_routers(self) -> None:
        """Start all routers and wait until they are ready."""
        for name in self.routers:
            self.start_router(name)
        for name in self.routers:
            self.wait_ready(name)

    def start_controller(
        self, name: str, router: str, **changes: Any
    ) -> dict[str, Any]:
        """Start the controller beside a router and return its settings."""
        beside = self.routers[router]
        settings: dict[str, Any] = {
            'name': name,
            'zone': beside['zone'],
            'peer_address': beside['peer_address'],
            'seeds': [x['peer_address'] for x in self.routers.values()],
            'api_address': self.choose_address(),
            'admin_address': self.choose_address(),
            'platform_address': self.platform_address,
            'peer_secret': SECRET,
            **changes,
        }
        self._added[name] = settings
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        self.start(name, 'skylarktally.controller', f'--settings={path}')
        self.wait_for(f'http://{settings["admin_address"]}/readyz')
        return settings

    def wait_ready(self, name: str, seconds: float = _START_SECONDS) -> None:
        """Wait until a router is ready."""
        address = self.routers[name]['admin_address']
        self.wait_for(f'http://{address}/readyz', seconds)

    def read_state(self, name: str) -> dict[str, Any]:
        """Return the state dump of a router or controller."""
        address = self._added[name]['admin_address']
        url = f'http://{address}/debug/state'
        return dict(self.http.request('GET', url).json())

    def is_listening(self, name: str) -> bool:
        """Tell whether a router answers at its admin address."""
        address = self.routers[name]['admin_address']
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f'http://{address}/healthz'
            return self.http.request('GET', url).status == 200
        return False

    def is_ready(self, name: str) -> bool:
        """Tell whether a router is ready."""
        address = self.routers[name]['admin_address']
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f'http://{address}/readyz'
            return self.http.request('GET', url).status == 200
        return False

    def find_pid(self, name: str) -> int:
        """Return the process id of a router or of the platform."""
        return self._processes[name].pid

    def read_counters(self, name: str) -> dict[str, float]:
        """Return the metrics of a router by name and label value."""
        address = self.routers[name]['admin_address']
        text = self.http.request('GET', f'http://{address}/metrics').data
        return {
            '/'.join([sample.name, *sample.labels.values()]): sample.value
            for family in parser.text_string_to_metric_families(text.decode())
            for sample in family.samples
        }

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self._processes[name].send_signal(number)

    def wait_exit(self, name: str, seconds: float) -> int:
        """Return the exit status of a process that is ending."""
        return self._processes.pop(name).wait(seconds)

    def kill(self, *names: str) -> None:
        """End processes without notice."""
        for name in names:
            self._processes[name].kill()
        for name in names:
            self._processes.pop(name).wait()

    def create_journal(
        self, fleet: _fleet.Fleet | None = None
    ) -> _journal.Journal:
        """Return a journal that commits changes to the platform."""
        clock = _clock.SystemClock()
        limits = _limits.PlatformLimits(clock, 200, 200)
        table = _table.HttpTable(self.platform_address, clock, limits)
        return _journal.Journal(
            table, fleet or _fleet.Fleet(), clock, 'cluster'
        )

    def start(self, name: str, module: str, *flags: str) -> None:
        """Start a module of this repository as a process."""
        with open(self.directory / f'{name}.log', 'ab') as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, '-W', 'ignore', '-m', module, *flags],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def wait_for(self, url: str, seconds: float = _START_SECONDS) -> None:
        """Wait until a URL is answered with 200."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self.http.request('GET', url).status == 200:
                    return
            time.sleep(0.02)
        raise TimeoutError(f'{url} is not ready after {seconds} s')


def build_change(number: int) -> dict[str, Any]:
    """Return a change of a configuration resource."""
    name = f'setting-{number % 50}'
    return {
        'kind': 'configuration',
        'name': name,
        'value': {
            'kind': 'configuration',
            'name': name,
            'spec': {'data': {'number': number, 'id': str(uuid.uuid4())}},
            'status': {},
            'resource_version': 0,
        },
    }
