"""Rows of a pool's leader: the roster of VMs in use and the published status."""

import zlib
from typing import Any, NamedTuple

import orjson

from wigeonhitch.jobs import model
from wigeonhitch.pool import fairness

__all__ = [
    "STATUS_TABLE",
    "HOLDER_TABLE",
    "JOB_TABLE",
    "PROGRESS_TABLE",
    "ROSTER_TABLE",
    "Holder",
    "PathCount",
    "PoolStatus",
    "RosterRow",
    "list_job_parts",
    "get_job_part",
    "get_job_table",
    "read_holder",
    "read_lag",
    "read_status",
    "read_roster",
    "write_holder",
    "write_status",
    "write_roster",
]

JOB_TABLE = "job"
PROGRESS_TABLE = "progress"
ROSTER_TABLE = "roster"
STATUS_TABLE = "board"
HOLDER_TABLE = "holder"
"""Table that holds, for the jobs of all pools, the pool that accepted each job."""

JOB_TABLES = 32
"""Number of tables over which jobs are spread by pool, so that a leader follows one
table and reads few jobs of other pools; the store holds at most 100 tables."""

JOB_PARTS = 64
"""Number of parts over which jobs are spread. A part applies its transactions one by
one and refuses more once a second's worth is waiting. With a store that takes 0.26 s
for each, a burst of 100 jobs a second needs 26 evenly filled parts."""


def get_job_table(pool: str) -> str:
    """Return the table that holds a pool's jobs."""
    return f"{JOB_TABLE}{zlib.crc32(pool.encode()) % JOB_TABLES:02}"


def get_job_part(id: str) -> str:
    """Return the part that holds a job, whichever its pool.

    A single transaction within that part can thus check that no pool has the job.
    """
    return f"~job.{zlib.crc32(id.encode()) % JOB_PARTS}"


def list_job_parts() -> list[str]:
    """Return all parts that hold jobs."""
    return [f"~job.{number}" for number in range(JOB_PARTS)]


WITHDRAWN_SUFFIX = b"\0withdrawn"
"""Added to the pool in the holder row of a withdrawn submission. Earlier versions take
the whole for a pool, which holds no jobs."""


class Holder(NamedTuple):
    """Content of a holder row.

    While the row exists, no acceptance of the job succeeds. ``is_withdrawn`` means that
    the job was cancelled before one did.
    """

    pool: str
    is_withdrawn: bool = False


def write_holder(holder: Holder) -> bytes:
    """Return a holder row."""
    return holder.pool.encode() + (WITHDRAWN_SUFFIX if holder.is_withdrawn else b"")


def read_holder(value: bytes) -> Holder:
    """Read a holder row."""
    pool = value.removesuffix(WITHDRAWN_SUFFIX)
    return Holder(pool.decode(), pool != value)


class PathCount(NamedTuple):
    """Number of jobs without a started task that a queue accepted by one path."""

    queue: str
    path: model.RoutePath
    jobs: int


class PoolStatus(NamedTuple):
    """Status of a pool as published by its leader.

    ``waiting`` counts jobs without a started task by queue. ``unmet`` are the
    millicores that waiting tasks lack and ``idle`` the free ones; both are used to
    move VMs between pools.
    """

    waiting: dict[str, int]
    unmet: int = 0
    idle: int = 0
    empty: tuple[str, ...] = ()
    """Closed VMs that run nothing any more."""
    light: tuple[str, ...] = ()
    """Open VMs without lasting tasks, which could move to another pool."""
    bare: tuple[str, ...] = ()
    """Those of ``light`` that run nothing at all."""
    peak_demand: int = 0
    """Millicores that batch jobs on time could use in parallel."""
    min_demand: int = 0
    """Millicores that batch jobs need to finish just on time."""
    batch_capacity: int = 0
    """Millicores that the pool's open VMs have for batch work."""
    arriving_demand: int = 0
    """Millicores that keep up with the current arrivals."""
    closings: int = 0
    """The store's version up to which the leader knew the closed VMs; published with
    ``empty``."""
    waiting_by_path: tuple[PathCount, ...] = ()
    """Those of ``waiting`` whose path is known. A configuration may give a queue's name
    or its path to another queue while the jobs wait."""
    lag: tuple[tuple[str, float], ...] = ()
    """Teams with the seconds of virtual time that they have used in advance, largest
    first; see `fairness`."""


class RosterRow(NamedTuple):
    """A VM that may run tasks of the pool.

    ``start_ms`` is as in `entries.WorkerEntry`; earlier versions don't write it.
    """

    address: str
    start_ms: int = 0


def write_roster(vm: RosterRow) -> bytes:
    """Return a roster row, which says that the VM may run tasks of the pool."""
    row: dict[str, Any] = {"address": vm.address}
    if vm.start_ms:
        row["start"] = vm.start_ms
    return orjson.dumps(row)


def read_roster(value: bytes) -> RosterRow:
    """Read a roster row."""
    row = orjson.loads(value)
    return RosterRow(row["address"], row.get("start", 0))


def write_status(status: PoolStatus, wall_time: float = 0.0) -> bytes:
    """Return a status row that is written at a Unix time."""
    row: dict[str, Any] = {"waiting": status.waiting, "unmet": status.unmet}
    row["idle"] = status.idle
    row["need"] = [
        status.peak_demand,
        status.min_demand,
        status.batch_capacity,
        status.arriving_demand,
    ]
    if status.waiting_by_path:
        row["paths"] = [
            [queue, *path, jobs] for queue, path, jobs in status.waiting_by_path
        ]
    if status.empty:
        row["empty"] = list(status.empty)
        row["closings"] = status.closings
    if status.light:
        row["light"] = list(status.light)
    if status.bare:
        row["bare"] = list(status.bare)
    if status.lag:
        row["lag"] = dict(status.lag)
        row["lag_time"] = wall_time
    return orjson.dumps(row)


def read_status(value: bytes) -> PoolStatus:
    """Read a status row."""
    row = orjson.loads(value)
    empty = tuple(row.get("empty", ()))
    light = tuple(row.get("light", ()))
    bare = tuple(row.get("bare", ()))
    figures = (row.get("unmet", 0), row.get("idle", 0))
    status = PoolStatus(
        row["waiting"], *figures, empty, light, bare, *row.get("need", ())
    )
    waiting_by_path = tuple(
        PathCount(queue, model.RoutePath(host, prefix), jobs)
        for queue, host, prefix, jobs in row.get("paths", ())
    )
    lag, _ = fairness.check_lag(row.get("lag"))
    return status._replace(
        closings=row.get("closings", 0), waiting_by_path=waiting_by_path, lag=lag
    )


def read_lag(
    value: bytes | None, wall_time: float
) -> tuple[tuple[tuple[str, float], ...], bool]:
    """Read the lag of teams, less its age, from any status row.

    Parameters
    ----------
    value : bytes or None
        The row; None if there is none.
    wall_time : float
        Unix time.

    Returns
    -------
    lag : tuple
        Teams with their seconds; without the entries that can't be read.
    is_readable : bool
        Whether the row and all its entries could be read.
    """
    if value is None:
        return (), True
    try:
        row = orjson.loads(value)
    except orjson.JSONDecodeError:
        return (), False
    if not isinstance(row, dict):
        return (), False
    lag, faults = fairness.check_lag(row.get("lag"))
    written = row.get("lag_time", wall_time)
    if not isinstance(written, int | float) or isinstance(written, bool):
        return (), False
    age = max(0.0, wall_time - written)
    aged = ((team, seconds - age) for team, seconds in lag if seconds > age)
    return tuple(aged), not faults
