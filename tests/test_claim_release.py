"""Guards against a refused request whose key can never be used again.

It also guards against the opposite, a release after which the key runs
twice. Routers a and b share a table that injects faults.
"""

import pytest
from returns import result

from skylarktally import _claims
from skylarktally import _errors
from skylarktally import _limits
from tests import fakes

GRANTED, HELD = _claims.ClaimStatus.GRANTED, _claims.ClaimStatus.HELD


class Routers:
    def __init__(self):
        self.table = fakes.FaultyTable()
        self.clock = fakes.ManualClock()
        self.claims = {
            name: _claims.Claims(
                self.table,
                self.clock,
                _claims.Owner(name, 1, f'127.0.0.1:{port}'),
                _limits.ServingLimits(),
            )
            for port, name in enumerate('ab', start=1)
        }

    def claim(self, name):
        claimed = self.claims[name].claim('key')
        if isinstance(claimed, result.Success):
            return claimed.unwrap().status
        return claimed.failure().kind


@pytest.mark.parametrize(
    'fault, at_other, at_owner',
    [
        (None, GRANTED, HELD),
        ('duplicate', GRANTED, HELD),
        # The row is deleted, but the owner does not know.
        ('lose', GRANTED, HELD),
        # The row stays, and the owner knows that it may claim it again.
        ('refuse', HELD, GRANTED),
        ('limit', HELD, GRANTED),
        # The row stays, and the owner does not know whether it does.
        ('drop', HELD, HELD),
        ('delay', HELD, HELD),
    ],
)
def test_release_after_a_refusal(fault, at_other, at_owner):
    routers = Routers()
    assert routers.claim('a') is GRANTED
    routers.table.faults = [fault]
    routers.claims['a'].release('key')
    assert (routers.claim('b'), routers.claim('a')) == (at_other, at_owner)


def test_delayed_release_does_not_free_a_key_that_ran():
    routers = Routers()
    assert routers.claim('a') is GRANTED
    routers.table.faults = ['delay']
    routers.claims['a'].release('key')
    ran = routers.claim('a') is GRANTED
    routers.table.deliver()
    assert [ran, routers.claim('b') is GRANTED].count(True) <= 1


@pytest.mark.parametrize('lands', [False, True])
def test_undecided_claim_can_be_repeated(lands):
    routers = Routers()
    routers.table.faults = ['delay'] * 5
    assert routers.claim('a') is not GRANTED
    if lands:
        routers.table.deliver()
    assert routers.claim('a') is GRANTED
    assert routers.claim('b') is HELD


@pytest.mark.parametrize(
    'commit_seconds, first',
    [
        (2, 2),
        # The connection breaks during the commit; the read times out.
        (0.5, 2.5),
    ],
)
def test_silent_table_delays_one_claim_and_not_the_next(commit_seconds, first):
    """Guards against callers that each wait for an unresponsive table."""
    routers = Routers()

    class SilentTable(fakes.FaultyTable):
        def commit(self, transaction):
            routers.clock.advance(commit_seconds)
            self.is_unresponsive = commit_seconds == 2
            return fakes.fail(_errors.ErrorKind.OUTCOME_UNKNOWN)

        def read(self, key):
            routers.clock.advance(2)
            self.is_unresponsive = True
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)

    routers.claims['a']._table = SilentTable()
    refused = _errors.ErrorKind.PLATFORM_UNAVAILABLE
    times = []
    for pause in (0, 4, 60):
        before = routers.clock.monotonic()
        assert routers.claim('a') is refused
        times.append((routers.clock.monotonic() - before).total_seconds())
        # Later claims are refused without a call to the table.
        routers.clock.advance(pause)
    assert times == [first, 0, 0]
    routers.claims['a']._table = routers.table
    assert routers.claim('a') is GRANTED


def test_refused_table_costs_no_further_writes():
    """Guards against repeated claims that use up the rate limit of writes."""
    routers = Routers()
    routers.table.down = routers.table.is_refusing = True
    for _ in range(3):
        refused = _errors.ErrorKind.PLATFORM_UNAVAILABLE
        assert routers.claim('a') is refused
    assert routers.table.commits == 0
    routers.table.down = routers.table.is_refusing = False
    assert routers.claim('a') is GRANTED
