"""Records of why decisions were made, in a ring of bounded size."""

import collections
import datetime
from typing import NamedTuple

# Longest text of one field; longer ones are cut.
_FIELD_LIMIT = 500
_ALTERNATIVES_LIMIT = 8


class Record(NamedTuple):
    """One decision about one resource."""

    at: datetime.datetime
    kind: str
    name: str
    observed: str
    rule: str
    alternatives: tuple[str, ...]
    outcome: str


class Explanations:
    """The last records of this controller, found by kind and name."""

    def __init__(self, capacity: int = 1000) -> None:
        self._capacity = capacity
        self._ring: collections.deque[Record] = collections.deque()
        self._index: dict[tuple[str, str], collections.deque[Record]] = {}

    def __len__(self) -> int:
        return len(self._ring)

    def add(self, record: Record) -> None:
        """Keep a record, cut to the limits, in place of the oldest one.

        A record that repeats the last one about the same resource, but for
        its time, is dropped: periodic passes would otherwise push out the
        decisions that changed something.
        """
        record = _cut(record)
        key = (record.kind, record.name)
        own = self._index.get(key)
        if own and own[-1]._replace(at=record.at) == record:
            return
        if len(self._ring) >= self._capacity:
            self._drop_oldest()
        self._ring.append(record)
        self._index.setdefault(key, collections.deque()).append(record)

    def _drop_oldest(self) -> None:
        oldest = self._ring.popleft()
        key = (oldest.kind, oldest.name)
        own = self._index[key]
        own.popleft()
        if not own:
            del self._index[key]

    def find(self, kind: str, name: str) -> list[Record]:
        """Return the records about a resource, oldest first."""
        return list(self._index.get((kind, name), ()))


def _cut(record: Record) -> Record:
    return record._replace(
        observed=record.observed[:_FIELD_LIMIT],
        rule=record.rule[:_FIELD_LIMIT],
        outcome=record.outcome[:_FIELD_LIMIT],
        alternatives=tuple(
            text[:_FIELD_LIMIT]
            for text in record.alternatives[:_ALTERNATIVES_LIMIT]
        ),
    )
