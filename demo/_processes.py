"""Starts, watches and ends the processes of a deployment."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, NamedTuple

import urllib3

from demo import _deployment

_START_TIMEOUT_SECONDS = 60.0
_STOP_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.1


class Running(NamedTuple):
    """A started process and the address that tells when it is ready."""

    name: str
    process: subprocess.Popen[bytes]
    ready_url: str


class Processes:
    """The processes of one deployment; ends only what it started."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.running: dict[str, Running] = {}
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=1, read=2), retries=False
        )

    def start(self, name: str, module: str, *flags: str, ready: str) -> None:
        """Start a module of this repository as a process."""
        output = open(self.directory / f'{name}.log', 'ab')
        process = subprocess.Popen(
            [sys.executable, '-W', 'ignore', '-m', module, *flags],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        output.close()
        self.running[name] = Running(name, process, ready)

    def wait_until_ready(self) -> list[str]:
        """Return the names of processes that are not ready in time."""
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        waiting = dict(self.running)
        while waiting and time.monotonic() < deadline:
            for name, item in list(waiting.items()):
                if self._is_ready(item.ready_url):
                    del waiting[name]
            time.sleep(_POLL_SECONDS)
        return sorted(waiting)

    def _is_ready(self, url: str) -> bool:
        try:
            return self._http.request('GET', url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[name].process.send_signal(number)

    def is_running(self, name: str) -> bool:
        """Tell whether a process was started and not killed."""
        return name in self.running

    def kill(self, name: str) -> None:
        """End a process without notice, as when its host fails."""
        self.running[name].process.kill()
        self.running.pop(name).process.wait()

    def stop_all(self) -> list[str]:
        """Ask every process to stop; return those that had to be killed."""
        for item in self.running.values():
            item.process.send_signal(signal.SIGCONT)
            item.process.send_signal(signal.SIGTERM)
        killed = []
        deadline = time.monotonic() + _STOP_TIMEOUT_SECONDS
        for item in self.running.values():
            try:
                item.process.wait(max(deadline - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                item.process.kill()
                item.process.wait()
                killed.append(item.name)
        self.running.clear()
        return killed


def start_platform(
    processes: Processes, deployment: _deployment.Deployment
) -> None:
    """Start the platform stand-in and every worker."""
    address = deployment.platform_address
    processes.start(
        'platform',
        'standins.platform',
        f'--address={address}',
        ready=f'http://{address}/v1/instances',
    )
    size = deployment.worker_size
    for worker in deployment.workers:
        processes.start(
            worker.name,
            'standins.worker',
            f'--name={worker.name}',
            f'--address={worker.address}',
            f'--slots={size["slots"]}',
            ready=f'http://{worker.address}/v1/fence',
        )


def start_entries(
    processes: Processes, deployment: _deployment.Deployment
) -> None:
    """Start a router and a controller for each entry instance."""
    for entry in deployment.entries:
        path = _write_settings(processes.directory, deployment, entry)
        processes.start(
            f'{entry.name}-router',
            'skylarktally.router',
            f'--settings={path}',
            ready=f'http://{entry.admin_address}/readyz',
        )
        controller = _write_controller_settings(
            processes.directory, deployment, entry
        )
        processes.start(
            f'{entry.name}-controller',
            'skylarktally.controller',
            f'--settings={controller}',
            ready=f'http://{entry.controller_admin_address}/readyz',
        )


def _write_settings(
    directory: pathlib.Path,
    deployment: _deployment.Deployment,
    entry: _deployment.Entry,
) -> pathlib.Path:
    settings = {
        **_build_common_settings(deployment, entry),
        'name': entry.name,
        'serving_address': entry.serving_address,
        'admin_address': entry.admin_address,
    }
    return _deployment.write_json(
        directory / f'{entry.name}-router.json', settings
    )


def _write_controller_settings(
    directory: pathlib.Path,
    deployment: _deployment.Deployment,
    entry: _deployment.Entry,
) -> pathlib.Path:
    settings = {
        **_build_common_settings(deployment, entry),
        'name': f'{entry.name}-controller',
        'api_address': entry.api_address,
        'admin_address': entry.controller_admin_address,
        **deployment.controller_settings,
    }
    return _deployment.write_json(
        directory / f'{entry.name}-controller.json', settings
    )


def _build_common_settings(
    deployment: _deployment.Deployment, entry: _deployment.Entry
) -> dict[str, Any]:
    return {
        'zone': entry.zone,
        'peer_address': entry.peer_address,
        'peer_listen_address': entry.peer_listen_address,
        'platform_address': deployment.find_link_address(entry.zone),
        'seeds': [
            other.peer_address
            for other in deployment.entries
            if other.name != entry.name
        ],
        'peer_secret': deployment.peer_secret,
        'assumed_entries': len(deployment.entries),
        'tokens': {
            _deployment.digest_token(deployment.operator_token): {
                'subject': 'demo-operator',
                'role': 'operator',
                'team': '*',
            },
            _deployment.digest_token(deployment.caller_token): {
                'subject': 'demo-caller',
                'role': 'caller',
                'team': '*',
            },
        },
    }
