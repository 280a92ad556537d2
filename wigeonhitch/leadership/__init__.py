"""Which daemon leads which pool: leases and fencing tokens in the store.

Public: `core` (decisions without I/O), `clock` (bounds of the store's clock), `record`
(rows), `task`, and `term` (the right to order under one claim).
"""

__all__ = ["clock", "core", "record", "task", "term"]
