"""Plans the staged roll-out of a configuration.

A canary comes first, then a growing number of zones, then all of them.
"""

import collections
import datetime
import enum
from collections.abc import Collection, Iterable
from typing import NamedTuple


class Action(enum.Enum):
    """Next action of a roll-out."""

    WAIT = 'wait'
    PUBLISH = 'publish'
    ROLL_BACK = 'roll_back'
    COMPLETE = 'complete'


class Rollout(NamedTuple):
    """Recorded state of a configuration's roll-out."""

    name: str
    # Index of the published stage; -1 before the first.
    stage: int
    stage_since: datetime.datetime
    # Log version that published the stage.
    version: int
    rolled_back: bool = False


class EntryReport(NamedTuple):
    """Configuration version and health of one entry instance."""

    name: str
    zone: str
    version: int
    healthy: bool


class Step(NamedTuple):
    """Next action, and the entry instances that use the new data after it."""

    action: Action
    stage: int
    entries: tuple[str, ...]
    reason: str


# Time for which a stage must be healthy before the next one.
SOAK_TIME = datetime.timedelta(milliseconds=500)


def list_stages(entries: Iterable[EntryReport]) -> list[tuple[str, ...]]:
    """List each stage's entry instances: a canary, then 1, 2, 4 ... zones."""
    zones: dict[str, list[str]] = collections.defaultdict(list)
    for entry in sorted(entries):
        zones[entry.zone].append(entry.name)
    names = sorted(zones)
    if not names:
        return []
    stages: list[tuple[str, ...]] = [(zones[names[0]][0],)]
    zone_count = 1
    while zone_count < 2 * len(names):
        stages.append(tuple(n for z in names[:zone_count] for n in zones[z]))
        zone_count *= 2
    return stages


def plan_rollout(
    rollout: Rollout, entries: Collection[EntryReport], now: datetime.datetime
) -> Step:
    """Plan the next step of a configuration's roll-out.

    A rollback publishes the old data as a new version, because an accepted
    version is never taken back. Entry instances that cannot be reached, and
    so are not in `entries`, do not delay the roll-out. They catch up from the
    log.
    """
    stages = list_stages(entries)
    in_stage = (
        stages[rollout.stage] if 0 <= rollout.stage < len(stages) else ()
    )
    if rollout.rolled_back:
        text = 'rolled back'
        return Step(Action.COMPLETE, rollout.stage, (), text)
    reports = [e for e in entries if e.name in set(in_stage)]
    unhealthy = sorted(
        e.name
        for e in reports
        if e.version >= rollout.version and not e.healthy
    )
    if unhealthy:
        text = f'unhealthy under the new version: {", ".join(unhealthy[:5])}'
        return Step(Action.ROLL_BACK, -1, (), text)
    outdated = sorted(e.name for e in reports if e.version < rollout.version)
    if outdated:
        text = f'not yet in force at {", ".join(outdated[:5])}'
        return Step(Action.WAIT, rollout.stage, in_stage, text)
    if in_stage and now - rollout.stage_since < SOAK_TIME:
        text = 'the stage has not been healthy for long enough'
        return Step(Action.WAIT, rollout.stage, in_stage, text)
    stage = rollout.stage + 1
    if stage >= len(stages):
        text = 'in force everywhere'
        return Step(Action.COMPLETE, rollout.stage, in_stage, text)
    text = f'stage {stage + 1} of {len(stages)}'
    return Step(Action.PUBLISH, stage, stages[stage], text)
