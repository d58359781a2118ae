"""Tests conditional writes of a term's holder, with lost answers."""

import pytest
from returns import result

from skylarktally import _loop
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from standins import rows as standin
from tests import pools

WriteOutcome = _ledger.WriteOutcome
Fault = standin.Fault

SHARD = 'pool'
TERM = _records.Term('a', 'a:1', 'life', 1, 0)


class ChangeSource:
    """A source with a list of pending changes."""

    def __init__(self):
        self.puts = []
        self.applied = 0
        self.workers = ()

    def take_changes(self, limit, max_bytes):
        taken, self.puts = self.puts[:limit], self.puts[limit:]
        return _ledger.Changes(taken, [], self.note_applied, not self.puts)

    def note_applied(self):
        self.applied += 1

    def list_lease_holders(self):
        return self.workers

    def list_unreachable(self):
        return ()

    def confirm_holders(self, workers):
        self.recorded = workers


class Shard:
    """A shard with a claimed term."""

    def __init__(self):
        self.clock = pools.ManualClock()
        self.table = standin.RowTable()
        self.source = ChangeSource()
        self.ledger = self.claim(TERM, 0)
        self.ledger.set_source(self.source)

    def claim(self, term, version):
        claimed = _ledger.claim(self.table, self.clock, SHARD, term, version)
        assert isinstance(claimed, result.Success)
        return claimed.unwrap()

    def find_version(self):
        return self.table.rows[_records.make_term_key(SHARD)].version

    def write(self, key, value=b'1', outcomes=None):
        """Start a write that ``ledger.commit`` commits."""
        put = make_key(key), value
        thread = _loop.spawn(
            self.ledger.write,
            [put],
            pools.seconds(60),
            (outcomes if outcomes is not None else []).append,
        )
        _loop.sleep(0)
        return thread


def make_key(key):
    return _rows.RowKey('jobs', SHARD, key)


@pytest.fixture
def shard():
    return Shard()


def test_writes_and_progress_share_one_transaction(shard):
    shard.source.puts = [(make_key('p'), b'progress')]
    threads = [shard.write(key) for key in 'ab']
    before = shard.table.commits
    shard.ledger.commit()
    assert [thread.wait() for thread in threads] == [WriteOutcome.APPLIED] * 2
    assert shard.table.commits == before + 1
    assert {'a', 'b', 'p'} <= {key.key for key in shard.table.rows}
    assert shard.source.applied == 1


@pytest.mark.parametrize(
    'faults',
    [
        [Fault.LOSE_RESPONSE],
        [Fault.DROP_REQUEST],
        [Fault.REFUSE],
        [Fault.LOSE_RESPONSE, Fault.DROP_REQUEST, Fault.REFUSE],
        [Fault.DELAY, Fault.LOSE_RESPONSE],
    ],
)
def test_a_write_is_applied_once_despite_lost_answers(shard, faults):
    shard.table.faults = list(faults)
    thread = shard.write('a')
    shard.ledger.commit()
    assert thread.wait() is WriteOutcome.APPLIED
    written = [
        row for row in shard.table.follow('jobs', 0, None).unwrap().rows
    ]
    assert [row.row_key.key for row in written] == ['a']
    assert not shard.ledger.is_over


def test_a_duplicate_that_is_applied_later_changes_nothing(shard):
    """Guards against a delayed duplicate overwriting a newer value."""
    shard.table.faults = [Fault.DELAY]
    thread = shard.write('a', b'old')
    shard.ledger.commit()
    assert thread.wait() is WriteOutcome.APPLIED
    newer = shard.write('a', b'new')
    shard.ledger.commit()
    assert newer.wait() is WriteOutcome.APPLIED
    assert not shard.table.deliver().is_applied
    assert shard.table.rows[make_key('a')].value == b'new'


def test_a_former_holder_cannot_write(shard):
    successor = shard.claim(
        TERM._replace(holder='b', generation=2), shard.find_version()
    )
    assert successor.token > shard.ledger.token
    thread = shard.write('a')
    shard.ledger.commit()
    assert thread.wait() is WriteOutcome.UNKNOWN
    assert shard.ledger.is_over
    assert make_key('a') not in shard.table.rows


def test_only_one_of_two_claims_succeeds(shard):
    version = shard.find_version()
    first = shard.claim(TERM._replace(holder='b', generation=2), version)
    second = shard.claim(TERM._replace(holder='c', generation=2), version)
    assert first is not None
    assert second is None


def test_orders_end_before_others_may_claim(shard):
    """Guards against two holders that send orders at the same time."""
    assert _ledger.TERM_VALIDITY < _ledger.TERM_EXPIRY
    shard.clock.advance(_ledger.TERM_VALIDITY.total_seconds() - 0.1)
    assert shard.ledger.holds_term()
    shard.clock.advance(0.1)
    assert not shard.ledger.holds_term()
    shard.ledger.commit()
    assert shard.ledger.holds_term()


def test_a_slow_transaction_renews_from_its_start(shard):
    commit = shard.table.commit

    def commit_slowly(transaction):
        outcome = commit(transaction)
        shard.clock.advance(2)
        return outcome

    shard.table.commit = commit_slowly
    shard.ledger.commit()
    assert not shard.ledger.holds_term()


