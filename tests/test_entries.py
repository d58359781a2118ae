"""Tests of shard claims, isolation and the directory of an entry instance."""

import json

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _loop
from skylarktally.entries import _claims
from skylarktally.entries import _directory
from skylarktally.entries import _isolation
from skylarktally import platform
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from standins import rows
from tests import pools

CLAIMANT = _claims.Claimant('me', 'life-2', 0, cores=1.0)


def make_observed_term(
    holder='other', incarnation='x', released=False, seen=10.0
):
    term = _records.Term(holder, 'a:1', incarnation, 3, 7, released)
    return _directory.ObservedTerm(term, 42, pools.seconds(seen))


def find_vacancy(observed, read_at, gapless_since=0.0):
    times = (0.0, gapless_since, read_at)
    reads = _claims.ReadTimes(*map(pools.seconds, times))
    return _claims.find_vacancy(observed, CLAIMANT, reads)


@pytest.mark.parametrize(
    'observed, read_at, since',
    [
        (None, 1.0, 0.0),
        (make_observed_term(), 10.5, None),
        (make_observed_term(), 10 + 1.7, None),
        (make_observed_term(), 10 + 1.9, 11.8),
        (make_observed_term(released=True), 10.5, 10.0),
        (make_observed_term('me', 'life-1'), 10.5, 10.0),
        # Claimed by this process in a transaction whose answer was lost.
        (make_observed_term('me', 'life-2'), 11.0, None),
        (make_observed_term('me', 'life-2'), 20.0, 11.8),
    ],
)
def test_a_shard_is_vacant_without_a_live_holder(observed, read_at, since):
    """Guards against a claim while the holder may still send orders."""
    vacancy = find_vacancy(observed, read_at)
    found = None if vacancy is None else vacancy.since.total_seconds()
    assert found == since


def test_a_term_that_could_not_be_read_is_not_treated_as_expired():
    """Guards against claims just after a store outage that hid renewals.

    Terms that could not be renewed or read during the outage look expired.
    """
    observed = make_observed_term(seen=10)
    assert find_vacancy(observed, 20, gapless_since=19) is None
    vacancy = find_vacancy(observed, 21, gapless_since=19)
    assert vacancy is not None
    assert vacancy.since == pools.seconds(20.8)


def test_a_gap_between_reads_restarts_the_observation():
    fixture = DirectoryFixture()
    fixture.claim('a', 'one')
    fixture.directory.refresh_terms()
    for _ in range(3):
        fixture.clock.advance(1)
        fixture.directory.refresh_terms()
    assert fixture.directory.terms_gapless_since == pools.seconds(0)
    fixture.table.is_down = True
    fixture.clock.advance(1)
    assert not fixture.directory.refresh_terms()
    fixture.table.is_down = False
    fixture.clock.advance(1)
    fixture.directory.refresh_terms()
    assert fixture.directory.terms_gapless_since == pools.seconds(5)


@pytest.mark.parametrize('generation', [0, 1])
def test_entry_instances_with_fewer_shards_claim_first(generation):
    vacancy = _claims.Vacancy(pools.seconds(0), 1, generation)
    delays = [
        _claims.calculate_delay(
            CLAIMANT._replace(owned_shards=owned_shards), 'pool', vacancy
        )
        for owned_shards in range(4)
    ]
    assert delays == sorted(delays)
    assert len(set(delays)) == 4


SMALL, LARGE = 0.516, 2.15


@pytest.mark.parametrize('generation', [0, 1])
@pytest.mark.parametrize(
    'first, second',
    [
        # Cores and owned shards of the claimants.
        ((LARGE, 0), (SMALL, 0)),
        ((LARGE, 1), (SMALL, 0)),
        ((LARGE, 0), (LARGE, 1)),
        ((1.07, 0), (1.07, 1)),
        ((SMALL, 0), (SMALL, 1)),
        # Small ones share what large ones do not take.
        ((SMALL, 0), (LARGE, 9)),
    ],
)
def test_shards_go_to_the_capacity(first, second, generation):
    """Guards against a busy pool on a small instance beside idle large ones.

    Three owners on instances of half a core did 95 of 117 s of all work.
    """
    vacancy = _claims.Vacancy(pools.seconds(0), 1, generation)

    def delay(name, cores, owned_shards):
        claimant = _claims.Claimant(name, 'life', owned_shards, cores)
        return _claims.calculate_delay(claimant, 'pool', vacancy)

    names = [f'entry-{i}' for i in range(20)]
    mean_first = sum((delay(n, *first) for n in names), pools.seconds(0))
    mean_second = sum((delay(n, *second) for n in names), pools.seconds(0))
    assert mean_first < mean_second


