"""Settings of a daemon: YAML, checked whole before anything opens.

Public: `load` reads and checks a file, `schema` holds the typed records.
"""

__all__ = ["load", "schema"]
