"""The daemon that runs a site: answering callers and leading pools.

Public: `message` (answers to callers), `handler` (accepting, showing and
cancelling jobs), `main` (the program).
"""

__all__ = ["handler", "main", "message"]
