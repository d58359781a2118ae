"""Guards placement: order, spread, room for urgent work, at most once."""

import datetime
import time

import hypothesis
import pytest

from skylarktally import _placement
from skylarktally import _preemption
from skylarktally import _resources
from skylarktally import _sizes
from tests import naive_placement
from tests import strategies

NOW = strategies.NOW
State = _sizes.RunState
Relief = _preemption.Relief
SECOND = datetime.timedelta(seconds=1)


@strategies.seeded
def worlds(rng, states=tuple(State)):
    instances = strategies.draw_fleet(rng)
    jobs = strategies.draw_jobs(rng)
    usage = strategies.draw_reports(rng, jobs, instances, states)
    return jobs, instances, usage


@strategies.check_many(1500)
@hypothesis.given(worlds(tuple(s for s in State if s is not State.THROTTLED)))
def test_places_as_a_scan_of_every_instance_does(world):
    found = _placement.place_jobs(*world, NOW)
    naive = naive_placement.place_all(*world, NOW)
    assert [a[:3] for a in found.assignments] == [a[:3] for a in naive.placed]
    assert {
        (p.job, p.run): p.relief is not Relief.THROTTLE
        for p in found.preemptions
    } == {(job, run): ended for job, run, ended in naive.preempted}


@strategies.check_many(2000)
@hypothesis.given(worlds())
def test_never_overcommits_nor_repeats_what_must_run_once(world):
    jobs, instances, usage = world
    found = _placement.place_jobs(*world, NOW)
    by_name = {job.name: job for job in jobs}
    known = {(u.job, u.run): u for u in usage}
    serving = {i.name for i in instances if i.phase.value == 'serving'}
    for assignment in found.assignments:
        assert assignment.instance in serving
        if not by_name[assignment.job].idempotent:
            assert assignment[:2] not in known
    for preemption in found.preemptions:
        job = by_name[preemption.job]
        assert job.urgency == 'deferrable'
        assert job.idempotent or preemption.relief is Relief.THROTTLE
    touched = {a.instance for a in found.assignments}
    pool = naive_placement.NaivePool(*world, NOW)
    pool.placed = list(found.assignments)
    for p in found.preemptions:
        pool.held.remove(known[p.job, p.run])
        if p.relief is Relief.THROTTLE:
            slow = known[p.job, p.run]._replace(state=State.THROTTLED)
            pool.held.append(slow)
    zero = _sizes.Size(0, 0, 0, 0)
    assert all(zero.fits(pool.free(name)) for name in touched)
    never = {u.job for u in found.unschedulable}
    waiting = {(n, count) for n, (count, _) in found.waiting.items()}
    placed = [a.job for a in found.assignments]
    everything = [n for u in ('urgent', 'deferrable') for n in pool.pending(u)]
    assert waiting == {
        (n, left)
        for n in by_name
        if (left := sum(j == n for j, _ in everything) - placed.count(n))
    }
    assert not never & set(placed)


@strategies.check_many(1500)
@hypothesis.given(worlds())
def test_an_urgent_run_waits_only_when_nothing_can_give_way(world):
    jobs, instances, _ = world
    found = _placement.place_jobs(*world, NOW)
    by_name = {job.name: job for job in jobs}
    pool = naive_placement.NaivePool(*world, NOW)
    pool.placed = [
        a for a in found.assignments if by_name[a.job].urgency == 'urgent'
    ]
    yielding = [
        u
        for u in pool.held
        if by_name[u.job].urgency != 'urgent' and by_name[u.job].idempotent
    ]
    for name in found.waiting:
        if by_name[name].urgency == 'urgent':
            size = found.sizes[name]
            for instance in pool.serving:
                assert not size.fits(pool.free(instance, yielding))


