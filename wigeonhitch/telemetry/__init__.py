"""Counters, traces with a span per hop, and logs of changes of state."""
