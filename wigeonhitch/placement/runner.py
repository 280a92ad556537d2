"""The placement duties of one daemon: one keeper for each shard."""

import collections

import anyio

from wigeonhitch.placement import keeper, message, view

__all__ = ["Runner"]


class Runner:
    """All shards of one daemon: competes for each duty and keeps those it holds.

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
        """Run until cancelled; releases the duties on the way out."""
        duties = [view.duty_of(shard) for shard in range(self._shards)]
        for duty in duties:
            self._platform.leases.want(duty)
        try:
            async with anyio.create_task_group() as group:
                for shard in range(self._shards):
                    holder = keeper.Keeper(
                        self._platform,
                        shard,
                        group.start_soon,
                        self.counters,
                        self._shards,
                    )
                    group.start_soon(holder.run)
        finally:
            for duty in duties:
                self._platform.leases.unwant(duty)
