"""Replay of the roll-out of a configuration."""

import datetime
import random

from skylarktally import _rollouts

START = datetime.datetime(2026, 3, 2, tzinfo=datetime.UTC)


def roll_out(zones: int, rng: random.Random) -> float:
    """Roll a configuration out to two entries a zone; return the seconds.

    An entry has a version in force 0.1 to 0.8 s after it was published.
    """
    tick = datetime.timedelta(milliseconds=100)
    entries = {
        f'e{zone}{k}': _rollouts.EntryReport(
            f'e{zone}{k}', f'z{zone}', 0, True
        )
        for zone in range(zones)
        for k in range(2)
    }
    due: dict[str, tuple[datetime.datetime, int]] = {}
    rollout = _rollouts.Rollout('c', -1, START, 0)
    now = START
    while True:
        for name, (at, version) in due.items():
            if at <= now:
                entries[name] = entries[name]._replace(version=version)
        step = _rollouts.plan_rollout(rollout, list(entries.values()), now)
        if step.action is _rollouts.Action.COMPLETE:
            return (now - START).total_seconds()
        if step.action is _rollouts.Action.PUBLISH:
            version = rollout.version + 1
            rollout = rollout._replace(
                stage=step.stage, stage_since=now, version=version
            )
            for name in step.entries:
                delay = datetime.timedelta(seconds=rng.uniform(0.1, 0.8))
                due[name] = (now + delay, version)
        now += tick
