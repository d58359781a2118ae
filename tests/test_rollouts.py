"""Guards roll-outs: canary, zones, halt, rollback as a new version."""

import datetime

import pytest

from skylarktally import _rollouts
from tests import strategies

NOW = strategies.NOW
Action = _rollouts.Action
HALF = datetime.timedelta(milliseconds=500)


def build_entries(version=1, zones=3, **changed):
    entries = [
        _rollouts.EntryReport(f'e{z}{k}', f'z{z}', version, True)
        for z in range(zones)
        for k in range(2)
    ]
    return [e._replace(**changed.get(e.name, {})) for e in entries]


@pytest.mark.parametrize(('zones', 'stages'), [(1, 2), (3, 4), (8, 5)])
def test_reaches_every_entry_by_growing_stages(zones, stages):
    entries = build_entries(0, zones)
    rollout = _rollouts.Rollout('c', -1, NOW, 0)
    now, widths = NOW, []
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
            widths.append(len(step.entries))
        now += HALF / 2
    assert widths == sorted(widths)
    assert len(widths) == stages
    assert widths[0] == 1
    assert widths[-1] == 2 * zones
    assert now - NOW <= 5 * 2 * HALF


@pytest.mark.parametrize(
    ('changed', 'age', 'action'),
    [
        ({}, 2 * HALF, Action.PUBLISH),
        ({}, HALF / 2, Action.WAIT),
        ({'e01': {'version': 0}}, 2 * HALF, Action.WAIT),
        ({'e01': {'healthy': False}}, HALF / 2, Action.ROLL_BACK),
        # Ill before the new version reached it: no fault of the version.
        ({'e01': {'healthy': False, 'version': 0}}, HALF, Action.WAIT),
        # Not in this stage.
        ({'e21': {'healthy': False}}, 2 * HALF, Action.PUBLISH),
    ],
)
def test_each_report_has_its_step(changed, age, action):
    rollout = _rollouts.Rollout('c', 1, NOW - age, 1)
    entries = build_entries(**changed)
    step = _rollouts.plan_rollout(rollout, entries, NOW)
    assert step.action is action
    done = rollout._replace(rolled_back=True)
    step = _rollouts.plan_rollout(done, entries, NOW)
    assert step.action is Action.COMPLETE
