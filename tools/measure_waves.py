"""Measures a wave over the target fleet: length, pace, and planning cost.

Usage: python -m tools.measure_waves
"""

import datetime
import random
import time
import tracemalloc
from typing import NamedTuple

from skylarktally import _resources
from skylarktally import _waves

_Phase = _resources.Phase
START = datetime.datetime(2026, 3, 2, tzinfo=datetime.UTC)
STEP = datetime.timedelta(minutes=1)
# A drain waits for batch runs; a reboot includes the platform's checks.
DRAIN = datetime.timedelta(minutes=5)
REBOOT = datetime.timedelta(minutes=5)
# Unplanned failures of an ordinary day, and the time to replace one.
FAILURES_A_DAY = 37
REPLACEMENT = datetime.timedelta(hours=1)
ZONES = 8


class Result(NamedTuple):
    """Figures of one wave."""

    workers: int
    days: float
    visits: int
    plan_milliseconds: float
    plan_kibibytes: int


def build_fleet(workers: int, pools: int) -> list[_resources.Instance]:
    """Build pools over 8 zones with four workers to a rack."""
    return [
        _resources.Instance(
            name=f'i{k:04}',
            pool=f'p{k % pools:03}',
            zone=f'z{k // pools % ZONES}',
            rack=f'r{k % pools // 4}',
            address='',
            cores=32.0,
            memory_bytes=64 << 30,
            accelerators=2,
            slots=8,
            connections=64,
            phase=_Phase.SERVING,
            epoch=1,
        )
        for k in range(workers)
    ]


def run_wave(
    workers: int, pools: int, max_parallel: int, seed: int = 1
) -> Result:
    """Run a wave to its end, with the failures of an ordinary day."""
    rng = random.Random(seed)
    fleet = {i.name: i for i in build_fleet(workers, pools)}
    names = tuple(sorted({i.pool for i in fleet.values()}))
    least = workers // pools - 2
    budgets = [_resources.Budget(p, p, least) for p in names]
    wave = _resources.Wave('w', names, max_parallel, 1, 1000)
    now, visits, costs = START, 0, []
    chance = FAILURES_A_DAY / 3200 * (STEP / datetime.timedelta(days=1))
    while True:
        begun = time.perf_counter()
        plan = _waves.plan_wave(wave, fleet.values(), budgets, now)
        costs.append(time.perf_counter() - begun)
        if plan.state is _waves.State.COMPLETE:
            break
        visits += len(plan.next_stops)
        _start(fleet, plan, now)
        now += STEP
        _advance(fleet, now, chance, rng)
    tracemalloc.start()
    _waves.plan_wave(wave, fleet.values(), budgets, START)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    days = (now - START) / datetime.timedelta(days=1)
    return Result(workers, days, visits, 1e3 * max(costs), peak >> 10)


def _start(
    fleet: dict[str, _resources.Instance],
    plan: _waves.WavePlan,
    now: datetime.datetime,
) -> None:
    for name in plan.next_stops:
        fleet[name] = fleet[name]._replace(
            phase=_Phase.MAINTENANCE,
            operation_id=_waves.format_operation_id('w', now),
            since=now.isoformat(),
        )


def _advance(
    fleet: dict[str, _resources.Instance],
    now: datetime.datetime,
    chance: float,
    rng: random.Random,
) -> None:
    times = {
        _Phase.MAINTENANCE: DRAIN + REBOOT,
        _Phase.FAILED: REPLACEMENT,
    }
    for name, instance in fleet.items():
        if instance.phase in times:
            since = datetime.datetime.fromisoformat(instance.since)
            if now - since >= times[instance.phase]:
                fleet[name] = instance._replace(
                    phase=_Phase.SERVING, since=now.isoformat()
                )
        elif rng.random() < chance:
            fleet[name] = instance._replace(
                phase=_Phase.FAILED, since=now.isoformat()
            )


def main() -> None:
    """Print one line for each fleet and limit of parallel stops."""
    print('workers pools parallel  days visits  plan_ms plan_KiB')
    for workers, pools in ((30, 5), (320, 26), (3200, 264)):
        for parallel in (2, 4, 16):
            r = run_wave(workers, pools, parallel)
            print(
                f'{workers:7} {pools:5} {parallel:8} {r.days:5.2f} '
                f'{r.visits:6} {r.plan_milliseconds:8.1f} '
                f'{r.plan_kibibytes:8}',
                flush=True,
            )


if __name__ == '__main__':
    main()
