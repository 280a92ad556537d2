"""The task that keeps this daemon's view of the fleet's rows and the VM list."""

from collections.abc import Callable

import anyio

from wigeonhitch.daemon import workers
from wigeonhitch.front import sender
from wigeonhitch.membership import holder

__all__ = ["Following"]

# Seconds between looks at what is due of the fleet's rows and the VM list.
FLEET_PERIOD = 2.0

# The same while VMs drain, since requests that end here must be told at once.
DRAIN_PERIOD = 0.3


class Following:
    """Reads the fleet's rows when their signal moves, and tells what changed.

    Parameters
    ----------
    known : workers.Workers
        What is read into.
    own : holder.Holder
        Has this daemon's row, which says what drains here.
    outlet : sender.Sender
        Forgets the connections to VMs that are gone.
    clock : callable
        Seconds on the clock that counts suspension.
    """

    def __init__(
        self,
        known: workers.Workers,
        own: holder.Holder,
        outlet: sender.Sender,
        clock: Callable[[], float],
    ) -> None:
        self._workers = known
        self._holder = own
        self._outlet = outlet
        self._clock = clock
        self._moved = anyio.Event()

    def note_moved(self) -> None:
        """Read soon: the fleet's signal has moved."""
        self._workers.note_moved()
        self._moved.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            self._moved = anyio.Event()
            before = self._workers.describe()
            await self._workers.read(self._clock())
            now = self._workers.describe()
            if now != before:
                self._holder.renew_soon()
            await self._outlet.close_unlisted(self._workers.addresses)
            with anyio.move_on_after(DRAIN_PERIOD if now.busy else FLEET_PERIOD):
                await self._moved.wait()
