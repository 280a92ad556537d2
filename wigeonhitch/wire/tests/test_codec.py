import typing

import hypothesis
import pytest
from hypothesis import strategies

from wigeonhitch import verdict
from wigeonhitch.membership import message, slots
from wigeonhitch.routing import peer
from wigeonhitch.wire import codec

REGISTRY = codec.Registry(
    {
        "heartbeat": message.Heartbeat,
        "configuration": message.Configuration,
        "slots": slots.Slots,
    }
)

SLOTS = slots.pack(
    (
        peer.Ask("pairing", 7, 0, "north", 0.5, 1.0, 9.0),
        peer.Deny("pairing", 8, verdict.Reason.QUEUE_FULL, 1.5),
        peer.Return("pairing", 6, peer.Outcome.REFUSED, 0.25, 7),
        peer.Report("pairing", (peer.Held(3, "w1", 2.0),), True),
    ),
    ("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",),
)

MESSAGES = [
    message.Heartbeat(
        "d1",
        3,
        12,
        99,
        ("w1",),
        98,
        ("w1",),
        (message.Member("d2", 5, 7),),
        4,
    ),
    message.Configuration(b"{}"),
    SLOTS,
]


@pytest.mark.parametrize("sent", MESSAGES, ids=lambda sent: type(sent).__name__)
def test_decoded_message_equals_the_encoded_one(sent):
    frame = codec.encode(REGISTRY, "d1", sent)
    size = codec.read_size(frame[: codec.HEADER_SIZE])
    assert size == len(frame) - codec.HEADER_SIZE
    received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
    assert received == codec.Received("d1", sent)


@pytest.mark.parametrize(
    "sent",
    [
        peer.Ask("pairing", 7, 0, "north", 0.5, 1.0, 9.0, True),
        peer.Grant("pairing", 7, "w1"),
        peer.Deny("pairing", 8, verdict.Reason.QUEUE_FULL, 1.5),
        peer.Return("pairing", 6, peer.Outcome.REFUSED, 0.25, 7),
        peer.Cancel("pairing", 6),
        peer.Report("pairing", (peer.Held(3, "w1", 2.0),), True),
        peer.Welcome("pairing"),
        peer.Pulse("pairing", (peer.Head(0, "north", 0.25),)),
        peer.Leave("pairing"),
    ],
    ids=lambda sent: type(sent).__name__,
)
def test_slot_message_survives_encoding(sent):
    frame = codec.encode(REGISTRY, "d1", slots.pack((sent,)))
    received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
    assert slots.unpack(received.message) == (sent,)


def test_every_slot_message_has_a_field():
    assert set(slots.FIELD_NAMES) == set(typing.get_args(peer.Message))


def test_slot_messages_keep_their_order():
    assert [type(unpacked) for unpacked in slots.unpack(SLOTS)] == [
        peer.Ask,
        peer.Deny,
        peer.Return,
        peer.Report,
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_a_problem(body):
    assert isinstance(codec.decode(REGISTRY, body), codec.Received | codec.Problem)


@hypothesis.given(strategies.data())
def test_corrupt_frame_decodes_to_a_message_or_a_problem(data):
    frame = bytearray(codec.encode(REGISTRY, "d1", MESSAGES[0])[codec.HEADER_SIZE :])
    position = data.draw(strategies.integers(0, len(frame) - 1))
    frame[position] = data.draw(strategies.integers(0, 255))
    received = codec.decode(REGISTRY, bytes(frame))
    assert isinstance(received, codec.Received | codec.Problem)


def test_oversized_frame_is_refused_by_its_header():
    header = codec.HEADER.pack(codec.MAX_FRAME_BYTES + 1)
    assert isinstance(codec.read_size(header), codec.Problem)


def test_error_for_unregistered_message_lists_expected_types():
    with pytest.raises(TypeError, match="expected one of"):
        codec.encode(REGISTRY, "d1", message.Member("d1", 1))
