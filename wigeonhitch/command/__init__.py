"""The `wigeonhitch` command line, a client of any daemon.

Public: `main` runs a command, `client` sends requests to daemons on behalf of
other programs, `report` defines the exit codes.
"""

__all__ = ["client", "main", "report"]
