"""Maintenance waves and moves of VMs between pools, led by one daemon.

Public: `core` (the leader's state), `wave` and `demand` (decisions without I/O),
`record` (row formats) and `task`.
"""

__all__ = ["core", "demand", "record", "task", "wave"]
