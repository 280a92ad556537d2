"""The record that the table keeps for one idempotency key."""

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

PREFIX = "claim"
DIGEST_LENGTH = 32
"""Hexadecimal digits kept of a key's hash: 128 bits, no chance collisions."""


class State(enum.Enum):
    """How far the request of a record has come.

    ``CLAIMED``: only the attempt named in the record may send it, and may have
    done so. ``ANSWERED``: it ran, the answer is kept. ``RELEASED``: no attempt
    ever sent it and none before this state will; it may be claimed anew.
    ``UNKNOWN``: it was sent and its fate is not known; it is never sent again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


class KeptAnswer(NamedTuple):
    """A whole answer, as it was given to the first caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Record(NamedTuple):
    """One record.

    Parameters
    ----------
    state : State
        How far the request has come.
    fingerprint : str
        Hash of the request, to notice a key used for a different one.
    attempt : str
        Unique name of the attempt that wrote the record.
    daemon : str
        The daemon of that attempt, for people.
    at : float
        Seconds since the Unix epoch, by the table's clock as that daemon
        knew it, when the attempt began. Retention counts from here.
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

    Keys of different teams never meet. They are hashed: rows get a bounded
    length and spread evenly over prefixes, so that the sweep can take the table
    in small pieces.

    Examples
    --------
    >>> build_key("pairing", "invoice-7").startswith("claim/pairing/")
    True
    >>> build_key("pairing", "invoice-7") == build_key("pairing", "invoice-7", "a")
    False
    """
    named = f"{len(team)}:{team}{key}".encode()
    digest = hashlib.sha256(named).hexdigest()[:DIGEST_LENGTH]
    return f"{PREFIX}/{service}/{digest}"


def compute_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the hash that two requests share only if they are the same."""
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

    A value that cannot be read counts as ``UNKNOWN``: its key is never sent
    again, which is the one safe reading.
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
