"""Tests orders on instances with lost or late answers (LIMIT)."""

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _loop
from skylarktally import platform
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _maintenance
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _records
from skylarktally.scheduling import _work
from standins import rows
from tests import pools

Kind = _errors.ErrorKind
Rejection = _orders.Rejection
WAVE = _work.Wave(1, tuple('abcdef'), pools.seconds(10), 2)
CONFIGURATION = _work.Configuration(1, (), (_work.Pool('s', True),), 1000)


class Instances:
    """The platform's instances; each order gets the next answer."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.ordered = []

    def list_instances(self):
        return result.Success(
            tuple(
                _work.InstanceRecord(id_, 's', 'up', 'z1', '', 32000)
                for id_ in WAVE.instances
            )
        )

    def maintain(self, instance, wave, permit):
        self.ordered.append(instance)
        answer = self.answers.pop(0) if self.answers else None
        if isinstance(answer, Kind):
            return result.Failure(_errors.Failure(answer, 'no answer'))
        return result.Success(_orders.OrderResult(answer))


class MaintenanceRun:
    """Maintenance on stand-ins, without green threads."""

    def __init__(self, *answers):
        self.clock = pools.ManualClock()
        self.table = rows.RowTable()
        self.instances = Instances(*answers)
        term = _records.Term('a', 'a:1', 'life', 1, 0)
        self.ledger = _ledger.claim(
            self.table, self.clock, '', term, 0
        ).unwrap()
        # These tests do not cover the stored progress.
        self.ledger.write = lambda puts, timeout, take: (
            _ledger.WriteOutcome.APPLIED
        )
        self.maintenance = _maintenance.Maintenance(
            self.ledger,
            self.table,
            self.instances,
            platform.PlatformLayout(),
            self.clock,
            'a',
        )
        self.dependencies = _maintenance.Dependencies(
            lambda: {1: WAVE},
            lambda: CONFIGURATION,
            lambda pool, worker: True,
            lambda pool, lendable: None,
        )

    def run_cycle(self):
        """Run a cycle and return the instances that were ordered down."""
        self.instances.ordered = []
        self.ledger.commit()
        listed = {
            record.id: record
            for record in self.instances.list_instances().unwrap()
        }
        self.maintenance._run_cycle(listed, CONFIGURATION, self.dependencies)
        self.clock.advance(0.2)
        return self.instances.ordered


@pytest.mark.parametrize(
    'answers, second',
    [
        # Both are down, which is the limit.
        ([None, None], []),
        # The first may still go down, so only its order is repeated.
        ([Kind.OUTCOME_UNKNOWN, None], ['a']),
        # The first stays up, so another order is within the limit.
        ([Kind.PLATFORM_UNAVAILABLE, None], ['a']),
        ([Rejection.BUSY, None], ['a']),
        # Two may go down: only their orders are repeated.
        ([Kind.OUTCOME_UNKNOWN, Kind.OUTCOME_UNKNOWN], ['a', 'b']),
    ],
)
def test_an_instance_whose_answer_is_lost_counts_towards_the_limit(
    answers, second
):
    run = MaintenanceRun(*answers)
    assert run.run_cycle() == ['a', 'b']
    assert run.run_cycle() == second


def test_a_rejection_says_nothing_about_an_earlier_order():
    """Guards against a delayed order after a later one was rejected.

    The order whose answer was lost may still take the instance down.
    """
    run = MaintenanceRun(Kind.OUTCOME_UNKNOWN, None, Rejection.BUSY)
    assert run.run_cycle() == ['a', 'b']
    assert run.run_cycle() == ['a']
    # Without the earlier order, another instance would go down beside b.
    assert run.run_cycle() == ['a']


class Moves(Instances):
    """Instances of which the first move gets no answer for a long time."""

    # How long a client waits for an answer, in seconds.
    TIMEOUT = 1.5

    def move(self, instance, pool, permit):
        self.ordered.append(instance)
        if len(self.ordered) == 1:
            _loop.sleep(self.TIMEOUT)
            failure = _errors.Failure(Kind.OUTCOME_UNKNOWN, 'no answer')
            return result.Failure(failure)
        _loop.sleep(0.01)
        return result.Success(_orders.OrderResult(None))


def test_a_move_without_an_answer_does_not_hold_up_the_others():
    """Guards against a surge whose instances arrive seconds later.

    Moves were ordered one after the other, also while an answer was missing.
    """
    run = MaintenanceRun()
    run.instances = run.maintenance._instances = Moves()
    moves = [
        _lending.Move(record, 'surging')
        for record in run.instances.list_instances().unwrap()
    ]
    ordering = _loop.spawn(
        run.maintenance._order_moves, moves, lambda pool, worker: True
    )
    with _loop.Timeout(Moves.TIMEOUT / 2):
        while len(run.instances.ordered) < len(moves):
            _loop.sleep(0.01)
    ordering.wait()
    # The move without an answer may have been made as well.
    assert set(run.maintenance._pending_moves) == set(WAVE.instances)


@pytest.mark.parametrize(
    'rejection, is_over',
    [
        # Guards against orders of a former holder (ONE).
        (Rejection.FENCED, True),
        # Guards against calls beyond the rate that the platform accepts.
        (Rejection.UNHEALTHY, False),
    ],
)
def test_no_move_is_ordered_after_one_that_is_refused(rejection, is_over):
    run = MaintenanceRun()
    ordered = []
    evacuated = []

    def move(instance, pool, permit):
        ordered.append(instance)
        return result.Success(_orders.OrderResult(rejection))

    def vacate(pool, worker):
        evacuated.append(worker)
        return True

    run.instances.move = move
    records = [
        record._replace(worker=f'worker of {record.id}')
        for record in run.instances.list_instances().unwrap()
    ]
    run.maintenance._order_moves(
        [_lending.Move(record, 'surging') for record in records], vacate
    )
    assert ordered == ['a']
    assert evacuated == ['worker of a']
    assert run.ledger.is_over is is_over
