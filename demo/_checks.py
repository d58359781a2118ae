"""Compares what callers were told with what the workers ran."""

import collections
from typing import Any, NamedTuple

import urllib3

from demo import _callers
from demo import _deployment


# Slowest urgent requests whose attempts are printed.
_SLOWEST = 5


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


def check_calls(
    calls: list[_callers.Call], records: Records, outage: bool
) -> list[Check]:
    """Check every promise about a request.

    :param outage: whether the table was down, so that keys chosen by
        callers could not be claimed
    """
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
        _count_unknown(calls),
        Check(
            'idempotent requests without an answer',
            str(len(idempotent_open)),
            not idempotent_open,
        ),
        _check_refusals(told_not_run, outage),
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


def _count_unknown(calls: list[_callers.Call]) -> Check:
    errors = collections.Counter(
        call.error for call in calls if call.outcome == 'unknown'
    )
    causes = ', '.join(f'{n} {kind}' for kind, n in errors.items())
    return Check('outcome unknown', causes or '0', True)


def _check_refusals(refused: list[_callers.Call], outage: bool) -> Check:
    wrong = [
        call
        for call in refused
        if not (
            outage
            and call.needs_table
            and call.error == 'platform_unavailable'
        )
    ]
    name = 'refused for good'
    if outage:
        name += ', unless for want of the table'
    return Check(name, f'{len(wrong)} of {len(refused)}', not wrong)


def check_urgent(
    calls: list[_callers.Call], limit: float, outage: bool
) -> Check:
    """Check that urgent requests were answered within the limit.

    :param outage: leave out the requests that had to wait for the table
    """
    times = sorted(
        call.seconds
        for call in calls
        if call.urgency == 'urgent'
        and call.outcome == 'complete'
        and not (outage and call.needs_table)
    )
    if not times:
        return Check('urgent requests', 'none', False)
    p99 = times[int(len(times) * 0.99)]
    return Check(
        f'urgent answers, p99 and slowest (limit {limit} s)',
        f'{p99:.3f} s, {times[-1]:.3f} s',
        times[-1] <= limit,
    )


def describe_slowest(calls: list[_callers.Call]) -> list[str]:
    """Return a line on each of the slowest urgent requests."""
    urgent = [call for call in calls if call.urgency == 'urgent']
    urgent.sort(key=lambda call: call.seconds, reverse=True)
    return [
        f'{call.seconds:.2f} s {call.job} key {call.key[:12]}: '
        + '; '.join(
            f'{x.entry} at {x.start_seconds:.2f} for {x.seconds:.2f} s, '
            f'{x.outcome} {x.error}'.strip()
            for x in call.attempts
        )
        for call in urgent[:_SLOWEST]
    ]


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


def check_interrupted(records: Records) -> Check:
    """Check that no planned stop cut off a request."""
    cut = [
        run
        for runs in records.runs.values()
        for run in runs
        if run['interrupted']
    ]
    return Check('requests cut off by a stop', str(len(cut)), not cut)


def read_log(deployment: _deployment.Deployment) -> list[dict[str, Any]]:
    """Return the rows of the log, oldest first."""
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    url = f'http://{deployment.platform_address}/v1/rows?prefix=log/'
    return list(http.request('GET', url).json()['rows'])


def check_budgets(deployment: _deployment.Deployment) -> Check:
    """Replay the log and check each planned stop against the budgets."""
    rows = read_log(deployment)
    resources: dict[tuple[str, str], dict[str, Any]] = {}
    broken, stops = [], 0
    for row in rows:
        for change in row['value']['changes']:
            key = (change['kind'], change['name'])
            stopped = _is_planned_stop(resources.get(key), change['value'])
            if change['value'] is None:
                resources.pop(key, None)
            else:
                resources[key] = change['value']
            if stopped:
                stops += 1
                pool = change['value']['spec']['pool']
                if not _holds_budget(resources, pool):
                    broken.append(row['value']['version'])
    return Check(
        f'budgets broken by {stops} planned stops',
        str(len(broken)),
        not broken,
    )


def _is_planned_stop(
    before: dict[str, Any] | None, after: dict[str, Any] | None
) -> bool:
    if before is None or after is None or after['kind'] != 'instance':
        return False
    return (
        before['status'].get('phase') == 'serving'
        and after['status'].get('phase') == 'draining'
        # Instances that the platform removes are lost, whatever is decided.
        and not after['status'].get('departing')
    )


def _holds_budget(
    resources: dict[tuple[str, str], dict[str, Any]], pool: str
) -> bool:
    members = [
        item
        for (kind, _name), item in resources.items()
        if kind == 'instance' and item['spec']['pool'] == pool
    ]
    lost = [i for i in members if i['status'].get('phase') != 'serving']
    zones = collections.Counter(i['spec']['zone'] for i in lost)
    for (kind, _name), item in resources.items():
        spec = item['spec']
        if kind != 'budget' or spec['pool'] != pool:
            continue
        most = spec.get('max_unavailable')
        zone_most = spec.get('max_unavailable_per_zone')
        if (
            len(members) - len(lost) < spec['min_available']
            or (most is not None and len(lost) > most)
            or (zone_most is not None and max(zones.values()) > zone_most)
        ):
            return False
    return True
