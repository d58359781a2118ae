"""Applies lists of resources that may exceed one transaction."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from returns import result

from skylarktally import _client
from skylarktally import _errors
from skylarktally import _resources

_Kind = _resources.Kind
# Limits come before the resources that they limit. Pools come first because
# budgets refer to them; a pool runs nothing until it has instances and jobs.
# Waves stop instances, so they come last.
APPLY_ORDER = (
    _Kind.POOL,
    _Kind.QUOTA,
    _Kind.BUDGET,
    _Kind.CONFIGURATION,
    _Kind.INSTANCE,
    _Kind.JOB,
    _Kind.WAVE,
)
_RANK_BY_KIND = {kind.value: rank for rank, kind in enumerate(APPLY_ORDER)}

Outcome = result.Result[_client.Body, _errors.Failure]


class ApplyResult(NamedTuple):
    """Result of applying a list, which may have stopped halfway."""

    transaction_count: int
    # Resources that were committed to the log, and those of the whole list.
    applied_count: int
    total_count: int
    # All changes with the last version, or the failure of the transaction
    # that was not committed.
    outcome: Outcome


def split_into_transactions(documents: list[Any]) -> Iterator[list[Any]]:
    """Yield the documents of each transaction, in APPLY_ORDER."""
    ordered = sorted(documents, key=_get_rank)
    for start in range(0, len(ordered), _resources.CHANGES_LIMIT):
        yield ordered[start : start + _resources.CHANGES_LIMIT]


def _get_rank(document: Any) -> int:
    kind = document.get('kind') if isinstance(document, dict) else None
    return _RANK_BY_KIND.get(str(kind), len(_RANK_BY_KIND))


def apply(
    client: _client.Client,
    documents: list[Any],
    dry_run: bool,
    report_progress: Callable[[str], None],
) -> ApplyResult:
    """Declare the documents in as few atomic transactions as possible.

    If there are several, a dry run of all documents comes first, so that a
    malformed one is found before anything is written.
    """
    total_count = len(documents)
    if dry_run or total_count <= _resources.CHANGES_LIMIT:
        outcome = _send(client, documents, dry_run)
        applied_count = (
            total_count if isinstance(outcome, result.Success) else 0
        )
        return ApplyResult(1, applied_count, total_count, outcome)
    checked = _send(client, documents, True)
    if not isinstance(checked, result.Success):
        return ApplyResult(0, 0, total_count, checked)
    changes: list[Any] = []
    applied_count = 0
    body: _client.Body = {}
    for number, transaction in enumerate(split_into_transactions(documents)):
        outcome = _send(client, transaction, False)
        if not isinstance(outcome, result.Success):
            return ApplyResult(number, applied_count, total_count, outcome)
        body = outcome.unwrap()
        changes += body['changes']
        applied_count += len(transaction)
        report_progress(
            f'{applied_count} of {total_count} resources at version '
            f'{body["version"]}'
        )
    return ApplyResult(
        number + 1,
        applied_count,
        total_count,
        result.Success({**body, 'changes': changes}),
    )


def _send(
    client: _client.Client, documents: list[Any], dry_run: bool
) -> Outcome:
    query = 'true' if dry_run else 'false'
    return client.call(
        'POST', f'/v1/apply?dry_run={query}', {'resources': documents}
    )
