"""Claims and kept answers, so that a keyed request runs at most once.

Public: `store` is the task to embed, `record` what the table keeps per key,
`decision` what a caller is told, `core` decides without I/O, `sweep` picks
records to delete, `sweeper` deletes them, and `batch` holds the limits of
writes.
"""

__all__ = ["batch", "core", "decision", "record", "store", "sweep", "sweeper"]
