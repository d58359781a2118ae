"""Runs maintenance waves in the zone of this controller."""

import datetime
from typing import Any

from returns import result

from skylarktally import _controller_metrics
from skylarktally import _fleet
from skylarktally import _resources
from skylarktally import _steps
from skylarktally import _transitions
from skylarktally import _waves

Kind = _resources.Kind

_INTERVAL = datetime.timedelta(seconds=5)


def decode_wave(resource: _resources.Resource) -> _resources.Wave:
    """Build a wave from a resource."""
    fields = _resources.pick_fields(_resources.Wave, resource['spec'])
    fields['pools'] = tuple(fields['pools'])
    return _resources.Wave(name=resource['name'], **fields)


class WaveRunner:
    """Starts the planned stops of waves and records their progress."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        metrics: _controller_metrics.ControllerMetrics,
    ) -> None:
        self._dependencies = dependencies
        self._metrics = metrics
        self._last_step_at: datetime.timedelta | None = None

    def step(self) -> None:
        """Start the next stops of each wave in this zone, every 5 s."""
        now = self._dependencies.clock.monotonic()
        last = self._last_step_at
        if last is not None and now - last < _INTERVAL:
            return
        self._last_step_at = now
        fleet = self._dependencies.fleet
        for resource in fleet.list(Kind.WAVE):
            if resource['status'].get('phase') == 'complete':
                continue
            # A newer version declared the wave; its controllers run it.
            if _resources.has_unknown_fields(
                _resources.Wave, resource['spec']
            ):
                continue
            plan = self._plan_wave(fleet, resource)
            self._record_explanations(resource['name'], plan)
            self._update_wave_status(resource, plan)
            for name in plan.next_stops:
                self._begin_stop(resource['name'], name)

    def _plan_wave(
        self, fleet: _fleet.Fleet, resource: _resources.Resource
    ) -> _waves.WavePlan:
        return _waves.plan_wave(
            decode_wave(resource),
            fleet.find_instances(),
            _transitions.list_budgets(fleet),
            self._dependencies.clock.now(),
            resource['status'].get('halted_reason') or '',
        )

    def _record_explanations(self, name: str, plan: _waves.WavePlan) -> None:
        _steps.record_explanation(
            self._dependencies,
            'wave',
            name,
            f'{len(plan.done)} done, {len(plan.active)} in progress, '
            f'{len(plan.failed)} lost, {len(plan.waiting)} waiting',
            'canaries first, then failure domains in turn, within the budgets',
            plan.halted_reason or plan.state.value,
        )
        for instance, wait in plan.waiting.items():
            _steps.record_explanation(
                self._dependencies,
                'instance',
                instance,
                f'wave {name}: {wait.text}',
                f'a wave waits for {wait.reason.value}',
                'waits',
            )

    def _begin_stop(self, wave: str, name: str) -> None:
        """Begin the planned stop of one instance of this zone."""
        resource = self._dependencies.fleet.find(Kind.INSTANCE, name)
        if (
            resource is None
            or resource['spec']['zone'] != self._dependencies.zone
        ):
            return
        instance = _resources.decode_instance(resource)
        now = self._dependencies.clock.now()

        def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
            found = fleet.find(Kind.WAVE, wave)
            if (
                not found
                or name not in self._plan_wave(fleet, found).next_stops
            ):
                return result.Success([])
            return _transitions.begin_stop(
                fleet,
                name,
                _waves.format_operation_id(wave, now),
                f'wave {wave}',
                now,
            )

        committed = _steps.commit(
            self._dependencies, _steps.find_shard(instance), decide
        )
        if isinstance(committed, result.Success):
            self._metrics.planned_stops.labels('wave').inc()

    def _update_wave_status(
        self, resource: _resources.Resource, plan: _waves.WavePlan
    ) -> None:
        """Write the status of a wave if it has changed.

        A halt must persist after the failed instances have returned, so the
        first controller that detects it records it, in whichever zone.
        """
        name = resource['name']
        now = self._dependencies.clock.now()
        changes: list[_resources.Change] = []

        def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
            found = fleet.find(Kind.WAVE, name)
            changes.clear()
            if found is not None:
                plan = self._plan_wave(fleet, found)
                changes.extend(_build_status_change(found, plan, now))
            return result.Success(list(changes))

        held_shards = filter(
            self._dependencies.leases.holds, range(_steps.SHARDS)
        )
        shard = next(held_shards, None)
        if shard is None or not _build_status_change(resource, plan, now):
            return
        committed = _steps.commit(self._dependencies, shard, decide)
        if changes and isinstance(committed, result.Success):
            self._observe_duration(changes[0])

    def _observe_duration(self, change: _resources.Change) -> None:
        """Record a wave's duration, once, when its completion is committed."""
        status = change['value']['status'] if change['value'] else {}
        if status.get('completed_at'):
            start, end = (
                datetime.datetime.fromisoformat(status[field])
                for field in ('started_at', 'completed_at')
            )
            self._metrics.wave_seconds.observe((end - start).total_seconds())


def _build_status_change(
    resource: _resources.Resource,
    plan: _waves.WavePlan,
    now: datetime.datetime,
) -> list[_resources.Change]:
    """Return the change of a wave's status, or an empty list if none."""
    status = {
        **resource['status'],
        **_compute_times(resource['status'], plan.state, now),
        'phase': plan.state.value,
        'done': len(plan.done),
        'failed': list(plan.failed),
        'halted_reason': plan.halted_reason,
    }
    if status == resource['status']:
        return []
    return [_transitions.replace_status(resource, status)]


def _compute_times(
    status: dict[str, Any], state: _waves.State, now: datetime.datetime
) -> dict[str, str | None]:
    """Return the times when a wave started and was complete, if it is."""
    started_at = status.get('started_at')
    completed_at = status.get('completed_at')
    is_complete = state is _waves.State.COMPLETE
    if not started_at or (completed_at and not is_complete):
        # A completed wave that is declared again starts again.
        started_at = now.isoformat()
    if is_complete:
        completed_at = completed_at or now.isoformat()
    return {
        'started_at': started_at,
        'completed_at': completed_at if is_complete else None,
    }
