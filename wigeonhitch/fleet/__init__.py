"""Fleet: pool membership of VMs, drains, maintenance waves, moves and budgets.

`state` holds the rows of the platform's table. `budget`, `wave`, `batch`,
`move`, `planner` and `demand` decide without input or output. `observer` reads
what they decide on, `runner` is the task that carries the decisions out under
the duty ``fleet``, `routes` shows them to operators, and `view` tells the
request side which workers it may use. When a drained VM may be stopped is
decided by `wigeonhitch.membership.confirmation`.
"""

__all__ = [
    "batch",
    "budget",
    "change",
    "demand",
    "move",
    "observer",
    "planner",
    "routes",
    "runner",
    "state",
    "view",
    "wave",
]
