"""The task that sends and processes the heartbeats of a daemon."""

from collections.abc import Callable, Mapping
from typing import Any

import anyio

from wigeonhitch.membership import core, holder, message, transport
from wigeonhitch.telemetry import log, metric
from wigeonhitch.wire import codec

__all__ = ["Membership"]

PURPOSE = "membership"


class Membership:
    """Runs `core.Members` on a transport.

    Parameters
    ----------
    members : core.Members
        Membership state; only this task uses it.
    rows : holder.Holder
        Reads the daemon rows.
    clock : callable
        Returns seconds on the clock that includes time in suspension.
    find_drains : callable
        Returns the `core.Drains` to announce.
    on_members, on_send_right, on_heartbeat : callable
        Called with the live members, with the right to send when it changes, and
        with each received heartbeat.
    instruments : metric.Instruments
    """

    def __init__(
        self,
        members: core.Members,
        rows: holder.Holder,
        clock: Callable[[], float],
        find_drains: Callable[[], core.Drains],
        on_members: Callable[[frozenset[str]], None],
        on_send_right: Callable[[bool], None],
        on_heartbeat: Callable[[message.Heartbeat], None],
        instruments: metric.Instruments,
    ) -> None:
        self._members = members
        self._holder = rows
        self._clock = clock
        self._find_drains = find_drains
        self._on_members = on_members
        self._on_send_right = on_send_right
        self._on_heartbeat = on_heartbeat
        self._instruments = instruments
        self._transport: transport.Transport | None = None
        self._has_send_right = True
        self._rows_read_at = 0.0

    def attach(self, peer_transport: transport.Transport) -> None:
        """Set the transport that carries the messages."""
        self._transport = peer_transport

    def send(self, daemon: str, content: Any, purpose: str) -> bool:
        """Send a message to a daemon; return False if its address is unknown."""
        peer = self._members.find_peer(daemon)
        if peer is None or self._transport is None:
            return False
        self._transport.send(peer.address, content, purpose)
        return True

    def handle_message(self, received: codec.Received) -> bool:
        """Process a heartbeat; return False if the message is of another type."""
        if not isinstance(received.message, message.Heartbeat):
            return False
        self._execute(self._members.receive_heartbeat(received.message, self._clock()))
        self._on_heartbeat(received.message)
        return True

    def check_send_right(self) -> bool:
        """Return whether requests may be sent to workers now; report a change."""
        has_send_right = self._members.has_send_right(self._clock())
        if has_send_right != self._has_send_right:
            self._has_send_right = has_send_right
            log.log_change("right to send", held=has_send_right)
            self._on_send_right(has_send_right)
        return has_send_right

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._update_members()
            self._send_heartbeats()
            await anyio.sleep(core.HEARTBEAT_INTERVAL_SECONDS)

    def record_store_answer(self, sent_at: float) -> None:
        """Record that the table answered a call that was sent at ``sent_at``."""
        self._members.record_store_answer(sent_at)

    def find_alive(self) -> frozenset[str]:
        """Return the daemons considered alive, this one included."""
        return self._members.find_alive(self._clock())

    def describe(self) -> dict[str, Any]:
        """Return the fields of this daemon's row that describe its peers.

        Confirmations are relayed only for peers whose own rows have expired, so that
        the row stays small.
        """
        relays = self._members.find_relayed_confirmations(self._clock())
        live = self._holder.live
        return {
            "registered": self._members.registered_count,
            "relayed": {
                name: list(entry) for name, entry in relays.items() if name not in live
            },
        }

    def _send_heartbeats(self) -> None:
        self._members.drains = self._find_drains()
        self._execute(self._members.tick(self._clock()))
        self.check_send_right()
        self._instruments.set(
            "members_alive",
            "Live daemons.",
            len(self._members.find_alive(self._clock())),
        )

    def _execute(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, core.MembersChanged):
                log.log_change("live daemons", alive=sorted(action.alive))
                self._on_members(action.alive)
            elif self._transport is not None:
                self._transport.send(action.peer.address, action.heartbeat, PURPOSE)

    def _update_members(self) -> None:
        if self._holder.full_read_at == self._rows_read_at:
            return
        self._rows_read_at = self._holder.full_read_at
        peers = [_build_peer(name, row) for name, row in self._holder.live.items()]
        self._execute(self._members.update_members(peers, self._rows_read_at))


def _build_peer(name: str, row: Mapping[str, Any]) -> core.Peer:
    return core.Peer(name, row["address"], row["vm"], row["data_centre"])
