"""Which instances of a maintenance wave to take down next.

The load it answers: a wave over many instances that comes while queues
surge. Instances that nobody needs are taken first, for as long as the wave
has time; the others are emptied a few at a time, so that no pool loses
much of its room at once.
"""

import collections
from collections.abc import Collection, Mapping
import datetime
import math
from typing import NamedTuple

from skylarktally.scheduling import _work

# The platform may list an instance as up for this long after the order.
_LIST_LAG = datetime.timedelta(seconds=1)
# An order without an answer may be carried out for this long.
_DOUBT = datetime.timedelta(seconds=13)
# Shares of the time of a wave: up to the first only instances that can be
# spared go down; by the second all have.
_BEGIN_SHARE = 0.15
_END_SHARE = 0.7
_UP = 'up'
_UPKEEP = 'upkeep'


class InstanceUsage(NamedTuple):
    """What an instance is used for."""

    runs: int
    long_runs: int
    # It is being emptied.
    is_leaving: bool = False


class FleetUsage(NamedTuple):
    """What the fleet needs its instances for at present."""

    # Of the instances whose pool's owner answers.
    uses: Mapping[str, InstanceUsage]
    # Instances that no pool needs now.
    spare: Collection[str]
    # Instances that are being moved.
    moving: Collection[str]


class WaveProgress(NamedTuple):
    """How far a wave has come."""

    begun_at: datetime.timedelta
    # When each instance was ordered down.
    done: dict[str, datetime.timedelta]
    # When instances were ordered down without an answer so far.
    unconfirmed: dict[str, datetime.timedelta]


class WavePlan(NamedTuple):
    """What to do next for a wave."""

    # Instances to empty and to take down once they are empty.
    instances: tuple[_work.InstanceRecord, ...]
    # How many of them may go down now.
    allowance: int
    is_completed: bool


def plan_wave(
    wave: _work.Wave,
    listed: Mapping[str, _work.InstanceRecord],
    progress: WaveProgress,
    fleet_usage: FleetUsage,
    now: datetime.timedelta,
) -> WavePlan:
    """Return what to do next for a wave.

    :param listed: the platform's list of instances by id
    """
    members = [(id_, listed[id_]) for id_ in wave.instances if id_ in listed]
    open_ones = [
        (id_, record) for id_, record in members if id_ not in progress.done
    ]
    waiting = [
        record
        for id_, record in open_ones
        if record.state == _UP and id_ not in fleet_usage.moving
    ]
    unconfirmed = [
        record for record in waiting if _is_doubtful(record.id, progress, now)
    ]
    down = sum(_is_down(id_, record, progress, now) for id_, record in members)
    allowance = max(wave.limit - down, 0)
    chosen = [
        item for item in _rank(waiting, fleet_usage) if item not in unconfirmed
    ]
    forced = count_due(wave, now - progress.begun_at) - len(progress.done)
    spare = sum(record.id in fleet_usage.spare for record in chosen)
    count = min(max(forced, spare), allowance)
    # An order that may have been carried out is given again; it takes none
    # of the allowance, since it counts as down already.
    wave_plan = (*unconfirmed, *chosen[:count])
    return WavePlan(wave_plan, allowance, not open_ones)


def _is_down(
    id_: str,
    record: _work.InstanceRecord,
    progress: WaveProgress,
    now: datetime.timedelta,
) -> bool:
    """Tell whether an instance is, or may be, down for the wave."""
    ordered_at = progress.done.get(id_)
    if ordered_at is not None:
        return now - ordered_at < _LIST_LAG or record.state != _UP
    return record.state == _UPKEEP or _is_doubtful(id_, progress, now)


def _is_doubtful(
    id_: str, progress: WaveProgress, now: datetime.timedelta
) -> bool:
    ordered_at = progress.unconfirmed.get(id_)
    return ordered_at is not None and now - ordered_at < _DOUBT


def count_due(wave: _work.Wave, elapsed: datetime.timedelta) -> int:
    """Return how many instances have to be down, or back, by now."""
    share = elapsed / max(wave.duration, datetime.timedelta(seconds=1))
    part = (share - _BEGIN_SHARE) / (_END_SHARE - _BEGIN_SHARE)
    return math.ceil(len(wave.instances) * min(max(part, 0), 1))


def _rank(
    waiting: list[_work.InstanceRecord], fleet_usage: FleetUsage
) -> list[_work.InstanceRecord]:
    """Sort instances by the harm that taking them down does."""
    ranked = sorted(waiting, key=lambda item: _weigh(item, fleet_usage))
    positions: collections.Counter[str] = collections.Counter()
    keys = {}
    for record in ranked:
        harm = _weigh(record, fleet_usage)
        # The pools in turn, so that none is emptied first.
        keys[record.id] = *harm[:-1], positions[record.pool], *harm[-1:]
        positions[record.pool] += 1
    return sorted(ranked, key=lambda item: keys[item.id])


def _weigh(
    record: _work.InstanceRecord, fleet_usage: FleetUsage
) -> tuple[bool, bool, bool, int, int]:
    # Of an instance whose pool has no owner that answers nothing is known;
    # one that is off runs nothing.
    use = fleet_usage.uses.get(record.id)
    is_unknown = bool(record.worker) and use is None
    use = use or InstanceUsage(0, 0)
    # What has been begun is finished first.
    is_needed = record.id not in fleet_usage.spare
    return is_needed, is_unknown, not use.is_leaving, use.long_runs, use.runs
