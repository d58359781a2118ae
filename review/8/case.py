"""A machine is lost for seconds, and its pools stay on the other one."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-2'))

import advisor as advisor_module  # noqa: E402
import deployment as deployment_module  # noqa: E402
import workers as workers_module  # noqa: E402

_POOLS = ('desk-a', 'desk-b', 'desk-c', 'desk-d')
_WORKERS = 6
_ENTRIES = 2
_DECIDE_MS = 400
_EACH_MS = 40
_JOBS = 44
_INTERVAL_SECONDS = 0.75
_LOST_AFTER_JOBS = 12
_DARK_SECONDS = 3.5
_FINISH_SECONDS = 14.0
_WATCH_SECONDS = 3.0
_STEP = {'task_count': 2, 'cpu': 2000, 'mem_mb': 64, 'estimate_ms': 1200}


def choose_work(
    worker: workers_module.Worker, task: str, number: int
) -> workers_module.Work:
    """Let each run work for a good second."""
    del worker, task, number
    return workers_module.Work(1.2)


def _is_eligible(worker: str) -> bool:
    """Let every other worker of a pool run all steps."""
    return int(worker.rpartition('-')[2]) % 2 == 0


async def run(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> list[str]:
    """Submit jobs that need advice while one machine is lost and returns."""
    fleet = deployment.fleet
    tickets: dict[str, advisor_module.Ticket] = {}
    for pool, number in itertools.product(_POOLS, range(_WORKERS)):
        advisor_module.AdvisedWorker(fleet, f'{pool}-{number}', pool, tickets)
    # The service serves each machine in a queue of its own.
    for number in range(1, _ENTRIES + 1):
        advisor = advisor_module.Advisor(
            fleet, _DECIDE_MS / 1000, _EACH_MS / 1000, _is_eligible, tickets
        )
        await advisor.server.open()
        deployment.advisors[f'entry-{number}'] = advisor.server.address
    advice = {'decide_ms': _DECIDE_MS, 'each_ms': _EACH_MS, 'valid_ms': 3000}
    routes = [
        deployment_module.make_route(pool, pool, advisor=advice)
        for pool in _POOLS
    ]
    await deployment.start(
        _ENTRIES,
        deployment_module.make_configuration(1, routes, list(_POOLS)),
    )
    await asyncio.sleep(3)
    jobs = await _submit_jobs(deployment, has_trouble)
    await asyncio.sleep(_FINISH_SECONDS)
    started_at = time.monotonic()
    await asyncio.sleep(_WATCH_SECONDS)
    return _list_idle(deployment, jobs, started_at)


async def _submit_jobs(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> dict[str, str]:
    """Submit jobs to the pools in turn; return the pool of each of them."""
    jobs: dict[str, str] = {}
    threads = []
    for number in range(_JOBS):
        if has_trouble and number == _LOST_AFTER_JOBS:
            threads.append(asyncio.create_task(_lose_machine(deployment)))
        job, pool = f'{number:014x}a7', _POOLS[number % len(_POOLS)]
        jobs[job] = pool
        threads.append(
            asyncio.create_task(
                deployment.submit(f'/{pool}/{job}', [_STEP], attempts=12)
            )
        )
        await asyncio.sleep(_INTERVAL_SECONDS)
    for thread in threads:
        await thread
    return jobs


async def _lose_machine(deployment: deployment_module.Deployment) -> None:
    """Kill one entry instance, and start it again seconds later."""
    entry = deployment.entries[0]
    deployment.fleet.note('lost', entry=entry.name)
    entry.send(signal.SIGKILL)
    await asyncio.sleep(_DARK_SECONDS)
    deployment.start_entry(entry)
    deployment.fleet.note('back', entry=entry.name)


def _list_idle(
    deployment: deployment_module.Deployment,
    jobs: dict[str, str],
    since: float,
) -> list[str]:
    """Return the jobs without a run for long, though their pool is idle."""
    events = deployment.fleet.events
    begun = {
        event['task'].partition('.')[0]
        for event in events
        if event['what'] == 'start'
    }
    lines = []
    for pool in _POOLS:
        waiting = [job for job, its in jobs.items() if its == pool]
        waiting = [job for job in waiting if job not in begun]
        starts = [
            event
            for event in events
            if event['what'] == 'start'
            and event['worker'].startswith(pool)
            and event['at'] >= since - _STEP['estimate_ms'] / 1000
        ]
        # In use of the 192 cores of a pool, at most.
        used = len(starts) * _STEP['cpu'] / 1000
        if waiting and used < _WORKERS * 32 / 2:
            lines.append(
                f'LOST: {len(waiting)} accepted jobs of pool {pool} have not '
                f'begun {time.monotonic() - since + _FINISH_SECONDS:.0f} s '
                f'after the end of the traffic, such as {waiting[0]}; at most '
                f'{used:.0f} of its 192 cores were in use in the last 3 s'
            )
    return lines


if __name__ == '__main__':
    deployment_module.run_case(run, choose_work)
