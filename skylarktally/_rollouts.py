"""Roll-out of a configuration: a canary, then zones, then everywhere."""

import collections
import datetime
import enum
from collections.abc import Collection, Iterable
from typing import NamedTuple


class Action(enum.Enum):
    """What a roll-out of a configuration does next."""

    WAIT = 'wait'
    PUBLISH = 'publish'
    ROLL_BACK = 'roll_back'
    COMPLETE = 'complete'


class Rollout(NamedTuple):
    """Recorded state of a configuration's roll-out."""

    name: str
    # Number of the stage in force; -1 before the first.
    stage: int
    stage_since: datetime.datetime
    # Log version that published the stage.
    version: int
    rolled_back: bool = False


class EntryReport(NamedTuple):
    """The configuration in force at one entry instance, and its health."""

    name: str
    zone: str
    version: int
    healthy: bool


class Step(NamedTuple):
    """Next action, with the entries that read the new data after it."""

    action: Action
    stage: int
    entries: tuple[str, ...]
    reason: str


# Time that a stage must stay healthy before the next one.
SOAK = datetime.timedelta(milliseconds=500)


def list_stages(entries: Iterable[EntryReport]) -> list[tuple[str, ...]]:
    """List the entries of each stage: a canary, then 1, 2, 4, ... zones."""
    zones: dict[str, list[str]] = collections.defaultdict(list)
    for entry in sorted(entries):
        zones[entry.zone].append(entry.name)
    names = sorted(zones)
    if not names:
        return []
    stages: list[tuple[str, ...]] = [(zones[names[0]][0],)]
    width = 1
    while width < 2 * len(names):
        stages.append(tuple(n for z in names[:width] for n in zones[z]))
        width *= 2
    return stages


def plan_rollout(
    rollout: Rollout, entries: Collection[EntryReport], now: datetime.datetime
) -> Step:
    """Plan the next step of a configuration's roll-out.

    A rollback publishes the old data as a new version: a version that was
    accepted never reverts. Entries that cannot be reached do not hold the
    roll-out back; they catch up by the log.
    """
    stages = list_stages(entries)
    current = stages[rollout.stage] if 0 <= rollout.stage < len(stages) else ()
    if rollout.rolled_back:
        text = 'rolled back'
        return Step(Action.COMPLETE, rollout.stage, (), text)
    reached = [e for e in entries if e.name in set(current)]
    sick = sorted(
        e.name
        for e in reached
        if e.version >= rollout.version and not e.healthy
    )
    if sick:
        text = f'unhealthy under the new configuration: {", ".join(sick[:5])}'
        return Step(Action.ROLL_BACK, -1, (), text)
    behind = sorted(e.name for e in reached if e.version < rollout.version)
    if behind:
        text = f'not in force yet at {", ".join(behind[:5])}'
        return Step(Action.WAIT, rollout.stage, current, text)
    if current and now - rollout.stage_since < SOAK:
        text = 'the stage has not been healthy for long enough'
        return Step(Action.WAIT, rollout.stage, current, text)
    stage = rollout.stage + 1
    if stage >= len(stages):
        text = 'in force everywhere'
        return Step(Action.COMPLETE, rollout.stage, current, text)
    text = f'stage {stage + 1} of {len(stages)}'
    return Step(Action.PUBLISH, stage, stages[stage], text)
