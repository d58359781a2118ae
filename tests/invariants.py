"""Checks the log, the fleet and the records of workers for violations."""

from returns import result

from skylarktally import _budgets
from skylarktally import _fleet
from skylarktally import _resources
from skylarktally import _transitions

Kind = _resources.Kind
Phase = _resources.Phase
# Phases that this system decides on. A failure is not a decision and may
# therefore exceed a budget.
_PLANNED = ('draining', 'cordoned')


def check(world):
    """Raise AssertionError on any violation of an invariant.

    Replays the log from its start, record by record.
    """
    fleet = _fleet.Fleet()
    pools_by_epoch = {}
    for row in world.rows.scan('log/', '', 1000):
        record = row['value']
        assert record['version'] == fleet.version + 1
        previous = {i.name: i for i in fleet.find_instances()}
        _check_budgets(fleet, record, previous)
        assert fleet.apply(record)
        _check_epochs(fleet, previous, pools_by_epoch)
    _check_workers(world, fleet, pools_by_epoch)


def _check_budgets(fleet, record, previous):
    """Check that each planned stop was within the budgets of its version."""
    stops = [
        change['name']
        for change in record['changes']
        if change['kind'] == 'instance'
        and change['value']
        and change['value']['status']['phase'] in _PLANNED
        and change['name'] in previous
        and previous[change['name']].phase is Phase.SERVING
        # The platform removes departing instances whatever is decided here.
        and not change['value']['status'].get('departing')
    ]
    allowed = _budgets.check_budget(
        _transitions.list_budgets(fleet), fleet.find_instances(), stops
    )
    assert isinstance(allowed, result.Success), (record, allowed)


def _check_epochs(fleet, previous, pools_by_epoch):
    """Check that an epoch belongs to one pool and increases by one.

    It increases with each change of the phase or pool of the instance.
    """
    for instance in fleet.find_instances():
        key = (instance.name, instance.epoch)
        assert pools_by_epoch.setdefault(key, instance.pool) == instance.pool
        previous_instance = previous.get(instance.name)
        if previous_instance is None:
            continue
        changed = (previous_instance.phase, previous_instance.pool) != (
            instance.phase,
            instance.pool,
        )
        assert instance.epoch - previous_instance.epoch == (
            1 if changed else 0
        )


def _check_workers(world, fleet, pools_by_epoch):
    """Check that workers served only the pool that the log gives each epoch.

    They must not cut off requests, serve two pools at the same time or have
    a fence above the epoch of the log.
    """
    for instance in fleet.find_instances():
        worker = world.workers[instance.address]
        assert worker.interrupted == 0, f'{worker.name} cut off requests'
        assert worker.early_fences == 0, f'{worker.name} served two pools'
        for epoch, pool in worker.started:
            assert pools_by_epoch[instance.name, epoch] == pool
        for boot, epoch, pool in worker.fences:
            assert pools_by_epoch[instance.name, epoch] == pool, (
                boot,
                epoch,
                pool,
            )
        if worker.fence:
            assert worker.fence[0] <= instance.epoch
        pools = {}
        for epoch, pool in worker.started:
            assert pools.setdefault(epoch, pool) == pool
