"""A worker that starts again under its id while the owner works with it."""

import time

from common import cases
from common import deployment as deployments
from common import records
from common import workers

_PREFIX = '/puxa400/'
_RESTARTS = 5
_DOWN_SECONDS = 1.0


def main(deployment: deployments.Deployment) -> list[str]:
    """Return each second run of a task."""
    for number in range(1, 8):
        deployment.add_worker(f'i-desk-a-{number}', 'desk-a')
    route = deployments.make_route('r-1', _PREFIX, 'desk-a')
    deployment.configure(3, [route])
    deployment.start()
    entry = deployment.entries[0]
    for round_ in range(_RESTARTS):
        submit(deployment, entry, f'5c0e7a21d94b36{round_:02x}')
        time.sleep(1)
        worker = find_busiest(deployment)
        if deployments.has_trouble():
            worker.restart(_DOWN_SECONDS)
        time.sleep(5)
    record = deployment.record
    return records.find_overlaps(record) + records.find_repeats(record)


def find_busiest(deployment: deployments.Deployment) -> workers.Worker:
    """Return the worker with the most active runs."""
    return max(deployment.workers.values(), key=lambda item: len(item.active))


def submit(
    deployment: deployments.Deployment, entry: deployments.Entry, job: str
) -> None:
    """Send a job of 8 tasks of 3 s, until it is accepted."""
    step = {
        'task_count': 8,
        'cpu': 3800,
        'mem_mb': 2500,
        'estimate_ms': 3000,
    }
    body = {'task_spec': 'access', 'steps': [step]}
    for _ in range(5):
        answer = deployment.send(entry, 'POST', _PREFIX + job, body)
        if answer is not None and answer[0] == 200:
            return
        time.sleep(1)
    raise deployments.CannotRunError(f'job {job} is not accepted')


if __name__ == '__main__':
    cases.run(main, __file__)
