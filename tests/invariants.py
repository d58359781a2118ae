"""Reads the log, the fleet and every worker's own record for violations."""

from returns import result

from skylarktally import _budgets
from skylarktally import _fleet
from skylarktally import _resources
from skylarktally import _transitions

Kind = _resources.Kind
Phase = _resources.Phase
# A loss is no decision and may break a budget; these phases are decided.
_PLANNED = ('draining', 'cordoned')


def check(world):
    """Raise AssertionError on any violation that can be seen."""
    fleet = _fleet.Fleet()
    owners = {}
    for row in world.rows.scan('log/', '', 1000):
        record = row['value']
        assert record['version'] == fleet.version + 1
        before = {i.name: i for i in fleet.find_instances()}
        _check_budgets(fleet, record, before)
        assert fleet.apply(record)
        _check_epochs(fleet, before, owners)
    _check_workers(world, fleet, owners)


def _check_budgets(fleet, record, before):
    """Check that each planned stop was within the budgets of its version."""
    stops = [
        change['name']
        for change in record['changes']
        if change['kind'] == 'instance'
        and change['value']
        and change['value']['status']['phase'] in _PLANNED
        and change['name'] in before
        and before[change['name']].phase is Phase.SERVING
        # What the platform takes away is lost, whatever is decided here.
        and not change['value']['status'].get('departing')
    ]
    allowed = _budgets.check_budget(
        _transitions.list_budgets(fleet), fleet.find_instances(), stops
    )
    assert isinstance(allowed, result.Success), (record, allowed)


def _check_epochs(fleet, before, owners):
    """Check that an epoch belongs to one pool and grows by one a step."""
    for instance in fleet.find_instances():
        key = (instance.name, instance.epoch)
        assert owners.setdefault(key, instance.pool) == instance.pool
        old = before.get(instance.name)
        if old is None:
            continue
        changed = (old.phase, old.pool) != (instance.phase, instance.pool)
        assert instance.epoch - old.epoch == (1 if changed else 0)


def _check_workers(world, fleet, owners):
    """Check that workers ran only what the log gave them at that epoch."""
    for instance in fleet.find_instances():
        worker = world.workers[instance.address]
        assert worker.interrupted == 0, f'{worker.name} cut off requests'
        assert worker.early_fences == 0, f'{worker.name} served two pools'
        for epoch, pool in worker.started:
            assert owners[instance.name, epoch] == pool
        for boot, epoch, pool in worker.fences:
            assert owners[instance.name, epoch] == pool, (boot, epoch, pool)
        if worker.fence:
            assert worker.fence[0] <= instance.epoch
        pools = {}
        for epoch, pool in worker.started:
            assert pools.setdefault(epoch, pool) == pool
