"""Leading one pool: which task runs where, under leases and a fencing token.

Public: `core` (the leader's belief and decisions, without I/O), `vm` (belief
about one VM), `order` (who goes first), `place` (where to), `pacing` (tasks
that fill beside tasks that serve), `record` (rows) and `task` (the I/O).
"""

__all__ = ["core", "order", "pacing", "place", "record", "task", "vm"]
