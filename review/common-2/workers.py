"""Stand-in of workers and of the machines that they live on."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any
from typing import NamedTuple

import http_server
import store as store_module

_HEARTBEAT_SECONDS = 1.5
_HOLD_MAX_MS = 10_000
_STOP_SECONDS = 0.1
_GANG_TIMEOUT_SECONDS = 3.0
_SAVE_SECONDS = 0.5
# From the start of a run until it does its work.
_STARTUP_SECONDS = 0.12
_LISTED_ENDS = 500
_TICK_SECONDS = 0.02


class Work(NamedTuple):
    """What a run does: how long it works, and how it then ends."""

    seconds: float
    how: str = 'done'


@dataclasses.dataclass
class Run:
    """A run on a worker."""

    task: str
    number: int
    step: dict[str, Any]
    work: Work
    saved: str
    accepted_at: float
    # When it began to work; None while the members of a gang are missing.
    began_at: float | None = None
    stop_at: float | None = None


class Fleet:
    """All workers, the work of their runs, and a record of what they saw."""

    def __init__(
        self,
        rows: store_module.Store,
        find_step: Callable[[str], dict[str, Any]],
        choose_work: Callable[['Worker', str, int], Work],
    ) -> None:
        """Create a fleet without workers.

        :param find_step: returns the submitted step of a task
        :param choose_work: returns what a run on a worker does
        """
        self.rows = rows
        self.find_step = find_step
        self.choose_work = choose_work
        self.workers: dict[str, Worker] = {}
        # What happened, in order; each entry has 'at', 'what' and more.
        self.events: list[dict[str, Any]] = []

    def note(self, what: str, **details: Any) -> None:
        """Record an event."""
        self.events.append({'at': time.monotonic(), 'what': what, **details})

    def list_runs(self) -> list[tuple['Worker', Run]]:
        """Return all runs on workers that are up."""
        return [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.active.values()
        ]

    async def run(self) -> None:
        """Let time pass for all runs, leases and gangs."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            self._assemble_gangs(now)
            for worker in self.workers.values():
                worker.advance(now)
            self._end_broken_gangs()

    def _list_gangs(self) -> dict[tuple[str, int], list[tuple['Worker', Run]]]:
        gangs: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}
        for worker, run in self.list_runs():
            if run.step.get('gang'):
                key = run.task.rpartition('.')[0], run.number
                gangs.setdefault(key, []).append((worker, run))
        return gangs

    def _assemble_gangs(self, now: float) -> None:
        """Start the gangs whose members are present with one checkpoint."""
        for members in self._list_gangs().values():
            runs = [run for _, run in members]
            if len(runs) < runs[0].step['task_count']:
                continue
            if len({run.saved for run in runs}) > 1:
                # All must carry the same value: these never work together.
                continue
            for run in runs:
                run.began_at = run.began_at or now

    def _end_broken_gangs(self) -> None:
        """End the other members of each gang that has lost one."""
        for members in self._list_gangs().values():
            is_begun = any(run.began_at for _, run in members)
            if is_begun and len(members) < members[0][1].step['task_count']:
                for worker, run in members:
                    worker.end(run, 'broken')


