"""Slots and connections of a worker that several routers share."""

import collections
import datetime

import pytest
from returns import result

from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _resources
from skylarktally import _slots
from skylarktally import _worker_client
from tests import serving


@pytest.mark.parametrize('naive', [False, True])
def test_two_routers_race_for_one_worker(naive):
    """Guards against more tasks or connections than a worker allows."""
    with serving.Cell(naive=naive) as cell:
        worker = cell.add_scripted(
            script=lambda *_: _loop.sleep(0.02) or True, slots=8
        )
        routers = [cell.add_router() for _ in range(2)]
        path = '/v1/pools/desk/jobs/report/t'

        def send(router):
            reply = serving.call(router.serving_address, 'GET', path)
            return reply.status

        statuses = serving.run_all(
            [lambda r=r: send(r) for r in routers for _ in range(60)]
        )

        def check():
            assert statuses == [200] * 120
            assert worker.peak_running <= 8
            assert worker.peak_open <= 64

        cell.expect_failure_if_naive(check)


def test_worker_record_never_exceeds_its_slots():
    """Guards against a stand-in or router that overcommits the slots."""
    with serving.Cell() as cell:
        worker = cell.add_worker()
        routers = [cell.add_router() for _ in range(2)]
        path = '/v1/pools/desk/jobs/report/work?seconds=0.02&bytes=10'

        def send(router):
            reply = serving.call(router.serving_address, 'GET', path)
            return reply.status, reply.outcome

        replies = serving.run_all(
            [lambda r=r: send(r) for r in routers for _ in range(100)]
        )
        assert collections.Counter(replies) == {(200, 'complete'): 200}
        assert worker.peak_running == 8
        assert len(worker.runs) == 200


@pytest.mark.parametrize('naive', [False, True])
def test_task_uses_the_slots_of_its_job(naive):
    """Guards against tasks that together need more slots than there are."""
    with serving.Cell(naive=naive) as cell:
        for name, slots in (('wide', 3), ('vast', 9), ('narrow', 1)):
            cell.fleet.put_job(name, idempotent=True, slots=slots)
        worker = cell.add_worker()
        cell.add_router(queued=True)
        path = '/v1/pools/desk/jobs/{}/work?seconds=0.1&bytes=1'

        def check():
            wide = cell.burst(10, path.format('wide'))
            assert {x.status for x in wide} == {200}
            assert worker.peak_running == 2
            assert len(worker.runs) == 10
            # Free leases of one size do not block requests of the other size.
            mixed = [path.format(x) for x in ('wide', 'narrow') * 10]
            replies = serving.run_all(
                [lambda x=x: cell.call('GET', x) for x in mixed]
            )
            assert {x.status for x in replies} == {200}
            assert worker.peak_slots <= 8
            refused = cell.call('GET', path.format('vast'))
            assert (refused.status, refused.outcome) == (503, 'not-run')
            assert len(worker.runs) == 30

        cell.expect_failure_if_naive(check)


def test_lease_is_not_reused_while_its_task_runs():
    """Guards against a second task in a slot whose task missed its deadline.

    The task may still run after the router has given up waiting for it.
    """
    with serving.Cell() as cell:
        worker = cell.add_scripted(script=lambda *_: _loop.sleep(1) or True)
        headers = {'Skylarktally-Timeout-Ms': '100'}
        for _ in range(5):
            path = '/v1/pools/desk/jobs/report/t'
            reply = cell.call('GET', path, b'', headers)
            assert reply.outcome == 'unknown'
        assert len(worker.tasks) == 5
        assert worker.conflicts == 0


def test_further_router_in_a_zone_uses_no_worker():
    """Guards against more routers than a worker has connections for."""
    with serving.Cell() as cell:
        worker = cell.add_worker()
        routers = [cell.add_router() for _ in range(5)]
        path = '/v1/pools/desk/jobs/report/t'
        replies = [
            serving.call(x.serving_address, 'GET', path) for x in routers
        ]
        assert [x.status for x in replies] == [200] * 4 + [503]
        assert replies[4].outcome == 'not-run'
        assert [x.pipeline.is_ready() for x in routers] == [True] * 4 + [False]
        assert len(worker.runs) == 4
        # When a router leaves, the fifth one may take its place.
        del cell.peers.routers[0]
        _loop.sleep(0.3)
        assert routers[4].pipeline.is_ready()


