"""Job placement on workers: quotas, learned sizes, quarantine, cancellation.

Public: `core` makes the decisions and does no I/O; `runner` holds the duties of
a daemon and talks to the platform; `job` defines the record of a job, `view` the
fleet data that placement uses, `message` the runner's dependencies, `routes` the
operator interface.
"""

__all__ = ["core", "job", "message", "routes", "runner", "view"]
