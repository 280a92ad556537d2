"""Waves of upkeep and moves of VMs between pools, led by one daemon.

Public: `core` (the leader's belief), `wave` and `demand` (decisions without
I/O), `record` (rows) and `task`.
"""

__all__ = ["core", "demand", "record", "task", "wave"]
