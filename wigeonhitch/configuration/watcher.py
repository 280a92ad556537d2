"""Task that keeps the version in force on one daemon up to date.

One task owns the state. Reads and sends run in tasks of their own and report
back as events, so that a slow store does not delay messages from peers.
"""

from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc

from wigeonhitch.configuration import (
    distribution,
    document,
    message,
    proposal,
)
from wigeonhitch.platform import table
from wigeonhitch.telemetry import log

__all__ = ["FLEET_SIGNAL", "Peers", "Watcher"]

PURPOSE = "signal"
FLEET_SIGNAL = "signal/fleet"
SIGNALS = (proposal.SIGNAL, FLEET_SIGNAL)

# Maximum number of queued events. Peers send a few a second. Events beyond the
# limit are dropped and counted: each is sent again, or polling replaces it.
MAX_QUEUED_EVENTS = 256

# Minimum sleep between two ticks.
MIN_WAIT_SECONDS = 0.01


class Peers(Protocol):
    """Sends messages to other daemons, at most once and without guarantee."""

    async def send(self, peer: str, data: bytes) -> None:
        """Send to one peer; failures are not reported."""
        ...


class Watcher:
    """Runs a `distribution.Distribution`.

    Parameters
    ----------
    core : distribution.Distribution
        The state machine that decides.
    rows : table.Table
        The platform's table.
    objects : table.ObjectStore
        The platform's object store.
    peers : Peers
        Sends messages to other daemons.
    clock : callable
        Returns seconds on the clock that includes time in suspension.
    install : callable
        Called with version and document whenever a version comes into force.
    on_fleet_change : callable
        Called with the version of the row ``signal/fleet`` when it increases.
    """

    def __init__(
        self,
        core: distribution.Distribution,
        rows: table.Table,
        objects: table.ObjectStore,
        peers: Peers,
        clock: Callable[[], float],
        *,
        install: Callable[[int, document.Document], None],
        on_fleet_change: Callable[[int], None] = lambda version: None,
    ) -> None:
        self.core = core
        self.rows = rows
        self.objects = objects
        self.peers = peers
        self.clock = clock
        self.install = install
        self.on_fleet_change = on_fleet_change
        self.dropped_events = 0
        self._fleet_version = 0
        self._logged_readiness = distribution.Readiness.STARTING
        self._send, self._receive = anyio.create_memory_object_stream[message.Event](
            MAX_QUEUED_EVENTS
        )

    @property
    def readiness(self) -> distribution.Readiness:
        """Whether this daemon may serve now."""
        return self.core.readiness(self.clock())

    def receive(self, peer: str, data: bytes) -> None:
        """Queue a message from a peer; one that cannot be decoded is dropped."""
        received = message.decode(data)
        if received is not None:
            self.enqueue(message.Received(peer, received))

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Set the current peers, which exclude this daemon."""
        self.enqueue(message.PeersChanged(peers))

    def handle_accepted(self, version: int, content_hash: str, data: bytes) -> None:
        """Queue a version that this daemon itself put in force, and its content."""
        self.enqueue(message.Received("", message.Tell(version, content_hash)))
        self.enqueue(message.Fetched(content_hash, data))

    def enqueue(self, event: message.Event) -> None:
        """Queue an event, or drop and count it when the queue is full."""
        try:
            self._send.send_nowait(event)
        except anyio.WouldBlock:
            self.dropped_events += 1

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks, self._send, self._receive:
            while True:
                await self._step(tasks)

    async def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        """Wait for an event or the next tick, and start the resulting actions."""
        now = self.clock()
        wait = max(self.core.next_wake(now) - now, MIN_WAIT_SECONDS)
        event: message.Event = message.Tick()
        with anyio.move_on_after(wait):
            event = await self._receive.receive()
        actions = self.core.handle(event, self.clock())
        if not isinstance(event, message.Tick):
            # A steady stream of events must not starve the ticks.
            actions += self.core.handle(message.Tick(), self.clock())
        for action in actions:
            self._start_action(action, tasks)
        self._log_readiness()

    def _start_action(self, action: message.Action, tasks: anyio.abc.TaskGroup) -> None:
        match action:
            case message.Poll():
                tasks.start_soon(self._poll)
            case message.ReadCurrent():
                tasks.start_soon(self._read_current)
            case message.FetchObject():
                tasks.start_soon(self._fetch, action.hash)
            case message.SendPeer():
                data = message.encode(action.message)
                tasks.start_soon(self.peers.send, action.peer, data)
            case message.Install():
                log.log_change(
                    "document in force", version=action.version, hash=action.hash
                )
                self.install(action.version, action.intended)

    async def _poll(self) -> None:
        started = self.clock()
        read_timeout = self.core.limits.read_timeout
        answer = await self.rows.read(SIGNALS, purpose=PURPOSE, timeout=read_timeout)
        if answer.outcome is not table.Outcome.DONE:
            await self._send.send(message.Polled(started, None))
            return
        signal_row, fleet_row = answer.rows
        if fleet_row.version > self._fleet_version:
            self._fleet_version = fleet_row.version
            self.on_fleet_change(fleet_row.version)
        await self._send.send(message.Polled(started, signal_row.version))

    async def _read_current(self) -> None:
        started = self.clock()
        keys = (proposal.CURRENT, proposal.SIGNAL)
        answer = await self.rows.read(keys, purpose=PURPOSE)
        if answer.outcome is not table.Outcome.DONE:
            await self._send.send(message.CurrentRead(started, 0, None))
            return
        current = proposal.read_current(answer.rows[0])
        signal = answer.rows[1].version
        read = message.CurrentRead(started, signal, current.version, current.hash)
        await self._send.send(read)

    async def _fetch(self, content_hash: str) -> None:
        name = proposal.get_object_name(content_hash)
        data = await self.objects.get(name, purpose=PURPOSE)
        await self._send.send(message.Fetched(content_hash, data))

    def _log_readiness(self) -> None:
        """Log each change of readiness once."""
        readiness = self.readiness
        if readiness is not self._logged_readiness:
            log.log_change("document state", state=readiness.value)
            self._logged_readiness = readiness
