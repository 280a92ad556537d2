"""Counters and gauges of one daemon, rendered for Prometheus.

A slice asks for its instruments by name once and keeps them. Nothing here is
global: a program that embeds several daemons gives each a registry.
"""

import math
from collections.abc import Mapping

import aioprometheus

__all__ = ["Instruments"]

# Bounds of the wait and service histograms, seconds: an urgent start at 1.7 s
# and a configuration change at 9 s are bounds, so that their shares are exact.
SECONDS = (
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
        self._made: dict[str, object] = {}

    def count(self, name: str, text: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; ``text`` describes it at first use."""
        self._get(aioprometheus.Counter, name, text).add(labels, amount)

    def set(self, name: str, text: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._get(aioprometheus.Gauge, name, text).set(labels, value)

    def observe(self, name: str, text: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        self._get(aioprometheus.Histogram, name, text).observe(labels, seconds)

    def read(self, name: str, labels: Mapping[str, str]) -> float:
        """Return the value of a counter or gauge; 0 if it was never set."""
        made = self._made.get(name)
        if made is None:
            return 0.0
        try:
            return made.get(dict(labels))
        except KeyError:
            return 0.0

    def render(self, accept: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of a ``/metrics`` answer."""
        return aioprometheus.render(self._registry, list(accept))

    def _get(self, kind: type, name: str, text: str) -> object:
        made = self._made.get(name)
        if made is None:
            extra = {"buckets": SECONDS} if kind is aioprometheus.Histogram else {}
            made = kind(name, text, registry=self._registry, **extra)
            self._made[name] = made
        return made
