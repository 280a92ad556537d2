"""Jobs of dependent steps: what callers submit, and how far each has come.

Public: `model` (types), `progress` (state of one job) and `record` (durable
rows). Nothing here does I/O or reads a clock.
"""

__all__ = ["model", "progress", "record"]
