"""The daemon ``wigeonhitchd``: all slices in one process, owned by exit stacks.

Public: `main` runs a daemon, `assembly` puts one together; `server` and the
registry of `exchange` are for the stand-ins and the site program too. No slice
imports this package.
"""

__all__ = ["assembly", "exchange", "main", "server"]
