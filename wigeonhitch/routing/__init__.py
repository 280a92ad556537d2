"""Routing of requests to worker slots: admission, queueing, dispatch and retries.

The public modules are `core`, the object that a daemon drives; `event` and
`action`, its input and output; and `peer`, the messages between daemons. The
others are internal. No module here does I/O, reads a clock or draws unseeded
random numbers: times are seconds on one clock that the caller passes in.
"""

__all__ = ["action", "core", "event", "peer"]
