"""Jobs of dependent steps: what callers submit, and how far each has come.

Public: `model` (types), `progress` (state of one job), `record` (durable rows) and
`credential` (digests of callers' keys). Nothing here does I/O or reads a clock.
"""

__all__ = ["credential", "model", "progress", "record"]
