"""Stand-in of a worker, which runs tasks under leases on loopback."""

import dataclasses
import threading
import time
from typing import Any

from common import records
from common import servers
from common import store as stores

HEARTBEAT_SECONDS = 1.5
_MAX_LEASE_MS = 10000
_TICK_SECONDS = 0.01
_MAX_WAIT_MS = 2000


@dataclasses.dataclass
class Run:
    """A run that is active on a worker."""

    number: int
    started: float
    seconds: float
    how: str
    saved: str = ''
    pace: int = 100


class Worker:
    """One life of a worker at a time; ``restart`` begins the next one."""

    def __init__(
        self,
        store: stores.Store,
        record: records.Record,
        jobs: records.Jobs,
        id_: str,
        machine: str,
        service: str,
        *,
        zone: str = 'z-a',
        rack: str = 'r1-1',
        cpu: int = 32000,
    ) -> None:
        self.id = id_
        self.machine = machine
        self.service = service
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.is_up = False
        self._store = store
        self._record = record
        self._jobs = jobs
        self._lock = threading.Condition()
        self._port = 0
        self._server: servers.JsonServer | None = None
        self.start()

    # Life of the worker.

    def start(self) -> None:
        """Begin a life, and write the entry in the store at once."""
        with self._lock:
            self.born = int(time.time() * 1000)
            self._started = time.monotonic()
            self._token = 0
            self._until_ms = 0
            self.active: dict[str, Run] = {}
            self._ended: list[list[Any]] = []
            self._sequence = 0
            self._ended_numbers: dict[str, int] = {}
            self._heartbeats = 0
            self.is_up = True
        self._server = servers.JsonServer(self._answer, self._port)
        self._port = self._server.port
        self._record.note('worker up', worker=self.id, born=self.born)
        life = self.born
        threading.Thread(target=self._beat, args=(life,), daemon=True).start()
        threading.Thread(target=self._tick, args=(life,), daemon=True).start()

    def kill(self) -> None:
        """End the life at once, as a crash does."""
        with self._lock:
            self.is_up = False
            for task, run in self.active.items():
                self._record.note(
                    'end',
                    worker=self.id,
                    task=task,
                    run=run.number,
                    how='crash',
                )
            self.active = {}
            self._lock.notify_all()
        if self._server is not None:
            self._server.stop()
        self._record.note('worker down', worker=self.id)

    def restart(self, seconds: float) -> None:
        """Crash, and start again under the same id after some time."""
        self.kill()
        time.sleep(seconds)
        self.start()

    def leave(self) -> None:
        """End the life and the entry in the store, as the platform does."""
        self.kill()
        self._store.remove('servers', self.id)

    def _is_life(self, life: int) -> bool:
        return self.is_up and self.born == life

    def _beat(self, life: int) -> None:
        while self._is_life(life):
            self._heartbeats += 1
            self._store.put('servers', self.id, self._describe())
            time.sleep(HEARTBEAT_SECONDS)

    def _describe(self) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slot_count': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 65536, 'gpu': 0},
            'labels': ['a', self.rack],
            'machine': self.machine,
            'clock_ms': self._clock_ms(),
            'born': self.born,
            'sequence': self._heartbeats,
        }

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started) * 1000)

    def _tick(self, life: int) -> None:
        while self._is_life(life):
            time.sleep(_TICK_SECONDS)
            with self._lock:
                if not self._is_life(life):
                    return
                self._end_due()

    def _end_due(self) -> None:
        now = time.monotonic()
        has_lapsed = self._clock_ms() >= self._until_ms
        for task, run in list(self.active.items()):
            if has_lapsed:
                self._end(task, 'lapsed')
            elif now >= run.started + run.seconds:
                self._end(task, run.how)

    def _end(self, task: str, how: str) -> None:
        run = self.active.pop(task)
        self._sequence += 1
        self._ended.append([self._sequence, task, run.number, how, run.saved])
        self._ended_numbers[task] = max(
            self._ended_numbers.get(task, 0), run.number
        )
        self._record.note(
            'end', worker=self.id, task=task, run=run.number, how=how
        )
        self._lock.notify_all()

    # Calls of the system.

    def _answer(self, request: servers.Request) -> servers.Answer:
        calls = {
            '/-/run-start': self._start_run,
            '/-/run-stop': self._stop_run,
            '/-/hold': self._hold,
            '/-/pace': self._pace,
        }
        call = calls.get(request.path)
        if call is None or request.method != 'POST':
            return 404, {}
        expected = request.headers.get('X-Skylarktally-Expect-Instance')
        with self._lock:
            if not self.is_up:
                return None
            if expected not in (None, self.id):
                return 421, {'clock_ms': self._clock_ms()}
            token = request.body.get('fencing_token', 0)
            if token < self._token:
                return self._reject('fence')
            self._token = token
            return call(request.body)

    def _reject(self, reason: str) -> servers.Answer:
        return 409, {'clock_ms': self._clock_ms(), 'reason': reason}

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            latest = self._clock_ms() + _MAX_LEASE_MS
            self._until_ms = max(self._until_ms, min(until_ms, latest))

    def _start_run(self, body: dict[str, Any]) -> servers.Answer:
        task, number = body['task'], body['run_id']
        if body['until_ms'] <= self._clock_ms():
            return self._reject('late')
        self._extend(body['until_ms'])
        run = self.active.get(task)
        if run is not None and run.number == number:
            return 200, {'clock_ms': self._clock_ms()}
        if number <= self._ended_numbers.get(task, 0):
            return self._reject('old')
        seconds, how = self._jobs.find_work(task)
        self.active[task] = Run(number, time.monotonic(), seconds, how)
        self._record.note('start', worker=self.id, task=task, run=number)
        return 200, {'clock_ms': self._clock_ms()}

    def _stop_run(self, body: dict[str, Any]) -> servers.Answer:
        task, number = body['task'], body['run_id']
        run = self.active.get(task)
        if run is not None and run.number == number:
            self._end(task, 'stopped')
        self._ended_numbers[task] = max(
            self._ended_numbers.get(task, 0), number
        )
        return 200, {'clock_ms': self._clock_ms()}

    def _pace(self, body: dict[str, Any]) -> servers.Answer:
        run = self.active.get(body['task'])
        if run is not None and run.number == body['run_id']:
            run.pace = body['percent']
        return 200, {'clock_ms': self._clock_ms()}

    def _hold(self, body: dict[str, Any]) -> servers.Answer:
        life = self.born
        self._extend(body.get('until_ms'))
        seen = body.get('last_seen', 0)
        for number, task, run, how, _ in self._ended:
            if number <= seen:
                self._record.note(
                    'end taken note of',
                    worker=self.id,
                    task=task,
                    run=run,
                    how=how,
                )
        self._ended = [item for item in self._ended if item[0] > seen]
        wait_ms = min(body.get('wait_ms', 0), _MAX_WAIT_MS)
        end = time.monotonic() + wait_ms / 1000
        while not self._ended and time.monotonic() < end:
            self._lock.wait(end - time.monotonic())
            if not self._is_life(life):
                return None
        return 200, {
            'clock_ms': self._clock_ms(),
            'born': self.born,
            'active_runs': [
                [task, run.number, run.saved, run.pace, 0]
                for task, run in self.active.items()
            ],
            'ended_runs': self._ended[:500],
        }
