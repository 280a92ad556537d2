"""The `wigeonhitch` command line, a client of any daemon.

Public: `main` runs a command, `client` asks daemons for another program,
`report` holds the exit codes.
"""

__all__ = ["client", "main", "report"]
