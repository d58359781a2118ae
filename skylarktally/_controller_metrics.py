"""Metrics of a controller, including the three measures of section 1.3."""

import prometheus_client

_ROLLOUT_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30, 120, 600)
# From one minute to three weeks, in which a wave reaches every instance.
_WAVE_BUCKETS = (60, 300, 900, 3600, 4 * 3600, 86400, 604800, 1814400)


class ControllerMetrics:
    """Metrics of one controller, in one registry."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        self.moves = prometheus_client.Counter(
            'skylarktally_moves',
            'Moves of instances that this controller began.',
            ['source', 'target'],
            registry=registry,
        )
        self.buffer_slots = prometheus_client.Gauge(
            'skylarktally_buffer_slots',
            'Slots in service in the zone that run nothing, by pool.',
            ['pool'],
            registry=registry,
        )
        self.rollout_seconds = prometheus_client.Histogram(
            'skylarktally_rollout_seconds',
            'Time from the acceptance of a version to its push to a router.',
            buckets=_ROLLOUT_BUCKETS,
            registry=registry,
        )
        self.wave_seconds = prometheus_client.Histogram(
            'skylarktally_wave_seconds',
            'Time from the start of a maintenance wave to its end.',
            buckets=_WAVE_BUCKETS,
            registry=registry,
        )
        self.planned_stops = prometheus_client.Counter(
            'skylarktally_planned_stops',
            'Planned stops that this controller began, by cause.',
            ['cause'],
            registry=registry,
        )
        self.repairs = prometheus_client.Counter(
            'skylarktally_repairs',
            'Workers marked failed, cordoned or returned.',
            ['action'],
            registry=registry,
        )
        self.departures = prometheus_client.Counter(
            'skylarktally_departures',
            'Instances that the platform took away or brought back.',
            ['action'],
            registry=registry,
        )
        self.batch_runs = prometheus_client.Counter(
            'skylarktally_batch_runs',
            'Batch runs by how they ended.',
            ['state'],
            registry=registry,
        )
        self.instances_by_phase = prometheus_client.Gauge(
            'skylarktally_instances',
            'Instances of the zone by phase.',
            ['phase'],
            registry=registry,
        )
        self.oldest_phase_seconds = prometheus_client.Gauge(
            'skylarktally_oldest_phase_seconds',
            'Longest time that an instance of the zone is out of service.',
            ['phase'],
            registry=registry,
        )
        self.reconcile_seconds = prometheus_client.Histogram(
            'skylarktally_reconcile_seconds',
            'Duration of a pass of the reconciler.',
            registry=registry,
        )
        self.refresh_failures = prometheus_client.Counter(
            'skylarktally_refresh_failures',
            'Passes in which the table could not be read.',
            registry=registry,
        )
        self.shards_held = prometheus_client.Gauge(
            'skylarktally_shards_held',
            'Shard leases that this controller holds.',
            registry=registry,
        )
        self.log_version = prometheus_client.Gauge(
            'skylarktally_controller_log_version',
            'Log version of this controller.',
            registry=registry,
        )
        self.halted_waves = prometheus_client.Gauge(
            'skylarktally_halted_waves',
            'Waves that have halted on failures.',
            registry=registry,
        )
        self.unschedulable_jobs = prometheus_client.Gauge(
            'skylarktally_unschedulable_jobs',
            'Batch jobs that fit no instance of their pool.',
            registry=registry,
        )
