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


@pytest.mark.parametrize("given", MESSAGES, ids=lambda one: type(one).__name__)
def test_message_comes_back_as_it_was_sent(given):
    frame = codec.encode(REGISTRY, "d1", given)
    size = codec.read_size(frame[: codec.HEADER_SIZE])
    assert size == len(frame) - codec.HEADER_SIZE
    received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
    assert received == codec.Received("d1", given)


@pytest.mark.parametrize(
    "given",
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
    ids=lambda one: type(one).__name__,
)
def test_every_slot_message_travels(given):
    frame = codec.encode(REGISTRY, "d1", slots.pack((given,)))
    received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
    assert slots.unpack(received.message) == (given,)


def test_no_slot_message_is_left_out():
    assert set(slots.FIELD_NAMES) == set(typing.get_args(peer.Message))


def test_slot_messages_keep_their_order():
    assert [type(one) for one in slots.unpack(SLOTS)] == [
        peer.Ask,
        peer.Deny,
        peer.Return,
        peer.Report,
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_problem(body):
    assert isinstance(codec.decode(REGISTRY, body), codec.Received | codec.Problem)


@hypothesis.given(strategies.data())
def test_broken_frame_gives_a_message_or_a_problem(data):
    frame = bytearray(codec.encode(REGISTRY, "d1", MESSAGES[0])[codec.HEADER_SIZE :])
    place = data.draw(strategies.integers(0, len(frame) - 1))
    frame[place] = data.draw(strategies.integers(0, 255))
    received = codec.decode(REGISTRY, bytes(frame))
    assert isinstance(received, codec.Received | codec.Problem)


def test_oversized_frame_is_refused_before_it_is_read():
    header = codec.HEADER.pack(codec.FRAME_LIMIT + 1)
    assert isinstance(codec.read_size(header), codec.Problem)


def test_unregistered_message_names_what_was_expected():
    with pytest.raises(TypeError, match="expected one of"):
        codec.encode(REGISTRY, "d1", message.Member("d1", 1))
