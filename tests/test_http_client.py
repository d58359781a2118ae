"""Tests of the HTTP client in a process whose loop has much to do."""

import json
import subprocess
import sys

import pytest

from skylarktally import _errors

pytestmark = pytest.mark.processes


def run(scenario):
    """Run a scenario of the busy client and return what it prints."""
    done = subprocess.run(
        [sys.executable, '-m', 'tests.busy_client', scenario],
        capture_output=True,
        timeout=30,
        check=True,
    )
    return json.loads(done.stdout)


def test_an_answer_that_came_while_the_process_was_busy_is_read():
    """Guards against workers that are taken for silent by a late process.

    The timers of the loop run before its sockets are looked at.
    """
    assert run('call_while_blocked') == {'statuses': [200, 200]}


def test_an_answer_of_a_peer_that_came_while_busy_is_read():
    """Guards against owners that are taken for silent by a late process."""
    assert run('ask_peer_while_blocked') == {'answers': [True, True]}


def test_a_silent_server_is_noticed_in_time():
    """Guards against timeouts that no longer work at all."""
    found = run('call_silent_server')
    unknown = _errors.ErrorKind.OUTCOME_UNKNOWN.value
    assert found['statuses'] == [unknown]
    assert found['seconds'] < 0.9
