"""The task that keeps a daemon's membership: beats, and what they say."""

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
        The decisions; only this task calls them.
    holder : holder.Holder
        Reads the daemon rows.
    clock : callable
        Seconds on the clock that counts suspension.
    find_drains : callable
        Returns the `core.Drains` to announce.
    on_members, on_send_right, on_heartbeat : callable
        Called with the live members, with the right to send, and with each
        heartbeat received.
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
        self._has_right = True
        self._looked_at = 0.0

    def attach(self, made: transport.Transport) -> None:
        """Take the transport that carries the beats."""
        self._transport = made

    def send(self, daemon: str, given: Any, purpose: str) -> bool:
        """Send a message to a daemon; False if its address is not known."""
        peer = self._members.find_peer(daemon)
        if peer is None or self._transport is None:
            return False
        self._transport.send(peer.address, given, purpose)
        return True

    def handle_message(self, received: codec.Received) -> bool:
        """Take a heartbeat; False if the message is of another kind."""
        if not isinstance(received.message, message.Heartbeat):
            return False
        self._act(self._members.receive_heartbeat(received.message, self._clock()))
        self._on_heartbeat(received.message)
        return True

    def check_send_right(self) -> bool:
        """Whether requests may be sent to workers at this very moment."""
        has_right = self._members.has_send_right(self._clock())
        if has_right != self._has_right:
            self._has_right = has_right
            log.log_change("right to send", held=has_right)
            self._on_send_right(has_right)
        return has_right

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._learn_rows()
            self._beat()
            await anyio.sleep(core.BEAT_PERIOD)

    def record_store_answer(self, asked: float) -> None:
        """Note that the table answered a call made at ``asked``."""
        self._members.record_store_answer(asked)

    def find_alive(self) -> frozenset[str]:
        """Return the daemons heard lately, and this one."""
        return self._members.find_alive(self._clock())

    def describe(self) -> dict[str, Any]:
        """Return what this daemon's row says about its peers.

        Only peers whose own rows have expired are spoken for, so that the row
        stays small.
        """
        relays = self._members.find_relayed_confirmations(self._clock())
        live = self._holder.live
        return {
            "registered": self._members.registered_count,
            "relayed": {
                name: list(entry) for name, entry in relays.items() if name not in live
            },
        }

    def _beat(self) -> None:
        self._members.drains = self._find_drains()
        self._act(self._members.tick(self._clock()))
        self.check_send_right()
        self._instruments.set(
            "members_alive",
            "Live daemons.",
            len(self._members.find_alive(self._clock())),
        )

    def _act(self, actions: list[Any]) -> None:
        for one in actions:
            if isinstance(one, core.MembersChanged):
                log.log_change("live daemons", alive=sorted(one.alive))
                self._on_members(one.alive)
            elif self._transport is not None:
                self._transport.send(one.peer.address, one.heartbeat, PURPOSE)

    def _learn_rows(self) -> None:
        if self._holder.full_read_at == self._looked_at:
            return
        self._looked_at = self._holder.full_read_at
        peers = [_make_peer(name, row) for name, row in self._holder.live.items()]
        self._act(self._members.update_members(peers, self._looked_at))


def _make_peer(name: str, row: Mapping[str, Any]) -> core.Peer:
    return core.Peer(name, row["address"], row["vm"], row["data_centre"])
