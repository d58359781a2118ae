"""Fakes: a manual clock, a table with faults and an object store."""

from returns import result

from skylarktally import _errors
from skylarktally import _objects
from skylarktally import _table
from standins import table as standin_table
from tools import clocks

ManualClock = clocks.ManualClock


class FaultyTable:
    """Table on the stand-in's rows, with faults injected by the test.

    ``faults`` holds one item for each of the next commits: None, 'drop'
    (request lost), 'lose' (applied, response lost), 'duplicate' (applied
    twice, second response returned), 'delay' (response lost, applied later
    by ``deliver``), 'refuse' (PLATFORM_UNAVAILABLE) or 'limit'
    (RATE_LIMITED). While ``down`` is set, every call fails with
    PLATFORM_UNAVAILABLE.
    """

    is_unresponsive = is_refusing = False

    def __init__(self, rows=None):
        self.rows = rows or standin_table.RowStore()
        self.faults = []
        self.delayed = []
        self.down = False
        self.commits = 0
        self.reads = 0

    def commit(self, transaction):
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == 'refuse':
            return fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        if fault == 'limit':
            return fail(_errors.ErrorKind.RATE_LIMITED)
        if fault == 'delay':
            self.delayed.append(transaction)
        if fault in ('lose', 'duplicate'):
            self._apply(transaction)
        if fault in ('drop', 'lose', 'delay'):
            return fail(_errors.ErrorKind.OUTCOME_UNKNOWN)
        return self._apply(transaction)

    def deliver(self):
        """Apply the oldest delayed transaction."""
        return self._apply(self.delayed.pop(0))

    def read(self, key):
        self.reads += 1
        if self.down:
            return fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        row = self.rows.read(key)
        return result.Success(row and _table.Row(**row))

    def scan(self, prefix, after='', limit=1000):
        self.reads += 1
        if self.down:
            return fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        found = self.rows.scan(prefix, after, limit)
        return result.Success([_table.Row(**row) for row in found])

    def _apply(self, transaction):
        body = self.rows.commit(
            {
                'conditions': [c._asdict() for c in transaction.conditions],
                'writes': [w._asdict() for w in transaction.writes],
            }
        )
        if body['committed']:
            return result.Success(body['version'])
        return fail(_errors.ErrorKind.CONFLICT)


def fail(kind):
    """Build the result of a failed call."""
    return result.Failure(_errors.Failure(kind, kind.value))


class FakeObjects:
    """Object store in memory.

    ``before_write`` is called once, before the next write, to simulate a
    concurrent writer.
    """

    def __init__(self):
        self.stored = {}
        self.before_write = None

    def read(self, key):
        return result.Success(self.stored.get(key))

    def write(self, key, data, if_match=None, if_absent=False):
        before_write, self.before_write = self.before_write, None
        if before_write:
            before_write()
        current = self.stored.get(key)
        if if_match is not None and (
            current is None or current.etag != if_match
        ):
            return fail(_errors.ErrorKind.CONFLICT)
        if if_absent and current is not None:
            return fail(_errors.ErrorKind.CONFLICT)
        etag = str(hash(data))
        self.stored[key] = _objects.StoredObject(data, etag)
        return result.Success(etag)
