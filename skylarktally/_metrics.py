"""Prometheus metrics of the request path, in a registry per process."""

import prometheus_client


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


def create_registry() -> prometheus_client.CollectorRegistry:
    """Return an empty registry, without the default collectors."""
    return prometheus_client.CollectorRegistry()
