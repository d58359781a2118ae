"""Selection of the instances of a maintenance wave to take down next.

A wave over many instances may arrive while queues surge. As long as its time
limit allows, only instances that no pool needs are taken down. The others
are drained a few at a time, so that no pool loses much capacity at once.
"""

import collections
from collections.abc import Collection, Mapping
import datetime
import math
from typing import NamedTuple

from skylarktally.scheduling import _work

# The platform may still list an instance as up for this long after it has
# accepted the order to take it down.
_LISTING_LAG = datetime.timedelta(seconds=1)
# An order that got no response may still be executed for this long.
_UNCONFIRMED_TIMEOUT = datetime.timedelta(seconds=13)
# Shares of the duration of a wave. Before the first one only instances that
# no pool needs are taken down; by the second one the evacuation of all others
# must have begun.
_BEGIN_SHARE = 0.15
_END_SHARE = 0.7
# An evacuation and the maintenance take up to this long: batch tasks end
# first, and availability budgets let few others move at a time. A short wave
# ends early enough for it, but has this share for its evacuations at least.
_EVACUATION_TIME = datetime.timedelta(seconds=12)
_MIN_END_SHARE = 0.5
_UP = 'up'
_UPKEEP = 'upkeep'


class InstanceUsage(NamedTuple):
    """Runs on the worker of an instance."""

    runs: int
    long_runs: int
    # The worker is evacuating or draining.
    is_leaving: bool = False


class FleetUsage(NamedTuple):
    """Current use of the instances of all pools."""

    # By id, for the instances of pools whose owners respond.
    uses: Mapping[str, InstanceUsage]
    # Ids of instances that no pool needs now.
    spare: Collection[str]
    # Ids of instances that are being moved to another pool.
    moving: Collection[str]


class WaveProgress(NamedTuple):
    """Progress of a wave."""

    begun_at: datetime.timedelta
    # When the platform accepted the order to take each instance down.
    done: dict[str, datetime.timedelta]
    # When orders were sent that have got no response yet.
    unconfirmed: dict[str, datetime.timedelta]


class WavePlan(NamedTuple):
    """Next action for a wave."""

    # Instances to evacuate, and to take down once they have no runs.
    instances: tuple[_work.InstanceRecord, ...]
    # Number of further instances that the limit of the wave allows to be
    # down now.
    headroom: int
    is_completed: bool


def plan_wave(
    wave: _work.Wave,
    listed: Mapping[str, _work.InstanceRecord],
    progress: WaveProgress,
    fleet_usage: FleetUsage,
    now: datetime.timedelta,
) -> WavePlan:
    """Return the next action for a wave.

    :param listed: instances by id, as listed by the platform
    """
    members = [(id_, listed[id_]) for id_ in wave.instances if id_ in listed]
    pending = [
        (id_, record) for id_, record in members if id_ not in progress.done
    ]
    waiting = [
        record
        for id_, record in pending
        if record.state == _UP and id_ not in fleet_usage.moving
    ]
    unconfirmed = [
        record
        for record in waiting
        if _is_unconfirmed(record.id, progress, now)
    ]
    down = sum(_is_down(id_, record, progress, now) for id_, record in members)
    headroom = max(wave.limit - down, 0)
    chosen = [
        item for item in _rank(waiting, fleet_usage) if item not in unconfirmed
    ]
    # Instances that no pool needs are taken down early; the others only as
    # far as the wave is behind its schedule.
    overdue = count_due(wave, now - progress.begun_at) - len(progress.done)
    spare = sum(record.id in fleet_usage.spare for record in chosen)
    count = min(max(overdue, spare), headroom)
    # Unconfirmed orders are sent again. They need no headroom, since their
    # instances already count as down.
    selected = (*unconfirmed, *chosen[:count])
    return WavePlan(selected, headroom, not pending)


def _is_down(
    id_: str,
    record: _work.InstanceRecord,
    progress: WaveProgress,
    now: datetime.timedelta,
) -> bool:
    """Tell whether an instance is, or may be, down for the wave."""
    ordered_at = progress.done.get(id_)
    if ordered_at is not None:
        return now - ordered_at < _LISTING_LAG or record.state != _UP
    return record.state == _UPKEEP or _is_unconfirmed(id_, progress, now)


def _is_unconfirmed(
    id_: str, progress: WaveProgress, now: datetime.timedelta
) -> bool:
    ordered_at = progress.unconfirmed.get(id_)
    return ordered_at is not None and now - ordered_at < _UNCONFIRMED_TIMEOUT


def count_due(wave: _work.Wave, elapsed: datetime.timedelta) -> int:
    """Return how many instances must be down or evacuating by now."""
    duration = max(wave.duration, datetime.timedelta(seconds=1))
    end_share = min(1 - _EVACUATION_TIME / duration, _END_SHARE)
    end_share = max(end_share, _MIN_END_SHARE)
    share = elapsed / duration
    progress_share = (share - _BEGIN_SHARE) / (end_share - _BEGIN_SHARE)
    return math.ceil(len(wave.instances) * min(max(progress_share, 0), 1))


def _rank(
    waiting: list[_work.InstanceRecord], fleet_usage: FleetUsage
) -> list[_work.InstanceRecord]:
    """Sort instances by the harm of taking them down, least first."""
    ranked = sorted(
        waiting, key=lambda item: _make_harm_key(item, fleet_usage)
    )
    positions: collections.Counter[str] = collections.Counter()
    sort_keys = {}
    for record in ranked:
        harm = _make_harm_key(record, fleet_usage)
        # Round robin between pools, so that none loses most of its capacity.
        sort_keys[record.id] = *harm[:-1], positions[record.pool], *harm[-1:]
        positions[record.pool] += 1
    return sorted(ranked, key=lambda item: sort_keys[item.id])


def _make_harm_key(
    record: _work.InstanceRecord, fleet_usage: FleetUsage
) -> tuple[bool, bool, bool, int, int]:
    # The use of an instance is unknown while the owner of its pool does not
    # respond. An instance without a worker is powered off and has no runs.
    use = fleet_usage.uses.get(record.id)
    is_unknown = bool(record.worker) and use is None
    use = use or InstanceUsage(0, 0)
    # Workers that are already being emptied come first.
    is_needed = record.id not in fleet_usage.spare
    return is_needed, is_unknown, not use.is_leaving, use.long_runs, use.runs
