"""Guards claims of shards, isolation, waves and what entries know."""

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

CLAIMANT = _claims.Claimant('me', 'life-2', 0)


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
        # Claimed by a transaction whose answer was lost.
        (make_observed_term('me', 'life-2'), 11.0, None),
        (make_observed_term('me', 'life-2'), 20.0, 11.8),
    ],
)
def test_a_shard_is_vacant_without_a_live_holder(observed, read_at, since):
    """Guards against a claim while the holder may still give orders."""
    vacancy = find_vacancy(observed, read_at)
    found = None if vacancy is None else vacancy.since.total_seconds()
    assert found == since


def test_a_term_that_could_not_be_read_lately_is_not_taken_for_expired():
    """Guards against claims after an outage that hid the renewals."""
    observed = make_observed_term(seen=10)
    assert find_vacancy(observed, 20, gapless_since=19) is None
    vacancy = find_vacancy(observed, 21, gapless_since=19)
    assert vacancy is not None
    assert vacancy.since == pools.seconds(20.8)


def test_a_gap_in_the_reads_begins_a_new_watch():
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
def test_entries_that_own_less_claim_first(generation):
    vacancy = _claims.Vacancy(pools.seconds(0), 1, generation)
    delays = [
        _claims.calculate_delay(
            CLAIMANT._replace(owned_shards=owned_shards), 'pool', vacancy
        )
        for owned_shards in range(4)
    ]
    assert delays == sorted(delays)
    assert len(set(delays)) == 4


def test_an_entry_is_cut_off_when_nobody_it_reaches_has_the_store():
    reachability = _isolation.StoreReachability(pools.seconds(0))
    now = pools.seconds(2)
    reachability.record_peer_answer(reaches_store=True)
    assert reachability.is_store_silent(now)
    # The store is away for this entry, but not for others.
    assert not reachability.is_cut_off(now)
    reachability.record_peer_answer(reaches_store=False)
    assert reachability.is_cut_off(now)
    reachability.record_store_answer(now)
    assert not reachability.is_cut_off(now)


class DirectoryFixture:
    """A directory over the stand-in of the table."""

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


def test_a_damaged_term_leaves_the_others_alone():
    fixture = DirectoryFixture()
    fixture.claim('a', 'one')
    fixture.put('terms', 'term', b'\xff', partition='b')
    assert fixture.directory.refresh_terms()
    assert fixture.directory.find_address('a') == 'one:1'
    assert fixture.directory.find_address('b') is None


def test_an_entry_without_pools_reads_less_often():
    """Guards a store whose load grows with the number of entries.

    Of the reads of a deployment of 30 entries most were of entries that
    own nothing.
    """
    fixture = DirectoryFixture()
    fixture.directory = _directory.Directory(
        fixture.table, platform.PlatformLayout(), _clock.SystemClock()
    )
    reads = []
    follow = fixture.table.follow

    def count(table, after, wait):
        reads.append(table)
        if wait:
            _loop.sleep(wait.total_seconds())
        return follow(table, after, wait)

    fixture.table.follow = count
    fixture.directory.start()
    _loop.sleep(1.5)
    assert reads.count('servers') <= 1
    fixture.directory.record_ownership(True)
    _loop.sleep(0.05)
    first_reads = reads.count('servers')
    # What a new owner needs is read at once.
    assert first_reads >= 1
    _loop.sleep(1)
    assert reads.count('servers') >= first_reads + 2
