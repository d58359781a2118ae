"""More ends wait on a worker than it lists at a time, as its owner dies."""

import signal
import time
from typing import Any

from common import cases
from common import deployment as deployments
from common import records

_PREFIX = '/puxa400/'
_JOB = '5c0e7a21d94b36f8'
_TASKS = 800
_TASK_MS = 6000
_DOWN_SECONDS = 3.0


def main(deployment: deployments.Deployment) -> list[str]:
    """Return each second run of a task."""
    deployment.add_worker('i-desk-a-1', 'desk-a')
    deployment.add_worker('i-desk-a-2', 'desk-a')
    route = deployments.make_route('r-1', _PREFIX, 'desk-a')
    deployment.configure(3, [route])
    deployment.start()
    submit(deployment)
    await_starts(deployment)
    first = deployment.record.list('start')[0]['at']
    now = deployment.record.events[-1]['at']
    # Just before the first task ends.
    time.sleep(max(first + _TASK_MS / 1000 - 0.3 - now, 0))
    if deployments.has_trouble():
        kill_owner(deployment)
    time.sleep(15)
    record = deployment.record
    return records.find_repeats(record) + records.find_overlaps(record)


def submit(deployment: deployments.Deployment) -> None:
    """Send a job of many small tasks, until it is accepted."""
    step: dict[str, Any] = {
        'task_count': _TASKS,
        'cpu': 30,
        'mem_mb': 16,
        'estimate_ms': _TASK_MS,
    }
    body = {'task_spec': 'access', 'steps': [step]}
    for _ in range(5):
        entry = deployment.entries[0]
        answer = deployment.send(entry, 'POST', _PREFIX + _JOB, body)
        if answer is not None and answer[0] == 200:
            return
        time.sleep(1)
    raise deployments.CannotRunError('the job is not accepted')


def await_starts(deployment: deployments.Deployment) -> None:
    """Wait until all tasks run."""
    for _ in range(100):
        if len(deployment.record.list('start')) >= _TASKS:
            return
        time.sleep(0.05)
    raise deployments.CannotRunError('the tasks do not start in time')


def kill_owner(deployment: deployments.Deployment) -> None:
    """Cut the power of the owner's machine, and start it again later."""
    owner = deployment.find_holder('desk-a')
    if owner is None or owner.process is None:
        raise deployments.CannotRunError('the pool has no owner')
    deployment.record.note('SIGKILL', entry=owner.name)
    owner.signal(signal.SIGKILL)
    owner.process.wait()
    time.sleep(_DOWN_SECONDS)
    deployment.start_entry(owner)


if __name__ == '__main__':
    cases.run(main, __file__)
