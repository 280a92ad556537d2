"""Encodes the slot messages of the routing package for frames between daemons.

One frame carries all slot messages that one event produced for one peer.
"""

from typing import NamedTuple

from wigeonhitch.routing import peer

__all__ = ["Slots", "pack", "unpack"]


class SlotMessage(NamedTuple):
    """Exactly one of the messages of `wigeonhitch.routing.peer`."""

    ask: peer.Ask | None = None
    grant: peer.Grant | None = None
    deny: peer.Deny | None = None
    return_: peer.Return | None = None
    cancel: peer.Cancel | None = None
    report: peer.Report | None = None
    welcome: peer.Welcome | None = None
    pulse: peer.Pulse | None = None
    leave: peer.Leave | None = None


class Slots(NamedTuple):
    """Slot messages in the order in which they were sent.

    ``traces`` are the W3C trace contexts of the requests behind the `peer.Ask`
    messages; requests without a context add none.
    """

    messages: tuple[SlotMessage, ...]
    traces: tuple[str, ...] = ()


FIELD_NAMES = {
    kind: name
    for name, kind in zip(
        SlotMessage._fields,
        (
            peer.Ask,
            peer.Grant,
            peer.Deny,
            peer.Return,
            peer.Cancel,
            peer.Report,
            peer.Welcome,
            peer.Pulse,
            peer.Leave,
        ),
        strict=True,
    )
}


def pack(messages: tuple[peer.Message, ...], traces: tuple[str, ...] = ()) -> Slots:
    """Return the frame content for slot messages."""
    packed = tuple(SlotMessage(**{FIELD_NAMES[type(item)]: item}) for item in messages)
    return Slots(packed, traces)


def unpack(slots: Slots) -> tuple[peer.Message, ...]:
    """Return the slot messages of a frame; unknown ones are skipped."""
    unpacked = []
    for slot_message in slots.messages:
        unpacked.extend(part for part in slot_message if part is not None)
    return tuple(unpacked)
