"""Decisions about retries."""

import datetime
import random

import pytest

from skylarktally import _limits
from skylarktally import _retries
from tests import serving
from tools import compare_retries

TRANSPORT = _retries.FailureClass.TRANSPORT
TASK = _retries.FailureClass.TASK
REFUSED = _retries.FailureClass.NOT_STARTED


def create(**limits):
    clock = serving.ManualClock()
    policy = _retries.RetryPolicy(
        clock, _limits.ServingLimits(**limits), random.Random(1)
    )
    return clock, policy


def describe(clock, **fields):
    values = {
        'pool': 'p',
        'urgent': True,
        'failure_class': TRANSPORT,
        'resendable': True,
        'attempt': 1,
        'deadline': clock.monotonic() + datetime.timedelta(seconds=5),
    }
    return _retries.FailedAttempt(**{**values, **fields})


@pytest.mark.parametrize(
    'fields, retried',
    [
        ({}, True),
        ({'resendable': False}, False),
        ({'resendable': False, 'failure_class': REFUSED}, False),
        ({'attempt': 3}, True),
        ({'attempt': 4}, False),
        ({'failure_class': TASK}, True),
        ({'failure_class': TASK, 'attempt': 2}, False),
        ({'retry_after': datetime.timedelta(seconds=4)}, True),
        ({'retry_after': datetime.timedelta(seconds=5)}, False),
        ({'deadline': datetime.timedelta()}, False),
    ],
)
def test_decision(fields, retried):
    """Guards against retries that are unsafe, useless or too late."""
    clock, policy = create()
    assert (policy.decide(describe(clock, **fields)) is not None) == retried


def test_delays_are_jittered_and_bounded():
    """Guards against synchronized retries, or retries before Retry-After."""
    clock, policy = create()
    wait = datetime.timedelta(seconds=2)
    delays = [
        policy.decide(describe(clock, attempt=3, failure_class=REFUSED))
        for _ in range(50)
    ]
    assert len(set(delays)) == 50
    assert max(delays) <= datetime.timedelta(seconds=0.1)
    assert policy.decide(describe(clock, retry_after=wait)) >= wait


@pytest.mark.parametrize('urgent, retries', [(True, 40), (False, 30)])
def test_budget_is_a_share_of_the_requests(urgent, retries):
    """Guards against retries that multiply the load of a failing pool."""
    clock, policy = create(retry_budget_limit=20)
    granted = 0
    for number in range(400):
        policy.note_request('p')
        # Without failures, the budget stays at its capacity.
        if number < 200:
            continue
        failure = describe(clock, urgent=urgent)
        granted += policy.decide(failure) is not None
    assert abs(granted - retries) <= 1
    # A refusal before the task starts puts no load on the workers, so that
    # its retry needs no budget.
    refused = describe(clock, failure_class=REFUSED)
    assert policy.decide(refused) is not None


def test_kept_rules_beat_plain_retries():
    """Guards against retry rules that waste as much work as plain retries."""
    plain = compare_retries.measure(1, compare_retries.VARIANTS['plain'])
    kept = compare_retries.measure(1, compare_retries.VARIANTS['kept'])
    assert kept.wasted < 0.5 * plain.wasted
    assert kept.attempts_per_request < 1.1 < plain.attempts_per_request
    assert kept.urgent_percent > plain.urgent_percent - 0.5
