"""Messages between daemons about versions, and events and actions of the core.

A message is encoded as JSON, so that the peer connection carries it as opaque
bytes. A document travels as its canonical text.
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
    """A version is in force."""

    version: int
    hash: str


class Ask(NamedTuple):
    """Which version do you have? ``number`` comes back in the answer."""

    number: int


class Answer(NamedTuple):
    """Answer to `Ask`; ``ready`` when the sender vouches for its version."""

    number: int
    version: int
    hash: str
    ready: bool


class Want(NamedTuple):
    """Send me the document with this hash."""

    hash: str


class Content(NamedTuple):
    """A document's canonical text."""

    hash: str
    text: str


Message = Tell | Ask | Answer | Want | Content

MESSAGE_KINDS = {kind.__name__: kind for kind in (Tell, Ask, Answer, Want, Content)}
FIELD_TYPES = {"version": int, "hash": str, "number": int, "ready": bool, "text": str}


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    body = {"kind": type(message).__name__} | message._asdict()
    return json.dumps(body, separators=(",", ":")).encode("utf-8")


def decode(data: bytes) -> Message | None:
    """Return the message that the bytes hold, or None when they hold none.

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
    """Time has passed."""


class Polled(NamedTuple):
    """The signal row was read, or not.

    Parameters
    ----------
    started : float
        When the read was begun: what it shows is at least that recent. The
        time of its arrival would count a pause of this process as news.
    signal : int or None
        Version of the signal row; None when the store did not answer.
    """

    started: float
    signal: int | None


class CurrentRead(NamedTuple):
    """The row of the version in force was read; ``version`` None when not.

    ``signal`` is the version of the signal row read along with it.
    """

    started: float
    signal: int
    version: int | None
    hash: str = ""


class Fetched(NamedTuple):
    """A document came from the store or a peer; ``data`` None when not."""

    hash: str
    data: bytes | None


class Received(NamedTuple):
    """A peer's message."""

    peer: str
    message: Message


class PeersChanged(NamedTuple):
    """The peers that may be asked and told."""

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
    """Send a message to a peer; it may be lost."""

    peer: str
    message: Message


class Install(NamedTuple):
    """Put a version in force on this daemon."""

    version: int
    hash: str
    intended: document.Document


Action = Poll | ReadCurrent | FetchObject | SendPeer | Install
