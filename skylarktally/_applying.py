"""Applies files that hold more resources than one transaction."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from returns import result

from skylarktally import _client
from skylarktally import _errors
from skylarktally import _resources

_Kind = _resources.Kind
# Limits come before what they limit: a pool is the name that a budget
# refers to and has nothing to run until it has instances and jobs; a wave
# stops instances, so it comes last.
ORDER = (
    _Kind.POOL,
    _Kind.QUOTA,
    _Kind.BUDGET,
    _Kind.CONFIGURATION,
    _Kind.INSTANCE,
    _Kind.JOB,
    _Kind.WAVE,
)
_RANKS = {kind.value: rank for rank, kind in enumerate(ORDER)}

Outcome = result.Result[_client.Body, _errors.Failure]


class Applied(NamedTuple):
    """What came of a file: the parts applied, and the end."""

    parts: int
    # Resources that are in the log, and all of the file.
    done: int
    total: int
    # All changes at the last version, or why the next part failed.
    outcome: Outcome


def split(documents: list[Any]) -> Iterator[list[Any]]:
    """Yield the documents of each transaction, in the order to apply."""
    ordered = sorted(documents, key=_rank)
    for start in range(0, len(ordered), _resources.CHANGES_LIMIT):
        yield ordered[start : start + _resources.CHANGES_LIMIT]


def _rank(document: Any) -> int:
    kind = document.get('kind') if isinstance(document, dict) else None
    return _RANKS.get(str(kind), len(_RANKS))


def apply(
    client: _client.Client,
    documents: list[Any],
    dry_run: bool,
    report: Callable[[str], None],
) -> Applied:
    """Declare the documents; each transaction is all or nothing.

    Several transactions are preceded by a dry run of all documents, so
    that one that is malformed stops the file before anything is written.
    """
    total = len(documents)
    if dry_run or total <= _resources.CHANGES_LIMIT:
        outcome = _send(client, documents, dry_run)
        done = total if isinstance(outcome, result.Success) else 0
        return Applied(1, done, total, outcome)
    checked = _send(client, documents, True)
    if not isinstance(checked, result.Success):
        return Applied(0, 0, total, checked)
    changes: list[Any] = []
    done = 0
    body: _client.Body = {}
    for number, part in enumerate(split(documents)):
        outcome = _send(client, part, False)
        if not isinstance(outcome, result.Success):
            return Applied(number, done, total, outcome)
        body = outcome.unwrap()
        changes += body['changes']
        done += len(part)
        report(f'{done} of {total} resources at version {body["version"]}')
    return Applied(
        number + 1, done, total, result.Success({**body, 'changes': changes})
    )


def _send(
    client: _client.Client, documents: list[Any], dry_run: bool
) -> Outcome:
    query = 'true' if dry_run else 'false'
    return client.call(
        'POST', f'/v1/apply?dry_run={query}', {'resources': documents}
    )
