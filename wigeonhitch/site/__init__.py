"""The daemon that runs a site: answering callers and leading pools.

Public: `message` (what the entry answers), `handler` (accepting, showing and
cancelling jobs), `main` (the program).
"""

__all__ = ["handler", "main", "message"]
