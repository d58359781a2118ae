"""Stand-in of the service that advises on workers, and its workers."""

import asyncio
from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

import http_server
import workers as workers_module

_MAX_WAITING = 32
_VALID_SECONDS = 3.0


class Ticket(NamedTuple):
    """Permission to run a step in one life of a worker."""

    worker: str
    born: int
    step: str
    expires_at: float


class Advisor:
    """Handles the calls of one machine, one at a time, in turn.

    A call whose caller has closed the connection before its turn is dropped.
    """

    def __init__(
        self,
        fleet: workers_module.Fleet,
        decide_seconds: float,
        each_seconds: float,
        is_eligible: Callable[[str], bool],
        tickets: dict[str, Ticket],
    ) -> None:
        self.server = http_server.Server(self._handle)
        self._fleet = fleet
        self._decide_seconds = decide_seconds
        self._each_seconds = each_seconds
        self._is_eligible = is_eligible
        self._tickets = tickets
        self._turn = asyncio.Lock()
        self._waiting = 0

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        if self._waiting >= _MAX_WAITING:
            return http_server.Reply(429, {})
        self._waiting += 1
        asked_at = time.monotonic()
        async with self._turn:
            self._waiting -= 1
            if request.is_abandoned():
                self._fleet.note('advice', outcome='dropped')
                return http_server.Reply(0, {})
            workers = request.body['worker_ids']
            await asyncio.sleep(
                self._decide_seconds + self._each_seconds * len(workers)
            )
        self._fleet.note(
            'advice',
            outcome='too late' if request.is_abandoned() else 'answered',
            step=request.body['step_index'],
            seconds=round(time.monotonic() - asked_at, 2),
        )
        rows = [
            [worker, self._create_ticket(worker, request.body['step_index'])]
            for worker in workers
            if worker in self._fleet.workers and self._is_eligible(worker)
        ]
        valid_ms = int(_VALID_SECONDS * 1000)
        return http_server.Reply(
            200, {'eligible_workers': rows, 'valid_ms': valid_ms}
        )

    def _create_ticket(self, worker: str, step: str) -> str:
        name = f'ticket-{len(self._tickets)}'
        self._tickets[name] = Ticket(
            worker,
            self._fleet.workers[worker].born,
            step,
            time.monotonic() + _VALID_SECONDS,
        )
        return name


class AdvisedWorker(workers_module.Worker):
    """A worker that rejects starts without a valid ticket."""

    def __init__(
        self,
        fleet: workers_module.Fleet,
        id_: str,
        service: str,
        tickets: dict[str, Ticket],
    ) -> None:
        super().__init__(fleet, id_, service)
        self._tickets = tickets

    def _start(self, body: dict[str, Any]) -> http_server.Reply:
        ticket = self._tickets.get(body.get('ticket_id', ''))
        step = body['task'].rpartition('.')[0]
        if (
            ticket is None
            or ticket[:3] != (self.id, self.born, step)
            or ticket.expires_at < time.monotonic()
        ):
            self._fleet.note('ticket rejected', worker=self.id, step=step)
            return self._reply(409, {'reason': 'ticket'})
        return super()._start(body)
