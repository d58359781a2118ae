"""The owner of a pool is stopped while a job that repeats is at work."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-2'))

import deployment as deployment_module  # noqa: E402
import rules  # noqa: E402
import workers as workers_module  # noqa: E402

_WORKERS = 6
_JOB = '00000000000000d1'
_TASKS = 180
_OCCURRENCES = 10
_INTERVAL_MS = 1000
_STEP = {
    'task_count': _TASKS,
    'cpu': 100,
    'mem_mb': 16,
    'estimate_ms': 8000,
}
_RESTART_SECONDS = 1.0
_random = random.Random(0)


def choose_work(
    worker: workers_module.Worker, task: str, number: int
) -> workers_module.Work:
    """Let each run work for four to twelve seconds."""
    del worker, task, number
    return workers_module.Work(_random.uniform(4, 12))


async def run(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> list[str]:
    """Stop the owner, as in a rolling restart, while 1,400 tasks run."""
    for number in range(_WORKERS):
        workers_module.Worker(deployment.fleet, f'i-{number}', 'desk')
    await deployment.start(
        3,
        deployment_module.make_configuration(
            1, [deployment_module.make_route('jobs', 'desk')], ['desk']
        ),
    )
    await asyncio.sleep(3)
    first_run_ms = int((time.time() + 1) * 1000)
    await _submit(deployment, first_run_ms)
    await asyncio.sleep(1 + _OCCURRENCES * _INTERVAL_MS / 1000)
    if has_trouble:
        owner = deployment.find_owner('desk')
        deployment.fleet.note('SIGTERM', entry=owner.name)
        await owner.terminate()
        await asyncio.sleep(_RESTART_SECONDS)
        deployment.start_entry(owner)
    await asyncio.sleep(35)
    state = await deployment.find_state(f'/jobs/{_JOB}')
    deployment.fleet.note('state', job=_JOB, state=state)
    events = deployment.fleet.events
    return [*rules.find_repeated(events), *rules.find_parallel(events)]


async def _submit(
    deployment: deployment_module.Deployment, first_run_ms: int
) -> None:
    deployment.steps[_JOB] = [_STEP]
    reply = await deployment.call(
        deployment.entries[0],
        'POST',
        f'/jobs/{_JOB}',
        {
            'task_spec': 'work',
            'steps': [_STEP],
            'repeat_count': _OCCURRENCES,
            'first_run_ms': first_run_ms,
            'interval_ms': _INTERVAL_MS,
        },
    )
    if reply.status != 200:
        raise deployment_module.NotRunError('the job was not accepted')


if __name__ == '__main__':
    deployment_module.run_case(run, choose_work)
