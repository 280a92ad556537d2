"""What all shards of one daemon read together: signals, and the view in memory."""

import collections
from collections.abc import Sequence

from wigeonhitch.placement import message, view
from wigeonhitch.platform import table

__all__ = ["PREFIX", "SignalReader", "make_write"]

PREFIX = "signal/placement/"
PURPOSE = "placement"


def make_write(shard: int) -> table.Write:
    """Return the write that tells a shard's holder to read its markers.

    It goes with every commit of a submission or a cancellation, without a
    condition, so that submissions never hold each other up.

    Examples
    --------
    >>> make_write(3).key
    'signal/placement/3'
    """
    return table.Write(f"{PREFIX}{shard}", {})


class SignalReader:
    """Reads the shards' signals once for all shards of a daemon.

    Load: 32 shards on one daemon, most of which have no job. Harm: each that
    reads for itself costs 2.4 reads a second and half a percent of a core for
    nothing. One incremental scan returns only the signals that moved.

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
        """Return the shards whose signals moved; none while the table is down."""
        found = await self._platform.table.scan(
            PREFIX, purpose=PURPOSE, since=self._revision
        )
        if found.outcome is not table.Outcome.DONE:
            return []
        moved = [int(row.key.removeprefix(PREFIX)) for row in found.rows]
        self.revisions |= zip(moved, (row.version for row in found.rows), strict=True)
        self._revision = max(self._revision, found.revision)
        return [shard for shard in moved if shard < self._shards]

    def clear_cache(self) -> None:
        """Look at the workers anew when one is next asked for."""
        self._vms = None

    def list_vms(self, shard: int) -> Sequence[view.Vm]:
        """Return the workers of a shard's pools, sorted once for all shards."""
        if self._vms is None:
            self._vms = collections.defaultdict(list)
            for vm in self._platform.fleet():
                self._vms[self._find_shard(vm.pool)].append(vm)
        return self._vms.get(shard, ())

    def _find_shard(self, pool: str) -> int:
        if pool not in self._pools:
            self._pools[pool] = view.find_shard(pool, self._shards)
        return self._pools[pool]
