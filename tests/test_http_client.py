"""Tests of the HTTP client in a process whose loop has much to do."""

import json
import subprocess
import sys

import pytest

from skylarktally import _errors
from skylarktally.platform import _http

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


def test_a_request_on_an_open_connection_is_sent_at_once():
    """Guards against requests that wait for all other green threads.

    With hundreds of them ready, the check of an open connection took longer
    than the start of a task.
    """
    found = run('call_beside_ready_threads')
    assert found == {'statuses': [200, 200], 'rounds': 0}


def test_unused_addresses_are_forgotten(monkeypatch):
    """Guards against connections to all addresses that ever existed."""
    monkeypatch.setattr(_http, '_MAX_ADDRESSES', 2)
    client = _http.HttpClient(_errors.ErrorKind.WORKER_UNREACHABLE)
    for name in ('a:1', 'b:1', 'a:1', 'c:1'):
        client._find_idle(name)
    assert list(client._idle) == ['a:1', 'c:1']
