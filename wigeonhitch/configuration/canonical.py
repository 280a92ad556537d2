"""Canonical bytes of a document, and the hash that names them.

Two texts that mean the same document have the same canonical bytes, so an
approval given for one hash covers exactly one meaning.
"""

import hashlib
import json
from typing import Any

from wigeonhitch.configuration import document

__all__ = ["encode", "hash_bytes", "to_plain"]


def to_plain(value: Any) -> Any:
    """Return records as plain dicts and tuples as lists, recursively.

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
    """Return the canonical bytes: JSON, sorted keys, no spaces, UTF-8."""
    plain = to_plain(intended)
    text = json.dumps(plain, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode("utf-8")


def hash_bytes(data: bytes) -> str:
    """Return the content hash (SHA-256, hexadecimal) of canonical bytes."""
    return hashlib.sha256(data).hexdigest()
