"""Plans repairs of workers that are silent, flap or fail every task."""

import collections
import datetime
import enum
from collections.abc import Collection, Iterable
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _resources

_Phase = _resources.Phase
_REBOOT_PHASES = (_Phase.DRAINING, _Phase.STOPPING, _Phase.MAINTENANCE)

# The time after which another controller also takes over a lease.
SILENCE_LIMIT = datetime.timedelta(seconds=12)
# Failed tasks after which a worker without any success is cordoned. Routers
# already eject it temporarily after five failures in a row.
MIN_FAILURES = 10
# Restarts within the observed time after which a worker is cordoned.
FLAP_RESTARTS = 3
# Share of a pool that may be cordoned at the same time.
MAX_CORDONED_SHARE = 0.2
# Probes answered in a row after which a worker returns to service.
MIN_PROBES_PASSED = 3
# Start of the operation ids with which a cordoned worker is rebooted.
OPERATION_PREFIX = 'repair/'
# Minimum time in a cordon. It doubles with each restart within the observed
# time, up to the maximum.
MIN_CORDON_TIME = datetime.timedelta(seconds=30)
MAX_CORDON_TIME = datetime.timedelta(minutes=30)


class Action(enum.Enum):
    """Change that a repair makes to an instance."""

    FAIL = 'fail'
    CORDON = 'cordon'
    # A cordoned worker is rebooted before it returns to service.
    REBOOT = 'reboot'
    RETURN = 'return'


class WorkerObservation(NamedTuple):
    """What routers and probes observed of a worker in the last 10 minutes."""

    instance: str
    successes: int = 0
    failures: int = 0
    # Time since the worker last answered any request or probe.
    silent: datetime.timedelta = datetime.timedelta(0)
    restarts: int = 0
    # Probes that the worker has answered since the last failed one.
    probes_passed: int = 0


class Repair(NamedTuple):
    """A planned change of an instance's phase and its reason."""

    instance: str
    action: Action
    reason: str


def plan_repairs(
    instances: Collection[_resources.Instance],
    observations: Iterable[WorkerObservation],
    budgets: Iterable[_resources.Budget],
    now: datetime.datetime,
    cordon_time: datetime.timedelta = MIN_CORDON_TIME,
) -> list[Repair]:
    """Plan which workers to mark failed, cordon, reboot or return to service.

    A failed worker is recorded whatever the budgets say. A cordon takes a
    worker out of service by decision, so it must be within the budgets of
    its pool, and at most a fifth of the pool may be cordoned, or in a reboot
    after a cordon, at the same time. Workers with the most failed tasks are
    cordoned first.

    :param cordon_time: minimum time in a cordon without restarts
    """
    observed = {o.instance: o for o in observations}
    tracker = _budgets.BudgetTracker(budgets, instances)
    sizes = collections.Counter(i.pool for i in instances)
    cordoned = collections.Counter(
        i.pool for i in instances if _is_cordoned(i)
    )
    repairs = []
    cordons = []
    for instance in sorted(instances):
        observation = observed.get(instance.name)
        if observation is None:
            continue
        repair = _plan_repair(instance, observation, now, cordon_time)
        if repair is None:
            continue
        if repair.action is Action.CORDON:
            cordons.append((-observation.failures, instance, repair))
            continue
        if repair.action is Action.FAIL:
            tracker.record_loss(instance)
        repairs.append(repair)
    for _, instance, repair in sorted(cordons):
        if (
            cordoned[instance.pool] + 1
            > MAX_CORDONED_SHARE * sizes[instance.pool]
        ):
            continue
        if isinstance(tracker.reserve_stop(instance), result.Success):
            cordoned[instance.pool] += 1
            repairs.append(repair)
    return repairs


def _is_cordoned(instance: _resources.Instance) -> bool:
    if instance.phase is _Phase.CORDONED:
        return True
    return instance.phase in _REBOOT_PHASES and (
        instance.operation_id or ''
    ).startswith(OPERATION_PREFIX)


def _plan_repair(
    instance: _resources.Instance,
    observed: WorkerObservation,
    now: datetime.datetime,
    cordon_time: datetime.timedelta,
) -> Repair | None:
    if instance.phase in (_Phase.SERVING, _Phase.CORDONED, _Phase.DRAINING):
        if observed.silent >= SILENCE_LIMIT:
            reason = f'silent for {observed.silent.total_seconds():.0f} s'
            return Repair(instance.name, Action.FAIL, reason)
    if instance.phase is _Phase.SERVING:
        return _plan_cordon(instance, observed)
    if instance.phase in (_Phase.FAILED, _Phase.CORDONED):
        return _plan_return(instance, observed, now, cordon_time)
    return None


def _plan_cordon(
    instance: _resources.Instance, observed: WorkerObservation
) -> Repair | None:
    if observed.restarts >= FLAP_RESTARTS:
        reason = f'restarted {observed.restarts} times within 10 minutes'
        return Repair(instance.name, Action.CORDON, reason)
    if observed.failures >= MIN_FAILURES and not observed.successes:
        reason = f'failed all of its last {observed.failures} tasks'
        return Repair(instance.name, Action.CORDON, reason)
    return None


def _plan_return(
    instance: _resources.Instance,
    observed: WorkerObservation,
    now: datetime.datetime,
    cordon_time: datetime.timedelta,
) -> Repair | None:
    if observed.probes_passed < MIN_PROBES_PASSED:
        return None
    if instance.phase is _Phase.CORDONED and instance.since:
        since = datetime.datetime.fromisoformat(instance.since)
        min_time = min(
            cordon_time * 2 ** min(observed.restarts, 10), MAX_CORDON_TIME
        )
        if now - since < min_time:
            return None
    reason = f'{observed.probes_passed} probes passed in a row'
    cordoned = instance.phase is _Phase.CORDONED
    action = Action.REBOOT if cordoned else Action.RETURN
    return Repair(instance.name, action, reason)
