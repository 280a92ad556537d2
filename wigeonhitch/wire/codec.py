"""Encoding of typed records as thrift frames and back.

Each package defines its peer messages as ``NamedTuple`` types. ``peer.thrift``
has a struct of the same name and fields for each; this module converts between
the two, so that no other package depends on generated code.
"""

import enum
import functools
import struct
import typing
from collections.abc import Mapping
from typing import Any, NamedTuple

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from wigeonhitch.wire.generated.peer import ttypes

__all__ = [
    "MAX_FRAME_BYTES",
    "HEADER_SIZE",
    "Problem",
    "Received",
    "Registry",
    "decode",
    "encode",
    "read_size",
]

# A frame holds at most one fleet document. A larger frame comes from a faulty or
# hostile peer and is refused before memory is allocated for it.
MAX_FRAME_BYTES = 4 * 1024 * 1024
HEADER = struct.Struct(">I")
HEADER_SIZE = HEADER.size
"""Bytes of the header, which holds the size of the frame body."""

# Generated struct types by name, without the envelope.
STRUCTS: Mapping[str, type] = {
    name: getattr(ttypes, name)
    for name in dir(ttypes)
    if getattr(getattr(ttypes, name), "thrift_spec", None) is not None
    and name != "Envelope"
}


class Registry(NamedTuple):
    """Record types by the envelope field that carries them.

    Parameters
    ----------
    fields : mapping of str to type
        ``NamedTuple`` type by envelope field; struct and type have the same name.
    """

    fields: Mapping[str, type]

    def find_field(self, message: Any) -> str:
        """Return the envelope field that carries ``message``."""
        for field, record in self.fields.items():
            if isinstance(message, record):
                return field
        raise TypeError(
            f"message {type(message).__name__} is not registered; expected one of "
            f"{sorted(record.__name__ for record in self.fields.values())}"
        )


class Received(NamedTuple):
    """Sender and message of a decoded frame."""

    sender: str
    message: Any


class Problem(NamedTuple):
    """Reason why a frame could not be decoded."""

    reason: str


def encode(registry: Registry, sender: str, message: Any) -> bytes:
    """Return the frame of ``message``, including the header."""
    envelope = ttypes.Envelope(sender=sender)
    setattr(envelope, registry.find_field(message), _to_struct(message))
    transport = TTransport.TMemoryBuffer()
    envelope.write(TCompactProtocol.TCompactProtocol(transport))
    body = transport.getvalue()
    return HEADER.pack(len(body)) + body


def read_size(header: bytes) -> int | Problem:
    """Return the size in bytes of the frame body that follows ``header``."""
    (size,) = HEADER.unpack(header)
    if size > MAX_FRAME_BYTES:
        return Problem(f"frame of {size} bytes; expected at most {MAX_FRAME_BYTES}")
    return size


def decode(registry: Registry, body: bytes) -> Received | Problem:
    """Return the message in a frame body, or the reason why it can't be decoded."""
    envelope = ttypes.Envelope()
    try:
        envelope.read(
            TCompactProtocol.TCompactProtocol(
                TTransport.TMemoryBuffer(body), string_length_limit=MAX_FRAME_BYTES
            )
        )
        for field, record in registry.fields.items():
            encoded_message = getattr(envelope, field)
            if encoded_message is not None:
                return Received(
                    envelope.sender or "", _to_record(record, encoded_message)
                )
    except Exception as error:  # thrift raises many types on invalid input
        return Problem(f"undecodable frame: {type(error).__name__}: {error}")
    return Problem("frame without a known message")


def _to_struct(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        encoded = STRUCTS[type(value).__name__]()
        for name, item in zip(value._fields, value, strict=True):
            setattr(encoded, name, _to_struct(item))
        return encoded
    if isinstance(value, tuple | list):
        return [_to_struct(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


class _FieldDecoder(NamedTuple):
    """How to decode one field: its record or enum type and its default."""

    name: str
    record: type | None
    enumeration: type[enum.Enum] | None
    default: Any


@functools.cache
def _build_field_decoders(record: type) -> tuple[_FieldDecoder, ...]:
    hints = typing.get_type_hints(record)
    decoders = []
    for name in record._fields:
        hint = hints[name]
        inner = (typing.get_args(hint) or (hint,))[0]
        is_class = isinstance(inner, type)
        decoders.append(
            _FieldDecoder(
                name,
                inner if is_class and hasattr(inner, "_fields") else None,
                inner if is_class and issubclass(inner, enum.Enum) else None,
                record._field_defaults.get(name, MISSING),
            )
        )
    return tuple(decoders)


MISSING = object()


def _to_record(record: type, value: Any) -> Any:
    fields = []
    for decoder in _build_field_decoders(record):
        item = getattr(value, decoder.name)
        if item is None:
            item = decoder.default
        elif isinstance(item, list):
            item = tuple(
                _to_record(decoder.record, part) if decoder.record else part
                for part in item
            )
        elif decoder.record is not None:
            item = _to_record(decoder.record, item)
        elif decoder.enumeration is not None:
            item = decoder.enumeration(item)
        if item is MISSING:
            raise ValueError(f"field {decoder.name} of {record.__name__} is missing")
        fields.append(item)
    return record(*fields)
