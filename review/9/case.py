"""Callers give up and cancel while the store loses answers."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common-2'))

import deployment as deployment_module  # noqa: E402
import workers as workers_module  # noqa: E402

_WORKERS = 6
_JOBS = 16
# A caller gives up after half of the aim of 600 ms.
_GIVE_UP_SECONDS = 0.3
_LOST_SHARE = 0.35
_LOST_SECONDS = 4.0
_WINDOWS = 5
_CALM_SECONDS = 2.0
_CANCEL_SECONDS = 3.0
# An entry instance is in touch once the store has been sound for this long.
_CONTACT_SECONDS = 3.0
_STEPS = [
    {'task_count': 1, 'cpu': 500, 'mem_mb': 64, 'estimate_ms': 3000},
    *(
        {
            'task_count': 1,
            'cpu': 500,
            'mem_mb': 64,
            'estimate_ms': 3000,
            'after': [number],
        }
        for number in range(15)
    ),
]


def choose_work(
    worker: workers_module.Worker, task: str, number: int
) -> workers_module.Work:
    """Let each run work for three seconds."""
    del worker, task, number
    return workers_module.Work(3.0)


async def run(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> list[str]:
    """Submit jobs whose callers give up, and cancel each of them."""
    for number in range(_WORKERS):
        workers_module.Worker(deployment.fleet, f'i-{number}', 'desk')
    await deployment.start(
        3,
        deployment_module.make_configuration(
            1, [deployment_module.make_route('jobs', 'desk')], ['desk']
        ),
    )
    await asyncio.sleep(3)
    answers: dict[str, int] = {}
    sound_at = 0.0
    for window in range(_WINDOWS):
        if has_trouble:
            deployment.store.lost_share = _LOST_SHARE
        callers = []
        for number in range(_JOBS):
            job = f'{window:06x}{number:08x}e1'
            callers.append(asyncio.create_task(_give_up(deployment, job)))
            await asyncio.sleep(_LOST_SECONDS / _JOBS)
        deployment.store.lost_share = 0.0
        sound_at = time.monotonic()
        answers |= dict([await caller for caller in callers])
        await asyncio.sleep(_CALM_SECONDS)
    await asyncio.sleep(20)
    return _list_late_starts(deployment, answers, sound_at + _CONTACT_SECONDS)


async def _give_up(
    deployment: deployment_module.Deployment, job: str
) -> tuple[str, int]:
    """Submit a job, give up, and cancel it; return the answer to that."""
    deployment.steps[job] = _STEPS
    path = f'/jobs/{job}'
    entry = deployment.entries[0]
    key = 'jobs', 'desk', job
    await deployment.call(
        entry,
        'POST',
        path,
        {'task_spec': 'work', 'steps': _STEPS},
        _GIVE_UP_SECONDS,
    )
    status = 0
    for _ in range(10):
        if key in deployment.store.rows:
            # Judged are only cancellations of jobs that are stored before.
            deployment.fleet.note('stored', job=job)
        reply = await deployment.call(entry, 'DELETE', path)
        status = reply.status
        if status == 410 or 200 <= status < 300:
            break
        await asyncio.sleep(0.3)
    return job, status


def _list_late_starts(
    deployment: deployment_module.Deployment,
    answers: dict[str, int],
    calm_at: float,
) -> list[str]:
    """Return the starts long after the cancellation was answered."""
    stored = {event['job'] for event in deployment.list_events('stored')}
    answered_at = {
        job: event['at']
        for event in deployment.list_events('answer')
        if event['call'].startswith('DELETE')
        and event['status'] in (200, 410)
        and (job := event['call'].rpartition('/')[2]) in stored
    }
    return [
        f'UNASKED: {start["task"]} was started '
        f'{start["at"] - answered_at[job]:.1f} s after the DELETE of its job '
        f'was answered with {answers[job]}'
        for start in deployment.list_events('start')
        if (job := start['task'].partition('.')[0]) in answered_at
        and start['at'] > max(answered_at[job] + _CANCEL_SECONDS, calm_at)
    ]


if __name__ == '__main__':
    deployment_module.run_case(run, choose_work)
