"""Data that all shards of a daemon read together: signals and the list of workers."""

import collections
from collections.abc import Sequence

from wigeonhitch.placement import message, view
from wigeonhitch.platform import table

__all__ = ["PREFIX", "SignalReader", "make_write"]

PREFIX = "signal/placement/"
PURPOSE = "placement"


def make_write(shard: int) -> table.Write:
    """Return the write that makes a shard's holder read its markers.

    It is part of each commit of a submission or a cancellation. It has no
    condition, so that submissions never conflict with each other.

    Examples
    --------
    >>> make_write(3).key
    'signal/placement/3'
    """
    return table.Write(f"{PREFIX}{shard}", {})


class SignalReader:
    """Reads the signals once for all shards of a daemon.

    One incremental scan returns only the signals that changed. If each of 32
    shards on a daemon, most of them without jobs, read for itself, it would cost
    2.4 reads a second and half a percent of a core for nothing.

    Parameters
    ----------
    platform : message.Platform
        Table and views.
    shards : int
        Number of shards.

    Attributes
    ----------
    revisions : dict of int to int
        Revision of the last signal of each shard.
    """

    def __init__(self, platform: message.Platform, shards: int):
        self._platform = platform
        self._shards = shards
        self._revision = 0
        self._pools: dict[str, int] = {}
        self._vms: dict[int, list[view.Vm]] | None = None
        self.revisions: dict[int, int] = {}

    async def read(self) -> list[int]:
        """Return the shards whose signals changed; none while the table is down."""
        scanned = await self._platform.table.scan(
            PREFIX, purpose=PURPOSE, since=self._revision
        )
        if scanned.outcome is not table.Outcome.DONE:
            return []
        changed = [int(row.key.removeprefix(PREFIX)) for row in scanned.rows]
        self.revisions |= zip(
            changed, (row.version for row in scanned.rows), strict=True
        )
        self._revision = max(self._revision, scanned.revision)
        return [shard for shard in changed if shard < self._shards]

    def clear_cache(self) -> None:
        """Discard the list of workers, so that the next use reads it again."""
        self._vms = None

    def list_vms(self, shard: int) -> Sequence[view.Vm]:
        """Return the workers of a shard's pools, grouped once for all shards."""
        if self._vms is None:
            self._vms = collections.defaultdict(list)
            for vm in self._platform.fleet():
                self._vms[self._find_shard(vm.pool)].append(vm)
        return self._vms.get(shard, ())

    def _find_shard(self, pool: str) -> int:
        if pool not in self._pools:
            self._pools[pool] = view.find_shard(pool, self._shards)
        return self._pools[pool]
