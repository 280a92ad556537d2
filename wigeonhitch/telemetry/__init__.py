"""Counters, traces with a span per hop, and logs of changes of state.

Public: `metric`, `trace` and `log`. Instruments and tracers belong to one daemon;
only `log.configure` sets up something global, the handler of absl's logger.
"""

__all__ = ["log", "metric", "trace"]
