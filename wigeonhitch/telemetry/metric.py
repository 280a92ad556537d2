"""Counters and gauges of one daemon, rendered for Prometheus.

A metric is created at its first use by name. There is no global state: in a
program that embeds several daemons, each has its own registry.
"""

import math
from collections.abc import Mapping

import aioprometheus

__all__ = ["Instruments"]

# Bucket bounds of the histograms. The time limits of an urgent start, 1.7 s, and
# of a configuration change, 9 s, are bounds, so that their shares are exact.
BUCKET_BOUNDS_SECONDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.7, 3.0, 9.0, 60.0),
    math.inf,
)


class Instruments:
    """The metrics of one daemon.

    Examples
    --------
    >>> instruments = Instruments()
    >>> instruments.count("requests_total", "Requests.", verdict="ran")
    >>> b"requests_total" in instruments.render()[0]
    True
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._metrics: dict[str, object] = {}

    def count(self, name: str, text: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter; ``text`` is its help text, set at first use."""
        self._get(aioprometheus.Counter, name, text).add(labels, amount)

    def set(self, name: str, text: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._get(aioprometheus.Gauge, name, text).set(labels, value)

    def observe(self, name: str, text: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        self._get(aioprometheus.Histogram, name, text).observe(labels, seconds)

    def read(self, name: str, labels: Mapping[str, str]) -> float:
        """Return the value of a counter or gauge; 0 if it was never set."""
        metric = self._metrics.get(name)
        if metric is None:
            return 0.0
        try:
            return metric.get(dict(labels))
        except KeyError:
            return 0.0

    def render(self, accept: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of the answer to ``/metrics``."""
        return aioprometheus.render(self._registry, list(accept))

    def _get(self, metric_type: type, name: str, text: str) -> object:
        metric = self._metrics.get(name)
        if metric is None:
            extra = (
                {"buckets": BUCKET_BOUNDS_SECONDS}
                if metric_type is aioprometheus.Histogram
                else {}
            )
            metric = metric_type(name, text, registry=self._registry, **extra)
            self._metrics[name] = metric
        return metric
