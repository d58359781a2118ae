"""Marks jobs that fit no instance of their pool as unschedulable."""

from returns import result

from skylarktally import _fleet
from skylarktally import _planning
from skylarktally import _resources
from skylarktally import _sizes
from skylarktally import _steps
from skylarktally import _transitions

Kind = _resources.Kind

# Stays below the 97 changes that a transaction can hold.
_MAX_CHANGES = 50


class JobStatusUpdater:
    """Keeps the statuses of jobs up to date.

    The controllers of all zones compute the same statuses, and the first to
    commit writes them.
    """

    def __init__(self, dependencies: _steps.Dependencies) -> None:
        self._dependencies = dependencies
        # Log version at which all statuses were last found up to date.
        self._checked_version = -1

    def step(self) -> None:
        """Write the statuses that are out of date after a change."""
        dependencies = self._dependencies
        version = dependencies.fleet.version
        if version == self._checked_version or not dependencies.leases.holds(
            _planning.ZONE_SHARD
        ):
            return
        changes = _find_status_changes(dependencies.fleet)
        if not changes:
            self._checked_version = version
            return
        committed = _steps.commit(
            dependencies,
            _planning.ZONE_SHARD,
            lambda fleet: result.Success(_find_status_changes(fleet)),
        )
        if isinstance(committed, result.Success):
            for change in changes:
                self._record_explanation(change)

    def _record_explanation(self, change: _resources.Change) -> None:
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


def _find_status_changes(fleet: _fleet.Fleet) -> list[_resources.Change]:
    """Return changes for jobs whose status is out of date, at most 50."""
    changes = []
    for item in fleet.list(Kind.JOB):
        status = _build_status(item, fleet)
        if status != item['status']:
            changes.append(_transitions.replace_status(item, status))
        if len(changes) == _MAX_CHANGES:
            break
    return changes


def _build_status(
    item: _resources.Resource, fleet: _fleet.Fleet
) -> dict[str, object]:
    """Return the status of a job, empty if it fits on some instance."""
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
