"""A job whose queue moves to another service, and whose POST comes again."""

import time

from common import cases
from common import deployment as deployments
from common import records

_PREFIX = '/puxa400/'
_SHORT, _LONG = '5c0e7a21d94b36f8', '77aa01c2d3e4f506'
_CONFIG_APPLY_SECONDS = 2.0


def main(deployment: deployments.Deployment) -> list[str]:
    """Return each second run of a task."""
    for service in ('desk-a', 'desk-b'):
        for number in (1, 2, 3):
            deployment.add_worker(f'i-{service}-{number}', service)
    route = deployments.make_route('r-1', _PREFIX, 'desk-a')
    deployment.configure(3, [route])
    deployment.start()
    entry = deployment.entries[0]
    short, long = make_job(700), make_job(20000)
    submit(deployment, entry, _SHORT, short)
    submit(deployment, entry, _LONG, long)
    await_completion(deployment, entry, _SHORT)
    if deployments.has_trouble():
        deployment.configure(8, [{**route, 'service': 'desk-b'}])
    time.sleep(_CONFIG_APPLY_SECONDS + 1)
    # A request of before arrives once more, seconds after its 2xx.
    submit(deployment, entry, _SHORT, short)
    submit(deployment, entry, _LONG, long)
    time.sleep(6)
    record = deployment.record
    return records.find_repeats(record) + records.find_overlaps(record)


def make_job(milliseconds: int) -> dict:
    """Return a job of one step with two tasks."""
    step = {
        'task_count': 2,
        'cpu': 1800,
        'mem_mb': 2500,
        'estimate_ms': milliseconds,
    }
    return {'task_spec': 'access', 'steps': [step]}


def submit(
    deployment: deployments.Deployment,
    entry: deployments.Entry,
    job: str,
    body: dict,
) -> None:
    """Send a job until it is accepted."""
    for _ in range(5):
        answer = deployment.send(entry, 'POST', _PREFIX + job, body)
        if answer is not None and answer[0] == 200:
            return
        time.sleep(1)
    raise deployments.CannotRunError(f'job {job} is not accepted')


def await_completion(
    deployment: deployments.Deployment, entry: deployments.Entry, job: str
) -> None:
    """Wait until a job is shown as completed."""
    for _ in range(40):
        answer = deployment.send(entry, 'GET', _PREFIX + job)
        if answer is not None and answer[1].get('state') == 'completed':
            return
        time.sleep(0.25)
    raise deployments.CannotRunError(f'job {job} does not end')


if __name__ == '__main__':
    cases.run(main, __file__)