@pytest.mark.parametrize('generation', [0, 1])
def test_small_instances_wait_longer_than_views_of_a_vacancy_differ(
    generation,
):
    """Guards against a small instance that claims since it looked first."""
    vacancy = _claims.Vacancy(pools.seconds(0), 1, generation)
    difference = pools.seconds(0.35)
    large = max(
        _claims.calculate_delay(
            _claims.Claimant(f'large-{i}', 'life', 0, LARGE), 'pool', vacancy
        )
        for i in range(20)
    )
    small = min(
        _claims.calculate_delay(
            _claims.Claimant(f'small-{i}', 'life', 0, SMALL), 'pool', vacancy
        )
        for i in range(20)
    )
    assert small > large + difference


@pytest.mark.parametrize(
    'share, speed, link, cores',
    [
        (0.717, 3, 200, 2.151),
        (0.516, 1, 1000, 0.516),
        # A thin link limits a fast processor.
        (0.717, 3, 15, 1.0),
        (0.717, 3, 5, 0.5),
        (0.12, 1, 1000, 0.5),
    ],
)
def test_the_capacity_is_the_tighter_limit(share, speed, link, cores):
    limits = _claims.Limits(share, speed, link)
    assert _claims.measure_capacity(limits) == pytest.approx(cores)


@pytest.mark.parametrize('share', [0.01, 0.12, 0.516])
def test_small_instances_alone_take_over_within_a_second(share):
    """Guards against a deployment of small instances that waits for none."""
    cores = _claims.measure_capacity(_claims.Limits(share, 1, 2))
    vacancy = _claims.Vacancy(pools.seconds(0), 1, 1)
    delays = [
        _claims.calculate_delay(
            _claims.Claimant(f'entry-{i}', 'life', 0, cores), 'pool', vacancy
        )
        for i in range(20)
    ]
    assert max(delays) <= pools.seconds(1)


@pytest.mark.parametrize(
    'age, reach_store, has_silent_peer, isolated',
    [
        # The store is silent for this entry instance only.
        (5, True, False, False),
        (5, True, True, False),
        # It is silent for all: this takes longer to tell from a slow store.
        (0.7, False, False, False),
        (1.3, False, False, True),
        # The network fails.
        (0.7, False, True, True),
        # A peer has ended, and the reads of the terms are 0.35 s apart.
        (0.5, False, True, False),
    ],
)
def test_an_entry_instance_is_isolated_if_no_peer_reaches_the_store(
    age, reach_store, has_silent_peer, isolated
):
    """Guards against callers that a cut zone keeps longer than it has to.

    The other way, a slow store must not make all entry instances unready.
    """
    reachability = _isolation.StoreReachability(pools.seconds(0))
    reachability.record_peer_answers(
        _isolation.PeerAnswers(reach_store, has_silent_peer)
    )
    now = pools.seconds(age)
    assert reachability.is_isolated(now) is isolated
    reachability.record_store_answer(now)
    assert not reachability.is_isolated(now + pools.seconds(5))


class DirectoryFixture:
    """A directory that reads an in-memory table, with a manual clock."""

    def __init__(self):
        self.clock = pools.ManualClock()
        self.table = rows.RowTable()
        self.directory = _directory.Directory(
            self.table, platform.PlatformLayout(), self.clock
        )

    def put(self, table, key, value, partition=''):
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.table.put(_rows.RowKey(table, partition, key), data)

    def claim(self, shard, holder):
        term = _records.Term(holder, f'{holder}:1', 'life', 1, 0)
        return _ledger.claim(self.table, self.clock, shard, term, 0)


def test_terms_of_all_shards_are_followed():
    fixture = DirectoryFixture()
    assert isinstance(fixture.claim('a', 'one'), result.Success)
    assert fixture.directory.refresh_terms()
    fixture.claim('b', 'two')
    fixture.clock.advance(1)
    assert fixture.directory.refresh_terms()
    addresses = [fixture.directory.find_address(shard) for shard in 'abc']
    assert addresses == ['one:1', 'two:1', None]
    assert fixture.directory.observed_terms['a'].seen_at == pools.seconds(0)
    assert fixture.directory.observed_terms['b'].seen_at == pools.seconds(1)


def test_waiting_requests_do_not_multiply_the_reads_of_the_terms():
    """Guards against reads by each request that waits for a new owner.

    They also waited for the store, which does not answer in a cut zone.
    """
    clock = _clock.SystemClock()
    table = rows.RowTable()
    directory = _directory.Directory(table, platform.PlatformLayout(), clock)
    reads = []
    directory.refresh_terms = lambda: reads.append(clock.monotonic())
    poll = _loop.spawn(directory._poll_terms)
    started_at = clock.monotonic()
    while clock.monotonic() - started_at < pools.seconds(0.3):
        for _ in range(100):
            directory.request_terms()
        _loop.sleep(0.01)
    poll.kill()
    # A new owner is found within the delay of a retry.
    assert 3 <= len(reads) <= 7


