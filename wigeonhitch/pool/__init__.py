"""Leading one pool: which task runs where, under leases and a fencing token.

Public: `view` and `core` (the leader's view of its pool, and how answers of
workers change it), `vm` (one VM), `planner` (one scheduling round), `stopping`
(runs to stop), `priority` (order of the jobs), `placement` (choice of the VM),
`demand` (processors that the pool needs), `health` and `pacing` (degraded VMs,
filling tasks), `ticket`, `ledger` and `compaction` (rows to write), `status` and
`record` (rows), `load` (processors by use, for operators), `message` and
`dependencies`, and with I/O `source`, `dispatcher` and `runner`.
"""

__all__ = [
    "compaction",
    "core",
    "demand",
    "dependencies",
    "dispatcher",
    "health",
    "ledger",
    "load",
    "message",
    "pacing",
    "placement",
    "planner",
    "priority",
    "record",
    "runner",
    "source",
    "status",
    "stopping",
    "ticket",
    "view",
    "vm",
]
