"""A worker that runs tasks under leases, as a WSGI application."""

import itertools
import json
import random
import re
import time
from typing import Any, NamedTuple
from urllib import parse

from absl import app
from absl import flags

from skylarktally import _loop
from standins import tasks

_NAME = flags.DEFINE_string('name', 'worker', 'Name of the instance.')
_ADDRESS = flags.DEFINE_string('address', '127.0.0.1:0', 'IP and port.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Tasks that may run at once.')
_REBOOT_SECONDS = flags.DEFINE_float(
    'reboot_seconds', 1.0, 'Time from a reboot order to the next boot.'
)

_PIECE = 64 * 1024
_USAGE_LAG_SECONDS = 2.0
# More than any test opens, so that a router beyond its limit is seen.
_CONNECTIONS = 1024


class Reply(NamedTuple):
    """An answer of the worker's own interface."""

    status: str
    body: dict[str, Any]
    headers: tuple[tuple[str, str], ...] = ()


class Worker:
    """State of one worker and its HTTP interface."""

    def __init__(
        self, name: str, slots: int = 8, reboot_seconds: float = 1.0
    ) -> None:
        self.name = name
        self.slots = slots
        self.reboot_seconds = reboot_seconds
        self.faults: dict[str, Any] = {}
        self.runs: list[tasks.Task] = []
        self.peak_running = 0
        # Slots of the leases under which tasks run.
        self.peak_slots = 0
        self.peak_connections = 0
        self._random = random.Random(0)  # noqa: S311
        self._ids = itertools.count(1)
        self._boots = itertools.count(1)
        self._usage: list[tuple[float, int]] = []
        self._boot()

    def _boot(self) -> None:
        self.up = True
        self.boot_id = f'{self.name}-{next(self._boots)}'
        self.fence: tuple[int, str] | None = None
        self.leases: dict[str, tasks.Lease] = {}
        self.running: list[tasks.Task] = []

    def _reboot(self) -> None:
        """Restart: clear the fence, all leases and all tasks."""
        self.up = False
        for task in self.running:
            task.stopped = True
            task.interrupted = True
        _loop.spawn_after(self.reboot_seconds, self._boot)

    def count_free_slots(self) -> int:
        """Return the number of slots that no lease or running task uses."""
        now = time.monotonic()
        live = [x for x in self.leases.values() if x.expiry > now]
        promised = sum(max(x.slots, x.running) for x in live)
        leased = sum(x.running for x in live)
        return self.slots - promised - (len(self.running) - leased)

    def find_lease(self, lease_id: str) -> tasks.Lease | None:
        """Return a lease that has not expired."""
        lease = self.leases.get(lease_id)
        if lease is not None and lease.expiry <= time.monotonic():
            # Tasks of an expired lease go on and keep their slots.
            del self.leases[lease_id]
            return None
        return lease

    def application(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one request."""
        path = environ['RAW_PATH_INFO']
        if not self.up:
            return _answer(
                start_response, Reply('503 Service Unavailable', {})
            )
        if path.startswith('/v1/tasks/') and 'HTTP_LEASE_ID' in environ:
            return self._run_task(environ, start_response)
        for method, pattern, handler in _ROUTES:
            match = re.fullmatch(pattern, path)
            if match and method == environ['REQUEST_METHOD']:
                body = environ['wsgi.input'].read()
                data = json.loads(body) if body else {}
                if 'HTTP_IF_MATCH' in environ:
                    data['if_match'] = environ['HTTP_IF_MATCH']
                reply = handler(self, data, *match.groups())
                return _answer(start_response, reply)
        if path.startswith('/v1/tasks/'):
            return _answer(start_response, _refuse('unknown_lease'))
        return _answer(start_response, Reply('404 Not Found', {}))

    def grant_lease(self, data: dict[str, Any]) -> Reply:
        """Grant a lease of at most the slots asked for."""
        if self.fence is None:
            return self._refuse_lease('not_fenced')
        if (data['epoch'], data['pool']) != self.fence:
            return self._refuse_lease('stale_epoch')
        for lease_id in list(self.leases):
            self.find_lease(lease_id)
        slots = min(data.get('slots', 1), self.count_free_slots())
        if slots < 1:
            return self._refuse_lease('no_free_slot')
        ttl = float(data['ttl_seconds'])
        lease_id = f'{self.boot_id}-{next(self._ids)}'
        expiry = time.monotonic() + ttl
        self.leases[lease_id] = tasks.Lease(data['holder'], slots, expiry)
        granted = {'lease_id': lease_id, 'slots': slots, 'ttl_seconds': ttl}
        return Reply('200 OK', granted)

    def _refuse_lease(self, reason: str) -> Reply:
        fence = self._describe_fence()
        return Reply('409 Conflict', {'reason': reason, 'fence': fence})

    def renew_lease(self, data: dict[str, Any], lease_id: str) -> Reply:
        """Extend a lease that has not expired."""
        lease = self.find_lease(lease_id)
        if lease is None:
            return self._refuse_lease('unknown_lease')
        ttl = float(data['ttl_seconds'])
        lease.expiry = time.monotonic() + ttl
        return Reply('200 OK', {'lease_id': lease_id, 'ttl_seconds': ttl})

    def return_lease(self, _data: dict[str, Any], lease_id: str) -> Reply:
        """Free the slots of a lease; its tasks go on."""
        self.leases.pop(lease_id, None)
        return Reply('200 OK', {})

    def raise_fence(self, data: dict[str, Any]) -> Reply:
        """Revoke all leases of older epochs."""
        wanted = (int(data['epoch']), str(data['pool']))
        if data.get('if_match', self._build_etag()) != self._build_etag():
            return Reply('412 Precondition Failed', self._describe_fence())
        if self.fence is not None and wanted != self.fence:
            if wanted[0] <= self.fence[0]:
                return Reply('409 Conflict', self._describe_fence())
            self.leases.clear()
        self.fence = wanted
        return self.read_fence({})

    def _describe_fence(self) -> dict[str, Any]:
        epoch, pool = self.fence or (0, None)
        return {'epoch': epoch, 'pool': pool}

    def _build_etag(self) -> str:
        epoch = self.fence[0] if self.fence else 0
        return f'"{self.boot_id}/{epoch}"'

    def read_fence(self, _data: dict[str, Any]) -> Reply:
        """Return the fence and how many tasks run."""
        running = {'running': len(self.running), 'boot_id': self.boot_id}
        body = {**self._describe_fence(), **running}
        return Reply('200 OK', body, (('ETag', self._build_etag()),))

    def read_usage(self, _data: dict[str, Any]) -> Reply:
        """Return a delayed value of the number of running tasks."""
        limit = time.monotonic() - _USAGE_LAG_SECONDS
        past = [n for when, n in self._usage if when <= limit]
        usage = {'running': past[-1] if past else 0, 'slots': self.slots}
        return Reply('200 OK', {**usage, 'lag_seconds': _USAGE_LAG_SECONDS})

    def list_tasks(self, _data: dict[str, Any]) -> Reply:
        """List the running tasks."""
        tasks = [x.describe() for x in self.running]
        return Reply('200 OK', {'tasks': tasks})

    def read_task(self, _data: dict[str, Any], key: str) -> Reply:
        """Return the last run under a request key."""
        for task in reversed(self.runs):
            if task.key == parse.unquote(key):
                return Reply('200 OK', task.describe())
        return Reply('404 Not Found', {})

    def control_task(
        self, _data: dict[str, Any], key: str, action: str
    ) -> Reply:
        """Checkpoint, throttle or stop a running task."""
        for task in self.running:
            if task.key == parse.unquote(key):
                task.stopped = task.stopped or action == 'stop'
                task.throttled = task.throttled or action == 'throttle'
                task.checkpoints += action == 'checkpoint'
                return Reply('200 OK', task.describe())
        return Reply('404 Not Found', {})

    def read_record(self, _data: dict[str, Any]) -> Reply:
        """List all runs since the start of the process."""
        runs = [x.describe() for x in self.runs]
        peaks = {
            'peak_running': self.peak_running,
            'peak_connections': self.peak_connections,
        }
        return Reply('200 OK', {'runs': runs, **peaks})

    def set_faults(self, data: dict[str, Any]) -> Reply:
        """Replace the injected faults."""
        self.faults = data
        self._random = random.Random(data.get('seed', 0))  # noqa: S311
        return Reply('200 OK', data)

    def reboot(self, data: dict[str, Any]) -> Reply:
        """Restart after the response; the down time is configurable."""
        if 'delay_seconds' in data:
            self.reboot_seconds = float(data['delay_seconds'])
        _loop.spawn_after(0, self._reboot)
        return Reply('202 Accepted', {'boot_id': self.boot_id})

    def _note_usage(self) -> None:
        self.peak_running = max(self.peak_running, len(self.running))
        self._usage.append((time.monotonic(), len(self.running)))
        del self._usage[:-10000]

    def _run_task(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Start a task under a lease, or refuse without starting it."""
        lease = self.find_lease(environ['HTTP_LEASE_ID'])
        if lease is None or self.fence is None:
            return _answer(start_response, _refuse('unknown_lease'))
        if lease.running >= lease.slots:
            return _answer(start_response, _refuse('lease_used_up'))
        task = tasks.Task(
            environ.get('HTTP_REQUEST_KEY', ''),
            environ.get('HTTP_JOB', ''),
            self.fence,
            environ['HTTP_LEASE_ID'],
        )
        lease.running += 1
        busy = sum(x.slots for x in self.leases.values() if x.running)
        self.peak_slots = max(self.peak_slots, busy)
        self.running.append(task)
        self.runs.append(task)
        self._note_usage()
        return self._stream_task(task, lease, environ, start_response)

    def _stream_task(
        self,
        task: tasks.Task,
        lease: tasks.Lease,
        environ: dict[str, Any],
        respond: Any,
    ) -> Any:
        deadline = float(environ.get('HTTP_TIMEOUT_MS', 3600000)) / 1000
        try:
            body = environ['wsgi.input'].read()
            # A router matches the response to its request by the key.
            echo = ('Request-Key', task.key)

            def answer(status: str, headers: list[tuple[str, str]]) -> None:
                respond(status, [*headers, echo])

            yield from self._produce(task, environ, body, deadline, answer)
        except tasks.Stopped:
            respond('504 Gateway Timeout', [('Content-Length', '0'), echo])
        finally:
            task.end = time.time()
            lease.running -= 1
            if task in self.running:
                self.running.remove(task)
            self._note_usage()

    def _produce(
        self,
        task: tasks.Task,
        environ: dict[str, Any],
        body: bytes,
        deadline: float,
        respond: Any,
    ) -> Any:
        query = dict(parse.parse_qsl(environ.get('QUERY_STRING', '')))
        path = environ['RAW_PATH_INFO'].removeprefix('/v1/tasks')
        is_work = path.endswith('/work')
        seconds = float(query.get('seconds', 0))
        seconds += self.faults.get('delay_seconds', 0)
        if self.faults.get('hang'):
            seconds = 3600.0
        _rest(task, seconds, deadline)
        if self._random.random() < self.faults.get('fail_ratio', 0):
            respond('500 Internal Server Error', [('Content-Length', '0')])
            return
        if is_work:
            size = int(query.get('bytes', 0))
            pieces = _repeat(size)
        else:
            echo = {'method': environ['REQUEST_METHOD'], 'path': path}
            text = json.dumps({**echo, 'body': body.decode('latin-1')})
            size = len(text)
            pieces = iter([text.encode()])
        respond('200 OK', [('Content-Length', str(size))])
        if self.faults.get('truncate'):
            yield b'x' * (size // 2)
            raise ConnectionAbortedError
        yield from pieces


def _rest(task: tasks.Task, seconds: float, deadline: float) -> None:
    """Sleep for the run time in short steps, so that a stop takes effect."""
    end = time.monotonic() + min(seconds, deadline)
    while (left := end - time.monotonic()) > 0:
        if task.stopped:
            raise tasks.Stopped
        _loop.sleep(min(left, 0.05))
    if task.stopped or seconds > deadline:
        raise tasks.Stopped


def _repeat(size: int) -> Any:
    piece = b'x' * _PIECE
    while size > 0:
        yield piece[:size]
        size -= _PIECE


def _refuse(reason: str) -> Reply:
    return Reply(
        '409 Conflict', {'reason': reason}, (('Task-Started', 'false'),)
    )


def _answer(start_response: Any, reply: Reply) -> list[bytes]:
    body = json.dumps(reply.body).encode()
    length = ('Content-Length', str(len(body)))
    kind = ('Content-Type', 'application/json')
    start_response(reply.status, [kind, length, *reply.headers])
    return [body]


_ROUTES = (
    ('POST', '/v1/leases', Worker.grant_lease),
    ('PUT', '/v1/leases/([^/]+)', Worker.renew_lease),
    ('DELETE', '/v1/leases/([^/]+)', Worker.return_lease),
    ('PUT', '/v1/fence', Worker.raise_fence),
    ('GET', '/v1/fence', Worker.read_fence),
    ('GET', '/v1/usage', Worker.read_usage),
    ('GET', '/v1/tasks', Worker.list_tasks),
    ('GET', '/v1/tasks/([^/]+)', Worker.read_task),
    (
        'POST',
        '/v1/tasks/([^/]+)/(checkpoint|throttle|stop)',
        Worker.control_task,
    ),
    ('GET', '/v1/record', Worker.read_record),
    ('PUT', '/standin/faults', Worker.set_faults),
    ('POST', '/standin/reboot', Worker.reboot),
)


class _Connections:
    """Green threads of open connections; records their highest number."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._pool = _loop.GreenPool(_CONNECTIONS)

    def spawn(self, process: Any, connection: Any) -> Any:
        """Handle an accepted connection."""
        thread = self._pool.spawn(process, connection)
        worker = self._worker
        worker.peak_connections = max(
            worker.peak_connections, self._pool.running()
        )
        return thread

    def waitall(self) -> None:
        """Wait until every connection is closed."""
        self._pool.waitall()


def serve(worker: Worker, address: str) -> None:
    """Serve a worker on an IP address and port until killed."""
    host, port = address.rsplit(':', 1)
    listener = _loop.listen((host, int(port)))
    # Longer than the 5 s after which a router closes an idle connection.
    _loop.serve(
        listener,
        worker.application,
        keepalive=30,
        custom_pool=_Connections(worker),
    )


def main(_argv: list[str]) -> None:
    """Run one worker with the settings of the command line."""
    worker = Worker(_NAME.value, _SLOTS.value, _REBOOT_SECONDS.value)
    serve(worker, _ADDRESS.value)


if __name__ == '__main__':
    _loop.patch_standard_library()
    app.run(main)
