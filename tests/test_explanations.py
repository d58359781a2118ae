"""Tests that explanations are bounded in number and size."""

import datetime

import hypothesis
from hypothesis import strategies as st

from skylarktally import _explanations
from tests import strategies

SECOND = datetime.timedelta(seconds=1)


@strategies.check_many(1000)
@hypothesis.given(
    st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 2)))
)
def test_keeps_the_last_records_that_changed_something(events):
    explanations = _explanations.Explanations(capacity=5)
    kept = []
    for turn, (name, outcome) in enumerate(events):
        at = strategies.NOW + turn * SECOND
        record = _explanations.Record(
            at, 'pool', name, '', '', (), str(outcome)
        )
        explanations.add(record)
        own = [r for r in kept if r.name == name]
        if not own or own[-1].outcome != record.outcome:
            kept = [*kept, record][-5:]
        assert len(explanations) == len(kept)
        for other in 'abc':
            assert explanations.find('pool', other) == [
                r for r in kept if r.name == other
            ]


def test_cuts_long_texts():
    explanations = _explanations.Explanations()
    long = 'x' * 10**6
    explanations.add(
        _explanations.Record(
            strategies.NOW, 'pool', 'a', long, long, (long,) * 99, long
        )
    )
    assert len(str(explanations.find('pool', 'a'))) < 10_000
