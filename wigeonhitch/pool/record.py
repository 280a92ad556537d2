"""Rows of a pool's leader: the roster of VMs in use, and what it shows."""

import zlib
from typing import Any, NamedTuple

import orjson

__all__ = [
    "STATUS_TABLE",
    "HOLDER_TABLE",
    "JOB_TABLE",
    "PROGRESS_TABLE",
    "ROSTER_TABLE",
    "PoolStatus",
    "list_job_parts",
    "get_job_part",
    "get_job_table",
    "read_status",
    "read_roster",
    "write_status",
    "write_roster",
]

JOB_TABLE = "job"
PROGRESS_TABLE = "progress"
ROSTER_TABLE = "roster"
STATUS_TABLE = "board"
HOLDER_TABLE = "holder"
"""Rows beside those of jobs: the pool that accepted a job, of all pools."""

JOB_TABLES = 32
"""Tables over which jobs are spread by pool: a leader follows one of them and
reads little of other pools' jobs; the store holds at most 100 tables."""

JOB_PARTS = 64
"""Parts over which jobs are spread. A part takes one transaction after
another, and refuses once a second's worth of them waits: with a store that takes 0.26 s
for each, a burst of 100 jobs a second needs 26 parts that are filled evenly."""


def get_job_table(pool: str) -> str:
    """Return the table in which a pool's jobs lie."""
    return f"{JOB_TABLE}{zlib.crc32(pool.encode()) % JOB_TABLES:02}"


def get_job_part(id: str) -> str:
    """Return the part in which a job lies, whichever pool holds it.

    So one transaction within a part can tell that no pool has a job.
    """
    return f"~job.{zlib.crc32(id.encode()) % JOB_PARTS}"


def list_job_parts() -> list[str]:
    """Return all parts in which jobs lie."""
    return [f"~job.{number}" for number in range(JOB_PARTS)]


class PoolStatus(NamedTuple):
    """What the leader shows to other daemons.

    ``waiting`` counts jobs without a started task by queue; ``unmet`` and
    ``idle`` are thousandths of a core that waiting tasks ask for and that are
    free, for moving VMs between pools.
    """

    waiting: dict[str, int]
    unmet: int = 0
    idle: int = 0
    empty: tuple[str, ...] = ()
    """VMs to be vacated that hold nothing any more."""
    light: tuple[str, ...] = ()
    """Open VMs without lasting tasks, which could go to another pool."""
    bare: tuple[str, ...] = ()
    """Those of them that run nothing at all."""
    peak_demand: int = 0
    """Thousandths of a core that batch work in time could use at once."""
    min_demand: int = 0
    """The same for it to be just in time."""
    batch_capacity: int = 0
    """What the pool's open VMs have for batch work."""
    arriving_demand: int = 0
    """What would keep up with the jobs that are handed in now."""
    closings: int = 0
    """The store's version at which the leader knew which VMs are to be vacated;
    told with ``empty``."""


def write_roster(address: str) -> bytes:
    """Return a roster row: the VM may run tasks of the pool."""
    return orjson.dumps({"address": address})


def read_roster(value: bytes) -> str:
    """Return the address in a roster row."""
    return orjson.loads(value)["address"]


def write_status(board: PoolStatus) -> bytes:
    """Return a board row."""
    row: dict[str, Any] = {"waiting": board.waiting, "unmet": board.unmet}
    row["idle"] = board.idle
    row["need"] = [
        board.peak_demand,
        board.min_demand,
        board.batch_capacity,
        board.arriving_demand,
    ]
    if board.empty:
        row["empty"] = list(board.empty)
        row["closings"] = board.closings
    if board.light:
        row["light"] = list(board.light)
    if board.bare:
        row["bare"] = list(board.bare)
    return orjson.dumps(row)


def read_status(value: bytes) -> PoolStatus:
    """Read a board row."""
    row = orjson.loads(value)
    empty = tuple(row.get("empty", ()))
    light = tuple(row.get("light", ()))
    bare = tuple(row.get("bare", ()))
    figures = (row.get("unmet", 0), row.get("idle", 0))
    board = PoolStatus(
        row["waiting"], *figures, empty, light, bare, *row.get("need", ())
    )
    return board._replace(closings=row.get("closings", 0))
