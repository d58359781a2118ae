"""Guards orders on instances whose answers are lost or late (LIMIT)."""

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import platform
from skylarktally.scheduling import _ledger
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
    """The platform's instances; each order has the next answer."""

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

    def maintain(self, instance, wave, holder, token):
        self.ordered.append(instance)
        answer = self.answers.pop(0) if self.answers else None
        if isinstance(answer, Kind):
            return result.Failure(_errors.Failure(answer, 'no answer'))
        return result.Success(_orders.OrderResult(answer))


class Duty:
    """Maintenance over stand-ins, without green threads."""

    def __init__(self, *answers):
        self.clock = pools.ManualClock()
        self.table = rows.RowTable()
        self.instances = Instances(*answers)
        term = _records.Term('a', 'a:1', 'life', 1, 0)
        self.ledger = _ledger.claim(
            self.table, self.clock, '', term, 0
        ).unwrap()
        # Writes are not what is tested here.
        self.ledger.write = lambda puts, timeout, take: (
            _ledger.WriteOutcome.APPLIED
        )
        self.duty = _maintenance.Maintenance(
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
        """Take a turn and return the instances that were ordered down."""
        self.instances.ordered = []
        self.ledger.commit()
        listed = {
            record.id: record
            for record in self.instances.list_instances().unwrap()
        }
        self.duty._run_cycle(listed, CONFIGURATION, self.dependencies)
        self.clock.advance(0.2)
        return self.instances.ordered


@pytest.mark.parametrize(
    'answers, second',
    [
        # Both are down.
        ([None, None], []),
        # The first may go down yet: it alone is ordered again.
        ([Kind.OUTCOME_UNKNOWN, None], ['a']),
        # The first is not, and others may take its place.
        ([Kind.PLATFORM_UNAVAILABLE, None], ['a']),
        ([Rejection.BUSY, None], ['a']),
        # Nothing more is ordered while two may go down.
        ([Kind.OUTCOME_UNKNOWN, Kind.OUTCOME_UNKNOWN], ['a', 'b']),
    ],
)
def test_a_lost_answer_takes_up_the_limit(answers, second):
    duty = Duty(*answers)
    assert duty.run_cycle() == ['a', 'b']
    assert duty.run_cycle() == second


def test_a_rejection_says_nothing_of_an_earlier_order():
    """Guards an order that is carried out after a later one was rejected."""
    duty = Duty(Kind.OUTCOME_UNKNOWN, None, Rejection.BUSY)
    assert duty.run_cycle() == ['a', 'b']
    assert duty.run_cycle() == ['a']
    # Were it forgotten, another instance would go down beside b.
    assert duty.run_cycle() == ['a']
