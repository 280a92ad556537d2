"""The task that refreshes the daemon's view of the fleet rows and the VM list."""

from collections.abc import Callable

import anyio

from wigeonhitch.daemon import workers
from wigeonhitch.front import sender
from wigeonhitch.membership import holder

__all__ = ["WorkerRefresher"]

# Interval between checks whether the fleet rows or the VM list must be read.
REFRESH_PERIOD_SECONDS = 2.0

# Interval while VMs drain: the end of the last request on a draining VM must
# reach the other daemons quickly, since the stop of the VM waits for it.
DRAIN_REFRESH_PERIOD_SECONDS = 0.3


class WorkerRefresher:
    """Reads the fleet rows when their signal changes, and publishes changes.

    Parameters
    ----------
    worker_view : workers.Workers
        The view to refresh.
    own_holder : holder.Holder
        Renews this daemon's row, which lists the VMs that drain here.
    worker_sender : sender.Sender
        Closes the connections to VMs that are no longer listed.
    clock : callable
        Returns seconds on a clock that includes time suspended.
    """

    def __init__(
        self,
        worker_view: workers.Workers,
        own_holder: holder.Holder,
        worker_sender: sender.Sender,
        clock: Callable[[], float],
    ) -> None:
        self._workers = worker_view
        self._holder = own_holder
        self._sender = worker_sender
        self._clock = clock
        self._changed = anyio.Event()

    def handle_fleet_change(self) -> None:
        """Trigger a read after the fleet signal has changed."""
        self._workers.mark_rows_stale()
        self._changed.set()

    async def run(self) -> None:
        """Refresh the view until cancelled."""
        while True:
            self._changed = anyio.Event()
            before = self._workers.describe()
            await self._workers.read(self._clock())
            after = self._workers.describe()
            if after != before:
                self._holder.renew_soon()
            await self._sender.close_unlisted(self._workers.addresses)
            with anyio.move_on_after(
                DRAIN_REFRESH_PERIOD_SECONDS if after.busy else REFRESH_PERIOD_SECONDS
            ):
                await self._changed.wait()
