"""Stand-in of the platform's interface for machines."""

from collections.abc import Callable
import dataclasses
import threading
from typing import Any

from common import records
from common import servers

_MOVE_SECONDS = 1.5
_UPKEEP_SECONDS = 2.0


@dataclasses.dataclass
class Machine:
    """A machine and the worker on it."""

    id: str
    pool: str
    worker: str
    state: str = 'up'
    waves: set[int] = dataclasses.field(default_factory=set)
    token: int = 0


class Instances:
    """Machines, moves and upkeep; fences apply to each machine separately."""

    def __init__(self, record: records.Record) -> None:
        self.machines: dict[str, Machine] = {}
        # Machines by wave.
        self.waves: dict[int, set[str]] = {}
        # Takes the worker of a machine down, and brings the next one up.
        self.on_down: Callable[[Machine], None] = lambda machine: None
        self.on_up: Callable[[Machine], None] = lambda machine: None
        self._record = record
        self._lock = threading.Lock()
        self.server = servers.JsonServer(self._answer)

    def _answer(self, request: servers.Request) -> servers.Answer:
        if request.path == '/-/machines':
            return 200, {'machines': self._list(), 'next_token': None}
        calls = {
            '/-/machine-upkeep': self._order_upkeep,
            '/-/machine-move': self._order_move,
        }
        call = calls.get(request.path)
        if call is None:
            return 404, {}
        machine = self.machines.get(request.body['machine'])
        if machine is None:
            return 400, {}
        return call(machine, request)

    def _list(self) -> list[dict[str, Any]]:
        with self._lock:
            return [
                {
                    'machine': machine.id,
                    'node_pool': machine.pool,
                    'state': machine.state,
                    'zone': 'z-a',
                    'labels': ['a', 'r1-1'],
                    'capacity': {'cpu': 32000, 'mem_mb': 65536, 'gpu': 0},
                    'id': machine.worker if machine.state == 'up' else '',
                }
                for machine in self.machines.values()
            ]

    def _order_move(
        self, machine: Machine, request: servers.Request
    ) -> servers.Answer:
        pool = request.body['node_pool']
        with self._lock:
            if not self._accept_token(machine, request):
                return 409, {'reason': 'fence'}
            if machine.pool == pool:
                return 200, {}
            if machine.state != 'up':
                return 409, {'reason': 'busy'}
            machine.state = 'moving'
            machine.pool = pool
        self._record.note('move', machine=machine.id, pool=pool)
        self._replace_worker(machine, _MOVE_SECONDS)
        return 200, {}

    def _order_upkeep(
        self, machine: Machine, request: servers.Request
    ) -> servers.Answer:
        wave = request.body['wave_id']
        with self._lock:
            if not self._accept_token(machine, request):
                return 409, {'reason': 'fence'}
            if machine.id not in self.waves.get(wave, ()):
                return 409, {'reason': 'wave'}
            if wave in machine.waves:
                return 200, {}
            if machine.state != 'up':
                return 409, {'reason': 'busy'}
            machine.state = 'upkeep'
            machine.waves.add(wave)
        self._record.note('upkeep', machine=machine.id, wave=wave)
        self._replace_worker(machine, _UPKEEP_SECONDS)
        return 200, {}

    def _accept_token(
        self, machine: Machine, request: servers.Request
    ) -> bool:
        token = int(request.headers['X-Skylarktally-Fencing-Token'])
        if token < machine.token:
            return False
        machine.token = token
        return True

    def _replace_worker(self, machine: Machine, seconds: float) -> None:
        """End the worker now; the next one joins after some time."""
        self.on_down(machine)
        timer = threading.Timer(seconds, self._finish, (machine,))
        timer.daemon = True
        timer.start()

    def _finish(self, machine: Machine) -> None:
        self.on_up(machine)
        with self._lock:
            machine.state = 'up'
