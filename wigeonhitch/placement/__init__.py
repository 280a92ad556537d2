"""Jobs on workers: quotas, learned sizes, quarantine, cancellation.

Public: `core` decides and does no I/O; `runner` owns one duty's state and talks
to the platform; `job` is the record of a job, `view` what placement knows of
the fleet, `message` what the runner needs, `routes` the operator interface.
"""

__all__ = ["core", "job", "message", "routes", "runner", "view"]
