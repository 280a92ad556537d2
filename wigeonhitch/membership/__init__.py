"""Membership of daemons, duty leases with fencing, and confirmation of drains.

Public modules: `lease` has the lease of a duty, `holder` the task to embed, and
`duty` its state machine and limits. `core`, `message`, `task` and `transport`
implement the heartbeats between daemons. `confirmation` decides when a drained VM
may be stopped.
"""

__all__ = [
    "confirmation",
    "core",
    "duty",
    "holder",
    "lease",
    "message",
    "task",
    "transport",
]
