"""Versioned fleet documents: validation, approval, acceptance, distribution.

Public: `document` is the fleet document, `check` validates one, `difference`
lists the changes between two and `approval` the approvals that they need,
`store` accepts and reads versions, `distribution` decides which version a
daemon may act on and `watcher` performs the reads and sends for it. `problem`
and `message` hold the records, `schema` the JSON Schema, `routes` the
operators' interface.
"""

__all__ = [
    "approval",
    "check",
    "difference",
    "distribution",
    "document",
    "message",
    "problem",
    "routes",
    "schema",
    "store",
    "watcher",
]
