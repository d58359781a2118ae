"""Tests of the watch that finds an entry instance isolated."""

import pytest
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _reachability
from tests import pools

PEERS = ['a', 'b', 'c']
# How long a silent peer takes to fail, in seconds.
TIMEOUT = 0.3


class PeerClient:
    """Peers that say whether they reach the store; None for a silent one."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = 0

    def reaches_store(self, address, timeout):
        self.asked += 1
        answer = self.answers[PEERS.index(address)]
        if answer is not None:
            return result.Success(answer)
        _loop.sleep(TIMEOUT)
        kind = _errors.ErrorKind.OUTCOME_UNKNOWN
        return result.Failure(_errors.Failure(kind, 'no answer'))


class Watch:
    """A watch over peers with fixed answers, and a store to be silenced."""

    def __init__(self, answers, clock=None):
        self.clock = clock or pools.ManualClock()
        self.answered_at = self.clock.monotonic()
        self.peers = PeerClient(answers)
        self.watch = _reachability.ReachabilityWatch(
            lambda: self.answered_at,
            self.peers,
            lambda: PEERS[: len(answers)],
            self.clock,
        )

    def check_after(self, seconds):
        self.clock.advance(seconds)
        self.watch.check()
        return self.watch.is_isolated


@pytest.mark.parametrize(
    'answers, isolated_after',
    [
        # Peers of other zones are silent; those of this zone do not know yet.
        ((None, False, None), 0.7),
        ((None, None, None), 0.7),
        ((False, False, False), 1.3),
        ((None, True, None), None),
        # No other entry instance owns a pool.
        ((), None),
    ],
)
def test_a_cut_zone_is_noticed_before_the_store_counts_as_silent(
    answers, isolated_after
):
    """Guards against callers that are sent to a cut zone for seconds more."""
    watch = Watch(answers)
    assert not watch.check_after(0.5)
    assert watch.peers.asked == 0
    assert watch.check_after(0.2) is (isolated_after == 0.7)
    assert watch.check_after(0.6) is (isolated_after is not None)
    watch.answered_at = watch.clock.monotonic()
    assert not watch.check_after(0.1)


def test_a_slow_store_isolates_nobody():
    """Guards against a fleet that reports not ready because of a slow store.

    An answer takes half a second, and the next read follows 0.35 s later.
    """
    watch = Watch((True, True, None))
    for _ in range(10):
        watch.answered_at = watch.clock.monotonic()
        assert not watch.check_after(0.45)
        assert not watch.check_after(0.4)
    assert watch.watch.estimate_diversion() is None


def test_silent_peers_are_asked_at_the_same_time():
    """Guards against a check that takes longer with each silent peer."""
    watch = Watch((None, None, None), _clock.SystemClock())
    watch.answered_at -= pools.seconds(1)
    with _loop.Timeout(2 * TIMEOUT):
        watch.watch._reachability._store_answered_at = watch.answered_at
        watch.watch.check()
    assert watch.peers.asked == len(PEERS)
    assert watch.watch.is_isolated


def test_callers_return_when_the_balancer_has_taken_the_zone_out():
    """Guards against callers that come back before they can be served."""
    watch = Watch((None,))
    assert watch.check_after(0.7)
    assert watch.watch.estimate_diversion() == pools.seconds(2)
    assert watch.check_after(1.5)
    assert watch.watch.estimate_diversion() == pools.seconds(0.5)
    assert watch.check_after(5)
    assert watch.watch.estimate_diversion() is None


def test_an_isolated_peer_does_not_claim_to_reach_the_store():
    """Guards against peers of one cut zone that vouch for each other."""
    watch = Watch((True,))
    assert watch.watch.reaches_store()
    watch.clock.advance(0.7)
    assert not watch.watch.reaches_store()
