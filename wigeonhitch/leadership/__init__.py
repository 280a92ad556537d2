"""Leader election for pools, with leases and fencing tokens in the store.

Public: `core` (decisions without I/O), `clock` (bounds of the store's clock), `record`
(row formats), `task` (the elector) and `term` (the right to give orders under one
claim).
"""

__all__ = ["clock", "core", "record", "task", "term"]
