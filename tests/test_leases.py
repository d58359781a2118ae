"""Guards against two controllers acting for the same shard."""

import datetime

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _leases
from tests import fakes
from tests import test_journal_machine

SHARDS = range(_leases.SHARDS)


class Zone:
    """Controllers of a zone, stepped once a second."""

    def __init__(self, *names, times=None):
        self.times = times
        self.clock = fakes.ManualClock()
        self.table = fakes.FaultyTable()
        self.controllers = {name: self.start(name, 1) for name in names}

    def start(self, name, incarnation):
        return _leases.ShardLeases(
            self.table, self.clock, 'z1', name, incarnation, self.times
        )

    def run(self, seconds, *names):
        """Step the named controllers once a second.

        Fails if a shard ever has two holders; returns the holders of each
        shard at the end.
        """
        for _ in range(seconds):
            self.clock.advance(1)
            for name in names:
                self.controllers[name].renew()
            for shard in SHARDS:
                assert len(self.list_holders(shard)) <= 1
        return [self.list_holders(shard) for shard in SHARDS]

    def list_holders(self, shard):
        return [n for n, c in self.controllers.items() if c.holds(shard)]


@pytest.fixture
def zone():
    zone = Zone('a', 'b')
    assert all(zone.run(5, 'a', 'b'))
    return zone


def find_shard(zone, name):
    return next(s for s in SHARDS if zone.controllers[name].holds(s))


def test_shards_are_divided_and_stay_with_their_holders(zone):
    before = zone.run(1, 'a', 'b')
    assert {name for names in before for name in names} == {'a', 'b'}
    assert zone.run(600, 'a', 'b') == before


@pytest.mark.parametrize('hold, expiry', [(8, 12), (5, 7)])
def test_a_paused_holder_stops_before_anyone_takes_over(hold, expiry):
    seconds = [datetime.timedelta(seconds=s) for s in (4, hold, expiry)]
    zone = Zone('a', 'b', times=_leases.LeaseTimes(*seconds))
    zone.run(5, 'a', 'b')
    lost = find_shard(zone, 'a')
    free_at = None
    for second in range(1, 20):
        holders = zone.run(1, 'b')
        if free_at is None and not holders[lost]:
            free_at = second
        if holders[lost] == ['b']:
            break
    assert free_at <= hold
    # The other controller saw the last heartbeat when the pause began, and
    # takes one lease a second.
    assert expiry <= second <= expiry + 2
    assert zone.run(5, 'a', 'b')[lost] == ['b']


def test_a_write_under_an_expired_lease_is_rejected(zone):
    shard = find_shard(zone, 'a')
    fence = zone.controllers['a'].find_fencing_condition(shard)
    zone.run(15, 'b')
    assert zone.controllers['a'].find_fencing_condition(shard) is None
    change = test_journal_machine.build_change('c', {})
    new_fence = zone.controllers['b'].find_fencing_condition(shard)
    for token, expected in (
        (fence, _errors.ErrorKind.LEASE_LOST),
        (new_fence, None),
    ):
        fleet = _fleet.Fleet()
        journal = _journal.Journal(zone.table, fleet, zone.clock, 'a')
        outcome = journal.propose([change], 0, (token,))
        if expected is None:
            assert outcome == result.Success(1)
        else:
            assert outcome.failure().kind is expected


@pytest.mark.parametrize('outage', [5, 60, 3600])
def test_an_outage_moves_no_lease(zone, outage):
    # No controller can write heartbeats in an outage. If that time counted
    # towards the expiry, every lease would change its holder afterwards.
    before = zone.run(1, 'a', 'b')
    zone.table.down = True
    during = zone.run(outage, 'a', 'b')
    assert outage < 8 or not any(during)
    zone.table.down = False
    assert zone.run(30, 'a', 'b') == before


@pytest.mark.parametrize('fault', ['lose', 'drop', 'duplicate', 'limit'])
def test_lost_responses_lose_no_lease(zone, fault):
    before = zone.run(1, 'a', 'b')
    for _ in range(20):
        zone.table.faults = [fault]
        assert zone.run(3, 'a', 'b') == before


def test_a_restarted_controller_replaces_its_former_process(zone):
    former = zone.controllers['a']
    shard = find_shard(zone, 'a')
    zone.controllers['a'] = zone.start('a', 2)
    holders = zone.run(20, 'a', 'b')
    assert all(holders)
    former.renew()
    assert not any(former.holds(s) for s in SHARDS)
    assert zone.run(20, 'a', 'b')[shard] == holders[shard]


def test_released_leases_are_taken_at_once(zone):
    zone.controllers['a'].release()
    assert zone.run(3, 'a', 'b') == [['b']] * _leases.SHARDS


def test_a_heartbeat_counts_from_when_it_was_sent(zone):
    # Other controllers measure from when the heartbeat was written, not
    # from when its late response arrived.
    commit = zone.table.commit

    def respond_late(transaction):
        response = commit(transaction)
        zone.clock.advance(9)
        return response

    zone.table.commit = respond_late
    zone.clock.advance(4)
    zone.controllers['a'].renew()
    assert not any(zone.controllers['a'].holds(s) for s in SHARDS)


def test_an_idle_zone_is_scanned_once_every_two_seconds(zone):
    # With two scans a second, they made up a third of the requests that a
    # controller sends to the platform.
    zone.run(20, 'a', 'b')
    zone.table.reads = 0
    zone.run(64, 'a', 'b')
    assert zone.table.reads == 2 * 64 / 2


def test_live_controllers_are_counted_and_stale_rows_deleted(zone):
    # The platform's rate limits are divided by the count. Rows of
    # controllers that never return must neither lower the shares nor
    # accumulate.
    far = _leases.ShardLeases(zone.table, zone.clock, 'z2', 'c', 1)

    def run(seconds, *others):
        for _ in range(seconds):
            zone.run(1, 'a', 'b')
            for other in others:
                other.renew()
        return [c.live_controller_count for c in zone.controllers.values()]

    assert run(20, far) == [3, 3]
    assert run(40) == [2, 2]
    run(620)
    key = _leases.format_heartbeat_key('z2', 'c')
    assert zone.table.read(key) == result.Success(None)
    assert run(40, far) == [3, 3]
    assert far.live_controller_count == 3
    far.release()
    assert zone.table.read(key) == result.Success(None)
