"""Metrics that are read from the state of a router when scraped."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import core
from prometheus_client import registry

# Name and help of a metric, and the function that returns its values by
# label value.
Metric = tuple[str, str, Callable[[], Mapping[str, float]]]


class StateCollector(registry.Collector):
    """Counters and gauges whose values are kept elsewhere."""

    def __init__(
        self, counters: Iterable[Metric], gauges: Iterable[Metric]
    ) -> None:
        self._counters = tuple(counters)
        self._gauges = tuple(gauges)

    def collect(self) -> Iterable[core.Metric]:
        """Yield each metric with one label, of the name kind."""
        for name, text, read in self._counters:
            counter = core.CounterMetricFamily(name, text, labels=['kind'])
            for label, value in read().items():
                counter.add_metric([label], value)
            yield counter
        for name, text, read in self._gauges:
            gauge = core.GaugeMetricFamily(name, text, labels=['kind'])
            for label, value in read().items():
                gauge.add_metric([label], value)
            yield gauge
