"""Tests that callers may use only the pools of their own team."""

import pytest
from returns import result

from skylarktally import _handlers
from skylarktally import _tokens


@pytest.mark.parametrize(
    'role, team, pool_team, allowed',
    [
        ('caller', 'amani', 'amani', True),
        ('caller', 'amani', 'baraka', False),
        ('caller', '*', 'baraka', True),
        ('caller', None, 'baraka', False),
        ('operator', '*', 'baraka', True),
        ('operator', None, 'baraka', True),
        ('operator', 'amani', 'baraka', False),
        ('peer', '*', 'baraka', False),
        ('peer', None, None, False),
        # An unknown pool is reported as not found by a later step.
        ('caller', 'amani', None, True),
    ],
)
def test_caller_uses_pools_of_its_team(role, team, pool_team, allowed):
    identity = _tokens.Identity('someone', role, team)
    checked = _handlers.check_caller(identity, pool_team)
    assert isinstance(checked, result.Success) is allowed
