"""Encoding of typed records as thrift frames and back.

Each slice states its peer messages as ``NamedTuple``. A struct of the same
fields in ``peer.thrift`` carries it; this module copies the one to the other,
so that no slice sees generated code.
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

# A frame holds at most one fleet document; a larger frame is a broken or
# hostile peer, and is refused before memory is spent on it.
MAX_FRAME_BYTES = 4 * 1024 * 1024  # bytes
HEADER = struct.Struct(">I")
HEADER_SIZE = HEADER.size

# Fields of the envelope, in the order of peer.thrift.
STRUCTS: Mapping[str, type] = {
    name: getattr(ttypes, name)
    for name in dir(ttypes)
    if getattr(getattr(ttypes, name), "thrift_spec", None) is not None
    and name != "Envelope"
}


class Registry(NamedTuple):
    """Which record types travel in which envelope field.

    Parameters
    ----------
    fields : mapping of str to type
        Envelope field to ``NamedTuple`` type; the type's name is the struct's.
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
    """A decoded frame: who sent it and what."""

    sender: str
    message: Any


class Problem(NamedTuple):
    """Sentinel for a frame that could not be decoded."""

    reason: str


def encode(registry: Registry, sender: str, message: Any) -> bytes:
    """Return the whole frame, its size first, that carries ``message``."""
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
    """Return the message in a frame body, or why it cannot be read."""
    envelope = ttypes.Envelope()
    try:
        envelope.read(
            TCompactProtocol.TCompactProtocol(
                TTransport.TMemoryBuffer(body), string_length_limit=MAX_FRAME_BYTES
            )
        )
        for field, record in registry.fields.items():
            struct_value = getattr(envelope, field)
            if struct_value is not None:
                return Received(envelope.sender or "", _to_record(record, struct_value))
    except Exception as error:  # thrift raises many kinds on broken input
        return Problem(f"undecodable frame: {type(error).__name__}: {error}")
    return Problem("frame without a known message")


def _to_struct(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        made = STRUCTS[type(value).__name__]()
        for name, item in zip(value._fields, value, strict=True):
            setattr(made, name, _to_struct(item))
        return made
    if isinstance(value, tuple | list):
        return [_to_struct(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


class _Plan(NamedTuple):
    """How to read one field back: record and enum types found in its hint."""

    name: str
    record: type | None
    enumeration: type[enum.Enum] | None
    default: Any


@functools.cache
def _make_plans(record: type) -> tuple[_Plan, ...]:
    hints = typing.get_type_hints(record)
    plans = []
    for name in record._fields:
        hint = hints[name]
        inner = (typing.get_args(hint) or (hint,))[0]
        is_class = isinstance(inner, type)
        plans.append(
            _Plan(
                name,
                inner if is_class and hasattr(inner, "_fields") else None,
                inner if is_class and issubclass(inner, enum.Enum) else None,
                record._field_defaults.get(name, MISSING),
            )
        )
    return tuple(plans)


MISSING = object()


def _to_record(record: type, value: Any) -> Any:
    fields = []
    for plan in _make_plans(record):
        item = getattr(value, plan.name)
        if item is None:
            item = plan.default
        elif isinstance(item, list):
            item = tuple(
                _to_record(plan.record, part) if plan.record else part for part in item
            )
        elif plan.record is not None:
            item = _to_record(plan.record, item)
        elif plan.enumeration is not None:
            item = plan.enumeration(item)
        if item is MISSING:
            raise ValueError(f"field {plan.name} of {record.__name__} is missing")
        fields.append(item)
    return record(*fields)
