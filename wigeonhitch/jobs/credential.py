"""Digests of callers' keys; keys themselves are kept nowhere.

A digest is keyed with a random secret of this process. It therefore can't be compared
with those of other processes, and the time that a look-up takes tells nothing about
other keys.
"""

import hashlib
import os
from typing import NamedTuple

__all__ = ["MAX_KEY_CHARACTERS", "NO_KEY", "InvalidKey", "compute_digest"]

MAX_KEY_CHARACTERS = 512
"""Maximum length of a key that a caller may send."""

DIGEST_BYTES = 16

_SECRET = os.urandom(32)


class InvalidKey(NamedTuple):
    """A request's credential that can't be looked up, with the reason."""

    reason: str


NO_KEY = InvalidKey("no key")
"""The request has no credential."""


def compute_digest(key: str) -> bytes:
    """Return the digest of a key."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, key=_SECRET, digest_size=DIGEST_BYTES).digest()
