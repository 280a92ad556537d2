"""Peers, duty leases with fencing, and confirmation of drains.

Public: `lease` is what the holder of a duty knows, `holder` the task to embed,
`duty` its decisions and times; `core`, `message`, `task` and `transport` are
the heartbeats between daemons; `confirmation` says when a drained VM may be
stopped.
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
