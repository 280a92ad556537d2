"""Metrics, traces with one span per hop, and structured logs of state changes.

Public: `metric`, `trace` and `log`. Metrics and tracers belong to one daemon; only
`log.configure` changes global state, the handler of absl's logger.
"""

__all__ = ["log", "metric", "trace"]
