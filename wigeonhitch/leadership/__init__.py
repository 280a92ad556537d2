"""Which daemon leads which pool: leases and fencing tokens in the store.

Public: `core` (decisions without I/O), `record` (rows) and `task`.
"""

__all__ = ["core", "record", "task"]
