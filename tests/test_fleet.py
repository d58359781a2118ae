"""Guards against a replica whose index differs from a full scan."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from skylarktally import _fleet
from skylarktally import _resources
from tests import fleets

INSTANCE = _resources.Kind.INSTANCE
FILTERS = (None, 'p0', 'p1')
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5),
        strategies.sampled_from(('p0', 'p1', 'deleted', 'malformed')),
        strategies.sampled_from(('p0', 'p1')),
    ),
    max_size=20,
)


def build_change(number, pool, zone):
    value = fleets.build_instance(number, 1)
    value['name'] = f'i{number}'
    value['spec'].update(pool=pool, zone=zone)
    if pool == 'malformed':
        del value['spec']['address']
    return _resources.Change(
        kind='instance',
        name=value['name'],
        value=None if pool == 'deleted' else value,
    )


def build_record(version, changes):
    record = fleets.build_record(version, 0)
    return _resources.LogRecord(**{**record, 'changes': changes})


def scan_instances(fleet, pool, zone):
    """Find instances by a full scan, without the index."""
    return [
        _resources.decode_instance(resource)
        for resource in fleet.list(INSTANCE)
        if resource['spec']['pool'] != 'malformed'
        and pool in (None, resource['spec']['pool'])
        and zone in (None, resource['spec']['zone'])
    ]


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(entries=strategies.lists(CHANGES, max_size=8))
def test_index_agrees_with_a_scan(entries):
    fleet, snapshot = _fleet.Fleet(), _fleet.Fleet()
    for version, entry in enumerate(entries, 1):
        changes = [build_change(*change) for change in entry]
        assert fleet.apply(build_record(version, changes))
        assert fleet.version == version
    for pool in FILTERS:
        for zone in FILTERS:
            expected = scan_instances(fleet, pool, zone)
            assert fleet.find_instances(pool, zone) == expected
    snapshot.load(fleet.list(INSTANCE), fleet.version)
    assert snapshot.find_instances() == fleet.find_instances()


@pytest.mark.parametrize('version', [0, 1, 3, 4])
def test_only_the_next_entry_is_applied(version):
    fleet = _fleet.Fleet()
    seen = []
    fleet.subscribe(seen.append)
    assert fleet.apply(build_record(1, [build_change(1, 'p0', 'p0')]))
    record = build_record(version, [build_change(2, 'p0', 'p0')])
    assert not fleet.apply(record)
    assert len(fleet.find_instances()) == 1
    assert (fleet.version, seen) == (1, [1])


def test_cost_of_a_query_depends_on_its_result_only():
    # A full scan of 3,200 instances would take about 100 times as long as
    # one of 30.
    def measure(size):
        fleet = _fleet.Fleet()
        resources = [fleets.build_instance(n, 1) for n in range(size)]
        fleet.load(resources, 1)
        durations = []
        for _ in range(300):
            start = time.perf_counter()
            assert len(fleet.find_instances(pool='pool-1')) == 10
            durations.append(time.perf_counter() - start)
        return min(durations)

    assert measure(3200) < 10 * measure(30)