class Worker:
    """A worker with its lives; its state lasts for one life."""

    def __init__(
        self,
        fleet: Fleet,
        id_: str,
        service: str,
        kind: str = 'a',
        rack: str = 'r1-1',
        cpu: int = 32000,
    ) -> None:
        self.id = id_
        self.service = service
        self.kind = kind
        self.rack = rack
        self.cpu = cpu
        self.server = http_server.Server(self._handle)
        self._fleet = fleet
        fleet.workers[id_] = self
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.token = 0
        self.until_ms = 0
        self.active: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._is_lapsed = True
        self._end_listed = asyncio.Event()
        self._heartbeats: asyncio.Task | None = None

    @property
    def clock_ms(self) -> int:
        """The steady clock of the present life."""
        return int((time.monotonic() - self._started_at) * 1000) + 1000

    async def open(self) -> None:
        """Serve, then register in the store."""
        await self.server.open()
        await self.register()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """Lose all state; nothing answers until the next life begins."""
        self._fleet.note('crash', worker=self.id, runs=sorted(self.active))
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self.server.close()
        self.active.clear()

    async def restart(self, kind: str) -> None:
        """Begin a new life under the same id and address."""
        self.kind = kind
        self._begin_life()
        self._fleet.note('restart', worker=self.id, kind=kind, born=self.born)
        await self.open()

    async def register(self) -> None:
        """Write the entry in the store."""
        self._sequence += 1
        await self._fleet.rows.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': self.server.address,
                'zone': 'zone-a',
                'version': 'v1',
                'slot_count': 8,
                'state': 'ready',
                'cold_left_ms': 0,
                'capacity': {'cpu': self.cpu, 'mem_mb': 65536, 'gpu': 0},
                'labels': [self.kind, self.rack],
                'machine': f'm-{self.id}',
                'clock_ms': self.clock_ms,
                'sequence': self._sequence,
                'born': self.born,
            },
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            await self.register()

    # Time.

    def advance(self, now: float) -> None:
        """End the runs whose work, stop or lease is over."""
        is_lapsed = self.clock_ms >= self.until_ms
        if is_lapsed and not self._is_lapsed:
            self._fleet.note('lapse', worker=self.id)
        self._is_lapsed = is_lapsed
        for run in list(self.active.values()):
            gang_limit = run.accepted_at + _GANG_TIMEOUT_SECONDS
            if is_lapsed:
                self.end(run, 'lapsed')
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, 'stopped')
            elif run.began_at is None and now >= gang_limit:
                self.end(run, 'alone')
            elif run.began_at and now >= run.began_at + run.work.seconds:
                self.end(run, run.work.how)
            elif run.began_at and run.step.get('checkpointing'):
                worked = now - run.began_at - _STARTUP_SECONDS
                saved = int(worked / _SAVE_SECONDS)
                if saved > 0:
                    run.saved = f'{_name_work(run)}:{run.number}:{saved}'

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.active.pop(run.task, None) is not run:
            return
        self._end_count += 1
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self.ended.append(
            [self._end_count, run.task, run.number, how, run.saved]
        )
        self._end_listed.set()
        self._fleet.note(
            'end', worker=self.id, task=run.task, run=run.number, how=how
        )

    # Orders.

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        if request.method == 'GET':
            return http_server.Reply(200, {})
        if request.headers.get('x-skylarktally-expect-instance') != self.id:
            return http_server.Reply(421, {})
        body = request.body
        if body.get('fencing_token', 0) < self.token:
            return self._reply(409, {'reason': 'fence'})
        self.token = body.get('fencing_token', 0)
        if request.path == '/-/run-start':
            return self._start(body)
        if request.path == '/-/run-stop':
            return self._stop(body)
        if request.path == '/-/hold':
            return await self._hold(body)
        if request.path == '/-/pace':
            return self._reply(200, {})
        return self._reply(400, {})

    def _reply(self, status: int, body: dict[str, Any]) -> http_server.Reply:
        return http_server.Reply(
            status, {'clock_ms': self.clock_ms, 'born': self.born, **body}
        )

    def _extend_lease(self, body: dict[str, Any]) -> None:
        limit = self.clock_ms + _HOLD_MAX_MS
        until = min(body.get('until_ms', 0), limit)
        self.until_ms = max(self.until_ms, until)

    def _start(self, body: dict[str, Any]) -> http_server.Reply:
        task, number = body['task'], body['run_id']
        if body['until_ms'] <= self.clock_ms:
            return self._reply(409, {'reason': 'late'})
        self._extend_lease(body)
        known = self.active.get(task)
        if known is not None and known.number == number:
            return self._reply(200, {})
        if known is not None or number <= self._highest.get(task, 0):
            return self._reply(409, {'reason': 'old'})
        step = self._fleet.find_step(task)
        now = time.monotonic()
        self.active[task] = Run(
            task,
            number,
            step,
            self._fleet.choose_work(self, task, number),
            body.get('checkpoint', ''),
            now,
            None if step.get('gang') else now,
        )
        self._fleet.note(
            'start',
            worker=self.id,
            task=task,
            run=number,
            kind=self.kind,
            born=self.born,
            needs=step.get('required_label', ''),
            checkpoint=body.get('checkpoint', ''),
            token=body['fencing_token'],
        )
        return self._reply(200, {})

    def _stop(self, body: dict[str, Any]) -> http_server.Reply:
        task, number = body['task'], body['run_id']
        run = self.active.get(task)
        if run is not None and run.number <= number:
            run.stop_at = run.stop_at or time.monotonic() + _STOP_SECONDS
        else:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return self._reply(200, {})

    async def _hold(self, body: dict[str, Any]) -> http_server.Reply:
        self._extend_lease(body)
        born, seen = self.born, body.get('last_seen', 0)
        for row in self.ended:
            if row[0] <= seen:
                self._fleet.note(
                    'noted', worker=self.id, task=row[1], run=row[2]
                )
        self.ended = [row for row in self.ended if row[0] > seen]
        wait = min(body.get('wait_ms', 0), 2000) / 1000
        if wait and not self.ended:
            self._end_listed.clear()
            try:
                async with asyncio.timeout(wait):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        if born != self.born:
            return http_server.Reply(0, {})
        return self._reply(
            200,
            {
                'active_runs': [
                    [run.task, run.number, run.saved, self._measure(run), 0]
                    for run in self.active.values()
                ],
                'ended_runs': self.ended[:_LISTED_ENDS],
            },
        )

    def _measure(self, run: Run) -> int:
        """Return the percentage at which a run works."""
        return 0 if run.began_at is None else 100


def _name_work(run: Run) -> str:
    """Return what a checkpoint belongs to: a task, or a whole gang."""
    if run.step.get('gang'):
        return run.task.rpartition('.')[0]
    return run.task


class Machines:
    """Stand-in of the interface for machines."""

    def __init__(self, fleet: Fleet) -> None:
        self.server = http_server.Server(self._handle)
        self._fleet = fleet

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        if request.path != '/-/machines':
            # No order is owed in these cases.
            return http_server.Reply(409, {'reason': 'busy'})
        listed = [
            {
                'machine': f'm-{worker.id}',
                'node_pool': worker.service,
                'state': 'up',
                'zone': 'zone-a',
                'labels': [worker.kind, worker.rack],
                'capacity': {'cpu': worker.cpu, 'mem_mb': 65536, 'gpu': 0},
                'id': worker.id,
            }
            for worker in self._fleet.workers.values()
        ]
        return http_server.Reply(200, {'machines': listed, 'next_token': None})
