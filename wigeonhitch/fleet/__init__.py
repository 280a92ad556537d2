"""Fleet: pool membership of VMs, drains, maintenance waves, moves and budgets.

`state` holds the rows of the platform's table. `budget`, `confirmation`,
`wave`, `move`, `planner` and `demand` decide without input or output.
`runner` is the task that carries the decisions out under the duty ``fleet``,
`routes` shows them to operators, and `view` tells the request side which
workers it may use.
"""
