"""Repair of workers that failed, flap or fail every task."""

import collections
import datetime
import enum
from collections.abc import Collection, Iterable
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _resources

_Phase = _resources.Phase
_IN_REBOOT = (_Phase.DRAINING, _Phase.STOPPING, _Phase.MAINTENANCE)

# The same time after which another controller takes over a lease.
SILENCE_LIMIT = datetime.timedelta(seconds=12)
# A worker is judged by its tasks only after this many outcomes: five
# failures in a row already eject it at the routers.
MIN_FAILURES = 10
FLAP_LIMIT = 3
CORDON_SHARE = 0.2
PROBES_TO_RETURN = 3
# Operations that reboot a cordoned worker have ids that begin so.
OPERATION_PREFIX = 'repair/'
# Least time in a cordon, doubled with each restart seen in the window.
MIN_CORDON_TIME = datetime.timedelta(seconds=30)
MAX_CORDON_TIME = datetime.timedelta(minutes=30)


class Action(enum.Enum):
    """What is to be done with an instance."""

    FAIL = 'fail'
    CORDON = 'cordon'
    # A cordoned worker returns by way of a reboot.
    REBOOT = 'reboot'
    RETURN = 'return'


class WorkerObservation(NamedTuple):
    """What routers and probes saw of one worker in the last 10 minutes."""

    instance: str
    successes: int = 0
    failures: int = 0
    # Time since the worker last answered anything.
    silent: datetime.timedelta = datetime.timedelta(0)
    restarts: int = 0
    # Probes answered since the last failed one.
    probes_passed: int = 0


class Repair(NamedTuple):
    """One change of phase, with its cause."""

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
    """Plan which workers fail, are cordoned, are rebooted or return.

    Losses are recorded whatever the budgets say. A cordon takes a serving
    worker away: it needs the budget, and at most a fifth of the pool is
    cordoned, or rebooted after a cordon, at a time.

    :param cordon_time: least time in the first cordon
    """
    seen = {o.instance: o for o in observations}
    ledger = _budgets.BudgetTracker(budgets, instances)
    sizes = collections.Counter(i.pool for i in instances)
    cordoned = collections.Counter(
        i.pool for i in instances if _is_cordoned(i)
    )
    repairs = []
    suspects = []
    for instance in sorted(instances):
        observation = seen.get(instance.name)
        if observation is None:
            continue
        repair = _judge(instance, observation, now, cordon_time)
        if repair is None:
            continue
        if repair.action is Action.CORDON:
            suspects.append((-observation.failures, instance, repair))
            continue
        if repair.action is Action.FAIL:
            ledger.record_loss(instance)
        repairs.append(repair)
    for _, instance, repair in sorted(suspects):
        if cordoned[instance.pool] + 1 > CORDON_SHARE * sizes[instance.pool]:
            continue
        if isinstance(ledger.reserve_stop(instance), result.Success):
            cordoned[instance.pool] += 1
            repairs.append(repair)
    return repairs


def _is_cordoned(instance: _resources.Instance) -> bool:
    if instance.phase is _Phase.CORDONED:
        return True
    return instance.phase in _IN_REBOOT and (
        instance.operation_id or ''
    ).startswith(OPERATION_PREFIX)


def _judge(
    instance: _resources.Instance,
    seen: WorkerObservation,
    now: datetime.datetime,
    cordon_time: datetime.timedelta,
) -> Repair | None:
    if instance.phase in (_Phase.SERVING, _Phase.CORDONED, _Phase.DRAINING):
        if seen.silent >= SILENCE_LIMIT:
            reason = f'silent for {seen.silent.total_seconds():.0f} s'
            return Repair(instance.name, Action.FAIL, reason)
    if instance.phase is _Phase.SERVING:
        return _judge_serving(instance, seen)
    if instance.phase in (_Phase.FAILED, _Phase.CORDONED):
        return _judge_return(instance, seen, now, cordon_time)
    return None


def _judge_serving(
    instance: _resources.Instance, seen: WorkerObservation
) -> Repair | None:
    if seen.restarts >= FLAP_LIMIT:
        reason = f'restarted {seen.restarts} times within 10 minutes'
        return Repair(instance.name, Action.CORDON, reason)
    if seen.failures >= MIN_FAILURES and not seen.successes:
        reason = f'failed all of its last {seen.failures} tasks'
        return Repair(instance.name, Action.CORDON, reason)
    return None


def _judge_return(
    instance: _resources.Instance,
    seen: WorkerObservation,
    now: datetime.datetime,
    cordon_time: datetime.timedelta,
) -> Repair | None:
    if seen.probes_passed < PROBES_TO_RETURN:
        return None
    if instance.phase is _Phase.CORDONED and instance.since:
        since = datetime.datetime.fromisoformat(instance.since)
        hold = min(cordon_time * 2 ** min(seen.restarts, 10), MAX_CORDON_TIME)
        if now - since < hold:
            return None
    reason = f'{seen.probes_passed} probes passed in a row'
    cordoned = instance.phase is _Phase.CORDONED
    action = Action.REBOOT if cordoned else Action.RETURN
    return Repair(instance.name, action, reason)
