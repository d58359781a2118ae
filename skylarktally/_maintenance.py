"""Carries maintenance waves out, in the zone of this controller."""

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
    """Return a wave in the form that the decisions read."""
    fields = _resources.pick_fields(_resources.Wave, resource['spec'])
    fields['pools'] = tuple(fields['pools'])
    return _resources.Wave(name=resource['name'], **fields)


class WaveRunner:
    """Starts the stops of waves and records how the waves go."""

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        metrics: _controller_metrics.ControllerMetrics,
    ) -> None:
        self._dependencies = dependencies
        self._metrics = metrics
        self._waves_at: datetime.timedelta | None = None

    def step(self) -> None:
        """Start the next stops of each wave in this zone."""
        now = self._dependencies.clock.monotonic()
        last = self._waves_at
        if last is not None and now - last < _INTERVAL:
            return
        self._waves_at = now
        fleet = self._dependencies.fleet
        for resource in fleet.list(Kind.WAVE):
            if resource['status'].get('phase') == 'complete':
                continue
            # Left to the controllers of the version that declared it.
            if _resources.has_unknown_fields(
                _resources.Wave, resource['spec']
            ):
                continue
            plan = self._plan_wave(fleet, resource)
            self._explain_wave(resource['name'], plan)
            self._record_wave(resource, plan)
            for name in plan.next_stops:
                self._start(resource['name'], name)

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

    def _explain_wave(self, name: str, plan: _waves.WavePlan) -> None:
        _steps.record_explanation(
            self._dependencies,
            'wave',
            name,
            f'{len(plan.done)} done, {len(plan.active)} under way, '
            f'{len(plan.failed)} lost, {len(plan.waiting)} waiting',
            'failure domains in turn, canaries first, within the budgets',
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

    def _start(self, wave: str, name: str) -> None:
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

    def _record_wave(
        self, resource: _resources.Resource, plan: _waves.WavePlan
    ) -> None:
        """Write the state of a wave when it has changed.

        A halt must outlast the losses that caused it, so it is recorded by
        whichever controller sees it first.
        """
        name = resource['name']
        now = self._dependencies.clock.now()
        decided: list[_resources.Change] = []

        def decide(fleet: _fleet.Fleet) -> _transitions.Changes:
            found = fleet.find(Kind.WAVE, name)
            decided.clear()
            if found is not None:
                plan = self._plan_wave(fleet, found)
                decided.extend(_update_wave(found, plan, now))
            return result.Success(list(decided))

        held = filter(self._dependencies.leases.holds, range(_steps.SHARDS))
        shard = next(held, None)
        if shard is None or not _update_wave(resource, plan, now):
            return
        committed = _steps.commit(self._dependencies, shard, decide)
        if decided and isinstance(committed, result.Success):
            self._measure_wave(decided[0])

    def _measure_wave(self, change: _resources.Change) -> None:
        """Observe how long a wave took, once, where its end is recorded."""
        status = change['value']['status'] if change['value'] else {}
        if status.get('completed_at'):
            start, end = (
                datetime.datetime.fromisoformat(status[field])
                for field in ('started_at', 'completed_at')
            )
            self._metrics.wave_seconds.observe((end - start).total_seconds())


def _update_wave(
    resource: _resources.Resource,
    plan: _waves.WavePlan,
    now: datetime.datetime,
) -> list[_resources.Change]:
    """Return the change of a wave's status, none when it is as recorded."""
    status = {
        **resource['status'],
        **_find_times(resource['status'], plan.state, now),
        'phase': plan.state.value,
        'done': len(plan.done),
        'failed': list(plan.failed),
        'halted_reason': plan.halted_reason,
    }
    if status == resource['status']:
        return []
    return [_transitions.replace_status(resource, status)]


def _find_times(
    status: dict[str, Any], state: _waves.State, now: datetime.datetime
) -> dict[str, str | None]:
    """Return when a wave started and when it was complete, if it is."""
    started = status.get('started_at')
    completed = status.get('completed_at')
    complete = state is _waves.State.COMPLETE
    if not started or (completed and not complete):
        # A wave that was complete and is declared anew starts again.
        started = now.isoformat()
    if complete:
        completed = completed or now.isoformat()
    return {
        'started_at': started,
        'completed_at': completed if complete else None,
    }
