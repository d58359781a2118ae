"""A surge of one pool: which instances move to it, when, and which return."""

import datetime
import time
from typing import Any, NamedTuple

from demo import _callers
from demo import _checks
from demo import _deployment
from skylarktally import _loop

# The run time that the jobs of the examples declare is shorter. Long tasks
# fill a pool with requests that one process of callers can send.
TASK_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 15.0
_WARM_UP_SECONDS = 3.0
_SURGE_SECONDS = 8.0
_SURGE_FACTOR = 5.0
_QUIET_FACTOR = 0.05
# Callers with deferrable work for each slot of the spare pool.
_DEFERRABLE_FACTOR = 2


class Moved(NamedTuple):
    """A move as recorded in the log; times are in Unix seconds."""

    instance: str
    source: str
    target: str
    begun: float
    # None until the instance serves its new pool.
    served: float | None


def run(
    deployment: _deployment.Deployment,
    callers: _callers.Callers,
    pool: str,
    seconds: float,
    rate: float,
) -> list[_checks.Check]:
    """Send a surge to a pool and deferrable work to the spare one.

    :param seconds: duration of the whole load
    :param rate: mean requests a second of the pool that surges
    """
    spare = _find_spare(deployment)
    urgent = _find_job(deployment, pool, 'urgent')
    later = _find_job(deployment, spare, 'deferrable')
    surge = time.time() + _WARM_UP_SECONDS
    end = surge - _WARM_UP_SECONDS + seconds

    def find_rate() -> float:
        since = time.time() - surge
        if since < 0:
            return rate
        factor = _SURGE_FACTOR if since < _SURGE_SECONDS else _QUIET_FACTOR
        return rate * factor

    size = deployment.worker_size
    count = _DEFERRABLE_FACTOR * size['per_pool'] * size['slots']
    threads = [
        _loop.spawn(callers.repeat, number, later, end)
        for number in range(count)
    ]
    threads.append(_loop.spawn(callers.send_at, urgent, find_rate, end))
    for thread in threads:
        thread.wait()
    rows = _checks.read_log(deployment)
    moves, smallest = replay_moves(rows)
    records = _checks.read_records(deployment)
    return [
        *_checks.check_calls(callers.calls, records, outage=False),
        *_check_moves(moves, pool, spare, surge, end),
        _check_capacity(records, pool, moves, surge),
        _check_floors(deployment, smallest),
        _checks.check_pools(records),
        _checks.check_interrupted(records),
        _checks.check_budgets(deployment),
    ]


def replay_moves(
    rows: list[dict[str, Any]],
) -> tuple[list[Moved], dict[str, int]]:
    """Return the moves in the log, and the least size of each pool.

    The sizes count serving instances from the first move on.
    """
    moves: list[Moved] = []
    serving: dict[str, str] = {}
    smallest: dict[str, int] = {}
    for row in rows:
        at = datetime.datetime.fromisoformat(
            row['value']['accepted_at']
        ).timestamp()
        for change in row['value']['changes']:
            if change['kind'] != 'instance' or change['value'] is None:
                continue
            name, value = change['name'], change['value']
            status, pool = value['status'], value['spec']['pool']
            phase, target = status.get('phase'), status.get('target_pool')
            if phase == 'draining' and target and name in serving:
                moves.append(Moved(name, pool, target, at, None))
            serving.pop(name, None)
            if phase != 'serving':
                continue
            serving[name] = pool
            for number, move in enumerate(moves):
                if move.instance == name and move.served is None:
                    moves[number] = move._replace(served=at)
        pools = list(serving.values())
        if moves:
            for pool in set(pools):
                known = smallest.get(pool, len(pools))
                smallest[pool] = min(known, pools.count(pool))
    return moves, smallest


def _check_moves(
    moves: list[Moved], pool: str, spare: str, surge: float, end: float
) -> list[_checks.Check]:
    lent = [m for m in moves if (m.source, m.target) == (spare, pool)]
    back = [m for m in moves if (m.source, m.target) == (pool, spare)]
    served = [m.served - surge for m in lent if m.served is not None]
    first = min(served, default=None)
    once = len({m.instance for m in moves})
    return [
        _checks.Check(
            f'moves from {spare} to {pool}', str(len(lent)), bool(lent)
        ),
        _checks.Check(
            'the first one serves after the start of the surge',
            'never' if first is None else f'{first:.2f} s',
            first is not None,
        ),
        _checks.Check(
            f'moves from {pool} to {spare}', str(len(back)), bool(back)
        ),
        # An instance moves once there and once back.
        _checks.Check(
            f'moves in {end - surge:.0f} s, of {once} instances',
            str(len(moves)),
            len(moves) <= 2 * once,
        ),
    ]


def _check_capacity(
    records: _checks.Records, pool: str, moves: list[Moved], surge: float
) -> _checks.Check:
    """Find out when the first request ran on an instance that moved."""
    served = {
        m.instance: m.served
        for m in reversed(moves)
        if m.target == pool and m.served is not None
    }
    starts = [
        run['start'] - surge
        for runs in records.runs.values()
        for run in runs
        if run['pool'] == pool
        and run['start'] >= served.get(run['worker'], float('inf'))
    ]
    value = f'{min(starts):.2f} s' if starts else 'never'
    return _checks.Check(
        'first run on new capacity after the start', value, bool(starts)
    )


def _check_floors(
    deployment: _deployment.Deployment, smallest: dict[str, int]
) -> _checks.Check:
    below = [
        item['name']
        for item in deployment.resources
        if item['kind'] == 'pool'
        and smallest.get(item['name'], 0) < item['spec']['floor']
    ]
    return _checks.Check(
        'pools below their floor', ', '.join(below) or '0', not below
    )


def _find_spare(deployment: _deployment.Deployment) -> str:
    return next(
        str(item['name'])
        for item in deployment.resources
        if item['kind'] == 'pool' and item['spec']['spare']
    )


def _find_job(
    deployment: _deployment.Deployment, pool: str, urgency: str
) -> dict[str, Any]:
    """Return a job of the pool that may be sent again."""
    for item in deployment.resources:
        spec = item['spec']
        if (
            item['kind'] == 'job'
            and (spec['pool'], spec['urgency']) == (pool, urgency)
            and spec['idempotent']
            and spec['mode'] == 'request'
        ):
            return dict(item)
    raise LookupError(f'no idempotent {urgency} request job in {pool}')
