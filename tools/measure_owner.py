"""Measures what a full pool costs its owner: plans, and calls to workers.

Run as ``python -m tools.measure_owner``. Prints milliseconds of one core,
the fastest of several tries.
"""

from collections.abc import Callable
import datetime
import socket
import time

from absl import app

from skylarktally import _loop

_loop.patch_standard_library()

from eventlet import patcher  # noqa: E402

from skylarktally import platform  # noqa: E402
from skylarktally.scheduling import _admission  # noqa: E402
from skylarktally.scheduling import _orders  # noqa: E402
from skylarktally.scheduling import _planning  # noqa: E402
from skylarktally.scheduling import _pool_state  # noqa: E402
from skylarktally.scheduling import _work  # noqa: E402
from tests import pools  # noqa: E402

# Workers of the pool and jobs of 8 tasks; 10 tasks fit on a worker.
_SIZES = ((6, 20), (43, 54), (43, 80), (43, 160), (43, 320), (124, 320))
_TASKS = 8
_TASK_MILLICORES = 3100
_TRIES = 20
_NOW = pools.seconds(0)
# Calls at the same time, and calls of each of these callers.
_CALLERS = 16
_CALLS = 100
_TASK = _work.TaskId('5c0e7a21d94b36f8', 0, 1, 17)
_ACTIVE_RUN = b'["5c0e7a21d94b36f8.0.1.1",2,"",41,3100]'
_REPORT = (
    b'{"clock_ms":482113,"born":1764879243123,"active_runs":['
    + b','.join([_ACTIVE_RUN] * 10)
    + b'],"ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
)


def make_full_pool(workers: int, jobs: int) -> _pool_state.PoolState:
    """Return a pool on which all that fits runs, and the other jobs wait."""
    pool_state = pools.make_pool_state(
        *[pools.make_worker(f'w{index}') for index in range(workers)],
        jobs=[
            pools.make_job(
                f'j{index}', pools.make_step(_TASKS, cpu=_TASK_MILLICORES)
            )
            for index in range(jobs)
        ],
    )
    for task, worker_state in _planning.plan_starts(pool_state, _NOW):
        pools.run_task(pool_state, task, worker_state.record.id)
    pool_state.lendable_millicores = 10**9
    return pool_state


def time_fastest(function: Callable[[], object]) -> float:
    """Return the fastest of several calls, in milliseconds."""
    durations = []
    for _ in range(_TRIES):
        started_at = time.perf_counter()
        function()
        durations.append(time.perf_counter() - started_at)
    return min(durations) * 1000


def measure_plans(workers: int, jobs: int) -> tuple[float, ...]:
    """Return the milliseconds of plans, of the load and of a submission."""
    pool_state = make_full_pool(workers, jobs)
    queue = pools.make_queue()
    spec = pools.make_job('x', pools.make_step(_TASKS, cpu=3100)).spec
    return tuple(
        time_fastest(function)
        for function in (
            lambda: _planning.plan_starts(pool_state, _NOW),
            lambda: _planning.plan_stops(pool_state, _NOW),
            lambda: _planning.measure_load(pool_state, _NOW),
            lambda: _admission.review(pool_state, queue, spec),
        )
    )


def serve_workers() -> str:
    """Answer all orders in native threads; return the address."""
    native = patcher.original('socket')
    listener = native.create_server(('127.0.0.1', 0))

    def serve(connection: socket.socket) -> None:
        while request := connection.recv(65536):
            is_report = b'/-/hold' in request
            body = _REPORT if is_report else b'{"clock_ms":482113}'
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            connection.sendall(head.encode() + body)

    def accept() -> None:
        while True:
            start_thread(serve, listener.accept()[0])

    start_thread(accept)
    return f'127.0.0.1:{listener.getsockname()[1]}'


def start_thread(function: Callable[..., None], *arguments: object) -> None:
    """Run a function in a native thread beside the loop."""
    thread = patcher.original('threading').Thread(
        target=function, args=arguments, daemon=True
    )
    thread.start()


def measure_call(call: Callable[[], object]) -> float:
    """Return the processor milliseconds of a call among several at once."""

    def run() -> None:
        for _ in range(_CALLS):
            call()

    started_at = time.thread_time()
    for thread in [_loop.spawn(run) for _ in range(_CALLERS)]:
        thread.wait()
    return (time.thread_time() - started_at) / _CALLERS / _CALLS * 1000


def main(arguments: list[str]) -> None:
    """Print one row for each size of the pool, and one for each call."""
    del arguments
    print('workers jobs  starts   stops    load submission')
    for workers, jobs in _SIZES:
        figures = measure_plans(workers, jobs)
        row = ' '.join(f'{figure:7.2f}' for figure in figures)
        print(f'{workers:7} {jobs:4} {row}', flush=True)
    worker = pools.make_worker('w', address=serve_workers())
    client = platform.WorkerCalls()
    until = datetime.timedelta(seconds=486)
    start = _orders.StartOrder(_TASK, 2, 'x' * 300, until, '')
    second = datetime.timedelta(seconds=1)
    renewal = _orders.RenewOrder(until, 57, second, second)
    for name, call in (
        ('start', lambda: client.start(worker, 7, start)),
        ('report of 10 runs', lambda: client.renew_leases(worker, 7, renewal)),
    ):
        measure_call(call)
        print(f'{name}: {measure_call(call):.3f}')


if __name__ == '__main__':
    app.run(main)
