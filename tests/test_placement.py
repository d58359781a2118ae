"""Tests placement: order, spread, preemption, runs started at most once."""

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
PreemptionMethod = _preemption.PreemptionMethod
SECOND = datetime.timedelta(seconds=1)


@strategies.seeded
def draw_cases(rng, states=tuple(State)):
    instances = strategies.draw_fleet(rng)
    jobs = strategies.draw_jobs(rng)
    usage = strategies.draw_reports(rng, jobs, instances, states)
    return jobs, instances, usage


@strategies.check_many(1500)
@hypothesis.given(
    draw_cases(tuple(s for s in State if s is not State.THROTTLED))
)
def test_agrees_with_a_scan_of_every_instance(case):
    found = _placement.place_jobs(*case, NOW)
    naive = naive_placement.place_all(*case, NOW)
    assert [a[:3] for a in found.assignments] == [a[:3] for a in naive.placed]
    assert {
        (p.job, p.run): p.method is not PreemptionMethod.THROTTLE
        for p in found.preemptions
    } == {(job, run): ended for job, run, ended in naive.preempted}


@strategies.check_many(2000)
@hypothesis.given(draw_cases())
def test_neither_overcommits_nor_restarts_non_idempotent_runs(case):
    jobs, instances, usage = case
    found = _placement.place_jobs(*case, NOW)
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
        assert job.idempotent or preemption.method is PreemptionMethod.THROTTLE
    touched = {a.instance for a in found.assignments}
    pool = naive_placement.NaivePool(*case, NOW)
    pool.placed = list(found.assignments)
    for p in found.preemptions:
        pool.held.remove(known[p.job, p.run])
        if p.method is PreemptionMethod.THROTTLE:
            throttled = known[p.job, p.run]._replace(state=State.THROTTLED)
            pool.held.append(throttled)
    zero = _sizes.Size(0, 0, 0, 0)
    assert all(zero.fits(pool.free(name)) for name in touched)
    unschedulable = {u.job for u in found.unschedulable}
    waiting = {(n, count) for n, (count, _) in found.waiting.items()}
    placed = [a.job for a in found.assignments]
    everything = [n for u in ('urgent', 'deferrable') for n in pool.pending(u)]
    assert waiting == {
        (n, left)
        for n in by_name
        if (left := sum(j == n for j, _ in everything) - placed.count(n))
    }
    assert not unschedulable & set(placed)


@strategies.check_many(1500)
@hypothesis.given(draw_cases())
def test_an_urgent_run_waits_only_when_preemption_cannot_help(case):
    jobs, instances, _ = case
    found = _placement.place_jobs(*case, NOW)
    by_name = {job.name: job for job in jobs}
    pool = naive_placement.NaivePool(*case, NOW)
    pool.placed = [
        a for a in found.assignments if by_name[a.job].urgency == 'urgent'
    ]
    preemptible = [
        u
        for u in pool.held
        if by_name[u.job].urgency != 'urgent' and by_name[u.job].idempotent
    ]
    for name in found.waiting:
        if by_name[name].urgency == 'urgent':
            size = found.sizes[name]
            for instance in pool.serving:
                assert not size.fits(pool.free(instance, preemptible))


def time_preemptions_everywhere(workers, pause=lambda: None):
    """Return the CPU time to place an urgent run on each full worker.

    Deferrable runs fill all slots of the pool.
    """
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
    started_at = time.process_time()
    found = _placement.place_jobs(jobs, fleet, usage, NOW, pause)
    # Urgent runs of 1 to 4 slots preempt as many runs: 2.5 on average.
    assert len(found.preemptions) == 10 * workers // 4
    return time.process_time() - started_at


def test_preemption_does_not_plan_every_instance_for_every_run():
    # Planning every instance for every run would take some 16 times as long
    # for four times as many workers.
    time_of_400 = min(time_preemptions_everywhere(400) for _ in range(3))
    assert (
        min(time_preemptions_everywhere(1600) for _ in range(2))
        < 8 * time_of_400
    )


def test_a_long_pass_lets_other_threads_run():
    pauses = []
    time_preemptions_everywhere(400, lambda: pauses.append(1))
    # Once the capacity is known, at the first run of each job, and at each
    # 100th run.
    assert len(pauses) >= 1 + 4 + 400 // 100


def test_half_of_the_pool_has_no_uninterruptible_deferrable_runs():
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
    reported_at = started + datetime.timedelta(seconds=min(age, 10))
    usage = _sizes.RunReport('j', 0, 'i', started, cores=reported)
    usage = usage._replace(reported_at=reported_at)
    assert _sizes.estimate_size(job, [usage], NOW).cores == expected


def test_a_throttled_run_gets_its_cores_back():
    fleet = [strategies.build_instance('i')]
    job = _resources.Job('slow', 'a', 'deferrable', False, cores=32.0)
    gate = _resources.Job('gate', 'a', cores=24.0)
    usage = [_sizes.RunReport('slow', 0, 'i', NOW)]
    found = _placement.place_jobs([job, gate], fleet, usage, NOW)
    assert [p.method for p in found.preemptions] == [PreemptionMethod.THROTTLE]
    usage = [usage[0]._replace(state=State.THROTTLED)]
    found = _placement.place_jobs([job], fleet, usage, NOW)
    assert [r.job for r in found.restorations] == ['slow']


class CountingReports(dict):
    """Counts the jobs that are looked up."""

    lookups = 0

    def get(self, key, default=None):
        self.lookups += 1
        return super().get(key, default)


@pytest.mark.parametrize('cancelled', [1, 40])
def test_cost_of_cancellations_is_proportional_to_their_number(cancelled):
    reports = CountingReports(
        (f'j{k}', {0: _sizes.RunReport(f'j{k}', 0, 'i', NOW)})
        for k in range(999)
    )
    names = [f'j{k}' for k in range(cancelled)]
    found = _placement.plan_cancellations(names, reports)
    assert [c.job for c in found] == names
    assert reports.lookups == cancelled
