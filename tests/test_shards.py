"""Tests of shard claims: concurrent, and none after a stop."""

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _loop
from skylarktally.entries import _claims
from skylarktally.entries import _directory
from skylarktally.entries import _shards
from skylarktally import platform
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _records
from skylarktally.scheduling import _work
from standins import leased_workers
from standins import rows
from tests import pools

POOLS = ('a', 'b', 'c', 'd')
# In seconds; five sequential claims would take longer than the test allows.
LATENCY = 0.4


class Instances:
    """A platform without instances."""

    def list_instances(self):
        return result.Success(())


class Requests:
    """Stand-in for the owners of pools; they do not answer."""

    def vacate(self, pool, worker):
        return False

    def measure(self, pool, lendable_millicores):
        return None


class EntryInstance:
    """The shards of one entry instance, over a table that answers late."""

    def __init__(self):
        self.clock = _clock.SystemClock()
        self.table = rows.RowTable()
        commit = self.table.commit

        def commit_late(transaction):
            _loop.sleep(LATENCY)
            return commit(transaction)

        self.table.commit = commit_late
        layout = platform.PlatformLayout()
        self.directory = _directory.Directory(self.table, layout, self.clock)
        self.directory.operator_rows.configuration = _work.Configuration(
            1, (), tuple(_work.Pool(name, False) for name in POOLS), 1000
        )
        self.directory.worker_list.known_since = self.clock.monotonic()
        self.shards = _shards.ShardManager(
            _shards.Identity('me', 'me:1', 'life'),
            _shards.PlatformClients(
                self.table,
                leased_workers.WorkerFleet(self.clock),
                Instances(),
                layout,
                platform.decode_job,
                None,
            ),
            self.directory,
            Requests(),
            self.clock,
        )

    def claim_until(self, check):
        with _loop.Timeout(3):
            while not check():
                self.directory.refresh_terms()
                self.shards.claim_vacant()
                _loop.sleep(0.01)

    def find_term(self, shard):
        row = self.table.rows.get(_records.make_term_key(shard))
        return row and _records.decode_term(row.value)


@pytest.fixture
def entry_instance():
    entry_instance = EntryInstance()
    # Released terms are taken over sooner than shards that were never owned.
    for shard in ('', *POOLS):
        term = _records.Term('gone', 'gone:1', 'life', 1, 0, is_released=True)
        value = _records.encode_term(term)
        entry_instance.table.put(_records.make_term_key(shard), value)
    yield entry_instance
    for ledger in entry_instance.shards.list_ledgers():
        ledger.end()
    _loop.sleep(0)


def test_shards_are_claimed_concurrently(entry_instance):
    """Guards against sequential claims.

    With a slow store, each pool waited for the claims of the others.
    """
    started_at = entry_instance.clock.monotonic()
    entry_instance.claim_until(
        lambda: len(entry_instance.shards.list_ledgers()) == 5
    )
    elapsed = entry_instance.clock.monotonic() - started_at
    # The last one is claimed after a delay of up to 0.5 s.
    assert elapsed < pools.seconds(0.5 + 3 * LATENCY)


def test_a_claim_that_succeeds_after_the_stop_is_released(entry_instance):
    """Guards against a claim in progress that survives a stop.

    The pool started in a process that was about to end.
    """
    claiming = _loop.spawn(
        entry_instance.claim_until,
        lambda: entry_instance.shards._claiming != set(),
    )
    claiming.wait()
    assert entry_instance.shards.release_all() == []
    _loop.sleep(4 * LATENCY)
    assert entry_instance.shards.list_ledgers() == []
    terms = [entry_instance.find_term(shard) for shard in ('', *POOLS)]
    assert any(term.generation == 2 for term in terms)
    assert all(term.is_released for term in terms)


def test_nothing_is_claimed_after_the_stop(entry_instance):
    entry_instance.shards.release_all()
    for _ in range(30):
        entry_instance.directory.refresh_terms()
        entry_instance.shards.claim_vacant()
        _loop.sleep(0.02)
    assert all(
        entry_instance.find_term(shard).generation == 1 for shard in POOLS
    )


def test_a_slow_start_does_not_claim_all_shards_at_once():
    """Guards against one entry instance that owns several busy pools.

    The delays of all claims had passed before it could claim the first one.
    """
    entry_instance = EntryInstance()
    _loop.sleep(1.5)
    entry_instance.directory.refresh_terms()
    entry_instance.shards.claim_vacant()
    assert entry_instance.shards._claiming == set()
    entry_instance.claim_until(
        lambda: entry_instance.shards._claiming != set()
    )
    assert len(entry_instance.shards._claiming) == 1


def test_an_expired_term_is_read_when_it_expires(entry_instance):
    """Guards against pools without an owner until the next interval of reads.

    The last read was just before the expiry. Reads are up to 0.35 s apart.
    """
    clock = entry_instance.clock
    for shard in ('', *POOLS):
        term = _records.Term('gone', 'gone:1', 'life', 1, 1)
        value = _records.encode_term(term)
        entry_instance.table.put(_records.make_term_key(shard), value)
    entry_instance.directory.refresh_terms()
    expired_at = clock.monotonic() + _ledger.TERM_EXPIRY
    while clock.monotonic() < expired_at - pools.seconds(0.1):
        entry_instance.directory.refresh_terms()
        _loop.sleep(0.05)
    assert entry_instance.shards._claiming == set()
    while clock.monotonic() < expired_at + pools.seconds(0.2):
        entry_instance.shards.claim_vacant()
        assert not entry_instance.shards._claiming or (
            clock.monotonic() >= expired_at
        )
        _loop.sleep(0.02)
    assert entry_instance.shards._claiming


def test_a_store_that_does_not_answer_is_not_read_more_often():
    """Guards against more reads by all entry instances in an outage."""
    reads = _claims.ReadTimes(*map(pools.seconds, (0, 0, 10)))
    term = _records.Term('gone', 'gone:1', 'life', 1, 1)
    observed = _directory.ObservedTerm(term, 1, pools.seconds(8.5))
    due = [
        _claims.is_read_due(observed, reads, pools.seconds(10 + age))
        for age in (0.2, 0.4, 0.8, 5)
    ]
    assert due == [False, True, False, False]
