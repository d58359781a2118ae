"""Runs the demo scenario: load, the draining of a worker, and faults."""

import pathlib
import sys
import time
from typing import Any, NamedTuple

import urllib3

from demo import _callers
from demo import _checks
from demo import _deployment
from demo import _faults
from demo import _links
from demo import _operator
from demo import _processes
from demo import _surge
from skylarktally import _loop

# Limit until every router has the same declared resources in force.
_ROLLOUT_LIMIT_SECONDS = 5.0
_URGENT_LIMIT_SECONDS = 5.5
_POLL_SECONDS = 0.1
_VERSION_POLL_SECONDS = 0.5


class Plan(NamedTuple):
    """Options of one run of the demo."""

    seconds: float
    # Mean number of requests a second.
    rate: float
    seed: int
    faults: tuple[str, ...]
    # Only start and declare; stop at the end of the standard input.
    hold: bool
    # Pool that gets a surge in place of the usual load; empty for none.
    surge: str = ''
    controller_settings: dict[str, Any] = {}


def run(path: str, directory: pathlib.Path, plan: Plan) -> list[_checks.Check]:
    """Run a deployment with the options of the plan; return the checks."""
    network = _deployment.Network()
    deployment = _deployment.read_deployment(path, network.number)._replace(
        controller_settings=plan.controller_settings
    )
    processes = _processes.Processes(directory)
    links = _links.start_links(deployment)
    peers = _links.PeerLinks(deployment.entries)
    try:
        failed = _start(deployment, processes)
        if failed:
            return failed
        operator = _operator.Operator(deployment, processes.directory)
        declared = _declare(deployment, operator)
        if plan.hold:
            _wait_for_end_of_input(deployment, operator)
            return [declared]
        if plan.surge:
            return [declared, *_run_surge(deployment, plan)]
        scene = _faults.Scene(
            deployment,
            processes,
            operator,
            _callers.Callers(deployment, plan.seed),
            links,
            peers,
        )
        return [declared, *_run_load(scene, plan)]
    finally:
        _print('stopping all processes')
        killed = processes.stop_all()
        if killed:
            _print(f'had to kill: {", ".join(killed)}')
        network.release()


def _wait_for_end_of_input(
    deployment: _deployment.Deployment, operator: _operator.Operator
) -> None:
    """Print how to reach the deployment; wait for the end of the input."""
    entry = deployment.entries[-1]
    _print(f'resource API    {entry.api_address}')
    _print(f'operator token  {operator.token_file}')
    _print(f'serving port    {entry.serving_address}')
    _print(f'caller token    {deployment.caller_token}')
    _print(f'state dump      http://{entry.admin_address}/debug/state')
    _print('press Ctrl-D to stop')
    # A blocking read would block the event loop of this process, and with
    # it the links.
    while not (_loop.is_readable(sys.stdin) and not sys.stdin.readline()):
        _loop.sleep(_POLL_SECONDS)


def _run_surge(
    deployment: _deployment.Deployment, plan: Plan
) -> list[_checks.Check]:
    _print(f'surge of {plan.surge}, {plan.seconds:.0f} s in all')
    callers = _callers.Callers(
        deployment,
        plan.seed,
        _surge.TASK_SECONDS,
        _surge.CALLER_TIMEOUT_SECONDS,
    )
    return [
        *_surge.run(deployment, callers, plan.surge, plan.seconds, plan.rate),
        _checks.check_urgent(callers.calls, _URGENT_LIMIT_SECONDS, False),
    ]


