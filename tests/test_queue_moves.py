"""Tests a queue that is configured to use another pool than before."""

import json

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _dispatcher
from skylarktally import platform
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _queue_pools
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _takeover
from skylarktally.scheduling import _work
from standins import leased_workers
from standins import rows
from tests import owners
from tests import pools
from tests import test_dispatcher

Kind = _errors.ErrorKind
JOB = '5c0e7a21d94b36f8'
TIMEOUT = pools.seconds(1)
OLD, NEW, OTHER = 'old', 'new', 'other'
BODY = json.dumps(
    {'task_spec': 's', 'steps': [{'task_count': 2, 'estimate_ms': 9000}]}
).encode()
# A job that no worker has room for.
LARGE = json.dumps({'steps': [{'task_count': 1, 'mem_mb': 60000}]}).encode()


class Directory(test_dispatcher.Directory):
    """A directory in which each pool has an owner at an address of its name.

    Entry instances read a configuration at different times.
    """

    def __init__(self, site):
        super().__init__()
        self.site = site
        self.configure(1, OLD)

    def configure(self, version, pool, **fields):
        """Read a configuration that sends the queue to a pool."""
        self.configuration = _work.Configuration(
            version,
            (pools.make_queue()._replace(pool=pool, **fields),),
            tuple(_work.Pool(name, False) for name in (OLD, NEW, OTHER)),
            100000,
        )

    def find_address(self, pool):
        return pool if pool in self.site.owners else None


class Entry:
    """An entry instance, which owns at most one pool."""

    def __init__(self, site, pool=None):
        self.site = site
        self.pool = pool
        self.directory = Directory(site)
        self.dispatcher = _dispatcher.JobDispatcher(
            self,
            self.directory,
            site,
            test_dispatcher.Connected(),
            site.clock,
        )

    def find_owner(self, pool):
        return self.site.owners.get(pool) if pool == self.pool else None

    @property
    def queue(self):
        return self.directory.configuration.queues[0]

    def submit(self, job=JOB, body=BODY):
        """Submit a job; None if it is accepted, or the kind of failure."""
        found = self.dispatcher.submit(self.queue, job, body, TIMEOUT)
        if isinstance(found, result.Success):
            return None
        return found.failure().kind


class Site:
    """Three pools with a worker each, and an entry instance for each."""

    def __init__(self):
        self.clock = _clock.SystemClock()
        self.table = rows.RowTable()
        self.fleet = leased_workers.WorkerFleet(self.clock, long_polls=True)
        self.owners = {}
        self.ended = []
        self.inquiries = []
        # Pools whose owner does not answer other entry instances.
        self.silent = set()
        self.entries = {}
        for pool in (OLD, NEW, OTHER):
            self.fleet.add(pools.make_worker(f'w-{pool}', pool=pool))
            self.entries[pool] = Entry(self, pool)
            self.start_owner(pool)

    def start_owner(self, pool):
        """Start the next owner of a pool, and wait until it is ready."""
        former = self.owners.get(pool)
        if former is not None:
            former.ledger.end()
            self.ended.append(former)
        key = _records.make_term_key(pool)
        row = self.table.rows.get(key)
        generation = 1
        if row is not None:
            generation = _records.decode_term(row.value).generation + 1
        term = _records.Term('me', 'me:1', 'life', generation, 0)
        ledger = _ledger.claim(
            self.table, self.clock, pool, term, row.version if row else 0
        ).unwrap()
        owner = _owner.PoolOwner(
            ledger, self.table, self.fleet, self.clock, platform.decode_job
        )
        self.owners[pool] = owner
        worker = f'w-{pool}'
        _loop.spawn(
            owner.run,
            {},
            lambda: {worker: self.fleet.workers[worker].record},
            _takeover.TakeoverState({}, {}),
        )
        owners.wait_until(lambda: owner.is_ready)

    def handle(self, address, call):
        """Deliver a call of an entry instance to another one."""
        self.inquiries.append((call.operation, address))
        if address in self.silent:
            failure = _errors.Failure(Kind.OUTCOME_UNKNOWN, 'no answer')
            return result.Failure(failure)
        return result.Success(self.entries[address].dispatcher.handle(call))

    def move(self, version, pool, **fields):
        """Send the queue to a pool, as all entry instances read it."""
        for entry in self.entries.values():
            entry.directory.configure(version, pool, **fields)

    def list_starts(self):
        return [
            (id_, *start)
            for id_, worker in self.fleet.workers.items()
            for start in worker.starts
        ]

    def await_starts(self):
        owners.wait_until(lambda: len(self.list_starts()) == 2)
        return self.list_starts()

    def complete(self):
        """End all runs, and wait until the job is shown as completed."""
        for worker in self.fleet.workers.values():
            for task in list(worker.active):
                worker.end(task, _work.EndKind.DONE)
        owners.wait_until(
            lambda: (
                self.owners[OLD].show(JOB)
                == result.Success(_work.JobState.COMPLETED)
            )
        )


