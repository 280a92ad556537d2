"""Idempotency records: claims and kept answers of requests with a key.

They make a keyed request run at most once. Public modules: `store` has the task
to embed, `record` the record stored per key, `decision` the result returned for
a request, `core` the state machine without I/O, `sweep` selects expired records,
`sweeper` deletes them, and `batch` has the limits of table writes.
"""

__all__ = ["batch", "core", "decision", "record", "store", "sweep", "sweeper"]
