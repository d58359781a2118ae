"""In-memory records of the reasons for decisions, bounded in number."""

import collections
import datetime
from typing import NamedTuple

# Characters of one text field; longer texts are truncated.
_FIELD_LIMIT = 500
_ALTERNATIVES_LIMIT = 8


class Record(NamedTuple):
    """A decision about a resource, with its inputs and its outcome."""

    at: datetime.datetime
    kind: str
    name: str
    observed: str
    rule: str
    alternatives: tuple[str, ...]
    outcome: str


class Explanations:
    """The latest records of this controller, indexed by kind and name."""

    def __init__(self, capacity: int = 1000) -> None:
        self._capacity = capacity
        self._records: collections.deque[Record] = collections.deque()
        self._index: dict[tuple[str, str], collections.deque[Record]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: Record) -> None:
        """Add a truncated record, which evicts the oldest one if full.

        A record that differs from the latest one about the same resource
        only in its time is dropped. Otherwise the repeated decisions of
        periodic passes would evict those that changed something.
        """
        record = _truncate(record)
        key = (record.kind, record.name)
        same_resource = self._index.get(key)
        if (
            same_resource
            and same_resource[-1]._replace(at=record.at) == record
        ):
            return
        if len(self._records) >= self._capacity:
            self._drop_oldest()
        self._records.append(record)
        self._index.setdefault(key, collections.deque()).append(record)

    def _drop_oldest(self) -> None:
        oldest = self._records.popleft()
        key = (oldest.kind, oldest.name)
        same_resource = self._index[key]
        same_resource.popleft()
        if not same_resource:
            del self._index[key]

    def find(self, kind: str, name: str) -> list[Record]:
        """Return the records about a resource, oldest first."""
        return list(self._index.get((kind, name), ()))


def _truncate(record: Record) -> Record:
    return record._replace(
        observed=record.observed[:_FIELD_LIMIT],
        rule=record.rule[:_FIELD_LIMIT],
        outcome=record.outcome[:_FIELD_LIMIT],
        alternatives=tuple(
            text[:_FIELD_LIMIT]
            for text in record.alternatives[:_ALTERNATIVES_LIMIT]
        ),
    )