@pytest.fixture
def site():
    site = Site()
    yield site
    for owner in [*site.owners.values(), *site.ended]:
        owner.ledger.end()
    _loop.sleep(0)


@pytest.mark.parametrize('is_done', [False, True])
@pytest.mark.parametrize('successor', [None, OLD, NEW])
@pytest.mark.parametrize('fields', [{}, {'name': 'renamed'}])
def test_a_job_that_comes_again_after_its_queue_has_moved_runs_once(
    site, is_done, successor, fields
):
    """Guards against a second run in the new pool of the queue (TWICE).

    review/4: the new pool did not know the job and accepted it once more.
    """
    assert site.entries[OTHER].submit() is None
    before = site.await_starts()
    if is_done:
        site.complete()
    site.move(2, NEW, **fields)
    if successor:
        site.start_owner(successor)
    assert site.entries[OTHER].submit() is None
    _loop.sleep(0.4)
    assert site.list_starts() == before


def test_a_new_job_runs_in_the_new_pool_after_a_move(site):
    """Guards against a move that keeps new jobs out (LOST, CONFIG)."""
    site.entries[OTHER].submit('0' * 16)
    site.await_starts()
    site.move(2, NEW)
    assert site.entries[OTHER].submit() is None
    owners.wait_until(lambda: len(site.list_starts()) == 4)
    assert {start[0] for start in site.list_starts()} == {'w-old', 'w-new'}
    assert JOB in site.owners[NEW].pool_state.jobs


def test_a_job_runs_once_when_its_queue_goes_and_comes_back(site):
    """Guards against an owner that trusts what it read before a move."""
    site.entries[OTHER].submit('0' * 16)
    site.await_starts()
    site.move(2, NEW)
    assert site.entries[OTHER].submit() is None
    owners.wait_until(lambda: len(site.list_starts()) == 4)
    site.move(3, OLD)
    assert site.entries[OTHER].submit() is None
    _loop.sleep(0.4)
    assert len(site.list_starts()) == 4


def test_a_former_pool_accepts_nothing_by_an_older_configuration(site):
    """Guards against two pools that accept one job at the same time.

    The former pool and the caller's entry instance read the change late.
    """
    site.entries[OLD].submit('0' * 16)
    site.await_starts()
    site.entries[NEW].directory.configure(2, NEW)
    assert site.entries[NEW].submit() is None
    owners.wait_until(lambda: len(site.list_starts()) == 4)
    assert site.entries[OLD].submit() is Kind.LEASE_LOST
    assert site.entries[OTHER].submit() is Kind.LEASE_LOST
    _loop.sleep(0.4)
    assert len(site.list_starts()) == 4


@pytest.mark.parametrize('successor', [False, True])
def test_an_older_configuration_takes_no_queue_back(site, successor):
    """Guards against an owner that starts with an old configuration."""
    site.entries[NEW].directory.configure(2, NEW)
    assert site.entries[NEW].submit() is None
    site.await_starts()
    if successor:
        site.start_owner(OLD)
    assert site.entries[OLD].submit() is Kind.LEASE_LOST
    _loop.sleep(0.4)
    assert len(site.list_starts()) == 2


def test_a_job_that_is_being_stored_in_the_former_pool_is_waited_for(site):
    """Guards against a job that two pools accept at the same time (TWICE).

    The former pool had sent the row of the job, but the store was slow.
    """
    site.entries[OLD].submit('0' * 16)
    site.await_starts()
    commit = site.table.commit

    def commit_late(transaction):
        if any(key[:2] == ('jobs', OLD) for key, _ in transaction.puts):
            _loop.sleep(0.5)
        return commit(transaction)

    site.table.commit = commit_late
    first = _loop.spawn(site.entries[OLD].submit)
    _loop.sleep(0.1)
    site.move(2, NEW)
    assert site.entries[NEW].submit() is None
    assert first.wait() is None
    _loop.sleep(0.4)
    assert JOB not in site.owners[NEW].pool_state.jobs
    assert len(site.list_starts()) == 4


def test_a_job_is_not_accepted_while_a_former_pool_is_silent(site):
    """Guards against accepting a job that the former pool may have."""
    site.entries[OTHER].submit('0' * 16)
    site.await_starts()
    site.move(2, NEW)
    site.silent.add(OLD)
    assert site.entries[OTHER].submit() is Kind.OUTCOME_UNKNOWN
    assert JOB not in site.owners[NEW].pool_state.jobs
    site.silent.clear()
    assert site.entries[OTHER].submit() is None


