"""Which daemon leads which pool: leases and fencing tokens in the store.

Public: `core` (decisions without I/O), `record` (rows), `task`, and `term` (the right
to order under one claim).
"""

__all__ = ["core", "record", "task", "term"]
