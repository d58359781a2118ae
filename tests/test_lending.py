"""Guards moves of instances between pools, replayed without I/O."""

import pytest

from skylarktally.scheduling import _forecasts
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _planning
from skylarktally.scheduling import _work
from tests import pools

SIZE = 32000
STANDBY = frozenset({'spare'})


def make_instances(**counts):
    return [
        _work.InstanceRecord(
            f'{pool}{number}',
            pool,
            'up',
            'z1',
            '' if pool == 'spare' else f'w-{pool}{number}',
            SIZE,
        )
        for pool, count in counts.items()
        for number in range(count)
    ]


def make_load(needed, fewest=1, reserve=1000, idle=()):
    workers = tuple(_lending.WorkerLoad(name, 0, 0) for name in idle)
    return _lending.PoolLoad(needed, reserve, fewest, workers)


def plan(lender, loads, instances, now=0.0, moving=None):
    moves = lender.plan(
        loads, instances, STANDBY, moving or {}, pools.seconds(now)
    )
    return sorted((move.instance.pool, move.pool) for move in moves)


def test_a_pool_that_lacks_room_gets_parked_instances_first():
    """Replays the beginning of a surge."""
    loads = {
        'a': make_load(5 * SIZE),
        'b': make_load(0, idle=['w-b0', 'w-b1', 'w-b2']),
    }
    instances = make_instances(a=2, b=3, spare=2)
    assert plan(_lending.Lender(), loads, instances) == [
        ('b', 'a'),
        ('spare', 'a'),
        ('spare', 'a'),
    ]


def test_instances_on_their_way_are_not_asked_for_again():
    loads = {'a': make_load(4 * SIZE)}
    instances = make_instances(a=2, spare=4)
    moving = {'spare0': 'a', 'spare1': 'a'}
    assert plan(_lending.Lender(), loads, instances, 0, moving) == []


def test_a_pool_keeps_what_its_long_running_steps_need():
    loads = {'a': make_load(0, fewest=3, idle=['w-a0', 'w-a1', 'w-a2'])}
    instances = make_instances(a=3, spare=1)
    lender = _lending.Lender()
    for now in range(20):
        assert plan(lender, loads, instances, now) == []


def test_an_instance_is_parked_only_after_its_pool_wanted_it_no_more():
    busy = {'a': make_load(4 * SIZE)}
    calm = {'a': make_load(0, idle=[f'w-a{n}' for n in range(4)])}
    instances = make_instances(a=4)
    lender = _lending.Lender()
    assert plan(lender, busy, instances, 0) == []
    delay = _lending.PARK_DELAY.total_seconds()
    assert plan(lender, calm, instances, 0.1) == []
    assert plan(lender, calm, instances, delay) == []
    parked = plan(lender, calm, instances, delay + 0.1)
    assert parked == [('a', 'spare')] * 3


def test_a_worker_that_runs_something_is_not_taken():
    loads = {'a': make_load(9 * SIZE), 'b': make_load(0)}
    assert plan(_lending.Lender(), loads, make_instances(a=1, b=5)) == []


def test_a_pool_of_unknown_demand_keeps_its_instances():
    loads = {'a': make_load(0, reserve=0, idle=['w-a0', 'w-a1'])}
    lender = _lending.Lender()
    for now in range(10):
        assert plan(lender, loads, make_instances(a=2), now) == []


def test_a_pool_whose_owner_does_not_answer_is_left_alone():
    loads = {'a': make_load(9 * SIZE)}
    assert plan(_lending.Lender(), loads, make_instances(a=1, b=4)) == []


@pytest.mark.parametrize(
    'rate, expected', [(0, 0), (1, 0), (5, 40000), (20, 190000)]
)
def test_the_rate_of_arrivals_tells_a_surge(rate, expected):
    """Replays arrivals of 8 core-seconds each within a window."""
    arrivals = _forecasts.Arrivals()
    work = pools.seconds(8000)
    for number in range(rate):
        arrivals.note(pools.seconds(number * 0.7 / max(rate, 1)), work)
    assert arrivals.forecast(pools.seconds(0.75)) == expected
    assert arrivals.forecast(pools.seconds(5)) == 0


def test_a_load_counts_running_waiting_and_leaving():
    lasting = pools.make_step(
        2, cpu=2000, is_long_running=True, tasks_per_worker=1
    )
    jobs = [
        pools.make_job('a', pools.make_step(4, cpu=3000)),
        pools.make_job('b', lasting),
    ]
    names = 'wxy'
    board = pools.make_board(
        *(pools.make_worker(name) for name in names), jobs=jobs
    )
    pools.run_task(board, jobs[0].groups[0, 0].tasks[0], 'w')
    pools.run_task(board, jobs[1].groups[0, 0].tasks[0], 'x')
    load = _planning.measure_load(board, pools.seconds(0))
    assert load.needed_millicores == 4 * 3000 + 2 * 2000
    assert load.fewest_workers == 2
    board.seats['y'].is_vacating = True
    leaving = _planning.measure_load(board, pools.seconds(0))
    assert leaving.fewest_workers == 3
    assert leaving.needed_millicores == load.needed_millicores + SIZE
