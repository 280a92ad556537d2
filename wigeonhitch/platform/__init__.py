"""Clients of the platform: table, object store, VM list and worker tasks.

`table`, `machines` and `tasks` hold the ``Protocol`` types and records that
every other slice is written against; `client` implements them over HTTP.
"""

__all__ = ["client", "machines", "table", "tasks"]
