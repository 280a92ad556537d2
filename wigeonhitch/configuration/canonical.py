"""Canonical encoding of a document, and its content hash.

Equivalent texts have the same canonical bytes, so an approval of one hash
covers exactly one document.
"""

import hashlib
import json
from typing import Any

from wigeonhitch.configuration import document

__all__ = ["encode", "hash_bytes", "to_plain"]


def to_plain(value: Any) -> Any:
    """Convert records to dicts and tuples to lists, recursively.

    Examples
    --------
    >>> to_plain(document.Budget(number=4))
    {'number': 4, 'share': None}
    """
    if hasattr(value, "_asdict"):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def encode(intended: document.Document) -> bytes:
    """Return the canonical bytes: JSON with sorted keys, no spaces, in UTF-8."""
    plain = to_plain(intended)
    text = json.dumps(plain, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode("utf-8")


def hash_bytes(data: bytes) -> str:
    """Return the content hash (SHA-256, hexadecimal) of canonical bytes."""
    return hashlib.sha256(data).hexdigest()
