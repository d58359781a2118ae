"""Guards against members that are wrongly or never declared dead."""

import datetime

import pytest

from skylarktally import _membership
from tests import fakes
from tools import peer_network

ALIVE, SUSPECT, DEAD = _membership.State


def build_member(name='b', incarnation=1, heartbeat=0, port=2, **fields):
    address = f'127.0.0.1:{port}'
    return _membership.Member(
        name, 'z', incarnation, address, address, heartbeat, **fields
    )


@pytest.fixture
def clock():
    return fakes.ManualClock()


@pytest.fixture
def members(clock):
    membership = _membership.Membership(clock, build_member('a', port=1))
    assert membership.merge(build_member(heartbeat=5))
    return membership


def wait(clock, members, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        members.advance_heartbeat()


@pytest.mark.parametrize(
    ('seconds', 'state'),
    [(3.9, ALIVE), (4, SUSPECT), (7.9, SUSPECT), (8, DEAD), (599, DEAD)],
)
def test_state_follows_from_the_time_without_a_heartbeat(
    clock, members, seconds, state
):
    wait(clock, members, seconds)
    assert members.find_state('b') is state
    assert ('b' in {m.name for m in members.list_not_dead()}) == (
        state is not DEAD
    )


def test_dead_member_is_called_again_and_finally_removed(clock, members):
    wait(clock, members, 9)
    assert members.list_unheard_addresses() == ['127.0.0.1:2']
    wait(clock, members, 592)
    assert members.find_state('b') is None


@pytest.mark.parametrize('pause', [9, 300, 7200])
@pytest.mark.parametrize('scale', [1, 0.2])
def test_own_pause_does_not_make_others_dead(clock, pause, scale):
    # A router that was paused for minutes must not declare all others dead
    # when it resumes.
    members = _membership.Membership(
        clock,
        build_member('a', port=1),
        (),
        datetime.timedelta(seconds=4 * scale),
        datetime.timedelta(seconds=8 * scale),
    )
    members.merge(build_member())
    clock.advance(pause)
    assert members.find_state('b') is ALIVE
    wait(clock, members, 6.1 * scale)
    assert members.find_state('b') is DEAD


@pytest.mark.parametrize(
    ('update', 'state'),
    [
        # It was paused for minutes and increments its heartbeat again.
        (build_member(heartbeat=6), ALIVE),
        # An old heartbeat, delivered late, is no news.
        (build_member(heartbeat=5), DEAD),
        (build_member(heartbeat=4), DEAD),
        # It restarted at the same address; its heartbeat starts again at 0.
        (build_member(incarnation=2), ALIVE),
        (build_member(incarnation=0, heartbeat=99), DEAD),
        # A newer process with another name has the address now.
        (build_member('c', incarnation=2), None),
        (build_member('c', incarnation=0), DEAD),
    ],
)
def test_update_about_a_dead_member(clock, members, update, state):
    wait(clock, members, 300)
    members.merge(update)
    assert members.find_state('b') is state


@pytest.mark.parametrize(
    'fields',
    [
        {'peer_address': ''},
        {'peer_address': 'host:1'},
        {'serving_address': 'x'},
        {'name': ''},
        {'name': 'x' * 64},
        {'zone': ''},
    ],
)
def test_incomplete_members_are_rejected(members, fields):
    member = build_member('c', incarnation=2, port=3)._replace(**fields)
    assert not members.merge(member)
    assert len(members.list_not_dead()) == 2


def test_heartbeat_alone_updates_a_known_member(members):
    heartbeat_only = _membership.Member('b', '', 1, '', '', 9)
    assert members.merge(heartbeat_only)
    found = members.list_alive()[0]
    assert (found.heartbeat, found.peer_address) == (9, '127.0.0.1:2')


def test_leaving_is_never_reset(members):
    assert members.merge(build_member(heartbeat=6, leaving=True))
    members.merge(build_member(heartbeat=7))
    assert members.list_alive()[0].leaving


def test_newer_process_with_the_own_name_is_detected(members):
    members.merge(build_member('a', incarnation=0))
    assert members.superseded_by is None
    members.merge(build_member('a', incarnation=7, port=9))
    assert members.superseded_by == 7


def test_the_number_of_members_is_bounded(members):
    for number in range(3000):
        members.merge(build_member(f'm{number}', port=number + 10))
    assert len(members.list_not_dead()) <= 1026


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('zones', ['abc', 'abcdefgh'])
def test_no_false_death_with_message_loss(seed, zones):
    network = peer_network.Network(seed, loss=0.3)
    network.add_nodes(zones, 3)
    check_no_false_death(network)


def check_no_false_death(network):
    network.run(10)
    deaths = set()

    def observe(node):
        if node.membership.count_states()['dead']:
            deaths.add(node.name)

    network.run(60, observe)
    assert not deaths
    everyone = len(network.nodes)
    for node in network.nodes.values():
        assert len(node.membership.list_not_dead()) == everyone


def test_calling_other_zones_rarely_causes_a_false_death():
    # Shows that the check above can fail.
    network = peer_network.Network(0, loss=0.3)
    network.add_nodes('abcdefgh', 3, zone_ratio=8)
    with pytest.raises(AssertionError):
        check_no_false_death(network)


# Time from the death of a router until all others have detected it: 8 s
# after its last heartbeat, which itself takes some seconds to spread.
DETECTION_SECONDS = 12


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_death_is_detected_in_time(seed, loss):
    network = peer_network.Network(seed, loss)
    network.add_nodes('abcdefgh', 3)
    network.run(20)
    network.find('c1').is_running = False
    network.run(7)
    assert DEAD not in network.list_states('c1')
    network.run(DETECTION_SECONDS - 7)
    assert set(network.list_states('c1')) == {DEAD}
    assert len(network.list_states('c1')) == 23


def test_a_member_that_resumes_after_minutes_is_alive_again():
    network = peer_network.Network(1)
    network.add_nodes('abc', 3)
    network.run(10)
    paused = network.find('b1')
    paused.is_running = False
    network.run(300)
    assert set(network.list_states('b1')) == {DEAD}
    paused.is_running = True
    network.run(10)
    assert set(network.list_states('b1')) == {ALIVE}
    assert paused.membership.count_states()['alive'] == 8


@pytest.mark.parametrize('seconds', [5, 60])
def test_both_sides_of_a_partition_find_each_other_again(seconds):
    network = peer_network.Network(2)
    network.add_nodes('abc', 3)
    network.run(10)
    network.cuts = {('a', 'b'), ('b', 'a'), ('a', 'c'), ('c', 'a')}
    network.run(seconds)
    network.cuts = set()
    network.run(10)
    for node in network.nodes.values():
        assert node.membership.count_states()['alive'] == 8


def test_restart_at_the_same_address_replaces_the_old_process():
    network = peer_network.Network(3)
    network.add_nodes('abc', 3)
    network.run(10)
    network.find('b1').restart()
    latest = network.find('b1').incarnation
    assert latest == network.incarnations
    network.run(10)
    for node in network.nodes.values():
        known = {m.name: m.incarnation for m in node.membership.list_alive()}
        assert known.get('b1', latest) == latest
        assert len(known) == 8
