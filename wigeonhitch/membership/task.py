"""The task that keeps a daemon's membership: beats, rows, and peer messages."""

import math
from collections.abc import Callable
from typing import Any

import anyio

from wigeonhitch.membership import core, message, transport
from wigeonhitch.platform import table
from wigeonhitch.telemetry import log, metric
from wigeonhitch.wire import codec

__all__ = ["Membership", "find_rows_period"]

# Seconds between readings of the daemon rows in a small system.
ROWS_PERIOD = 5.0

# Seconds between readings per member: every row is renewed each few seconds, so
# one reading returns all of them, some 200 bytes each. A quarter of a second a
# member keeps this below 1 KB/s at any size; beats carry the news meanwhile.
ROWS_PERIOD_PER_MEMBER = 0.25

# Seconds between readings that an unknown sender may cause.
UNKNOWN_PAUSE = 5.0

PURPOSE = "membership"


def find_rows_period(members: int) -> float:
    """Return the seconds between readings of the daemon rows.

    Examples
    --------
    >>> find_rows_period(9), find_rows_period(220)
    (5.0, 55.0)
    """
    return max(ROWS_PERIOD, ROWS_PERIOD_PER_MEMBER * members)


class Membership:
    """Runs `core.Members` on a transport and the platform's table.

    Parameters
    ----------
    members : core.Members
        The decisions; only this task calls them.
    store : table.Table
    clock : callable
        Seconds on the clock that counts suspension.
    find_versions : callable
        Returns the `core.Versions` to announce.
    on_members, on_send_right, on_heartbeat : callable
        Called with the live members, with the right to send, and with each
        heartbeat received.
    instruments : metric.Instruments
    """

    def __init__(
        self,
        members: core.Members,
        store: table.Table,
        clock: Callable[[], float],
        find_versions: Callable[[], core.Versions],
        on_members: Callable[[frozenset[str]], None],
        on_send_right: Callable[[bool], None],
        on_heartbeat: Callable[[message.Heartbeat], None],
        instruments: metric.Instruments,
    ) -> None:
        self._members = members
        self._store = store
        self._clock = clock
        self._find_versions = find_versions
        self._on_members = on_members
        self._on_send_right = on_send_right
        self._on_heartbeat = on_heartbeat
        self._instruments = instruments
        self._transport: transport.Transport | None = None
        self._has_right = True
        self._rows_due = -math.inf
        self._rows: dict[str, table.Row] = {}
        self._revision = 0
        self._table_read = -math.inf

    def attach(self, made: transport.Transport) -> None:
        """Take the transport that carries the beats."""
        self._transport = made

    def tell(self, daemon: str, given: Any, purpose: str) -> bool:
        """Send a message to a daemon; False if its address is not known."""
        peer = self._members.find_peer(daemon)
        if peer is None or self._transport is None:
            return False
        self._transport.send(peer.address, given, purpose)
        return True

    def hear(self, received: codec.Received) -> bool:
        """Take a heartbeat; False if the message is of another kind."""
        if not isinstance(received.message, message.Heartbeat):
            if self._members.find_peer(received.sender) is None:
                self._ask_rows()
            return False
        self._act(self._members.hear(received.message, self._clock()))
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
        """Beat and read rows until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_rows)
            while True:
                self._beat()
                await anyio.sleep(core.BEAT_PERIOD)

    def hear_store(self, asked: float) -> None:
        """Note that the table answered a call made at ``asked``."""
        self._members.hear_store(asked)

    def _beat(self) -> None:
        self._members.versions = self._find_versions()
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

    def _ask_rows(self) -> None:
        self._rows_due = min(self._rows_due, self._table_read + UNKNOWN_PAUSE)

    async def _read_rows(self) -> None:
        while True:
            if self._clock() >= self._rows_due:
                await self._read_rows_once()
            await anyio.sleep(core.BEAT_PERIOD)

    async def _read_rows_once(self) -> None:
        asked = self._clock()
        result = await self._store.scan(
            "daemon/", purpose=PURPOSE, since=self._revision
        )
        self._rows_due = self._clock() + ROWS_PERIOD
        if result.outcome is not table.Outcome.DONE:
            return
        self._table_read = asked
        self._revision = result.revision
        for row in result.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        unexpired = [
            _make_peer(row)
            for row in self._rows.values()
            if row.value["expires"] >= result.time
        ]
        self._act(self._members.learn_rows(unexpired, asked))
        self._rows_due = self._clock() + find_rows_period(len(unexpired))


def _make_peer(row: table.Row) -> core.Peer:
    value = row.value
    return core.Peer(
        row.key.removeprefix("daemon/"),
        value["address"],
        value["vm"],
        value["data_centre"],
    )
