"""Guards what a caller is told when an owner does not answer at once."""

import datetime

import pytest
from returns import result

from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _dispatcher
from skylarktally.scheduling import _work
from tests import pools

Kind = _errors.ErrorKind
JOB = '5c0e7a21d94b36f8'
TIMEOUT = pools.seconds(3)


class Directory:
    """A directory that knows one owner, and one queue."""

    def __init__(self, address='owner:1'):
        self.address = address
        self.configuration = _work.Configuration(
            1,
            (pools.make_queue(),),
            (
                _work.Pool('pool', False),
                _work.Pool('former', False),
                _work.Pool('other', False),
                _work.Pool('spare', True),
            ),
            1000,
        )

    def find_address(self, pool):
        return self.address

    def refresh_terms(self):
        return True


class Calls:
    """Answers of an owner elsewhere, one for each call."""

    def __init__(self, *kinds):
        self.kinds = list(kinds)

    def handle(self, address, call):
        kind = self.kinds.pop(0)
        if kind is None:
            return result.Success(_calls.JobReply('', '', 0, '', 0))
        if kind in (Kind.OUTCOME_UNKNOWN, Kind.PEER_UNREACHABLE):
            return result.Failure(_errors.Failure(kind, 'no answer'))
        return result.Success(
            _calls.JobReply(kind.value, 'refused', 1500, '', 0)
        )


class Pools:
    """Owners elsewhere, of which some know the job."""

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []

    def handle(self, address, call):
        self.asked.append(call.pool)
        answer = self.answers.get(call.pool, Kind.NOT_FOUND)
        if isinstance(answer, Kind):
            reply = _calls.JobReply(answer.value, 'refused', 0, '', 0)
        else:
            reply = _calls.JobReply('', '', 0, answer, 0)
        return result.Success(reply)


class NoOwners:
    def find_owner(self, pool):
        return None


def submit(calls, directory=None):
    clock = pools.ManualClock()
    dispatcher = _dispatcher.JobDispatcher(
        NoOwners(), directory or Directory(), calls, clock
    )
    started_at = clock.monotonic()
    found = dispatcher.submit(pools.make_queue(), JOB, b'{}', TIMEOUT)
    kind = None if isinstance(found, result.Success) else found.failure().kind
    return kind, clock.monotonic() - started_at


@pytest.mark.parametrize(
    'kinds, expected',
    [
        ([None], None),
        ([Kind.QUEUE_FULL], Kind.QUEUE_FULL),
        ([Kind.OUTCOME_UNKNOWN, None], None),
        # The first call may arrive after the refusal of the second.
        ([Kind.OUTCOME_UNKNOWN, Kind.QUEUE_FULL], Kind.OUTCOME_UNKNOWN),
        (
            [Kind.OUTCOME_UNKNOWN, Kind.PLATFORM_UNAVAILABLE],
            Kind.OUTCOME_UNKNOWN,
        ),
        # A call that was never sent cannot arrive.
        ([Kind.PEER_UNREACHABLE, Kind.QUEUE_FULL], Kind.QUEUE_FULL),
        ([Kind.LEASE_LOST, Kind.QUEUE_FULL], Kind.QUEUE_FULL),
    ],
)
def test_a_refusal_is_only_given_when_no_call_may_arrive_later(
    kinds, expected
):
    """Guards the truth of a refusal (REFUSED)."""
    assert submit(Calls(*kinds))[0] is expected


def test_without_an_owner_a_job_is_refused_soon():
    """Guards callers that are held until their deadline."""
    kind, elapsed = submit(Calls(), Directory(address=None))
    assert kind is Kind.LEASE_LOST
    assert elapsed < datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    'answers, expected, asked',
    [
        ({'pool': 'running'}, 'running', ['pool']),
        ({'former': 'running'}, 'running', ['pool', 'former']),
        ({}, Kind.NOT_FOUND, ['pool', 'former', 'other']),
        # Who does not answer may have it.
        (
            {'former': Kind.UNAUTHENTICATED},
            Kind.UNAUTHENTICATED,
            ['pool', 'former'],
        ),
    ],
)
@pytest.mark.parametrize('operation', ['show', 'cancel'])
def test_a_job_is_found_after_its_queue_has_moved_to_another_pool(
    operation, answers, expected, asked
):
    """Guards accepted jobs that are denied after a change (LOST)."""
    calls = Pools(**answers)
    clock = pools.ManualClock()
    dispatcher = _dispatcher.JobDispatcher(
        NoOwners(), Directory(), calls, clock
    )
    ask = getattr(dispatcher, operation)
    found = ask(pools.make_queue(), JOB, TIMEOUT)
    if isinstance(found, result.Success):
        assert found.unwrap().value == expected
    else:
        assert found.failure().kind is expected
    assert calls.asked == asked
