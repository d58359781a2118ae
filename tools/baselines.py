"""Ways to move instances: the product and the two baselines."""

import datetime

from returns import result

from skylarktally import _budgets
from skylarktally import _moves
from skylarktally import _resources
from tools import replay

_Phase = _resources.Phase


def move_never(
    world: replay.Replay, now: datetime.datetime
) -> list[_moves.Move]:
    """Keep the pools as they are."""
    return []


def move_by_plan(
    world: replay.Replay, now: datetime.datetime
) -> list[_moves.Move]:
    """Ask the product."""
    return _moves.plan_moves(
        world.pools,
        list(world.fleet.values()),
        world.list_demands(),
        world.budgets,
        world.history,
        now,
    )


def move_greedily(
    world: replay.Replay, now: datetime.datetime
) -> list[_moves.Move]:
    """Move an instance to each pool that queues, back when it is over."""
    serving = world.count_serving()
    coming = {i.target_pool for i in world.fleet.values() if i.target_pool}
    ledger = _budgets.BudgetTracker(world.budgets, world.fleet.values())
    home = world.deployment.workers
    moves = []
    queued = {p: load.queued for p, load in world.loads.items()}
    lenders = sorted(
        (p for p in serving if not queued[p]), key=lambda p: -serving[p]
    )
    for pool in sorted(queued, key=lambda p: -queued[p]):
        surges = queued[pool] > 0 and pool not in coming
        short = serving[pool] < home and not queued[pool] and not coming
        for lender in lenders:
            if lender == pool or not (
                surges or (short and serving[lender] > home)
            ):
                continue
            instance = _choose(world, lender, ledger)
            if instance is not None:
                moves.append(_moves.Move(instance.name, lender, pool, 'queue'))
                ledger.record_loss(instance)
                serving[lender] -= 1
                break
    return moves


def _choose(
    world: replay.Replay, pool: str, ledger: _budgets.BudgetTracker
) -> _resources.Instance | None:
    for instance in world.fleet.values():
        if (
            instance.pool == pool
            and instance.phase is _Phase.SERVING
            and isinstance(ledger.check_stop(instance), result.Success)
        ):
            return instance
    return None


POLICIES: dict[str, replay.Mover] = {
    'product': move_by_plan,
    'static': move_never,
    'greedy': move_greedily,
}
