"""Jobs that can never run, as their status tells."""

from returns import result

from skylarktally import _fleet
from skylarktally import _planning
from skylarktally import _resources
from skylarktally import _sizes
from skylarktally import _steps
from skylarktally import _transitions

Kind = _resources.Kind

# A transaction has room for 97 changes.
_CHANGES_LIMIT = 50


class JobStatusUpdater:
    """Keeps the statuses of jobs, for the controllers of one zone.

    All zones come to the same statuses, and the first one writes them.
    """

    def __init__(self, dependencies: _steps.Dependencies) -> None:
        self._dependencies = dependencies
        # The version whose jobs and instances have been judged.
        self._judged = -1

    def step(self) -> None:
        """Write the statuses that have changed with the fleet."""
        dependencies = self._dependencies
        version = dependencies.fleet.version
        if version == self._judged or not dependencies.leases.holds(
            _planning.ZONE_SHARD
        ):
            return
        changes = _judge_jobs(dependencies.fleet)
        if not changes:
            self._judged = version
            return
        committed = _steps.commit(
            dependencies,
            _planning.ZONE_SHARD,
            lambda fleet: result.Success(_judge_jobs(fleet)),
        )
        if isinstance(committed, result.Success):
            for change in changes:
                self._explain(change)

    def _explain(self, change: _resources.Change) -> None:
        value = change['value']
        status = value['status'] if value else {}
        _steps.record_explanation(
            self._dependencies,
            'job',
            change['name'],
            status.get('reason', 'an instance of the pool is large enough'),
            'a job that fits no empty instance of its pool can never run',
            status.get('phase', 'schedulable'),
        )


def _judge_jobs(fleet: _fleet.Fleet) -> list[_resources.Change]:
    """Return the changes of jobs whose status is out of date."""
    changes = []
    for item in fleet.list(Kind.JOB):
        status = _judge(item, fleet)
        if status != item['status']:
            changes.append(_transitions.replace_status(item, status))
        if len(changes) == _CHANGES_LIMIT:
            break
    return changes


def _judge(
    item: _resources.Resource, fleet: _fleet.Fleet
) -> dict[str, object]:
    """Return the status of a job; empty when some instance can hold it."""
    job = _resources.Job(name=item['name'], **item['spec'])
    size = _sizes.Size(
        job.cores, job.memory_bytes, job.accelerators, job.slots
    )
    missing = _sizes.find_insufficient_resource(
        size, fleet.find_instances(job.pool)
    )
    if missing is None:
        return {}
    resource, needed, available = missing
    return {
        'phase': 'unschedulable',
        'missing_resource': resource,
        'needed': needed,
        'available': available,
        'reason': f'{needed:g} {resource} needed, at most '
        f'{available:g} on any instance of the pool',
    }
