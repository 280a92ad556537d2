"""Leading one pool: which task runs where, under leases and a fencing token.

Public: `belief` and `core` (what the leader believes, and what answers make of
it), `vm` (one VM), `planner` (a round of decisions), `order` (who goes first),
`place` (where to), `health` and `pacing` (sick VMs, filling tasks), `ticket`,
`ledger` and `tidy` (what is written), `board` and `record` (rows), and with I/O
`source`, `caller` and `task`.
"""

__all__ = [
    "belief",
    "board",
    "caller",
    "core",
    "health",
    "ledger",
    "order",
    "pacing",
    "place",
    "planner",
    "record",
    "source",
    "surroundings",
    "task",
    "ticket",
    "tidy",
    "vm",
]
