"""Messages between the components of a daemon and those of its peers."""

import contextlib

from wigeonhitch.configuration import watcher
from wigeonhitch.front import dispatcher
from wigeonhitch.membership import message, slots, task
from wigeonhitch.routing import action, event
from wigeonhitch.telemetry import trace
from wigeonhitch.wire import codec

__all__ = ["REGISTRY", "Exchange", "PeerDocuments"]

REGISTRY = codec.Registry(
    {
        "heartbeat": message.Heartbeat,
        "configuration": message.Configuration,
        "slots": slots.Slots,
    }
)


class PeerDocuments:
    """Sends configuration messages to peers.

    Parameters
    ----------
    membership : task.Membership
    """

    def __init__(self, membership: task.Membership) -> None:
        self._membership = membership

    async def send(self, peer: str, data: bytes) -> None:
        """Send to one peer without reporting failures."""
        self._membership.send(peer, message.Configuration(data), "configuration")


class Exchange:
    """Sends slot messages to peers and dispatches the messages received from them.

    Parameters
    ----------
    membership : task.Membership
    dispatch : dispatcher.Dispatcher
    documents : watcher.Watcher
    tracing : trace.Tracing
    """

    def __init__(
        self,
        membership: task.Membership,
        dispatch: dispatcher.Dispatcher,
        documents: watcher.Watcher,
        tracing: trace.Tracing,
    ) -> None:
        self._membership = membership
        self._dispatch = dispatch
        self._documents = documents
        self._tracing = tracing

    def send(self, outgoing: action.SendMessages, traces: tuple[str, ...]) -> None:
        """Send slot messages with the trace contexts of their requests."""
        packed = slots.pack(outgoing.messages, traces)
        self._membership.send(outgoing.daemon, packed, "slots")

    def receive(self, received: codec.Received) -> None:
        """Pass the message of a peer to the component that handles it."""
        if self._membership.handle_message(received):
            return
        if isinstance(received.message, slots.Slots):
            self._receive_slots(received.sender, received.message)
        elif isinstance(received.message, message.Configuration):
            self._documents.receive(received.sender, received.message.data)

    def _receive_slots(self, sender: str, packed: slots.Slots) -> None:
        """Handle slot messages, with a span for each traced request among them."""
        with contextlib.ExitStack() as spans:
            for context in packed.traces:
                carrier = {"traceparent": context}
                spans.enter_context(self._tracing.open_hop("slots", carrier))
            messages = slots.unpack(packed)
            self._dispatch.apply(event.Received(sender, messages))
