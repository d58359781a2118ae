"""Metrics whose values are read from the state of a process when scraped."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import core
from prometheus_client import registry

# Name and help text of a metric, and a function that returns its values by
# the value of its label.
MetricSource = tuple[str, str, Callable[[], Mapping[str, float]]]


class StateCollector(registry.Collector):
    """Collector of counters and gauges whose values are stored elsewhere."""

    def __init__(
        self, counters: Iterable[MetricSource], gauges: Iterable[MetricSource]
    ) -> None:
        self._counters = tuple(counters)
        self._gauges = tuple(gauges)

    def collect(self) -> Iterable[core.Metric]:
        """Yield all metrics; each has one label, which is named kind."""
        for name, description, read_values in self._counters:
            counter = core.CounterMetricFamily(
                name, description, labels=['kind']
            )
            for label, value in read_values().items():
                counter.add_metric([label], value)
            yield counter
        for name, description, read_values in self._gauges:
            gauge = core.GaugeMetricFamily(name, description, labels=['kind'])
            for label, value in read_values().items():
                gauge.add_metric([label], value)
            yield gauge
