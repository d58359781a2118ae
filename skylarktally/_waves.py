"""Maintenance waves: which instances stop next, and why others wait.

The plan is a function of the recorded state, so that any controller can go
on with it. The operation id of an instance's stop names the wave and the
time of the stop; it stays on the instance after the stop.
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
# Phases of a planned stop.
PLANNED_STOP_PHASES = (_Phase.DRAINING, _Phase.STOPPING, _Phase.MAINTENANCE)

# A loss this soon after the start of the stop is put down to the wave: the
# drain, the reboot and ten minutes in service.
EXPOSURE = datetime.timedelta(minutes=30)
# An instance that has not come back by then is a loss.
REBOOT_LIMIT = datetime.timedelta(minutes=15)
# Time that the canaries serve before the others follow.
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
    """Cause of an instance's wait, with a text for people."""

    reason: WaitReason
    text: str


class WavePlan(NamedTuple):
    """The next stops of a wave and the state of every instance in it."""

    state: State
    next_stops: tuple[str, ...]
    active: tuple[str, ...]
    done: tuple[str, ...]
    failed: tuple[str, ...]
    # In the order in which they are to be stopped.
    waiting: dict[str, Waiting]
    halted_reason: str = ''


class _Progress(NamedTuple):
    pending: list[_resources.Instance]
    active: list[_resources.Instance]
    done: list[_resources.Instance]
    failed: list[_resources.Instance]


def format_operation_id(wave: str, at: datetime.datetime) -> str:
    """Build the operation id of a stop that the wave starts."""
    return f'wave/{wave}/{at.isoformat()}'


def parse_stop_time(
    wave: str, operation_id: str | None
) -> datetime.datetime | None:
    """Return when the wave stopped the instance, None when it did not."""
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
    """Return when and by which wave the instance was last stopped."""
    parts = (instance.operation_id or '').split('/', 2)
    if len(parts) != 3 or parts[0] != 'wave':
        return None
    start = parse_stop_time(parts[1], instance.operation_id)
    return None if start is None else (start, parts[1])


def list_stopped(
    instances: Iterable[_resources.Instance], after: datetime.datetime
) -> set[str]:
    """List the instances that a wave has stopped since then."""
    stopped = set()
    for instance in instances:
        found = find_last_stop(instance)
        if found is not None and found[0] >= after:
            stopped.add(instance.name)
    return stopped


def count_pending(
    instances: Collection[_resources.Instance], after: datetime.datetime
) -> collections.Counter[str]:
    """Count by pool what the last wave has not stopped yet.

    Nothing is pending when that wave stopped nothing after the given time.
    """
    starts = [found for i in instances if (found := find_last_stop(i))]
    last = max(starts, default=(after, ''))
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
    :param halted_reason: as recorded in the status of the wave; a halt
        holds until an operator clears it, whatever became of the losses
    """
    progress = _read_progress(wave, instances, now)
    reason = halted_reason or _find_halt(wave, progress)
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
    ledger = _budgets.BudgetTracker(budgets, instances)
    return _choose_starts(wave, plan, progress, ledger)


def _rank(instance: _resources.Instance) -> tuple[str, str, str]:
    return (instance.zone, instance.rack, instance.name)


def _read_progress(
    wave: _resources.Wave,
    instances: Iterable[_resources.Instance],
    now: datetime.datetime,
) -> _Progress:
    progress = _Progress([], [], [], [])
    members = [i for i in instances if i.pool in wave.pools]
    for instance in sorted(members, key=_rank):
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
    since = _read_since(instance)
    if instance.phase in (_Phase.FAILED, _Phase.CORDONED):
        return since is None or since - start < EXPOSURE
    if instance.phase in (_Phase.STOPPING, _Phase.MAINTENANCE):
        return since is not None and now - since > REBOOT_LIMIT
    return False


def _read_since(instance: _resources.Instance) -> datetime.datetime | None:
    if not instance.since:
        return None
    return datetime.datetime.fromisoformat(instance.since)


def _find_halt(wave: _resources.Wave, progress: _Progress) -> str:
    """Return why the wave must halt, empty when it need not."""
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
    """Tell whether enough canaries have served for the soak time."""
    soaked = 0
    for instance in progress.done:
        since = _read_since(instance)
        if since is None or now - since >= CANARY_SOAK:
            soaked += 1
    return soaked >= wave.canary


def _choose_starts(
    wave: _resources.Wave,
    plan: WavePlan,
    progress: _Progress,
    ledger: _budgets.BudgetTracker,
) -> WavePlan:
    starts: list[str] = []
    waiting: dict[str, Waiting] = {}
    zones = {instance.zone for instance in progress.active}
    room = wave.max_parallel - len(progress.active)
    if plan.state is State.CANARY:
        taken = len(progress.active) + len(progress.done)
        room = min(room, wave.canary - taken)
    for instance in progress.pending:
        wait = _find_wait(plan, instance, zones, room - len(starts), ledger)
        if wait is not None:
            waiting[instance.name] = wait
            continue
        starts.append(instance.name)
        zones = {instance.zone}
    return plan._replace(next_stops=tuple(starts), waiting=waiting)


def _find_wait(
    plan: WavePlan,
    instance: _resources.Instance,
    zones: set[str],
    room: int,
    ledger: _budgets.BudgetTracker,
) -> Waiting | None:
    """Return why the instance waits; spend the budget when it does not."""
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
    if room <= 0:
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
    spent = ledger.reserve_stop(instance)
    if isinstance(spent, result.Success):
        return None
    return Waiting(WaitReason.BUDGET, spent.failure().message)
