"""Counters of a process, in a registry of its own."""

import prometheus_client


class ServingMetrics:
    """Counters of the request path."""

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
            'Further attempts by pool.',
            ['pool'],
            registry=registry,
        )
        self.attempt_failures = prometheus_client.Counter(
            'skylarktally_attempt_failures',
            'Failed attempts by pool and class of failure.',
            ['pool', 'failure_class'],
            registry=registry,
        )
        self.silent_connections = prometheus_client.Counter(
            'skylarktally_silent_connections',
            'Connections replaced because no byte arrived on them.',
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
            'Requests sent on to another router, by reason.',
            ['reason'],
            registry=registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'skylarktally_request_seconds',
            'Time from the parsed request to the head of the answer.',
            ['urgency'],
            registry=registry,
        )


class EntryMetrics:
    """Counters of an entry: its callers' requests and what it answered."""

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
            'Time from the parsed request to its answer, by method.',
            ['method'],
            registry=registry,
        )


def create_registry() -> prometheus_client.CollectorRegistry:
    """Return an empty registry."""
    return prometheus_client.CollectorRegistry()
