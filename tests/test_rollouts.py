"""Tests roll-outs: canary, growing stages, waits and rollbacks."""

import datetime

import pytest

from skylarktally import _rollouts
from tests import strategies

NOW = strategies.NOW
Action = _rollouts.Action
HALF_SECOND = datetime.timedelta(milliseconds=500)


def build_entries(version=1, zones=3, **changed):
    entries = [
        _rollouts.EntryReport(f'e{z}{k}', f'z{z}', version, True)
        for z in range(zones)
        for k in range(2)
    ]
    return [e._replace(**changed.get(e.name, {})) for e in entries]


@pytest.mark.parametrize(('zones', 'stages'), [(1, 2), (3, 4), (8, 5)])
def test_reaches_every_entry_instance_in_growing_stages(zones, stages):
    entries = build_entries(0, zones)
    rollout = _rollouts.Rollout('c', -1, NOW, 0)
    now, stage_sizes = NOW, []
    for _ in range(40):
        step = _rollouts.plan_rollout(rollout, entries, now)
        if step.action is Action.COMPLETE:
            break
        if step.action is Action.PUBLISH:
            version = rollout.version + 1
            rollout = rollout._replace(
                stage=step.stage, stage_since=now, version=version
            )
            entries = [
                e._replace(version=version) if e.name in step.entries else e
                for e in entries
            ]
            stage_sizes.append(len(step.entries))
        now += HALF_SECOND / 2
    assert stage_sizes == sorted(stage_sizes)
    assert len(stage_sizes) == stages
    assert stage_sizes[0] == 1
    assert stage_sizes[-1] == 2 * zones
    assert now - NOW <= 5 * 2 * HALF_SECOND


@pytest.mark.parametrize(
    ('changed', 'age', 'action'),
    [
        ({}, 2 * HALF_SECOND, Action.PUBLISH),
        ({}, HALF_SECOND / 2, Action.WAIT),
        ({'e01': {'version': 0}}, 2 * HALF_SECOND, Action.WAIT),
        ({'e01': {'healthy': False}}, HALF_SECOND / 2, Action.ROLL_BACK),
        # Unhealthy under an older version: the new one is not the cause.
        ({'e01': {'healthy': False, 'version': 0}}, HALF_SECOND, Action.WAIT),
        # Not in this stage.
        ({'e21': {'healthy': False}}, 2 * HALF_SECOND, Action.PUBLISH),
    ],
)
def test_reports_determine_the_next_step(changed, age, action):
    rollout = _rollouts.Rollout('c', 1, NOW - age, 1)
    entries = build_entries(**changed)
    step = _rollouts.plan_rollout(rollout, entries, NOW)
    assert step.action is action
    rolled_back = rollout._replace(rolled_back=True)
    step = _rollouts.plan_rollout(rolled_back, entries, NOW)
    assert step.action is Action.COMPLETE
