"""Availability budgets: what may stop without breaking one.

An instance is available while its phase is serving. Every other phase is a
loss, planned or not, and counts against the budgets of its pool.
"""

import collections
from collections.abc import Collection, Iterable

from returns import result

from skylarktally import _errors
from skylarktally import _resources


class BudgetTracker:
    """Counts of available and lost instances, by pool and by zone."""

    def __init__(
        self,
        budgets: Iterable[_resources.Budget],
        instances: Iterable[_resources.Instance],
    ) -> None:
        self._budgets: dict[str, list[_resources.Budget]] = {}
        for budget in budgets:
            self._budgets.setdefault(budget.pool, []).append(budget)
        self._available: collections.Counter[str] = collections.Counter()
        self._lost: collections.Counter[str] = collections.Counter()
        self._lost_in: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for instance in instances:
            self._count(instance)

    def _count(self, instance: _resources.Instance) -> None:
        if instance.phase is _resources.Phase.SERVING:
            self._available[instance.pool] += 1
        else:
            self._lost[instance.pool] += 1
            self._lost_in[instance.pool, instance.zone] += 1

    def count_available(self, pool: str) -> int:
        """Return how many instances of the pool are serving."""
        return self._available[pool]

    def reserve_stop(
        self, instance: _resources.Instance
    ) -> result.Result[None, _errors.Failure]:
        """Spend the budgets of a serving instance's pool on its stop.

        Nothing is spent on BUDGET_EXHAUSTED. An instance that is not
        serving is a loss already, so that its stop spends nothing.
        """
        checked = self.check_stop(instance)
        if isinstance(checked, result.Success):
            self.record_loss(instance)
        return checked

    def check_stop(
        self, instance: _resources.Instance
    ) -> result.Result[None, _errors.Failure]:
        """Check the stop of an instance without spending anything."""
        if instance.phase is not _resources.Phase.SERVING:
            return result.Success(None)
        for budget in self._budgets.get(instance.pool, ()):
            message = self._find_breach(budget, instance.zone)
            if message:
                return result.Failure(
                    _errors.Failure(
                        _errors.ErrorKind.BUDGET_EXHAUSTED, message
                    )
                )
        return result.Success(None)

    def record_loss(self, instance: _resources.Instance) -> None:
        """Count the unplanned loss of an instance."""
        if instance.phase is _resources.Phase.SERVING:
            self._available[instance.pool] -= 1
            self._lost[instance.pool] += 1
            self._lost_in[instance.pool, instance.zone] += 1

    def _find_breach(self, budget: _resources.Budget, zone: str) -> str:
        pool = budget.pool
        available = self._available[pool] - 1
        lost = self._lost[pool] + 1
        lost_here = self._lost_in[pool, zone] + 1
        if available < budget.min_available:
            return (
                f'budget {budget.name}: pool {pool} would have {available} '
                f'available instances, at least {budget.min_available} owed'
            )
        if _exceeds(lost, budget.max_unavailable):
            return (
                f'budget {budget.name}: pool {pool} would have {lost} '
                f'unavailable instances, at most {budget.max_unavailable} '
                'allowed'
            )
        if _exceeds(lost_here, budget.max_unavailable_per_zone):
            return (
                f'budget {budget.name}: pool {pool} would have {lost_here} '
                f'unavailable instances in zone {zone}, at most '
                f'{budget.max_unavailable_per_zone} allowed'
            )
        return ''


def _exceeds(count: int, limit: int | None) -> bool:
    return limit is not None and count > limit


def check_budget(
    budgets: Iterable[_resources.Budget],
    instances: Collection[_resources.Instance],
    stops: Iterable[str],
) -> result.Result[None, _errors.Failure]:
    """Check that the named instances may all stop at the same time.

    Fails with BUDGET_EXHAUSTED, or with NOT_FOUND for an unknown name. Pools
    of which nothing stops are not checked: a loss alone is no decision.
    """
    ledger = BudgetTracker(budgets, instances)
    by_name = {instance.name: instance for instance in instances}
    for name in sorted(set(stops)):
        instance = by_name.get(name)
        if instance is None:
            return result.Failure(
                _errors.Failure(
                    _errors.ErrorKind.NOT_FOUND, f'no instance {name}'
                )
            )
        spent = ledger.reserve_stop(instance)
        if not isinstance(spent, result.Success):
            return spent
    return result.Success(None)
