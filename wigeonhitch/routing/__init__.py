"""Routing of requests to the slots of workers: admit, queue, send, retry.

Public: `core` is the object that a daemon drives; `event` and `action` are what
goes in and what comes out, `peer` what daemons say to each other. The rest are
its parts. No module here does input or output, reads a clock or draws unseeded
random numbers: times are seconds on one clock that the caller passes in.
"""

__all__ = ["action", "core", "event", "peer"]
