"""Plans maintenance waves: which instances stop next, and why others wait.

A plan is computed only from the recorded state, so any controller can
continue a wave. The operation id of an instance's stop holds the wave and the
time of the stop, and stays on the instance afterwards.
"""

import collections
from collections.abc import Collection, Iterable
import datetime
import enum
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _resources

_Phase = _resources.Phase
# Phases of an instance during a planned stop.
PLANNED_STOP_PHASES = (_Phase.DRAINING, _Phase.STOPPING, _Phase.MAINTENANCE)

# A failure or cordon this soon after the start of the stop is attributed to
# the wave. Covers the drain, the reboot and ten minutes in service.
EXPOSURE_TIME = datetime.timedelta(minutes=30)
# Time in stopping or maintenance after which an instance counts as lost.
REBOOT_TIMEOUT = datetime.timedelta(minutes=15)
# Time for which the canaries must serve before other instances are stopped.
CANARY_SOAK = datetime.timedelta(minutes=2)


class State(enum.Enum):
    """State of a wave as a whole."""

    PAUSED = 'paused'
    CANARY = 'canary'
    RUNNING = 'running'
    HALTED = 'halted'
    COMPLETE = 'complete'


class WaitReason(enum.Enum):
    """Why an instance is not stopped yet."""

    PAUSED = 'paused'
    HALTED = 'halted'
    CANARY = 'canary'
    DOMAIN = 'domain'
    PARALLEL = 'parallel'
    BUDGET = 'budget'
    BUSY = 'busy'
    NOT_SERVING = 'not_serving'


class Waiting(NamedTuple):
    """Why an instance waits, as a code and as a text for operators."""

    reason: WaitReason
    text: str


class WavePlan(NamedTuple):
    """The instances of a wave, by name, grouped by their state.

    Instances in next_stops may be stopped now.
    """

    state: State
    next_stops: tuple[str, ...]
    active: tuple[str, ...]
    done: tuple[str, ...]
    failed: tuple[str, ...]
    # In the order in which they will be stopped.
    waiting: dict[str, Waiting]
    halted_reason: str = ''


class _Progress(NamedTuple):
    pending: list[_resources.Instance]
    active: list[_resources.Instance]
    done: list[_resources.Instance]
    failed: list[_resources.Instance]


def format_operation_id(wave: str, at: datetime.datetime) -> str:
    """Build the operation id of a stop that the wave starts at that time."""
    return f'wave/{wave}/{at.isoformat()}'


def parse_stop_time(
    wave: str, operation_id: str | None
) -> datetime.datetime | None:
    """Return when the wave started the stop that has this operation id.

    None when the operation is not a stop of this wave.
    """
    prefix = f'wave/{wave}/'
    if not operation_id or not operation_id.startswith(prefix):
        return None
    try:
        return datetime.datetime.fromisoformat(operation_id[len(prefix) :])
    except ValueError:
        return None


def find_last_stop(
    instance: _resources.Instance,
) -> tuple[datetime.datetime, str] | None:
    """Return when the instance was last stopped by a wave, and that wave.

    None when its last operation is not a stop by a wave.
    """
    parts = (instance.operation_id or '').split('/', 2)
    if len(parts) != 3 or parts[0] != 'wave':
        return None
    start = parse_stop_time(parts[1], instance.operation_id)
    return None if start is None else (start, parts[1])


def list_stopped(
    instances: Iterable[_resources.Instance], after: datetime.datetime
) -> set[str]:
    """Return the names of the instances that a wave has stopped since then."""
    stopped = set()
    for instance in instances:
        found = find_last_stop(instance)
        if found is not None and found[0] >= after:
            stopped.add(instance.name)
    return stopped


def count_pending(
    instances: Collection[_resources.Instance], after: datetime.datetime
) -> collections.Counter[str]:
    """Count the instances of each pool that the latest wave has yet to stop.

    Empty when no wave has stopped an instance since the given time. Pools
    outside the wave are counted as well.
    """
    stops = [found for i in instances if (found := find_last_stop(i))]
    last = max(stops, default=(after, ''))
    if last[0] < after or not last[1]:
        return collections.Counter()
    return collections.Counter(
        instance.pool
        for instance in instances
        if parse_stop_time(last[1], instance.operation_id) is None
    )


def plan_wave(
    wave: _resources.Wave,
    instances: Collection[_resources.Instance],
    budgets: Iterable[_resources.Budget],
    now: datetime.datetime,
    halted_reason: str = '',
) -> WavePlan:
    """Plan which instances of the wave stop now.

    :param instances: all instances of the fleet
    :param halted_reason: as recorded in the status of the wave. A halt
        stays in force until an operator clears it, even when the lost
        instances have recovered.
    """
    progress = _classify_instances(wave, instances, now)
    reason = halted_reason or _find_halt_reason(wave, progress)
    state = _find_state(wave, progress, reason, now)
    plan = WavePlan(
        state,
        (),
        tuple(i.name for i in progress.active),
        tuple(i.name for i in progress.done),
        tuple(i.name for i in progress.failed),
        {},
        reason,
    )
    tracker = _budgets.BudgetTracker(budgets, instances)
    return _choose_next_stops(wave, plan, progress, tracker)


