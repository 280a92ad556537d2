"""Fleet data that placement uses: workers, and teams' quotas."""

import math
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document

__all__ = ["SHARDS", "Policy", "Vm", "duty_name", "find_shard", "make_policy"]

# A shard reads its marker rows twice a second and its usage every 5 s, so S
# shards cost about 2.4 S reads a second for any number of pools: with 32 shards, 77
# of the table's 2000. One duty for each pool would cost 310 with 128 pools; a single
# duty would list 800 workers on one daemon. See docs/design/placement.md.
SHARDS = 32


class Vm(NamedTuple):
    """One worker as reported by fleet management.

    ``usable`` is false while the VM drains, leaves, reboots or is checked.
    """

    vm: str
    pool: str
    cores: float
    memory: float
    rack: str
    data_centre: str
    usable: bool


class Policy(NamedTuple):
    """The parts of the fleet document that placement needs."""

    teams: Mapping[str, document.Team]
    kinds: Mapping[str, document.Kind]
    spread: Mapping[str, str]


def make_policy(source: document.Document) -> Policy:
    """Return the policy of a fleet document.

    ``kinds`` maps each pool to its kind of VM, ``spread`` each pool to its
    failure domain.
    """
    kinds = {kind.name: kind for kind in source.kinds}
    return Policy(
        teams={team.name: team for team in source.teams},
        kinds={pool.name: kinds[pool.kind] for pool in source.pools},
        spread={pool.name: pool.spread for pool in source.pools},
    )


def find_shard(pool: str, shards: int = SHARDS) -> int:
    """Return the shard that places the jobs of a pool."""
    return zlib.crc32(pool.encode()) % shards


def duty_name(shard: int) -> str:
    """Return the name of a shard's duty.

    Examples
    --------
    >>> duty_name(3)
    'placement/3'
    """
    return f"placement/{shard}"


def largest_size(vms: Iterable[Vm]) -> tuple[float, float]:
    """Return the largest cores and memory of a VM; infinite without VMs."""
    sizes = [(vm.cores, vm.memory) for vm in vms]
    if not sizes:
        return math.inf, math.inf
    return max(size[0] for size in sizes), max(size[1] for size in sizes)
