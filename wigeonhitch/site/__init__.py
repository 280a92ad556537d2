"""The daemon that runs a site: answering callers and leading pools.

Public: `message` (what the entry answers), `desk` (accepting, showing and
cancelling jobs), `main` (the program).
"""

__all__ = ["desk", "main", "message"]
