"""Tests of when a router tells the balancer that it is not ready."""

import pytest

from skylarktally import _membership
from skylarktally import _router
from tests import fakes
from tests import test_settings

OLDER, YOUNGER = 1, 1 << 62


@pytest.fixture
def router():
    settings = test_settings.check(zone='z').settings
    return _router.Router(settings, '', fakes.ManualClock())


def add_members(router, count, incarnation, zone='z'):
    for number in range(count):
        address = f'127.0.0.1:{9000 + number}'
        router.membership.merge(
            _membership.Member(
                f'm{number}', zone, incarnation + number, address, address
            )
        )


def refuse(router):
    """Return the status of a refusal; its outcome must be not-run."""
    response = []
    router.application({}, lambda *parts: response.extend(parts))
    assert ('Skylarktally-Outcome', 'not-run') in response[1]
    return response[0][:3]


@pytest.mark.parametrize(
    ('count', 'incarnation', 'zone', 'ready'),
    [
        (0, OLDER, 'z', True),
        (3, OLDER, 'z', True),
        # A zone has four routers at most, so the fifth and youngest is
        # surplus.
        (4, OLDER, 'z', False),
        (4, YOUNGER, 'z', True),
        (9, OLDER, 'other', True),
    ],
)
def test_only_the_surplus_router_is_not_ready(
    router, count, incarnation, zone, ready
):
    """Guards against a surplus router in service and older ones out of it."""
    router._gossip.loaded = True
    add_members(router, count, incarnation, zone)
    assert (router.list_unready_reasons() == []) is ready
    router._start_gossip()
    if not ready:
        assert refuse(router) == '503'


def test_not_ready_without_a_state(router):
    """Guards against requests that are served without any state."""
    assert 'no state' in router.list_unready_reasons()[0]
    assert refuse(router) == '503'


def test_not_ready_when_replaced_by_a_newer_process(router):
    """Guards against two processes that serve under the same name."""
    router._gossip.loaded = True
    own = router.membership.own
    router.membership.merge(own._replace(incarnation=YOUNGER))
    assert 'newer process' in router.list_unready_reasons()[0]
