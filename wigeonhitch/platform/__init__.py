"""Clients of the platform: table, object store, VM list and worker tasks.

`table`, `machines` and `tasks` hold the ``Protocol`` types and records that
other packages depend on; `client` implements them over HTTP.
"""

__all__ = ["client", "machines", "table", "tasks"]