def preempt_all(workers, pause=lambda: None):
    """Place an urgent run on every worker of a pool full of other runs."""
    fleet = strategies.build_fleet('a', workers)
    jobs = [
        _resources.Job('report', 'a', 'deferrable', runs=8 * workers),
        *(
            _resources.Job(f'gate{k}', 'a', slots=k, runs=workers // 4)
            for k in range(1, 5)
        ),
    ]
    usage = [
        _sizes.RunReport('report', 8 * n + k, i.name, NOW - k * SECOND)
        for n, i in enumerate(fleet)
        for k in range(8)
    ]
    began = time.process_time()
    found = _placement.place_jobs(jobs, fleet, usage, NOW, pause)
    # One to four runs make room for each urgent one.
    assert len(found.preemptions) == 10 * workers // 4
    return time.process_time() - began


def test_room_is_not_searched_on_every_instance_for_every_run():
    # A scan takes some 16 times as long for four times as many.
    small = min(preempt_all(400) for _ in range(3))
    assert min(preempt_all(1600) for _ in range(2)) < 8 * small


def test_a_long_pass_lets_other_threads_run():
    pauses = []
    preempt_all(400, lambda: pauses.append(1))
    # After the board, at the first run of each job, and each 100 runs.
    assert len(pauses) >= 1 + 4 + 400 // 100


def test_work_that_cannot_stop_leaves_half_of_the_pool_clearable():
    fleet = strategies.build_fleet('a', 6)
    jobs = [
        _resources.Job('notice', 'a', 'deferrable', False, runs=100),
        _resources.Job('report', 'a', 'deferrable', True, runs=100),
        _resources.Job('gate', 'a', runs=0),
    ]
    first = _placement.place_jobs(jobs, fleet, [], NOW)
    usage = [
        _sizes.RunReport(a.job, a.run, a.instance, NOW)
        for a in first.assignments
    ]
    assert len(usage) == 48
    jobs[2] = jobs[2]._replace(runs=24)
    second = _placement.place_jobs(jobs, fleet, usage, NOW)
    gates = [a for a in second.assignments if a.job == 'gate']
    assert len(gates) == 24
    assert {p.job for p in second.preemptions} == {'report'}


@pytest.mark.parametrize(
    ('fields', 'resource'),
    [
        ({'cores': 33.0}, 'cores'),
        ({'memory_bytes': 65 << 30}, 'memory_bytes'),
        ({'accelerators': 1}, 'accelerators'),
        ({'slots': 9}, 'slots'),
        ({'pool': 'empty'}, 'instances'),
    ],
)
def test_a_job_that_can_never_run_is_reported_and_blocks_nobody(
    fields, resource
):
    jobs = [
        _resources.Job(**{'name': 'never', 'pool': 'a', 'runs': 5, **fields}),
        _resources.Job('other', 'a', 'deferrable', runs=48),
    ]
    fleet = strategies.build_fleet('a', 6)
    found = _placement.place_jobs(jobs, fleet, [], NOW)
    assert [(u.job, u.resource) for u in found.unschedulable] == [
        ('never', resource)
    ]
    assert len(found.assignments) == 48


@pytest.mark.parametrize(
    ('reported', 'age', 'expected'),
    [
        (1.0, 10, 1.0),
        (100.0, 10, 8.0),
        (0.01, 10, 0.5),
        # A young run may raise the estimate, not lower it.
        (4.0, 1, 4.0),
        (1.0, 1, 2.0),
        # Reports older than ten minutes no longer count.
        (8.0, 1200, 2.0),
    ],
)
def test_reports_correct_a_declared_size_within_limits(
    reported, age, expected
):
    job = _resources.Job('j', 'a', cores=2.0)
    started = NOW - datetime.timedelta(seconds=age)
    late = started + datetime.timedelta(seconds=min(age, 10))
    usage = _sizes.RunReport('j', 0, 'i', started, cores=reported)
    usage = usage._replace(reported_at=late)
    assert _sizes.estimate_size(job, [usage], NOW).cores == expected


def test_a_throttled_run_gets_its_processors_back():
    fleet = [strategies.build_instance('i')]
    job = _resources.Job('slow', 'a', 'deferrable', False, cores=32.0)
    gate = _resources.Job('gate', 'a', cores=24.0)
    usage = [_sizes.RunReport('slow', 0, 'i', NOW)]
    found = _placement.place_jobs([job, gate], fleet, usage, NOW)
    assert [p.relief for p in found.preemptions] == [Relief.THROTTLE]
    usage = [usage[0]._replace(state=State.THROTTLED)]
    found = _placement.place_jobs([job], fleet, usage, NOW)
    assert [r.job for r in found.restorations] == ['slow']


class CountingReports(dict):
    """Counts the jobs that are looked at."""

    looked = 0

    def get(self, key, default=None):
        self.looked += 1
        return super().get(key, default)


@pytest.mark.parametrize('cancelled', [1, 40])
def test_cancellations_cost_work_in_proportion(cancelled):
    reports = CountingReports(
        (f'j{k}', {0: _sizes.RunReport(f'j{k}', 0, 'i', NOW)})
        for k in range(999)
    )
    names = [f'j{k}' for k in range(cancelled)]
    found = _placement.plan_cancellations(names, reports)
    assert [c.job for c in found] == names
    assert reports.looked == cancelled
