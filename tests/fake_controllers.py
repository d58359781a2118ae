"""Controllers over a simulated table, platform and workers.

The outgoing calls of a controller are counted, so that a test can kill the
controller right before or right after any of them.
"""

import datetime
import random

import prometheus_client
from returns import result

from skylarktally import _batch
from skylarktally import _controller_metrics
from skylarktally import _errors
from skylarktally import _explanations
from skylarktally import _fleet
from skylarktally import _instances
from skylarktally import _journal
from skylarktally import _leases
from skylarktally import _observations
from skylarktally import _reconciler
from skylarktally import _resources
from skylarktally import _runs
from skylarktally import _steps
from skylarktally import _transitions
from skylarktally import _workers
from tests import apis
from tests import fakes

Kind = _resources.Kind
Phase = _resources.Phase


class Killed(BaseException):
    """Raised to end a controller in the middle of a step, like a kill.

    A BaseException, since the reconciler logs and ignores exceptions.
    """


class FakeWorker:
    """A worker with a fence and tasks, which records what it started."""

    def __init__(self, name):
        self.name = name
        self.is_up = True
        self.boots = 1
        self.fence = None
        # Epoch and pool of each running request.
        self.running = []
        # Epoch and pool of each request that was ever started.
        self.started = []
        # Number of requests that were running when the worker rebooted.
        self.interrupted = 0
        # Number of fences raised while requests of another pool still ran.
        self.early_fences = 0
        # Jobs of the batch tasks that were run, by request key.
        self.tasks = {}
        # Number of boots, epoch and pool at each raised fence.
        self.fences = []

    def describe(self):
        epoch, pool = self.fence or (0, None)
        boot_id = f'{self.name}-{self.boots}'
        etag = f'{boot_id}/{epoch}'
        return _workers.FenceStatus(
            epoch, pool, len(self.running), boot_id, etag
        )

    def raise_fence(self, seen, epoch, pool):
        if seen.etag != self.describe().etag:
            return fakes.fail(_errors.ErrorKind.CONFLICT)
        if self.fence and (epoch, pool) != self.fence:
            if epoch <= self.fence[0]:
                return fakes.fail(_errors.ErrorKind.CONFLICT)
        self.early_fences += any(owner != pool for _, owner in self.running)
        self.fence = (epoch, pool)
        self.fences.append((self.boots, epoch, pool))
        return result.Success(self.describe())

    def start(self, epoch, pool):
        """Start a request of a router that knows this epoch and pool.

        Returns whether the worker accepted it.
        """
        if not self.is_up or self.fence != (epoch, pool):
            return False
        self.running.append((epoch, pool))
        self.started.append((epoch, pool))
        return True

    def finish(self):
        self.running.clear()

    def reboot(self):
        self.interrupted += len(self.running)
        self.running.clear()
        self.fence = None
        self.boots += 1


class World:
    """The simulated platform, table and workers that controllers share."""

    def __init__(self):
        self.clock = fakes.ManualClock()
        self.table = fakes.FaultyTable()
        self.workers = {}
        # State of each ordered reboot, by instance name and operation id.
        self.reboots = {}
        # Workers whose reboot was ordered but has not started. None makes
        # reboots start at once.
        self.pending_reboots = None
        # Zones whose controllers can't reach the platform.
        self.cut_off_zones = set()
        # Instances that the platform lists, by zone, and the age of its list.
        self.listed = {}
        self.list_lag = datetime.timedelta(0)
        self.rows = self.table.rows

    def add_worker(self, port):
        address = f'127.0.0.1:{port}'
        self.workers[address] = FakeWorker(f'w{port - 9000}')
        return self.workers[address]

    def get_worker(self, name):
        return next(w for w in self.workers.values() if w.name == name)

    def read_fleet(self):
        """Return the fleet that a new process would read from the table."""
        fleet = _fleet.Fleet()
        table = fakes.FaultyTable(self.rows)
        _journal.Journal(table, fleet, self.clock, 'reader').refresh()
        return fleet

    def read_instances(self):
        return {i.name: i for i in self.read_fleet().find_instances()}

    def finish_reboots(self):
        """Make all workers reachable again, which ends their reboots."""
        for worker in self.workers.values():
            worker.is_up = True