def _run_load(scene: _faults.Scene, plan: Plan) -> list[_checks.Check]:
    deployment, seconds = scene.deployment, plan.seconds
    _print(f'sending {plan.rate:.0f} requests a second for {seconds:.0f} s')
    load = _loop.spawn(scene.callers.run, seconds, plan.rate)
    reverted: list[str] = []
    _loop.spawn(_record_reverted_versions, deployment, reverted)
    _loop.sleep(seconds * 0.2)
    drained_worker = deployment.workers[0].name
    drain = _loop.spawn(scene.operator.drain, drained_worker)
    _print(f'draining {drained_worker}')
    _loop.sleep(seconds * 0.2)
    faults = [
        _loop.spawn(
            _inject_fault, scene, name, plan.faults.count(name), seconds
        )
        for name in sorted(set(plan.faults))
    ]
    load.wait()
    for running in faults:
        running.wait()
    drain_result = drain.wait()
    for line in _checks.describe_slowest(scene.callers.calls):
        _print(line)
    records = _checks.read_records(deployment)
    outage = 'outage' in plan.faults
    return [
        *_checks.check_calls(scene.callers.calls, records, outage),
        _checks.check_urgent(
            scene.callers.calls, _URGENT_LIMIT_SECONDS, outage
        ),
        _checks.check_pools(records),
        _checks.check_interrupted(records),
        _checks.Check(f'planned stop of {drained_worker}', *drain_result),
        _checks.check_budgets(deployment),
        _check_versions(scene),
        _checks.Check(
            'log versions that went back',
            ', '.join(reverted) or '0',
            not reverted,
        ),
    ]


def _inject_fault(
    scene: _faults.Scene, name: str, times: int, seconds: float
) -> None:
    """Inject a fault the given number of times, one after the other."""
    for _ in range(times):
        _print(f'fault: {name}')
        _faults.FAULTS[name](scene, seconds * 0.3)


def _start(
    deployment: _deployment.Deployment, processes: _processes.Processes
) -> list[_checks.Check]:
    """Start all processes; return a failed check if any is not ready."""
    _print(f'starting the platform and {len(deployment.workers)} workers')
    _processes.start_platform(processes, deployment)
    missing = processes.wait_until_ready()
    if not missing:
        _operator.register_instances(deployment)
        _print(f'starting {len(deployment.entries)} entry instances')
        _processes.start_entries(processes, deployment)
        missing = processes.wait_until_ready()
    if missing:
        return [_checks.Check('not ready', ', '.join(missing), False)]
    return []


def _declare(
    deployment: _deployment.Deployment, operator: _operator.Operator
) -> _checks.Check:
    """Apply the resources; check how soon every router has them in force."""
    _print('declaring pools, jobs, budgets and instances')
    version = operator.apply()
    started = time.monotonic()
    name = f'version {version} in force everywhere (limit 5 s)'
    while time.monotonic() - started < 2 * _ROLLOUT_LIMIT_SECONDS:
        versions = read_versions(deployment)
        if version > 0 and all(v >= version for v in versions.values()):
            took = time.monotonic() - started
            operator.wait_until_serving()
            return _checks.Check(
                name, f'{took:.2f} s', took <= _ROLLOUT_LIMIT_SECONDS
            )
        _loop.sleep(_POLL_SECONDS)
    return _checks.Check(name, 'not reached', False)


def _record_reverted_versions(
    deployment: _deployment.Deployment, reverted: list[str]
) -> None:
    """Append a router to the list each time its log version decreases."""
    highest: dict[str, int] = {}
    while True:
        for name, version in read_versions(deployment).items():
            if version < highest.get(name, 0):
                reverted.append(name)
            highest[name] = version
        _loop.sleep(_VERSION_POLL_SECONDS)


def _check_versions(scene: _faults.Scene) -> _checks.Check:
    """Check that all running routers reach the same log version in time."""
    deadline = time.monotonic() + _ROLLOUT_LIMIT_SECONDS
    versions: dict[str, int] = {}
    while time.monotonic() < deadline:
        versions = {
            name: version
            for name, version in read_versions(scene.deployment).items()
            if scene.processes.is_running(f'{name}-router')
        }
        if len(set(versions.values())) == 1:
            return _checks.Check(
                'log version at every router',
                str(next(iter(versions.values()))),
                True,
            )
        _loop.sleep(_POLL_SECONDS)
    return _checks.Check(
        'log version at every router', str(sorted(versions.values())), False
    )


def read_versions(deployment: _deployment.Deployment) -> dict[str, int]:
    """Return the log version in force at each reachable router."""
    http = urllib3.PoolManager(retries=False, timeout=2.0)
    versions = {}
    for entry in deployment.entries:
        url = f'http://{entry.admin_address}/debug/state'
        try:
            dump: dict[str, Any] = http.request('GET', url).json()
        except urllib3.exceptions.HTTPError:
            continue
        versions[entry.name] = int(dump['log_version'])
    return versions


def _print(message: str) -> None:
    print(message, file=sys.stderr, flush=True)
