"""Prometheus metrics of the request path, in a registry per process."""

import prometheus_client

from skylarktally import _guards


class ServingMetrics:
    """Metrics of the request path of a router."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        self.requests = prometheus_client.Counter(
            'skylarktally_requests',
            'Requests by pool, urgency and outcome.',
            ['pool', 'urgency', 'outcome'],
            registry=registry,
        )
        self.refusals = prometheus_client.Counter(
            'skylarktally_refusals',
            'Requests answered with an error, by kind.',
            ['kind'],
            registry=registry,
        )
        self.retries = prometheus_client.Counter(
            'skylarktally_retries',
            'Retries after a failed attempt, by pool.',
            ['pool'],
            registry=registry,
        )
        self.attempt_failures = prometheus_client.Counter(
            'skylarktally_attempt_failures',
            'Failed attempts by pool and failure class.',
            ['pool', 'failure_class'],
            registry=registry,
        )
        self.silent_connections = prometheus_client.Counter(
            'skylarktally_silent_connections',
            'Connections replaced because no byte of a response arrived.',
            registry=registry,
        )
        self.ejections = prometheus_client.Counter(
            'skylarktally_ejections',
            'Ejections of workers by pool.',
            ['pool'],
            registry=registry,
        )
        self.forwarded = prometheus_client.Counter(
            'skylarktally_forwarded',
            'Requests forwarded to another router, by reason.',
            ['reason'],
            registry=registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'skylarktally_request_seconds',
            'Time from the parsed request to the headers of the response.',
            ['urgency'],
            registry=registry,
        )


class EntryMetrics:
    """Metrics of an entry instance: requests of callers and responses."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        registry.register(_guards.UNEXPECTED_ERRORS)
        self.requests = prometheus_client.Counter(
            'skylarktally_entry_requests',
            'Requests of callers by method and status.',
            ['method', 'status'],
            registry=registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'skylarktally_entry_request_seconds',
            'Time from the parsed request to its response, by method.',
            ['method'],
            registry=registry,
        )
        self.loop_lag_seconds = prometheus_client.Histogram(
            'skylarktally_entry_loop_lag_seconds',
            'How late the event loop wakes a green thread.',
            registry=registry,
        )
        self.plan_seconds = prometheus_client.Summary(
            'skylarktally_entry_plan_seconds',
            'Duration of the plans of starts and stops of all owned pools.',
            registry=registry,
        )
        self.worker_calls = prometheus_client.Counter(
            'skylarktally_entry_worker_calls',
            'Calls to workers by kind.',
            ['kind'],
            registry=registry,
        )
        self.unanswered_worker_calls = prometheus_client.Counter(
            'skylarktally_entry_unanswered_worker_calls',
            'Calls to workers without a usable answer.',
            registry=registry,
        )

    def summarise_work(self) -> dict[str, float]:
        """Return the totals of processor-intensive work since the start."""
        totals = {
            'plans': 'skylarktally_entry_plan_seconds_count',
            'planning_seconds': 'skylarktally_entry_plan_seconds_sum',
            'unanswered_calls': (
                'skylarktally_entry_unanswered_worker_calls_total'
            ),
        }
        summary = {
            name: round(self.registry.get_sample_value(sample) or 0, 3)
            for name, sample in totals.items()
        }
        for kind in ('start', 'stop', 'renew'):
            value = self.registry.get_sample_value(
                'skylarktally_entry_worker_calls_total', {'kind': kind}
            )
            summary[f'{kind}_calls'] = value or 0
        return summary


def create_registry() -> prometheus_client.CollectorRegistry:
    """Return an empty registry, without the default collectors."""
    return prometheus_client.CollectorRegistry()
