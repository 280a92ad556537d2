"""Jobs on workers: quotas, learned sizes, quarantine, cancellation.

`core` decides and does no I/O; `runner` owns one duty's state and talks to the
platform; `routes` offers the operator interface.
"""
