"""Settings of a daemon in YAML, validated before any listener is opened.

Public: `load` reads and validates a file, `schema` holds the typed records.
"""

__all__ = ["load", "schema"]
