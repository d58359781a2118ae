"""Checks of planned stops against the availability budgets of pools.

An instance is available while its phase is serving. In every other phase it
is unavailable, planned or not, and counts against the budgets of its pool.
"""

import collections
from collections.abc import Collection, Iterable

from returns import result

from skylarktally import _errors
from skylarktally import _resources


class BudgetTracker:
    """Counts available and unavailable instances by pool and by zone.

    Decisions of one planning pass share a tracker: each planned stop or
    loss that it records leaves less of the budgets for the next ones.
    """

    def __init__(
        self,
        budgets: Iterable[_resources.Budget],
        instances: Iterable[_resources.Instance],
    ) -> None:
        self._budgets: dict[str, list[_resources.Budget]] = {}
        for budget in budgets:
            self._budgets.setdefault(budget.pool, []).append(budget)
        self._available: collections.Counter[str] = collections.Counter()
        self._unavailable: collections.Counter[str] = collections.Counter()
        self._unavailable_by_zone: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for instance in instances:
            self._count(instance)

    def _count(self, instance: _resources.Instance) -> None:
        if instance.phase is _resources.Phase.SERVING:
            self._available[instance.pool] += 1
        else:
            self._unavailable[instance.pool] += 1
            self._unavailable_by_zone[instance.pool, instance.zone] += 1

    def count_available(self, pool: str) -> int:
        """Return how many instances of the pool are serving."""
        return self._available[pool]

    def reserve_stop(
        self, instance: _resources.Instance
    ) -> result.Result[None, _errors.Failure]:
        """Check the planned stop of an instance and count it if allowed.

        On BUDGET_EXHAUSTED nothing is counted. An instance that is not
        serving already counts as unavailable, so its stop is always allowed
        and changes no count.
        """
        checked = self.check_stop(instance)
        if isinstance(checked, result.Success):
            self.record_loss(instance)
        return checked

    def check_stop(
        self, instance: _resources.Instance
    ) -> result.Result[None, _errors.Failure]:
        """Check the planned stop of an instance without counting it."""
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
        """Count an instance as unavailable, whatever the budgets say.

        An instance that is not serving is already counted.
        """
        if instance.phase is _resources.Phase.SERVING:
            self._available[instance.pool] -= 1
            self._unavailable[instance.pool] += 1
            self._unavailable_by_zone[instance.pool, instance.zone] += 1

    def _find_breach(self, budget: _resources.Budget, zone: str) -> str:
        pool = budget.pool
        available = self._available[pool] - 1
        unavailable = self._unavailable[pool] + 1
        in_zone = self._unavailable_by_zone[pool, zone] + 1
        if available < budget.min_available:
            return (
                f'budget {budget.name}: pool {pool} would have {available} '
                f'available instances, at least {budget.min_available} '
                'required'
            )
        if _exceeds(unavailable, budget.max_unavailable):
            return (
                f'budget {budget.name}: pool {pool} would have {unavailable} '
                f'unavailable instances, at most {budget.max_unavailable} '
                'allowed'
            )
        if _exceeds(in_zone, budget.max_unavailable_per_zone):
            return (
                f'budget {budget.name}: pool {pool} would have {in_zone} '
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
    """Check that the named instances may all be stopped at the same time.

    Fails with BUDGET_EXHAUSTED, or with NOT_FOUND for an unknown name. A
    pool none of whose instances is to stop is not checked: failures may
    exceed its budget without any decision of this system.
    """
    tracker = BudgetTracker(budgets, instances)
    by_name = {instance.name: instance for instance in instances}
    for name in sorted(set(stops)):
        instance = by_name.get(name)
        if instance is None:
            return result.Failure(
                _errors.Failure(
                    _errors.ErrorKind.NOT_FOUND, f'no instance {name}'
                )
            )
        reserved = tracker.reserve_stop(instance)
        if not isinstance(reserved, result.Success):
            return reserved
    return result.Success(None)
