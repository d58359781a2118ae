"""Generated fleets, jobs and reports for the tests of decisions."""

import datetime

import hypothesis
from hypothesis import strategies as st

from skylarktally import _resources
from skylarktally import _sizes

NOW = datetime.datetime(2026, 3, 2, tzinfo=datetime.UTC)
Phase = _resources.Phase
# Most instances serve, as in a fleet.
PHASES = (Phase.SERVING,) * 12 + tuple(Phase)


def check_many(count):
    """Run a property over a fixed set of cases, the same in each run."""
    return hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )


def build_instance(name, pool='a', zone='z0', rack='r0', **fields):
    values = {
        'cores': 32.0,
        'memory_bytes': 64 << 30,
        'accelerators': 0,
        'slots': 8,
        'phase': Phase.SERVING,
    }
    return _resources.Instance(
        name=name,
        pool=pool,
        zone=zone,
        rack=rack,
        address='',
        connections=64,
        epoch=1,
        **{**values, **fields},
    )


def build_fleet(pools, per_pool, zones=3, **fields):
    """Build pools of equal size, spread over zones, four to a rack."""
    fleet = []
    for turn, pool in enumerate(pools):
        for k in range(per_pool):
            place = turn * per_pool + k
            fleet.append(
                build_instance(
                    f'{pool}-{k}',
                    pool,
                    f'z{place % zones}',
                    f'r{place // zones // 4}',
                    **fields,
                )
            )
    return fleet


@st.composite
def fleets(draw, pools=('a',), most=6, phases=PHASES):
    count = draw(st.integers(1, most))
    phase = st.sampled_from(phases)
    return [
        build_instance(
            f'i{k}',
            draw(st.sampled_from(pools)),
            draw(st.sampled_from(('z0', 'z1', 'z2'))),
            draw(st.sampled_from(('r0', 'r1'))),
            cores=float(draw(st.sampled_from((4, 8)))),
            memory_bytes=draw(st.sampled_from((8, 16))),
            accelerators=draw(st.sampled_from((0, 0, 2))),
            slots=draw(st.sampled_from((2, 4, 8))),
            phase=draw(phase),
        )
        for k in range(count)
    ]


@st.composite
def jobs(draw, pool='a'):
    count = draw(st.integers(1, 4))
    return [
        _resources.Job(
            f'j{k}',
            pool,
            draw(st.sampled_from(('urgent', 'deferrable'))),
            draw(st.booleans()),
            cores=draw(st.sampled_from((0.5, 1.0, 3.0, 6.0))),
            memory_bytes=draw(st.sampled_from((0, 1, 4, 12))),
            accelerators=draw(st.sampled_from((0, 0, 0, 1))),
            slots=draw(st.sampled_from((1, 1, 2))),
            mode=draw(st.sampled_from(('request', 'batch'))),
            runs=draw(st.integers(0, 12)),
        )
        for k in range(count)
    ]


@st.composite
def reports(draw, jobs, instances, states=tuple(_sizes.RunState)):
    """Draw reports, some of them on young runs or without sizes yet."""
    usage = []
    for job in jobs:
        for run in range(draw(st.integers(0, job.runs))):
            age = draw(st.integers(0, 20))
            reported = draw(st.booleans())
            factor = draw(st.sampled_from((0.1, 0.5, 1, 1.5, 9)))
            usage.append(
                _sizes.Usage(
                    job.name,
                    run,
                    draw(st.sampled_from(instances)).name,
                    NOW - datetime.timedelta(seconds=age),
                    draw(st.sampled_from(states)),
                    job.cores * factor if reported else None,
                    int(job.memory_bytes * factor) if reported else None,
                    NOW if reported else None,
                )
            )
    return usage
