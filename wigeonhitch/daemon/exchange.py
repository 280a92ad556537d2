"""What the slices of a daemon and those of its peers say to each other."""

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
    """Carries the configuration slice's messages to peers.

    Parameters
    ----------
    membership : task.Membership
    """

    def __init__(self, membership: task.Membership) -> None:
        self._membership = membership

    async def send(self, peer: str, data: bytes) -> None:
        """Send to one peer; a failure is not reported."""
        self._membership.send(peer, message.Configuration(data), "configuration")


class Exchange:
    """Carries slot messages to peers, and gives what they say to its slice.

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

    def tell(self, told: action.SendMessages, traces: tuple[str, ...]) -> None:
        """Send slot messages, with the contexts of the traced requests."""
        packed = slots.pack(told.messages, traces)
        self._membership.send(told.daemon, packed, "slots")

    def receive(self, received: codec.Received) -> None:
        """Give a peer's message to the slice that it is for."""
        if self._membership.handle_message(received):
            return
        if isinstance(received.message, slots.Slots):
            self._receive_slots(received.sender, received.message)
        elif isinstance(received.message, message.Configuration):
            self._documents.receive(received.sender, received.message.data)

    def _receive_slots(self, sender: str, given: slots.Slots) -> None:
        """Take slot messages, with a span for each traced request among them."""
        with contextlib.ExitStack() as hops:
            for context in given.traces:
                carrier = {"traceparent": context}
                hops.enter_context(self._tracing.open_hop("slots", carrier))
            messages = slots.unpack(given)
            self._dispatch.apply(event.Received(sender, messages))
