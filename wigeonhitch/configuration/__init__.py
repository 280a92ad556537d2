"""Versioned fleet documents: validation, approval, acceptance, distribution.

Public: `document` is the fleet document, `check` validates one, `difference`
and `approval` say what a change is and whose approval it needs, `store` accepts
and reads versions, `distribution` decides which version a daemon may act on and
`watcher` carries that out. `problem` and `message` hold the records, `schema`
the JSON Schema, `routes` the operators' interface.
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