class FakeWorkerClient:
    """Worker client that records the calls and gets every lease."""

    def __init__(self, clock, delay=0.0):
        self.clock = clock
        self.delay = delay
        self.calls = []

    def call(self, address, method, path, data, timeout, new_connection=False):
        self.calls.append((method, path))
        self.clock.advance(self.delay)
        granted = {'lease_id': f'l{len(self.calls)}', 'ttl_seconds': 10}
        return result.Success(_worker_client.WorkerResponse(200, granted))


INSTANCE = _resources.Instance(
    'w1',
    'desk',
    'a',
    'r1',
    '127.0.0.1:1',
    32,
    1,
    0,
    8,
    64,
    _resources.Phase.SERVING,
    1,
)


@pytest.mark.parametrize(
    'delay, pause, usable',
    [
        (0.0, 7.9, True),
        # Less than 2 s before the expiry, a task could arrive too late.
        (0.0, 8.1, False),
        (0.0, 60.0, False),
        # The ttl starts before the request is sent.
        (5.0, 2.9, True),
        (5.0, 3.1, False),
    ],
)
def test_lease_lapses_while_router_is_paused(delay, pause, usable):
    """Guards against a task under a lease that has expired at the worker."""
    clock = serving.ManualClock()
    calls = FakeWorkerClient(clock, delay)
    max_hold = datetime.timedelta(seconds=100)
    limits = _limits.ServingLimits(max_lease_hold=max_hold)
    leases = _slots.SlotLeases(clock, limits, 'r1', calls)
    leases.release(leases.request(INSTANCE).unwrap())
    clock.advance(pause)
    assert (leases.take(INSTANCE) is not None) == usable


def test_busy_routers_keep_equal_shares():
    """Guards against a router that waits while another keeps its slots."""
    # After ten times the hold time, leases within the share are returned as
    # well, so that shares may be unequal for a moment. The samples end before.
    max_hold = datetime.timedelta(seconds=1)
    limits = _limits.ServingLimits(max_lease_hold=max_hold)
    with serving.Cell(limits=limits) as cell:
        for _ in range(2):
            cell.add_worker()
        routers = [cell.add_router() for _ in range(2)]
        path = f'/v1/pools/{serving.POOL}/jobs/report/a/work?seconds=0.3'

        def send(router):
            while True:
                serving.call(router.serving_address, 'GET', path)

        def observe(router):
            return router.pipeline.observe()['pools'][serving.POOL]['running']

        threads = []
        for router in routers:
            threads += [_loop.spawn(send, router) for _ in range(24)]
            # The first router holds all slots when the second one starts.
            _loop.sleep(0.5)
        _loop.sleep(3)
        samples = []
        for _ in range(60):
            _loop.sleep(0.05)
            samples.append([observe(router) for router in routers])
        for thread in threads:
            thread.kill()
    # Each router should use half of 16 slots, of which a quarter may be
    # between two tasks, in every half second. A longer average would hide
    # routers that take turns with all slots.
    for start in range(0, len(samples), 10):
        for running in zip(*samples[start : start + 10], strict=True):
            assert sum(running) / 10 >= 6, (start, running)


def test_lease_of_an_old_epoch_is_not_used():
    """Guards against work sent under a lease from before a move."""
    clock = serving.ManualClock()
    calls = FakeWorkerClient(clock)
    leases = _slots.SlotLeases(clock, _limits.ServingLimits(), 'r1', calls)
    leases.release(leases.request(INSTANCE).unwrap())
    moved = INSTANCE._replace(epoch=3, pool='other')
    assert leases.take(moved) is None
    assert leases.take(INSTANCE) is not None


def test_leases_are_renewed_and_given_back():
    """Guards against leases that expire in use or are kept unused."""
    clock = serving.ManualClock()
    calls = FakeWorkerClient(clock)
    leases = _slots.SlotLeases(clock, _limits.ServingLimits(), 'r1', calls)
    busy = leases.request(INSTANCE).unwrap()
    leases.release(leases.request(INSTANCE).unwrap())
    for _ in range(40):
        clock.advance(0.1)
        leases.maintain(lambda fence: True)
        _loop.sleep(0)
    assert leases.is_usable(busy)
    assert collections.Counter(x[0] for x in calls.calls) == {
        'POST': 2,
        # The idle one after 1 s; the busy one is renewed at 3.3 s.
        'DELETE': 1,
        'PUT': 1,
    }
    assert leases.count_held() == 1
