"""Guards the invariants against races of controllers, operators and workers.

Each test runs a random sequence of events, including faults of the table,
crashes and pauses of controllers and reboots of workers. Afterwards the
checker reads the table, the log and every worker's record.
"""

import random

import pytest

from skylarktally import _transitions
from tests import apis
from tests import fake_controllers
from tests import invariants

Phase = fake_controllers.Phase
POOLS = ('desk-n', 'desk-s', 'spare')
FAULTS = ('drop', 'lose', 'duplicate', 'refuse', 'limit')


def declare_fleet():
    documents = [apis.declare('pool', p, team='t') for p in POOLS]
    documents += [
        apis.declare('budget', p, pool=p, min_available=1) for p in POOLS
    ]
    for number in range(9):
        documents.append(
            apis.declare_instance(
                f'w{number + 1}',
                POOLS[number % 3],
                rack=f'r{number % 2}',
                port=9001 + number,
            )
        )
    return documents


class Race:
    """A random sequence of events that is determined by its seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.world = fake_controllers.build_world(declare_fleet())
        self.world.pending_reboots = []
        self.last_number = 2
        self.controllers = [self._start(n) for n in (1, 2)]
        self.controllers[0].take_leases()
        self.controllers[0].step(2)
        self.operators = [
            apis.ApiHarness(
                self.world.table, f'o{n}', 90 + n, self.world.clock
            )
            for n in range(2)
        ]
        # Instances as a router knows them, possibly long out of date.
        self.router_instances = self.world.read_instances()
        self.events = [
            (30, self.step),
            (8, self.start_request),
            (8, self.end_requests),
            (6, self.operate),
            (4, self.add_fault),
            (3, self.update_router),
            (2, self.kill),
            (2, self.restart_worker),
            (8, self.reboot_worker),
            (8, self.world.finish_reboots),
            (1, self.stop_table),
            (1, self.pause),
        ]

    def _start(self, number):
        return fake_controllers.FakeController(
            self.world, f'c{number}', seed=number
        )

    def run(self, count):
        weights = [weight for weight, _ in self.events]
        for _, event in self.random.choices(
            self.events, weights=weights, k=count
        ):
            event()
            self.world.clock.advance(self.random.random())
        self.world.table.down = False
        self.world.table.faults = []

    def step(self):
        controller = self.random.choice(self.controllers)
        controller.leases.renew()
        controller.reconciler.step()

    def start_request(self):
        instance = self.random.choice(sorted(self.router_instances.values()))
        if instance.phase is Phase.SERVING:
            worker = self.world.workers[instance.address]
            if worker.start(instance.epoch, instance.pool):
                current = self.world.read_instances()[instance.name]
                assert current.pool == instance.pool

    def end_requests(self):
        self.random.choice(list_workers(self.world)).finish()

    def update_router(self):
        self.router_instances = self.world.read_instances()

    def operate(self):
        operator = self.random.choice(self.operators)
        name = f'w{self.random.randint(1, 9)}'
        operation, body = self.random.choice(
            [
                ('drain', {'operation_id': str(self.random.random())}),
                ('drain', {'operation_id': 'again', 'then': 'cordon'}),
                ('move', {'pool': self.random.choice(POOLS)}),
                ('return', {}),
            ]
        )
        path = f'/v1/instances/{name}/{operation}'
        operator.call('POST', path, body)

    def add_fault(self):
        self.world.table.faults.append(self.random.choice(FAULTS))

    def stop_table(self):
        self.world.table.down = not self.world.table.down

    def kill(self):
        """Crash a controller at one of its next calls and start another."""
        index = self.random.randrange(len(self.controllers))
        controller = self.controllers[index]
        side = self.random.choice(['before', 'after'])
        controller.calls.kill_at = (
            controller.calls.count + self.random.randint(1, 4),
            side,
        )
        try:
            controller.leases.renew()
            controller.reconciler.step()
        except fake_controllers.Killed:
            self.last_number += 1
            self.controllers[index] = self._start(self.last_number)
        else:
            controller.calls.kill_at = None

    def restart_worker(self):
        """Restart a worker without a request, as after a power failure."""
        worker = self.random.choice(list_workers(self.world))
        if not worker.running:
            worker.reboot()

    def reboot_worker(self):
        """Begin a reboot that was requested from the platform earlier."""
        if self.world.pending_reboots:
            worker = self.world.pending_reboots.pop(0)
            worker.reboot()
            worker.is_up = False

    def pause(self):
        """Pause one controller before a commit while the others go on."""
        controller = self.random.choice(self.controllers)
        others = [c for c in self.controllers if c is not controller]

        def wait():
            for _ in range(16):
                for other in others:
                    other.leases.renew()
                    other.reconciler.step()
                self.world.clock.advance(1)

        controller.calls.hooks['before commit'] = wait
        controller.leases.renew()
        controller.reconciler.step()
        controller.calls.hooks.clear()

    def settle(self):
        """Let a new controller finish all operations in progress.

        Fails if instances are still in transition after 120 steps.
        """
        self.world.finish_reboots()
        controller = self._start(99)
        controller.step(20)
        for worker in list_workers(self.world):
            worker.finish()
        for _ in range(120):
            self.world.finish_reboots()
            self.reboot_worker()
            for name, instance in self.world.read_instances().items():
                if instance.phase in (Phase.CORDONED, Phase.FAILED):
                    controller.call(
                        _transitions.return_to_service, name, 'test'
                    )
            controller.step()
            if fake_controllers.is_settled(self.world):
                return
        raise AssertionError(self.world.read_instances())


def list_workers(world):
    return [world.workers[address] for address in sorted(world.workers)]


@pytest.mark.parametrize('seed', range(60))
def test_no_random_sequence_breaks_an_invariant(seed):
    race = Race(seed)
    race.run(150)
    invariants.check(race.world)
    race.settle()
    invariants.check(race.world)
    # Every reboot that the platform recorded was carried out.
    names = [name for name, _ in race.world.reboots]
    for worker in list_workers(race.world):
        assert worker.boots >= 1 + names.count(worker.name)
