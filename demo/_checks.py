"""Compares what callers were told with what the workers ran."""

import collections
from typing import Any, NamedTuple

import urllib3

from demo import _callers
from demo import _deployment


class Check(NamedTuple):
    """One line of the final table."""

    name: str
    value: str
    passed: bool


class Records(NamedTuple):
    """Runs by request key, as the workers recorded them."""

    runs: dict[str, list[dict[str, Any]]]
    unreadable: list[str]


def read_records(deployment: _deployment.Deployment) -> Records:
    """Read the record of every worker."""
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    runs: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    unreadable = []
    for worker in deployment.workers:
        try:
            answer = http.request(
                'GET', f'http://{worker.address}/v1/record'
            ).json()
        except urllib3.exceptions.HTTPError:
            unreadable.append(worker.name)
            continue
        for run in answer['runs']:
            runs[run['request_key']].append({**run, 'worker': worker.name})
    return Records(dict(runs), unreadable)


def check_calls(calls: list[_callers.Call], records: Records) -> list[Check]:
    """Check every promise about a request."""
    outcomes = collections.Counter(call.outcome for call in calls)
    told_not_run = [
        call for call in calls if call.outcome in ('not-run', 'unreachable')
    ]
    ran_after_all = [c for c in told_not_run if c.key in records.runs]
    doubled = [
        call
        for call in calls
        if not call.idempotent and len(records.runs.get(call.key, ())) > 1
    ]
    lost = [
        call
        for call in calls
        if call.outcome == 'complete' and call.key not in records.runs
    ]
    idempotent_open = [
        call
        for call in calls
        if call.idempotent and call.outcome != 'complete'
    ]
    return [
        Check('requests sent', str(len(calls)), bool(calls)),
        Check('answers complete', str(outcomes['complete']), True),
        Check('outcome unknown', str(outcomes['unknown']), True),
        Check(
            'idempotent requests without an answer',
            str(len(idempotent_open)),
            not idempotent_open,
        ),
        Check('refused for good', str(len(told_not_run)), not told_not_run),
        Check(
            'told "not run" but ran',
            str(len(ran_after_all)),
            not ran_after_all,
        ),
        Check(
            'answers of another request',
            str(outcomes['wrong-answer']),
            not outcomes['wrong-answer'],
        ),
        Check('non-idempotent run twice', str(len(doubled)), not doubled),
        Check('answered but never run', str(len(lost)), not lost),
    ]


def check_urgent(calls: list[_callers.Call], limit: float) -> Check:
    """Check that urgent requests were answered within the limit."""
    times = sorted(
        call.seconds
        for call in calls
        if call.urgency == 'urgent' and call.outcome == 'complete'
    )
    if not times:
        return Check('urgent requests', 'none', False)
    p99 = times[int(len(times) * 0.99)]
    return Check(
        f'urgent answers, p99 and slowest (limit {limit} s)',
        f'{p99:.3f} s, {times[-1]:.3f} s',
        times[-1] <= limit,
    )


def check_pools(records: Records) -> Check:
    """Check that no worker ever ran work of two pools under one epoch."""
    owners: dict[tuple[str, int], set[str]] = collections.defaultdict(set)
    for runs in records.runs.values():
        for run in runs:
            owners[run['worker'], run['epoch']].add(run['pool'])
    shared = [key for key, pools in owners.items() if len(pools) > 1]
    return Check(
        'instances in two pools at once', str(len(shared)), not shared
    )


def check_stop(records: Records, worker: str) -> Check:
    """Check that the planned stop of a worker cut off no request."""
    cut = [
        run
        for runs in records.runs.values()
        for run in runs
        if run['worker'] == worker and run['interrupted']
    ]
    return Check(f'requests cut off on {worker}', str(len(cut)), not cut)
