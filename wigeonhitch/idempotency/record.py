"""The record stored in the table for one idempotency key."""

import base64
import enum
import hashlib
from collections.abc import Mapping
from typing import Any, NamedTuple

__all__ = [
    "KeptAnswer",
    "Record",
    "State",
    "build_key",
    "compute_fingerprint",
    "decode",
    "encode",
]

KEY_PREFIX = "claim"
DIGEST_HEX_DIGITS = 32
"""Hexadecimal digits of a key's hash that are kept: 128 bits, which makes
accidental collisions negligible."""


class State(enum.Enum):
    """State of the request of a record.

    ``CLAIMED``: only the attempt named in the record may send the request, and may
    have done so. ``ANSWERED``: it ran and the answer is kept. ``RELEASED``: no
    attempt has sent it, and no earlier attempt will; it may be claimed again.
    ``UNKNOWN``: it was sent and its outcome is unknown; it is never sent again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


class KeptAnswer(NamedTuple):
    """A complete answer, as it was returned to the first caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Record(NamedTuple):
    """One record.

    Parameters
    ----------
    state : State
        State of the request.
    fingerprint : str
        Hash of the request, to detect that a key is used for a different one.
    attempt : str
        Unique name of the attempt that wrote the record.
    daemon : str
        The daemon of that attempt; for diagnosis only.
    at : float
        Time at which the attempt began, in seconds since the Unix epoch, by that
        daemon's estimate of the table's clock. Retention is counted from it.
    answer : KeptAnswer or None
        The kept answer; its body is empty when ``body_object`` is set.
    body_object : str
        Name in the object store of a body too large for the row.
    """

    state: State
    fingerprint: str
    attempt: str
    daemon: str
    at: float
    answer: KeptAnswer | None = None
    body_object: str = ""


def build_key(service: str, key: str, team: str = "") -> str:
    """Return the row key of a team's idempotency key.

    Keys of different teams are distinct. Keys are hashed, which bounds the length
    of row keys and spreads rows evenly over prefixes, so that the sweep can read
    the table in small parts.

    Examples
    --------
    >>> build_key("pairing", "invoice-7").startswith("claim/pairing/")
    True
    >>> build_key("pairing", "invoice-7") == build_key("pairing", "invoice-7", "a")
    False
    """
    qualified_key = f"{len(team)}:{team}{key}".encode()
    digest = hashlib.sha256(qualified_key).hexdigest()[:DIGEST_HEX_DIGITS]
    return f"{KEY_PREFIX}/{service}/{digest}"


def compute_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash of the request; different requests have different hashes."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode(record: Record) -> dict[str, Any]:
    """Return the row value of a record."""
    value: dict[str, Any] = {
        "state": record.state.value,
        "fingerprint": record.fingerprint,
        "attempt": record.attempt,
        "daemon": record.daemon,
        "at": record.at,
    }
    if record.answer is not None:
        value["status"] = record.answer.status
        value["headers"] = [list(pair) for pair in record.answer.headers]
        value["body"] = base64.b64encode(record.answer.body).decode()
        value["object"] = record.body_object
    return value


def decode(value: Mapping[str, Any]) -> Record:
    """Return the record of a row value.

    A value that cannot be decoded is treated as ``UNKNOWN``: the request may have
    been sent, so it must not be sent again.
    """
    try:
        return _decode(value)
    except (KeyError, TypeError, ValueError):
        return Record(State.UNKNOWN, str(value.get("fingerprint", "")), "", "", 0.0)


def _decode(value: Mapping[str, Any]) -> Record:
    answer = None
    if "status" in value:
        headers = tuple((name, text) for name, text in value["headers"])
        body = base64.b64decode(value["body"], validate=True)
        answer = KeptAnswer(value["status"], headers, body)
    return Record(
        State(value["state"]),
        value["fingerprint"],
        value["attempt"],
        value["daemon"],
        float(value["at"]),
        answer,
        value.get("object", ""),
    )
