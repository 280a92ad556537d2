"""Claims and kept answers, so that a keyed request runs at most once.

`record` is what the table keeps per key, `core` decides without I/O, `sweep`
picks records to delete, and `store` is the task that carries it all out.
"""
