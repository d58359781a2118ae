"""Guards pools of entries that the store turns away."""

import pytest
from returns import result
from thrift import TSerialization

from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _calls
from skylarktally.entries import _store_relay
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _records
from skylarktally.scheduling import _rows
from standins import rows
from tests import pools

Kind = _errors.ErrorKind
ROW = _calls.StoredRow('t', 'p', 'k', b'\x00\xff', 2**40, True)
TERM = _records.Term('a', 'a:1', 'life', 1, 0)


class DirectStore:
    """An entry's own way to the table, which may fail."""

    def __init__(self, table):
        self.table = table
        self.failure = None
        self.calls = 0
        self.delay = 0

    def _fail(self):
        self.calls += 1
        if self.delay:
            _loop.sleep(self.delay)
        if self.failure is None:
            return None
        return result.Failure(_errors.Failure(self.failure, 'turned away'))

    def commit(self, transaction):
        return self._fail() or self.table.commit(transaction)

    def read(self, table, partition):
        return self._fail() or self.table.read(table, partition)

    def list_partitions(self, table):
        return self._fail() or self.table.list_partitions(table)

    def follow(self, table, after, wait):
        return self._fail() or self.table.follow(table, after, wait)


class Fleet:
    """Entries over one table; each carries calls of the others."""

    def __init__(self, names='abc'):
        self.clock = pools.ManualClock()
        self.table = rows.RowTable()
        self.direct_stores = {name: DirectStore(self.table) for name in names}
        self.relay_failures = {}
        self.asked = []
        self.stores = {
            name: _store_relay.RelayedStore(
                self.direct_stores[name],
                self,
                lambda name=name: [item for item in names if item != name],
                self.clock,
            )
            for name in names
        }

    def carry(self, address, call, timeout):
        self.asked.append(address)
        kind = self.relay_failures.get(address)
        if kind is not None:
            return result.Failure(_errors.Failure(kind, address))
        return result.Success(self.stores[address].carry(call))


@pytest.fixture
def fleet():
    return Fleet()


def place(key, partition='pool'):
    return _rows.RowKey('jobs', partition, key)


def put(key, value=b'\x00\xff'):
    return _rows.Transaction(((place(key), 0),), ((place(key), value),))


@pytest.mark.parametrize(
    'failure', [Kind.PLATFORM_UNAVAILABLE, Kind.RATE_LIMITED]
)
def test_an_entry_that_is_turned_away_keeps_its_pool(fleet, failure):
    """Replays a store that turns one entry away for ten seconds.

    Its pools had no owner for 1.5 to 2.6 s.
    """
    store = fleet.stores['a']
    ledger = _ledger.claim(store, fleet.clock, 'pool', TERM, 0).unwrap()
    fleet.direct_stores['a'].failure = failure
    for _ in range(25):
        fleet.clock.advance(0.4)
        ledger.commit()
        assert ledger.holds_term()
    assert not ledger.is_over


def test_all_that_is_read_arrives_as_it_is(fleet):
    store = fleet.stores['a']
    direct = fleet.stores['b']
    version = store.commit(put('x')).unwrap().version
    fleet.direct_stores['a'].failure = Kind.PLATFORM_UNAVAILABLE
    wait = pools.seconds(0)
    for ask in (
        lambda client: client.read('jobs', 'pool'),
        lambda client: client.list_partitions('jobs'),
        lambda client: client.follow('jobs', version - 1, wait),
        # A condition that does not hold tells what holds.
        lambda client: client.commit(put('x')),
    ):
        assert ask(store) == ask(direct)
    assert store.commit(put('y')).unwrap().is_applied
    removal = _rows.Transaction((), (), (place('x'),))
    assert store.commit(removal).unwrap().is_applied
    assert place('x') not in fleet.table.rows


def test_the_own_way_is_tried_now_and_then_and_taken_again(fleet):
    store = fleet.stores['a']
    direct = fleet.direct_stores['a']
    direct.failure = Kind.PLATFORM_UNAVAILABLE
    for number in range(10):
        assert store.commit(put(str(number))).unwrap().is_applied
    assert direct.calls == 1
    direct.failure = None
    fleet.clock.advance(1)
    assert store.commit(put('later')).unwrap().is_applied
    _loop.sleep(0)
    asked = len(fleet.asked)
    assert store.commit(put('last')).unwrap().is_applied
    assert direct.calls == 3
    assert len(fleet.asked) == asked


def test_no_call_waits_for_a_way_that_is_silent(fleet):
    """Replays a store that does not answer one entry at all.

    Each fifth of a second a write tried the own way, and hung for 1.5 s.
    """
    store = fleet.stores['a']
    direct = fleet.direct_stores['a']
    direct.failure = Kind.OUTCOME_UNKNOWN
    store.commit(put('first'))
    direct.delay = 5
    with _loop.Timeout(0.5):
        for number in range(10):
            fleet.clock.advance(0.3)
            assert store.commit(put(str(number))).unwrap().is_applied
            _loop.sleep(0)
    # One probe is on its way, and no other is begun.
    assert direct.calls == 2


def test_an_outage_for_all_is_not_multiplied(fleet):
    """Guards a store that comes back against calls of all entries."""
    for direct in fleet.direct_stores.values():
        direct.failure = Kind.PLATFORM_UNAVAILABLE
    for name, store in fleet.stores.items():
        failure = store.commit(put(name)).failure()
        assert failure.kind is Kind.PLATFORM_UNAVAILABLE
    before = sum(direct.calls for direct in fleet.direct_stores.values())
    for _ in range(20):
        fleet.stores['a'].commit(put('x'))
    assert (
        sum(direct.calls for direct in fleet.direct_stores.values()) == before
    )


@pytest.mark.parametrize(
    'own, others, expected',
    [
        # A call that may have been made is not said to have failed.
        (
            Kind.PLATFORM_UNAVAILABLE,
            Kind.OUTCOME_UNKNOWN,
            Kind.OUTCOME_UNKNOWN,
        ),
        (
            Kind.OUTCOME_UNKNOWN,
            Kind.PEER_UNREACHABLE,
            Kind.OUTCOME_UNKNOWN,
        ),
        (
            Kind.PLATFORM_UNAVAILABLE,
            Kind.PEER_UNREACHABLE,
            Kind.PLATFORM_UNAVAILABLE,
        ),
    ],
)
def test_the_outcome_is_true_of_all_ways(fleet, own, others, expected):
    fleet.direct_stores['a'].failure = own
    fleet.relay_failures = dict.fromkeys('bc', others)
    assert fleet.stores['a'].commit(put('x')).failure().kind is expected


def test_a_carrier_that_answers_is_asked_again_first(fleet):
    fleet.direct_stores['a'].failure = Kind.PLATFORM_UNAVAILABLE
    fleet.relay_failures = {'b': Kind.PEER_UNREACHABLE}
    for number in range(3):
        assert fleet.stores['a'].commit(put(str(number))).unwrap().is_applied
    assert fleet.asked == ['b', 'c', 'c', 'c']


@pytest.mark.parametrize(
    'call',
    [
        _calls.StoreCall('commit', [ROW], [ROW], [ROW]),
        _calls.StoreCall('read', table='t', partition=''),
        _calls.StoreCall('follow', table='t', after=2**40, wait_ms=1000),
    ],
)
def test_a_carried_call_goes_over_the_wire_whole(call):
    data = TSerialization.serialize(call)
    read = TSerialization.deserialize(_calls.StoreCall(), data)
    assert read == call
