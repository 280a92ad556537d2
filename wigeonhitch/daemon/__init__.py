"""The daemon ``wigeonhitchd``: all packages in one process.

Public: `main` runs a daemon, `assembly` builds one; the stand-ins and the site
program also use `server` and the registry of `exchange`. None of the packages
that a daemon consists of imports this one.
"""

__all__ = ["assembly", "exchange", "main", "server"]