def test_a_damaged_term_does_not_affect_the_others():
    fixture = DirectoryFixture()
    fixture.claim('a', 'one')
    fixture.put('terms', 'term', b'\xff', partition='b')
    assert fixture.directory.refresh_terms()
    assert fixture.directory.find_address('a') == 'one:1'
    assert fixture.directory.find_address('b') is None


WORKER_ROW = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'mem_mb': 32768},
    'born': 1700000000000,
}


@pytest.mark.parametrize(
    'change',
    [
        {'capacity': None},
        {'capacity': 3},
        {'labels': 5},
        {'remaining_ms': 1e308},
        {'address': None},
        {'zone': None},
    ],
)
def test_a_malformed_row_of_a_worker_does_not_hide_later_rows(change):
    """Guards against a list of workers that is never read again.

    Some rows raised an error that ended the green thread of the table.
    """
    fixture = DirectoryFixture()
    fixture.directory = _directory.Directory(
        fixture.table, platform.PlatformLayout(), _clock.SystemClock()
    )
    fixture.directory.record_ownership(True)
    follow = fixture.table.follow

    def follow_slowly(table, after, wait):
        _loop.sleep(wait.total_seconds())
        return follow(table, after, wait)

    fixture.table.follow = follow_slowly
    fixture.put('servers', 'i-1', {**WORKER_ROW, **change})
    fixture.directory.start()
    _loop.sleep(0.1)
    fixture.put('servers', 'i-2', WORKER_ROW)
    with _loop.Timeout(2):
        while 'i-2' not in fixture.directory.workers:
            _loop.sleep(0.02)
    assert list(fixture.directory.workers) == ['i-2']


def test_an_entry_instance_without_pools_reads_workers_less_often():
    """Guards against store load that grows with idle entry instances.

    In a deployment of 97 entry instances most bytes read were heartbeats, by
    those that owned no pool.
    """
    fixture = DirectoryFixture()
    fixture.directory = _directory.Directory(
        fixture.table, platform.PlatformLayout(), _clock.SystemClock()
    )
    reads = []
    follow, read = fixture.table.follow, fixture.table.read

    def count(table, after, wait):
        reads.append(table)
        if wait:
            _loop.sleep(wait.total_seconds())
        return follow(table, after, wait)

    def count_complete(table, partition):
        reads.append(table)
        return read(table, partition)

    fixture.table.follow = count
    fixture.table.read = count_complete
    fixture.directory.start()
    _loop.sleep(3)
    assert reads.count('servers') == 1
    fixture.directory.record_ownership(True)
    _loop.sleep(0.05)
    # A new owner reads the workers at once.
    assert reads.count('servers') == 2
    _loop.sleep(1)
    assert reads.count('servers') >= 4


def test_a_new_owner_waits_for_workers_as_new_as_its_term():
    """Guards against starts on a worker that drains or has left.

    Without pools, an entry instance knows workers as they were long ago.
    """
    clock = _clock.SystemClock()
    fixture = DirectoryFixture()
    directory = _directory.Directory(
        fixture.table, platform.PlatformLayout(), clock
    )
    fixture.put('servers', 'i-1', WORKER_ROW)
    fixture.put('servers', 'i-2', WORKER_ROW)
    directory.start()
    _loop.sleep(0.05)
    assert sorted(directory.workers) == ['i-1', 'i-2']
    fixture.put('servers', 'i-1', {**WORKER_ROW, 'state': 'draining'})
    fixture.table.rows.pop(_rows.RowKey('servers', '', 'i-2'))
    _loop.sleep(0.05)
    assert not directory.workers['i-1'].is_draining
    claimed_at = clock.monotonic()
    fixture.table.is_down = True
    directory.record_ownership(True)
    with _loop.Timeout(0.3, False):
        directory.await_workers(claimed_at, lambda: False)
        raise AssertionError('a list from before the claim was used')
    fixture.table.is_down = False
    with _loop.Timeout(2):
        directory.await_workers(claimed_at, lambda: False)
    assert list(directory.workers) == ['i-1']
    assert directory.workers['i-1'].is_draining
    # The end of the term ends the wait.
    directory.await_workers(clock.monotonic() + pools.seconds(9), lambda: True)


def test_the_workers_of_a_pool_follow_the_table():
    """Guards against a list by pool that differs from the table."""
    fixture = DirectoryFixture()
    directory = fixture.directory
    for key, pool in (('i-1', 'pool'), ('i-2', 'pool'), ('i-1', 'other')):
        fixture.put('servers', key, {**WORKER_ROW, 'service': pool})
        row = fixture.table.rows[_rows.RowKey('servers', '', key)]
        directory.worker_list.apply(row)
    assert list(directory.worker_list.list_pool('pool')) == ['i-2']
    assert list(directory.worker_list.list_pool('other')) == ['i-1']
    directory.worker_list.retain(frozenset())
    assert not directory.worker_list.list_pool('pool')
    assert not directory.workers
