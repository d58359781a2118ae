"""Starts entry instances of the build and everything that they talk to."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import http_server
import store as store_module
import workers as workers_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'desk.example'
_PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')
_READY_SECONDS = 30
_GRACE_SECONDS = 6


class NotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def _find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Entry:
    """One entry instance, started with the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self._folder = folder
        front, ready, peer, metrics = _find_ports(4)
        self.front = f'127.0.0.1:{front}'
        self.ready = f'127.0.0.1:{ready}'
        self.peer = f'127.0.0.1:{peer}'
        self.metrics = f'127.0.0.1:{metrics}'
        self.process: subprocess.Popen | None = None

    def start(self, store: str, machines: str, advisor: str) -> None:
        """Write the settings and start the process."""
        # The fields of deploy/entry.json.in.
        settings: dict[str, Any] = {
            'name': self.name,
            'zone': 'zone-a',
            'serving_address': self.front,
            'readiness_address': self.ready,
            'peer_address': self.peer,
            'metrics_address': self.metrics,
            'store_address': store,
            'instances_address': machines,
            'processor_share': 0.537,
            'processor_speed': 2,
            'link_mbps': 1000.0,
            'stop_limit_seconds': 6,
        }
        if advisor:
            settings['advisor_address'] = advisor
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in _PASSED_VARIABLES
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SKYLARKTALLY_NODE_FILE'] = str(path)
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            ['python3', '-m', 'skylarktally.entry'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process as the platform does, with six seconds to end."""
        if self.process is None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_SECONDS):
                await asyncio.to_thread(self.process.wait)
        except TimeoutError:
            self.process.kill()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Entry instances, store, machines, workers and callers of one case."""

    def __init__(
        self,
        folder: pathlib.Path,
        choose_work: Callable[
            [workers_module.Worker, str, int], workers_module.Work
        ],
    ) -> None:
        self.folder = folder
        self.store = store_module.Store()
        self.fleet = workers_module.Fleet(
            self.store, self.find_step, choose_work
        )
        self.machines = workers_module.Machines(self.fleet)
        self.entries: list[Entry] = []
        # Addresses of the service that advises each entry instance.
        self.advisors: dict[str, str] = {}
        # Submitted steps by job.
        self.steps: dict[str, list[dict[str, Any]]] = {}
        self._threads: list[asyncio.Task] = []

    def find_step(self, task: str) -> dict[str, Any]:
        """Return the submitted step of a task."""
        job, _, step, _ = task.split('.')
        return self.steps[job][int(step)]

    async def start(
        self, entry_count: int, configuration: dict[str, Any]
    ) -> None:
        """Start everything; the workers must have been added before."""
        await self.store.server.open()
        await self.machines.server.open()
        await self.store.put('op', 'config', configuration)
        for worker in self.fleet.workers.values():
            await worker.open()
        self._threads.append(asyncio.create_task(self.fleet.run()))
        for number in range(1, entry_count + 1):
            entry = Entry(f'entry-{number}', self.folder)
            self.entries.append(entry)
            self.start_entry(entry)
        async with asyncio.timeout(_READY_SECONDS):
            for entry in self.entries:
                await self._await_ready(entry)

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry instance."""
        entry.start(
            self.store.server.address,
            self.machines.server.address,
            self.advisors.get(entry.name, ''),
        )

    async def _await_ready(self, entry: Entry) -> None:
        while True:
            reply = await http_server.call(
                entry.ready, 'GET', '/-/readiness', 1
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: float = 3.0,
    ) -> http_server.Reply:
        """Send the request of a caller, and record it with its answer."""
        self.fleet.note('request', entry=entry.name, call=f'{method} {path}')
        reply = await http_server.call(
            entry.front,
            method,
            path,
            timeout,
            body,
            {
                'Host': HOST,
                'X-Skylarktally-Deadline-Ms': str(int(timeout * 1000)),
            },
        )
        self.fleet.note(
            'answer',
            entry=entry.name,
            call=f'{method} {path}',
            status=reply.status,
            body=reply.body,
        )
        return reply

    async def submit(
        self, path: str, steps: list[dict[str, Any]], attempts: int = 5
    ) -> None:
        """Submit a job, again at another entry until it is accepted."""
        self.steps[path.rpartition('/')[2]] = steps
        body = {'task_spec': 'work', 'steps': steps}
        for attempt in range(attempts):
            entry = self.entries[attempt % len(self.entries)]
            reply = await self.call(entry, 'POST', path, body)
            if 200 <= reply.status < 300:
                return
            await asyncio.sleep(1)
        raise NotRunError(f'{path} was not accepted')

    async def find_state(self, path: str) -> str:
        """Return the state of a job, or the status without one."""
        for entry in self.entries:
            reply = await self.call(entry, 'GET', path)
            if reply.status in (200, 410):
                return reply.body.get('state', str(reply.status))
        return 'no answer'

    def find_owner(self, pool: str) -> Entry:
        """Return the entry instance that the pool's row in the store names."""
        row = self.store.rows['terms', pool, 'term']
        holder = json.loads(base64.b64decode(row.value or ''))[0]
        return next(item for item in self.entries if item.name == holder)

    def list_events(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the recorded events of a kind that have these fields."""
        return [
            event
            for event in self.fleet.events
            if event['what'] == what
            and all(event.get(key) == value for key, value in fields.items())
        ]

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for entry in self.entries:
            entry.end()
        for thread in self._threads:
            thread.cancel()
        for worker in self.fleet.workers.values():
            await worker.crash()
        await self.store.server.close()
        await self.machines.server.close()


async def wait_until(condition: Callable[[], Any], seconds: float) -> bool:
    """Wait until a condition holds; False if it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return bool(condition())


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration; its prefix is its name."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': 'non_idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 600,
        'priority': 0,
        'service': service,
        'max_attempts': 4,
        'deadline_stretch': 1.6,
        **fields,
    }


def make_configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return the value of ``op/config``."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 64,
                'protocol': 'h1',
                'tls': False,
                'enforce_capacity': False,
                'standby': False,
            }
            for name in services
        ],
        'limits': {
            'header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


# Runs a case in a deployment, with or without its disruption, and returns
# what breaks the rule.
Case = Callable[[Deployment, bool], Awaitable[list[str]]]


async def _run(
    case: Case,
    choose_work: Callable[
        [workers_module.Worker, str, int], workers_module.Work
    ],
    record: pathlib.Path,
) -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), choose_work)
        status, lines = NOT_RUN, ['the case was interrupted']
        started_at = time.monotonic()
        thread = asyncio.ensure_future(case(deployment, has_trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, thread.cancel
            )
        try:
            lines = await thread
            status = BROKEN if lines else HELD
        except asyncio.CancelledError:
            pass
        except (NotRunError, OSError, TimeoutError) as error:
            lines = [f'the case could not run: {error!r}']
        finally:
            await deployment.stop()
        _write_record(record, deployment, started_at, lines, status)
        if 'KEEP_LOGS' in os.environ:
            for entry in deployment.entries:
                text = (deployment.folder / f'{entry.name}.log').read_text()
                target = pathlib.Path(os.environ['KEEP_LOGS'])
                (target / f'{entry.name}.log').write_text(text)
    print('\n'.join(lines) or 'the rule held')
    return status


def _write_record(
    record: pathlib.Path,
    deployment: Deployment,
    started_at: float,
    lines: list[str],
    status: int,
) -> None:
    rows = []
    for event in deployment.fleet.events:
        details = {
            key: value
            for key, value in event.items()
            if key not in ('at', 'what')
        }
        seconds = event['at'] - started_at
        rows.append(f'{seconds:8.3f} {event["what"]} {json.dumps(details)}')
    rows += [f'result: {line}' for line in lines]
    rows.append(f'exit status: {status}')
    record.write_text('\n'.join(rows) + '\n')


def run_case(
    case: Case,
    choose_work: Callable[
        [workers_module.Worker, str, int], workers_module.Work
    ],
) -> None:
    """Run a case, write ``record.txt`` beside it and exit with its result."""
    record = pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt'
    sys.exit(asyncio.run(_run(case, choose_work, record)))
