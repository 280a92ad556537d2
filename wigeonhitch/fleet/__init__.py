"""Fleet: pool membership of VMs, drains, maintenance waves, moves and budgets.

`state` defines the rows of the platform's table. `budget`, `wave`, `batch`,
`move`, `planner` and `demand` decide without I/O. `observer` reads the input of
the decisions, `runner` is the task that executes them under the duty ``fleet``,
`routes` serves them to operators, and `view` lists the workers that may be sent
requests. `wigeonhitch.membership.confirmation` decides when a drained VM may be
stopped.
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