def _build_sort_key(instance: _resources.Instance) -> tuple[str, str, str]:
    return (instance.zone, instance.rack, instance.name)


def _classify_instances(
    wave: _resources.Wave,
    instances: Iterable[_resources.Instance],
    now: datetime.datetime,
) -> _Progress:
    progress = _Progress([], [], [], [])
    members = [i for i in instances if i.pool in wave.pools]
    for instance in sorted(members, key=_build_sort_key):
        start = parse_stop_time(wave.name, instance.operation_id)
        if start is None:
            progress.pending.append(instance)
        elif _is_lost(instance, start, now):
            progress.failed.append(instance)
        elif (
            instance.phase in PLANNED_STOP_PHASES and not instance.target_pool
        ):
            progress.active.append(instance)
        else:
            progress.done.append(instance)
    return progress


def _is_lost(
    instance: _resources.Instance,
    start: datetime.datetime,
    now: datetime.datetime,
) -> bool:
    since = _parse_since(instance)
    if instance.phase in (_Phase.FAILED, _Phase.CORDONED):
        return since is None or since - start < EXPOSURE_TIME
    if instance.phase in (_Phase.STOPPING, _Phase.MAINTENANCE):
        return since is not None and now - since > REBOOT_TIMEOUT
    return False


def _parse_since(instance: _resources.Instance) -> datetime.datetime | None:
    if not instance.since:
        return None
    return datetime.datetime.fromisoformat(instance.since)


def _find_halt_reason(wave: _resources.Wave, progress: _Progress) -> str:
    """Return why the wave must halt, or an empty text.

    Until the canaries are done, one lost instance is enough.
    """
    limit = wave.halt_after_failures
    if len(progress.done) < wave.canary:
        limit = 1
    if not progress.failed or len(progress.failed) < limit:
        return ''
    names = ', '.join(i.name for i in progress.failed[:5])
    return f'{len(progress.failed)} instances lost within the wave: {names}'


def _find_state(
    wave: _resources.Wave,
    progress: _Progress,
    reason: str,
    now: datetime.datetime,
) -> State:
    if reason:
        return State.HALTED
    if not progress.pending and not progress.active:
        return State.COMPLETE
    if wave.paused:
        return State.PAUSED
    if not _has_soaked(wave, progress, now):
        return State.CANARY
    return State.RUNNING


def _has_soaked(
    wave: _resources.Wave, progress: _Progress, now: datetime.datetime
) -> bool:
    """Tell whether enough canaries have been in service for the soak time."""
    soaked = 0
    for instance in progress.done:
        since = _parse_since(instance)
        if since is None or now - since >= CANARY_SOAK:
            soaked += 1
    return soaked >= wave.canary


def _choose_next_stops(
    wave: _resources.Wave,
    plan: WavePlan,
    progress: _Progress,
    tracker: _budgets.BudgetTracker,
) -> WavePlan:
    next_stops: list[str] = []
    waiting: dict[str, Waiting] = {}
    zones = {instance.zone for instance in progress.active}
    allowed = wave.max_parallel - len(progress.active)
    if plan.state is State.CANARY:
        stopped_count = len(progress.active) + len(progress.done)
        allowed = min(allowed, wave.canary - stopped_count)
    for instance in progress.pending:
        wait = _reserve_or_explain(
            plan, instance, zones, allowed - len(next_stops), tracker
        )
        if wait is not None:
            waiting[instance.name] = wait
            continue
        next_stops.append(instance.name)
        zones = {instance.zone}
    return plan._replace(next_stops=tuple(next_stops), waiting=waiting)


def _reserve_or_explain(
    plan: WavePlan,
    instance: _resources.Instance,
    zones: set[str],
    allowed: int,
    tracker: _budgets.BudgetTracker,
) -> Waiting | None:
    """Return why the instance waits, or reserve its stop and return None.

    :param zones: zones in which the wave stops instances now
    :param allowed: instances that may still be stopped
    """
    if plan.state is State.HALTED:
        return Waiting(WaitReason.HALTED, f'wave halted: {plan.halted_reason}')
    if plan.state is State.PAUSED:
        return Waiting(WaitReason.PAUSED, 'wave paused by an operator')
    if instance.phase in PLANNED_STOP_PHASES:
        text = f'{instance.phase.value} for another operation'
        return Waiting(WaitReason.BUSY, text)
    if instance.phase is not _Phase.SERVING:
        return Waiting(
            WaitReason.NOT_SERVING, f'instance {instance.phase.value}'
        )
    if allowed <= 0:
        if plan.state is State.CANARY:
            return Waiting(
                WaitReason.CANARY, 'canaries have not served long enough'
            )
        return Waiting(
            WaitReason.PARALLEL, 'max_parallel instances are stopped'
        )
    if not zones <= {instance.zone}:
        names = ', '.join(sorted(zones))
        return Waiting(
            WaitReason.DOMAIN, f'instances of zone {names} go first'
        )
    reserved = tracker.reserve_stop(instance)
    if isinstance(reserved, result.Success):
        return None
    return Waiting(WaitReason.BUDGET, reserved.failure().message)