def test_a_lost_answer_renews_from_the_first_attempt(shard):
    """Guards against orders after another entry instance may claim (TWICE).

    The first attempt was applied. Others saw its row, and their wait for the
    expiry of the term began then, not with the attempt that was answered.
    """
    commit = shard.table.commit

    def commit_slowly(transaction):
        outcome = commit(transaction)
        shard.clock.advance(0.8)
        return outcome

    shard.table.commit = commit_slowly
    shard.table.faults = [Fault.LOSE_RESPONSE]
    applied_at = shard.clock.monotonic()
    shard.ledger.commit()
    assert not shard.ledger.is_over
    elapsed = shard.clock.monotonic() - applied_at
    assert elapsed >= _ledger.TERM_VALIDITY
    assert not shard.ledger.holds_term()


def test_a_released_term_ends_and_its_row_says_so(shard):
    shard.ledger.release()
    assert not shard.ledger.holds_term()
    shard.ledger.commit()
    row = shard.table.rows[_records.make_term_key(SHARD)]
    assert _records.decode_term(row.value).is_released
    assert shard.ledger.is_over
    thread = shard.write('a')
    assert thread.wait() is WriteOutcome.DISCARDED


def test_a_release_requested_during_a_commit_is_written(shard):
    """Guards against a term that ends without its release being stored.

    The release is requested while a transaction is in progress.
    """
    commit = shard.table.commit

    def commit_slowly(transaction):
        _loop.sleep(0.02)
        return commit(transaction)

    shard.table.commit = commit_slowly
    sending = _loop.spawn(shard.ledger.commit)
    _loop.sleep(0)
    shard.ledger.release()
    sending.wait()
    assert not shard.ledger.is_over
    shard.ledger.commit()
    assert shard.ledger.is_over
    row = shard.table.rows[_records.make_term_key(SHARD)]
    assert _records.decode_term(row.value).is_released


def test_a_write_that_times_out_in_the_queue_is_discarded(shard):
    """Guards against storing a job after its caller was told it failed."""
    outcome = shard.ledger.write(
        [(make_key('a'), b'1')], pools.seconds(0.01), lambda outcome: None
    )
    assert outcome is WriteOutcome.DISCARDED
    shard.ledger.commit()
    assert make_key('a') not in shard.table.rows


def test_a_write_that_times_out_in_a_transaction_has_an_unknown_outcome(shard):
    outcomes = []
    commit = shard.table.commit

    def commit_slowly(transaction):
        _loop.sleep(0.05)
        return commit(transaction)

    shard.table.commit = commit_slowly
    thread = _loop.spawn(
        shard.ledger.write,
        [(make_key('a'), b'1')],
        pools.seconds(0.02),
        outcomes.append,
    )
    _loop.sleep(0)
    shard.ledger.commit()
    assert thread.wait() is WriteOutcome.UNKNOWN
    assert outcomes == [WriteOutcome.APPLIED]


def test_a_flush_waits_for_the_transaction_in_progress(shard):
    """Guards against acknowledging the end of a run before it is stored."""
    order = []
    commit = shard.table.commit

    def commit_slowly(transaction):
        _loop.sleep(0.02)
        order.append('stored')
        return commit(transaction)

    shard.table.commit = commit_slowly
    shard.source.puts = [(make_key('p'), b'progress')]
    sending = _loop.spawn(shard.ledger.commit)
    _loop.sleep(0)
    assert not shard.source.puts
    assert shard.ledger.flush(has_changes=False)
    order.append('flushed')
    sending.wait()
    assert order == ['stored', 'flushed']


def test_a_flush_waits_for_changes_that_need_several_transactions(shard):
    """Guards against acknowledging a cancellation before it is stored.

    After a store outage, more changes were pending than fit into one
    transaction, and the first transaction resolved every flush.
    """
    shard.source.puts = [(make_key(str(n)), b'progress') for n in range(200)]
    flush = _loop.spawn(shard.ledger.flush, True)
    _loop.sleep(0)
    shard.ledger.commit()
    _loop.sleep(0)
    assert not flush.dead
    shard.ledger.commit()
    shard.ledger.commit()
    assert flush.wait()
    assert {make_key(str(n)) for n in range(200)} <= set(shard.table.rows)


def test_a_release_is_written_after_all_changes(shard):
    """Guards against releasing a term before all progress is stored."""
    shard.source.puts = [(make_key(str(n)), b'progress') for n in range(200)]
    shard.ledger.release()
    for _ in range(3):
        assert not shard.ledger.is_over
        shard.ledger.commit()
    assert shard.ledger.is_over
    assert not shard.source.puts


def test_workers_are_named_in_the_term(shard):
    shard.source.workers = ('w1', 'w2')
    shard.ledger.commit()
    assert shard.source.recorded == ('w1', 'w2')
    row = shard.table.rows[_records.make_term_key(SHARD)]
    assert _records.decode_term(row.value).workers == ('w1', 'w2')


@pytest.mark.parametrize(
    'value', [b'', b'{}', b'[]', b'["a"]', b'[1, 2, 3, 4, 5, 6, 7, 8]']
)
def test_a_damaged_term_is_an_error(value):
    with pytest.raises((ValueError, TypeError)):
        _records.decode_term(value)
