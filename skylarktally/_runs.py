"""Runs of batch jobs: a row in the table first, then the task.

The row run/<job>/<run> is written, on condition that it is absent or as
last seen, before the task is sent. A run of a job that is not idempotent
is therefore sent at most once, whatever becomes of its controller.
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
# A task that its controller recorded but has not sent by then is never
# sent: the lease for it has expired at the worker.
ADOPT_AFTER = 3 * LEASE_TTL
# Failed attempts after which an idempotent run is given up.
ATTEMPTS_LIMIT = 5
# The most writes that the platform takes in a transaction.
_WRITES_LIMIT = 100

State = _sizes.RunState
ACTIVE_STATES = (State.RUNNING, State.THROTTLED)


class Run(NamedTuple):
    """One row run/<job>/<run> with its row version, 0 when absent."""

    job: str
    run: int
    state: State
    instance: str
    address: str
    # Identifies the attempt at the worker, and its author in the table.
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
    """Return the run that a row holds."""
    value = _resources.pick_fields(Run, row.value)
    value['state'] = State(value['state'])
    return Run(**value, version=row.version)


def encode_run(run: Run) -> dict[str, Any]:
    """Return the value of the row of a run."""
    value = run._asdict()
    del value['version']
    value['state'] = run.state.value
    return value


def build_report(run: Run) -> _sizes.RunReport:
    """Return a run in the form that the placement reads."""
    return _sizes.RunReport(
        run.job,
        run.run,
        run.instance,
        datetime.datetime.fromisoformat(run.started_at),
        run.state,
    )


def build_task(job: _resources.Job, run: Run, resumes: bool) -> _workers.Task:
    """Return the task of a run, with a time limit of its own."""
    resume = '&resume=true' if resumes else ''
    expected = datetime.timedelta(seconds=job.expected_seconds)
    return _workers.Task(
        job.name,
        run.request_key,
        f'/runs/{job.name}/{run.run}/work'
        f'?seconds={job.expected_seconds:g}{resume}',
        # Declared times may be off by the factor that corrects sizes.
        max(_sizes.CORRECTION_LIMIT * expected, LEASE_TTL),
    )


class RunTable:
    """Rows of runs, each written on condition of its last version."""

    def __init__(self, table: _table.Table) -> None:
        self._table = table

    def list(self) -> result.Result[list[Run], _errors.Failure]:
        """Return every run that was ever recorded and not cleared."""
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
        self, run: Run, fence: _table.Condition | None = None
    ) -> result.Result[Run, _errors.Failure]:
        """Write a run on condition that nobody else has since.

        Fails with OUTCOME_UNKNOWN when it cannot be learned whether the
        write took effect.
        """
        written = self._commit(run, encode_run(run), fence)
        if isinstance(written, result.Success):
            return result.Success(run._replace(version=written.unwrap()))
        return self._resolve(run, written.failure())

    def delete(self, run: Run) -> result.Result[int, _errors.Failure]:
        """Delete the row of a run, unless it has changed."""
        return self._commit(run, None, None)

    def delete_all(self, runs: Sequence[Run]) -> None:
        """Delete rows of runs, those that have changed excepted."""
        for start in range(0, len(runs), _WRITES_LIMIT):
            chunk = runs[start : start + _WRITES_LIMIT]
            cleared = self._table.commit(
                _table.Transaction(
                    f'clear/{uuid.uuid4().hex}',
                    tuple(_table.Condition(r.key, r.version) for r in chunk),
                    tuple(_table.Write(r.key, None) for r in chunk),
                )
            )
            if _is_conflict(cleared):
                for run in chunk:
                    self.delete(run)

    def _commit(
        self,
        run: Run,
        value: dict[str, Any] | None,
        fence: _table.Condition | None,
    ) -> result.Result[int, _errors.Failure]:
        own = _table.Condition(run.key, run.version)
        conditions = (own,) if fence is None else (own, fence)
        identifier = f'{run.request_key}/{run.state.value}/{run.version}'
        return self._table.commit(
            _table.Transaction(
                identifier, conditions, (_table.Write(run.key, value),)
            )
        )

    def _resolve(
        self, run: Run, failure: _errors.Failure
    ) -> result.Result[Run, _errors.Failure]:
        """Learn from the row whether a write whose answer was lost holds."""
        unknown = _errors.ErrorKind.OUTCOME_UNKNOWN
        if failure.kind is not unknown:
            return result.Failure(failure)
        read = self._table.read(run.key)
        row = read.value_or(None)
        if row is not None and row.value == encode_run(run):
            return result.Success(run._replace(version=row.version))
        # An absent effect may still follow, so this is never a permission
        # to act.
        return result.Failure(failure)


def _is_conflict(committed: result.Result[int, _errors.Failure]) -> bool:
    return (
        isinstance(committed, result.Failure)
        and committed.failure().kind is _errors.ErrorKind.CONFLICT
    )
