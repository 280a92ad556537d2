"""The placement duties of one daemon: one controller for each shard."""

import collections
from collections.abc import Sequence

import anyio

from wigeonhitch.placement import controller, message, signal, view

__all__ = ["Runner"]

# Urgent work must start within 1.7 s: 0.5 s to notice a job and two round trips for
# the commit and the start leave about 1 s for a checkpoint.
POLL_SECONDS = 0.5


class Runner:
    """Runs the controllers of all shards, which compete for their duties.

    Parameters
    ----------
    platform : message.Platform
        Table, tasks, leases and views.
    shards : int
        Number of shards; the same on every daemon.

    Attributes
    ----------
    counters : collections.Counter
        Counts for telemetry.
    """

    def __init__(self, platform: message.Platform, shards: int = view.SHARDS):
        self._platform = platform
        self._shards = shards
        self.counters: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Run until cancelled, then release the duties."""
        duties = [view.duty_name(shard) for shard in range(self._shards)]
        for duty in duties:
            self._platform.leases.want(duty)
        try:
            async with anyio.create_task_group() as group:
                reader = signal.SignalReader(self._platform, self._shards)
                controllers = []
                for shard in range(self._shards):
                    shard_controller = controller.ShardController(
                        self._platform,
                        reader,
                        shard,
                        group.start_soon,
                        self.counters,
                    )
                    controllers.append(shard_controller)
                    group.start_soon(shard_controller.run)
                group.start_soon(self._read_signals, reader, controllers)
                await _wake_controllers(reader, controllers)
        finally:
            for duty in duties:
                self._platform.leases.unwant(duty)

    async def _read_signals(
        self,
        reader: signal.SignalReader,
        controllers: Sequence[controller.ShardController],
    ) -> None:
        """Read signals while any duty is held."""
        leases = self._platform.leases
        while True:
            if any(
                leases.current(shard_controller.duty)
                for shard_controller in controllers
            ):
                for shard in await reader.read():
                    controllers[shard].wake()
            await anyio.sleep(POLL_SECONDS)


async def _wake_controllers(
    reader: signal.SignalReader, controllers: Sequence[controller.ShardController]
) -> None:
    """Wake the controllers; separate from reads, as the table may be slow or down."""
    while True:
        reader.clear_cache()
        for shard_controller in controllers:
            shard_controller.wake()
        await anyio.sleep(POLL_SECONDS)
