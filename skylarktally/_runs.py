"""Rows of the runs of batch jobs, written before the task is sent.

The row run/<job>/<run> is written by compare-and-set before the task is
sent. The task of a run that is not idempotent is therefore sent at most once,
even if its controller fails.
"""

from collections.abc import Sequence
import datetime
from typing import Any, NamedTuple
import uuid

from returns import result

from skylarktally import _errors
from skylarktally import _resources
from skylarktally import _sizes
from skylarktally import _table
from skylarktally import _workers

PREFIX = 'run/'
LEASE_TTL = datetime.timedelta(seconds=10)
# A task that was recorded but not sent within this time can't run any more,
# because its slot lease has expired at the worker. The run counts as lost.
LOST_AFTER = 3 * LEASE_TTL
# Attempts after which a failing idempotent run is not repeated.
ATTEMPTS_LIMIT = 5
# Maximum number of writes in a transaction of the platform.
_MAX_WRITES = 100

State = _sizes.RunState
ACTIVE_STATES = (State.RUNNING, State.THROTTLED)


class Run(NamedTuple):
    """One row run/<job>/<run>; version 0 means it does not exist yet."""

    job: str
    run: int
    state: State
    instance: str
    address: str
    # Unique for each attempt: identifies its task at the worker and its
    # transactions in the table.
    request_key: str
    holder: str
    # RFC 3339, UTC.
    started_at: str
    attempt: int = 1
    # HTTP status of the task, 0 while unknown.
    status: int = 0
    version: int = 0

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return f'{PREFIX}{self.job}/{self.run:06d}'


def decode_run(row: _table.Row) -> Run:
    """Build a run from its row."""
    value = _resources.pick_fields(Run, row.value)
    value['state'] = State(value['state'])
    return Run(**value, version=row.version)


def encode_run(run: Run) -> dict[str, Any]:
    """Build the value of a run's row."""
    value = run._asdict()
    del value['version']
    value['state'] = run.state.value
    return value


def build_report(run: Run) -> _sizes.RunReport:
    """Return a run as a report for the placement, without usage."""
    return _sizes.RunReport(
        run.job,
        run.run,
        run.instance,
        datetime.datetime.fromisoformat(run.started_at),
        run.state,
    )


def build_task(job: _resources.Job, run: Run, resumes: bool) -> _workers.Task:
    """Build the task of a run, with a timeout from its expected time."""
    resume = '&resume=true' if resumes else ''
    expected = datetime.timedelta(seconds=job.expected_seconds)
    return _workers.Task(
        job.name,
        run.request_key,
        f'/runs/{job.name}/{run.run}/work'
        f'?seconds={job.expected_seconds:g}{resume}',
        # Declared times may be wrong by the same factor as declared sizes.
        max(_sizes.CORRECTION_LIMIT * expected, LEASE_TTL),
    )


class RunTable:
    """Rows of runs, with optimistic concurrency control by row version."""

    def __init__(self, table: _table.Table) -> None:
        self._table = table

    def list(self) -> result.Result[list[Run], _errors.Failure]:
        """Return all recorded runs whose rows have not been deleted."""
        runs: list[Run] = []
        after = ''
        while True:
            scanned = self._table.scan(PREFIX, after)
            if not isinstance(scanned, result.Success):
                return result.Failure(scanned.failure())
            page = scanned.unwrap()
            if not page:
                return result.Success(runs)
            runs += map(decode_run, page)
            after = page[-1].key

    def write(
        self, run: Run, lease_condition: _table.Condition | None = None
    ) -> result.Result[Run, _errors.Failure]:
        """Write a run unless its row has changed since it was read.

        :param lease_condition: further condition on the shard lease
        :returns: the run with its new version; a failure with
            OUTCOME_UNKNOWN if it is not known whether the write took effect
        """
        written = self._commit(run, encode_run(run), lease_condition)
        if isinstance(written, result.Success):
            return result.Success(run._replace(version=written.unwrap()))
        return self._resolve_unknown_outcome(run, written.failure())

    def delete(self, run: Run) -> result.Result[int, _errors.Failure]:
        """Delete the row of a run, unless it has changed."""
        return self._commit(run, None, None)

    def delete_all(self, runs: Sequence[Run]) -> None:
        """Delete rows of runs, except those that have changed.

        A transaction that conflicts is repeated row by row.
        """
        for start in range(0, len(runs), _MAX_WRITES):
            batch = runs[start : start + _MAX_WRITES]
            cleared = self._table.commit(
                _table.Transaction(
                    f'clear/{uuid.uuid4().hex}',
                    tuple(_table.Condition(r.key, r.version) for r in batch),
                    tuple(_table.Write(r.key, None) for r in batch),
                )
            )
            if _is_conflict(cleared):
                for run in batch:
                    self.delete(run)

    def _commit(
        self,
        run: Run,
        value: dict[str, Any] | None,
        lease_condition: _table.Condition | None,
    ) -> result.Result[int, _errors.Failure]:
        run_condition = _table.Condition(run.key, run.version)
        conditions = (
            (run_condition,)
            if lease_condition is None
            else (run_condition, lease_condition)
        )
        identifier = f'{run.request_key}/{run.state.value}/{run.version}'
        return self._table.commit(
            _table.Transaction(
                identifier, conditions, (_table.Write(run.key, value),)
            )
        )

    def _resolve_unknown_outcome(
        self, run: Run, failure: _errors.Failure
    ) -> result.Result[Run, _errors.Failure]:
        """Read the row to find out whether an unconfirmed write applied."""
        unknown = _errors.ErrorKind.OUTCOME_UNKNOWN
        if failure.kind is not unknown:
            return result.Failure(failure)
        read = self._table.read(run.key)
        row = read.value_or(None)
        if row is not None and row.value == encode_run(run):
            return result.Success(run._replace(version=row.version))
        # The write may still take effect later. The caller must not act as if
        # it had failed or succeeded.
        return result.Failure(failure)


def _is_conflict(committed: result.Result[int, _errors.Failure]) -> bool:
    return (
        isinstance(committed, result.Failure)
        and committed.failure().kind is _errors.ErrorKind.CONFLICT
    )