def test_waiting_jobs_are_counted_in_the_former_pool_too(site):
    """Guards against a count without the jobs of a former pool (MIXED)."""
    # Only one of them has room.
    for number in range(3):
        site.entries[OTHER].submit(f'{number:016x}', LARGE)
    entry = site.entries[OTHER]

    def count():
        return entry.dispatcher.count(entry.queue, TIMEOUT).unwrap()

    owners.wait_until(lambda: count() == 2)
    site.move(2, NEW)
    assert entry.submit('f' * 16, LARGE) is None
    owners.wait_until(lambda: count() == 2)
    assert entry.submit('e' * 16, LARGE) is None
    owners.wait_until(lambda: count() == 3)


def test_a_job_cancelled_in_the_former_pool_stays_cancelled(site):
    """Guards against a cancelled job that runs in the new pool (UNASKED)."""
    entry = site.entries[OTHER]
    entry.submit()
    before = site.await_starts()
    site.move(2, NEW)
    cancelled = entry.dispatcher.cancel(entry.queue, JOB, TIMEOUT)
    assert cancelled == result.Success(_work.JobState.CANCELLED)
    assert entry.submit() is None
    _loop.sleep(0.4)
    assert site.list_starts() == before
    shown = entry.dispatcher.show(entry.queue, JOB, TIMEOUT)
    assert shown == result.Success(_work.JobState.CANCELLED)


def test_a_queue_that_never_moved_costs_no_calls(site):
    """Guards against inquiries with every job."""
    for number in range(3):
        assert site.entries[OLD].submit(f'{number:016x}') is None
    assert site.inquiries == []


class TestRegistry:
    """Which pools a registry names, and what it writes."""

    QUEUE = pools.make_queue()
    KEY = _rows.RowKey(
        _records.QUEUES, _records.QUEUES, _queue_pools.make_queue_id(QUEUE)
    )
    POOLS = ('a', 'b', 'c')

    @pytest.fixture
    def table(self):
        return rows.RowTable()

    @pytest.fixture
    def clock(self):
        return pools.ManualClock()

    def make(self, table, clock, pool):
        return _queue_pools.QueueRegistry(table, clock, pool)

    def claim(self, registry, version):
        return registry.claim(self.QUEUE, version, self.POOLS)

    def test_it_names_all_pools_that_have_accepted_jobs(self, table, clock):
        for version, pool in enumerate('aba', 1):
            registry = self.make(table, clock, pool)
            others = self.claim(registry, version).unwrap()
            assert others == tuple('ab'.replace(pool, ''))[: version - 1]
        row = _records.decode_queue_pools(table.rows[self.KEY].value)
        assert row == (3, ('b', 'a'))

    @pytest.mark.parametrize(
        'fault, is_claimed',
        [
            (rows.Fault.REFUSE, False),
            (rows.Fault.DROP_REQUEST, False),
            (rows.Fault.LOSE_RESPONSE, True),
        ],
    )
    def test_it_reads_the_row_again_after_a_lost_answer(
        self, table, clock, fault, is_claimed
    ):
        """Guards against a pool that is not listed or listed twice."""
        self.claim(self.make(table, clock, 'a'), 1)
        registry = self.make(table, clock, 'b')
        table.faults = [fault]
        failure = self.claim(registry, 2).failure()
        assert failure.kind is Kind.LEASE_LOST
        commits = table.commits
        assert self.claim(registry, 2).unwrap() == ('a',)
        assert (table.commits == commits) is is_claimed
        row = _records.decode_queue_pools(table.rows[self.KEY].value)
        assert row == (2, ('a', 'b'))

    def test_two_owners_that_claim_at_once_are_both_listed(self, table, clock):
        """Guards against a write over the claim of another owner."""
        first = self.make(table, clock, 'a')
        second = self.make(table, clock, 'b')
        first.load()
        second.load()
        assert self.claim(first, 1).unwrap() == ()
        assert self.claim(second, 2).unwrap() == ('a',)

    @pytest.mark.parametrize('value', [b'', b'[1,[]]', b'[1,[7]]', b'{"a":'])
    def test_any_pool_may_hold_jobs_of_a_queue_with_a_damaged_row(
        self, table, clock, value
    ):
        """Guards against a damaged row that hides a former pool (TWICE)."""
        table.put(self.KEY, value)
        registry = self.make(table, clock, 'a')
        assert self.claim(registry, 1).unwrap() == ('b', 'c')
        row = _records.decode_queue_pools(table.rows[self.KEY].value)
        assert row == (1, ('b', 'c', 'a'))

    @pytest.mark.parametrize(
        'seconds, expected', [(0, ('a',)), (130, ('a',)), (151, ())]
    )
    def test_former_pools_are_asked_for_some_time(
        self, table, clock, seconds, expected
    ):
        """Guards against inquiries for good, and against too few."""
        self.claim(self.make(table, clock, 'a'), 1)
        registry = self.make(table, clock, 'b')
        self.claim(registry, 2)
        clock.advance(seconds)
        assert self.claim(registry, 2).unwrap() == expected
