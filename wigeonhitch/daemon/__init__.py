"""The daemon ``wigeonhitchd``: all slices in one process, owned by exit stacks.

Public: `main` runs a daemon, `assembly` puts one together. Nothing else imports
this package.
"""

__all__ = ["assembly", "main"]
