"""Tests of the answers to callers when an owner does not answer at once."""

import datetime

import pytest
from returns import result

from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _directory
from skylarktally.entries import _dispatcher
from skylarktally.scheduling import _records
from skylarktally.scheduling import _work
from tests import pools

Kind = _errors.ErrorKind
JOB = '5c0e7a21d94b36f8'
TIMEOUT = pools.seconds(3)


class Directory:
    """A directory with one owner and one queue."""

    def __init__(self, address='owner:1'):
        self.address = address
        # No term is known.
        self.observed_terms = {}
        self.terms_read_at = None
        self.terms_gapless_since = None
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

    def request_terms(self):
        pass


class Connected:
    """An entry instance that is not isolated."""

    is_isolated = False

    def estimate_diversion(self):
        return None


class Isolated:
    """An isolated entry instance, which the balancer may take out."""

    is_isolated = True

    def __init__(self, diversion):
        self.diversion = diversion

    def estimate_diversion(self):
        return self.diversion


class Calls:
    """Client of a remote owner, with one scripted answer per call."""

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
    """Client of remote owners, with one scripted answer per pool."""

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
        NoOwners(), directory or Directory(), calls, Connected(), clock
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
        # The first call may still arrive after the refusal of the second.
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
    """Guards against a job that runs although it was refused (REFUSED)."""
    assert submit(Calls(*kinds))[0] is expected


def test_without_an_owner_a_job_is_refused_soon():
    """Guards against callers that wait until their deadline for nothing."""
    kind, elapsed = submit(Calls(), Directory(address=None))
    assert kind is Kind.LEASE_LOST
    assert elapsed < datetime.timedelta(seconds=1)


class Takeover(Directory):
    """A directory that shows a term without renewals, and its successor."""

    def __init__(self, clock, age, takeover_at, released=False):
        super().__init__(address='gone:1')
        self.clock = clock
        self.takeover_at = pools.seconds(takeover_at)
        term = _records.Term('gone', 'gone:1', 'x', 3, 7, released)
        seen_at = clock.monotonic() - pools.seconds(age)
        self.observed_terms = {
            'pool': _directory.ObservedTerm(term, 42, seen_at)
        }
        self.terms_gapless_since = seen_at
        self.request_terms()

    def request_terms(self):
        self.terms_read_at = self.clock.monotonic()
        if self.clock.monotonic() >= self.takeover_at:
            self.address = 'new:1'


class Zones:
    """Client of owners of which the former one cannot be reached."""

    def __init__(self, clock):
        self.clock = clock

    def handle(self, address, call):
        if address == 'new:1':
            return result.Success(_calls.JobReply('', '', 0, '', 0))
        self.clock.advance(0.5)
        kind = Kind.PEER_UNREACHABLE
        return result.Failure(_errors.Failure(kind, 'no route'))


@pytest.mark.parametrize(
    'age, takeover_at, timeout, expected, retry_after',
    [
        # The term expires after 1.8 s; the successor accepts jobs 0.4 s later.
        (1.1, 1.1, 3, None, None),
        (0.3, 1.9, 3, None, None),
        (1.9, 0.3, 1, None, None),
        # The takeover comes after the timeout of the request.
        (1.1, 1.1, 0.7, Kind.LEASE_LOST, 0.6),
        # Nobody has taken over within a second of the expected time.
        (4, 9, 3, Kind.LEASE_LOST, 2),
    ],
)
def test_a_request_waits_for_a_successor_that_comes_in_time(
    age, takeover_at, timeout, expected, retry_after
):
    """Replays a cut zone, whose owners are replaced after two seconds (SHORT).

    Requests were refused after 0.6 s and came back two seconds later, up to
    1.6 s after the new owner was ready.
    """
    clock = pools.ManualClock()
    dispatcher = _dispatcher.JobDispatcher(
        NoOwners(),
        Takeover(clock, age, takeover_at),
        Zones(clock),
        Connected(),
        clock,
    )
    found = dispatcher.submit(
        pools.make_queue(), JOB, b'{}', pools.seconds(timeout)
    )
    if expected is None:
        assert isinstance(found, result.Success)
        return
    assert found.failure().kind is expected
    assert found.failure().retry_after == pools.seconds(retry_after)
    assert clock.monotonic() <= pools.seconds(1.3)


@pytest.mark.parametrize(
    'first, diversion, expected, retry_after',
    [
        (Kind.PEER_UNREACHABLE, 1.7, Kind.LEASE_LOST, 1.7),
        (Kind.LEASE_LOST, 1.7, Kind.LEASE_LOST, 1.7),
        # The store is away for all, and no entry instance is better.
        (Kind.LEASE_LOST, None, Kind.LEASE_LOST, 2),
        # It may arrive once the zone is reachable again.
        (Kind.OUTCOME_UNKNOWN, 1.7, Kind.OUTCOME_UNKNOWN, None),
        # Another entry instance of the zone owns the pool and knows the job.
        (None, 1.7, None, None),
    ],
)
@pytest.mark.parametrize('operation', ['submit', 'show', 'cancel'])
def test_an_isolated_entry_instance_answers_after_one_attempt(
    operation, first, diversion, expected, retry_after
):
    """Replays a cut zone, whose callers were held for 2.85 s each (SHORT).

    The balancer sends them elsewhere two seconds after the cut is noticed.
    """
    clock = pools.ManualClock()
    calls = Pools(pool='running') if first is None else Calls(first)
    dispatcher = _dispatcher.JobDispatcher(
        NoOwners(),
        Directory(),
        calls,
        Isolated(None if diversion is None else pools.seconds(diversion)),
        clock,
    )
    body = (b'{}',) if operation == 'submit' else ()
    ask = getattr(dispatcher, operation)
    found = ask(pools.make_queue(), JOB, *body, TIMEOUT)
    assert clock.monotonic() == pools.seconds(0)
    if expected is None:
        assert isinstance(found, result.Success)
        return
    assert found.failure().kind is expected
    if retry_after is not None:
        assert found.failure().retry_after == pools.seconds(retry_after)


@pytest.mark.parametrize(
    'answers, expected, asked',
    [
        ({'pool': 'running'}, 'running', ['pool']),
        ({'former': 'running'}, 'running', ['pool', 'former']),
        ({}, Kind.NOT_FOUND, ['pool', 'former', 'other']),
        # A pool that does not answer may have the job.
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
    """Guards against accepted jobs reported as not found (LOST).

    A job stays in its pool when its queue is configured to use another.
    """
    calls = Pools(**answers)
    clock = pools.ManualClock()
    dispatcher = _dispatcher.JobDispatcher(
        NoOwners(), Directory(), calls, Connected(), clock
    )
    ask = getattr(dispatcher, operation)
    found = ask(pools.make_queue(), JOB, TIMEOUT)
    if isinstance(found, result.Success):
        assert found.unwrap().value == expected
    else:
        assert found.failure().kind is expected
    assert calls.asked == asked
