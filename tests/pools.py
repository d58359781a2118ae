"""Jobs, workers and boards for the tests of the scheduler."""

import datetime

from skylarktally.scheduling import _board
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work
from tools import clocks

WALL = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def seconds(value):
    return datetime.timedelta(seconds=value)


def make_step(count=1, cpu=1000, estimate=1.0, memory=100, **fields):
    return _work.Step(
        count, _work.Resources(cpu, memory), seconds(estimate), **fields
    )


def make_queue(
    name='q', priority=0, attempts=2, stretch=1.6, target=0.6, advice=None
):
    return _work.Queue(
        name,
        'host',
        f'/{name}/',
        'pool',
        priority,
        attempts,
        stretch,
        seconds(target),
        seconds(3),
        advice,
    )


def make_worker(id_, cpu=32000, zone='z1', pool='pool', **fields):
    values = {
        'address': f'{id_}:80',
        'is_draining': False,
        'labels': frozenset(),
        'rack': '',
        'born_ms': 1,
        'remaining': None,
        **fields,
    }
    return _work.WorkerRecord(
        id=id_,
        pool=pool,
        zone=zone,
        capacity=_work.Resources(cpu, 65536),
        **values,
    )


def make_job(id_, *steps, queue=None, accepted=0.0, **fields):
    spec = _work.JobSpec('spec', steps)
    return _states.Job(
        id_, queue or make_queue(), spec, seconds(accepted), **fields
    )


def open_seat(record):
    return _states.Seat(record, is_known=True, is_recorded=True)


def make_board(*records, jobs=()):
    board = _board.Board()
    for record in records:
        board.seats[record.id] = open_seat(record)
    for job in jobs:
        board.add_job(job, seconds(0), WALL)
    return board


def run_task(board, task, worker, now=0.0, percent=100):
    """Note a run that the worker has reported as at work."""
    run = board.add_run(task, board.seats[worker], seconds(now))
    run.state = _states.RunState.ACTIVE
    run.answered_at = run.reported_at = seconds(now)
    run.percent = percent
    return run


def end(run, kind=_work.EndKind.DONE, sequence=1):
    return _work.EndedRun(sequence, run.task.id, run.number, kind, '')


ManualClock = clocks.ManualClock
