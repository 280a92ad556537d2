"""Leading one pool: which task runs where, under leases and a fencing token.

Public: `view` and `core` (the leader's view of its pool, and how answers of
workers change it), `roster` (the pool's VMs) and `vm` (one VM), `planner` (one
scheduling round), `stopping` and `preemption` (runs to stop), `priority` and `urgency`
(order of the jobs, and its inputs), `estimate` (run times), `fairness` (order of
teams), `quota` (ceilings of teams), `placement` (choice of the VM), `demand`
(processors that the pool needs), `health` and `pacing` (degraded VMs, filling tasks),
`ticket`, `ledger` and `compaction` (rows to write), `status` and `record` (rows),
`load` (processors by use, for operators), `message` and `dependencies`, and with I/O
`source`, `dispatcher` and `runner`.
"""

__all__ = [
    "compaction",
    "core",
    "demand",
    "dependencies",
    "dispatcher",
    "estimate",
    "fairness",
    "health",
    "ledger",
    "load",
    "message",
    "pacing",
    "placement",
    "planner",
    "preemption",
    "priority",
    "quota",
    "record",
    "roster",
    "runner",
    "source",
    "status",
    "stopping",
    "ticket",
    "urgency",
    "view",
    "vm",
]