class _Calls:
    """Counts the outgoing calls of one controller and fails some.

    Stands in for its table, its client of workers and that of the platform.
    """

    def __init__(self, world, zone):
        self.world = world
        self.zone = zone
        self.count = 0
        # Number of the call at which to kill the controller, and whether
        # 'before' or 'after' its effect.
        self.kill_at = None
        # Functions to run once, after the next call of this name; or
        # before it with the key 'before <name>'.
        self.hooks = {}
        self.table = world.table

    def call(self, action, name=''):
        self.count += 1
        if self.kill_at == (self.count, 'before'):
            raise Killed
        self.hooks.pop(f'before {name}', bool)()
        outcome = action()
        self.hooks.pop(name, bool)()
        if self.kill_at == (self.count, 'after'):
            raise Killed
        return outcome

    # Table
    def commit(self, transaction):
        if self.zone in self.world.cut_off_zones:
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        return self.call(lambda: self.table.commit(transaction), 'commit')

    def read(self, key):
        if self.zone in self.world.cut_off_zones:
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        return self.table.read(key)

    def scan(self, prefix, after='', limit=1000):
        if self.zone in self.world.cut_off_zones:
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        return self.table.scan(prefix, after, limit)

    # Workers
    def _find_reachable(self, address):
        worker = self.world.workers[address]
        return worker if worker.is_up else None

    def read_fence(self, address):
        worker = self._find_reachable(address)
        if worker is None:
            return fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE)
        return self.call(lambda: result.Success(worker.describe()))

    def raise_fence(self, address, seen, epoch, pool):
        worker = self._find_reachable(address)
        if worker is None:
            return fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE)
        return self.call(
            lambda: worker.raise_fence(seen, epoch, pool), 'fence'
        )

    def acquire_lease(self, address, holder, epoch, pool, slots, ttl):
        worker = self._find_reachable(address)
        if worker is None or worker.fence != (epoch, pool):
            return fakes.fail(_errors.ErrorKind.WORKER_REFUSED)
        return self.call(
            lambda: result.Success(_workers.SlotLease('lease', slots))
        )

    def renew_lease(self, address, lease_id, ttl):
        return result.Success(None)

    def release_lease(self, address, lease_id):
        pass

    def run_task(self, address, lease_id, task):
        worker = self._find_reachable(address)
        if worker is None:
            return fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE)

        def action():
            worker.tasks.setdefault(task.key, []).append(task.job)
            return result.Success(_workers.TaskResult(True, 200))

        return self.call(action, 'run')

    def find_task(self, address, key):
        worker = self._find_reachable(address)
        if worker is None:
            return fakes.fail(_errors.ErrorKind.WORKER_UNREACHABLE)
        known = {'end': 1.0} if key in worker.tasks else None
        return result.Success(known)

    def control_task(self, address, key, action):
        return result.Success(None)

    # Platform
    def list(self, zone):
        if self.zone in self.world.cut_off_zones:
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        listed = self.world.listed.get(zone, ())
        as_of = self.world.clock.now() - self.world.list_lag
        return result.Success(_instances.InstanceList(tuple(listed), as_of))

    def reboot(self, name, operation_id):
        if self.zone in self.world.cut_off_zones:
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)

        def action():
            if (name, operation_id) not in self.world.reboots:
                self.world.reboots[name, operation_id] = 'done'
                worker = self.world.get_worker(name)
                if self.world.pending_reboots is None:
                    worker.reboot()
                    worker.is_up = False
                else:
                    self.world.pending_reboots.append(worker)
            return result.Success(_instances.Operation(operation_id, 'done'))

        return self.call(action)


class FakeController:
    """A controller of a zone that runs one cycle for each step."""

    def __init__(self, world, name='c1', zone='z1', seed=1):
        self.world = world
        clock = world.clock
        self.calls = _Calls(world, zone)
        self.fleet = _fleet.Fleet()
        self.journal = _journal.Journal(
            self.calls, self.fleet, clock, name, random.Random(seed)
        )
        self.leases = _leases.ShardLeases(self.calls, clock, zone, name, seed)
        self.explanations = _explanations.Explanations()
        self.dependencies = _steps.Dependencies(
            self.journal,
            self.fleet,
            self.leases,
            self.calls,
            self.calls,
            clock,
            self.explanations,
            zone,
        )
        self.worker_monitor = _observations.WorkerMonitor(clock)
        self.demand = _observations.DemandTracker(clock)
        self.metrics = _controller_metrics.ControllerMetrics(
            prometheus_client.CollectorRegistry()
        )
        self.batch = _batch.BatchRunner(
            self.dependencies,
            _runs.RunTable(self.calls),
            self.metrics,
            f'{name}/{seed}',
            lambda action, *rest: (
                action(*rest) if action != self.batch._renew_lease else None
            ),
        )
        self.reconciler = _reconciler.Reconciler(
            self.dependencies,
            self.journal,
            self.worker_monitor,
            self.demand,
            self.metrics,
            self.batch,
        )

    def take_leases(self):
        for _ in range(_leases.SHARDS):
            self.leases.renew()
        assert self.leases.holds(0)
        return self

    def step(self, count=1, seconds=1):
        for _ in range(count):
            self.leases.renew()
            self.reconciler.step()
            self.world.clock.advance(seconds)

    def finish(self, limit=60):
        """Run cycles until every instance serves under its fence.

        Raises AssertionError after the limit of cycles.
        """
        for _ in range(limit):
            self.world.finish_reboots()
            self.step()
            if is_settled(self.world):
                return
        raise AssertionError(self.world.read_instances())

    def call(self, operate, *arguments):
        """Commit a request as the resource API does."""
        return self.journal.transact(
            lambda fleet: operate(fleet, *arguments, self.world.clock.now())
        )

    def drain(self, name, operation_id='op-1', then='reboot'):
        return self.call(
            lambda fleet, now: _transitions.begin_stop(
                fleet, name, operation_id, 'test', now, then
            )
        )

    def move(self, name, pool):
        return self.call(
            lambda fleet, now: _transitions.begin_move(
                fleet, name, pool, 'test', now
            )
        )


def is_settled(world):
    instances = world.read_instances().values()
    return all(
        i.phase is Phase.SERVING
        and world.workers[i.address].fence == (i.epoch, i.pool)
        for i in instances
    )


def build_world(documents=None):
    """Return a world with declared resources and a worker per instance."""
    world = World()
    documents = documents or apis.declare_small_fleet()
    for document in documents:
        if document['kind'] == 'instance':
            port = int(document['spec']['address'].rpartition(':')[2])
            world.add_worker(port)
    api = apis.ApiHarness(world.table, 'api')
    status, answer = api.apply(*documents)
    assert status == 200, answer
    return world


def advance_clock(world, seconds):
    world.clock.elapsed += datetime.timedelta(seconds=seconds)
