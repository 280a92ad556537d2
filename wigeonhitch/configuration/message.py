"""Messages between daemons about versions; events and actions of `distribution`.

A message is encoded as JSON, which the peer connection carries as opaque bytes.
A document is sent as its canonical text.
"""

import json
from typing import Any, NamedTuple

from wigeonhitch.configuration import document

__all__ = [
    "Answer",
    "Ask",
    "Content",
    "CurrentRead",
    "FetchObject",
    "Fetched",
    "Install",
    "PeersChanged",
    "Poll",
    "Polled",
    "ReadCurrent",
    "Received",
    "SendPeer",
    "Tell",
    "Tick",
    "Want",
    "decode",
    "encode",
]


class Tell(NamedTuple):
    """Notification that a version is in force."""

    version: int
    hash: str


class Ask(NamedTuple):
    """Question for the peer's version; the answer repeats ``number``."""

    number: int


class Answer(NamedTuple):
    """Answer to `Ask`; ``ready`` tells whether the sender is ready to serve."""

    number: int
    version: int
    hash: str
    ready: bool


class Want(NamedTuple):
    """Request for the document with a content hash."""

    hash: str


class Content(NamedTuple):
    """A document's canonical text."""

    hash: str
    text: str


Message = Tell | Ask | Answer | Want | Content

MESSAGE_KINDS = {kind.__name__: kind for kind in (Tell, Ask, Answer, Want, Content)}
FIELD_TYPES = {"version": int, "hash": str, "number": int, "ready": bool, "text": str}


def encode(message: Message) -> bytes:
    """Encode a message."""
    body = {"kind": type(message).__name__} | message._asdict()
    return json.dumps(body, separators=(",", ":")).encode("utf-8")


def decode(data: bytes) -> Message | None:
    """Decode a message; return None when the bytes are not a valid one.

    Examples
    --------
    >>> decode(encode(Tell(7, "ab")))
    Tell(version=7, hash='ab')
    """
    try:
        body = json.loads(data)
        kind = MESSAGE_KINDS[body.pop("kind")]
        message = kind(**body)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return message if has_valid_types(message) else None


def has_valid_types(message: Any) -> bool:
    """Return whether every field has its type."""
    values = message._asdict().items()
    return all(type(value) is FIELD_TYPES[name] for name, value in values)


class Tick(NamedTuple):
    """Periodic event without content."""


class Polled(NamedTuple):
    """Outcome of a read of the signal row.

    Parameters
    ----------
    started : float
        Time at which the read began; what it shows is at least that recent.
        After a pause of this process, the time of arrival would make an old
        answer look recent.
    signal : int or None
        Version of the signal row; None when the store did not answer.
    """

    started: float
    signal: int | None


class CurrentRead(NamedTuple):
    """Outcome of a read of the row of the version in force.

    ``version`` is None when the store did not answer; ``signal`` is the version
    of the signal row, read in the same call.
    """

    started: float
    signal: int
    version: int | None
    hash: str = ""


class Fetched(NamedTuple):
    """Outcome of a fetch from the store or a peer; ``data`` is None on failure."""

    hash: str
    data: bytes | None


class Received(NamedTuple):
    """A message from a peer."""

    peer: str
    message: Message


class PeersChanged(NamedTuple):
    """The peers that may be asked and notified."""

    peers: tuple[str, ...]


Event = Tick | Polled | CurrentRead | Fetched | Received | PeersChanged


class Poll(NamedTuple):
    """Read the signal row."""


class ReadCurrent(NamedTuple):
    """Read the row of the version in force and the signal row together."""


class FetchObject(NamedTuple):
    """Read a document from the object store."""

    hash: str


class SendPeer(NamedTuple):
    """Send a message to a peer, without a guarantee of delivery."""

    peer: str
    message: Message


class Install(NamedTuple):
    """Put a version in force on this daemon."""

    version: int
    hash: str
    intended: document.Document


Action = Poll | ReadCurrent | FetchObject | SendPeer | Install
