"""Rows of a pool's leader: the roster of VMs in use, and what it shows."""

from typing import Any, NamedTuple

import orjson

__all__ = [
    "BOARD_TABLE",
    "JOB_TABLE",
    "PROGRESS_TABLE",
    "ROSTER_TABLE",
    "Board",
    "read_board",
    "read_roster",
    "write_board",
    "write_roster",
]

JOB_TABLE = "job"
PROGRESS_TABLE = "progress"
ROSTER_TABLE = "roster"
BOARD_TABLE = "board"


class Board(NamedTuple):
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


def write_roster(address: str) -> bytes:
    """Return a roster row: the VM may run tasks of the pool."""
    return orjson.dumps({"address": address})


def read_roster(value: bytes) -> str:
    """Return the address in a roster row."""
    return orjson.loads(value)["address"]


def write_board(board: Board) -> bytes:
    """Return a board row."""
    row: dict[str, Any] = {"waiting": board.waiting, "unmet": board.unmet}
    row["idle"] = board.idle
    if board.empty:
        row["empty"] = list(board.empty)
    if board.light:
        row["light"] = list(board.light)
    if board.bare:
        row["bare"] = list(board.bare)
    return orjson.dumps(row)


def read_board(value: bytes) -> Board:
    """Read a board row."""
    row = orjson.loads(value)
    empty = tuple(row.get("empty", ()))
    light = tuple(row.get("light", ()))
    bare = tuple(row.get("bare", ()))
    figures = (row.get("unmet", 0), row.get("idle", 0))
    return Board(row["waiting"], *figures, empty, light, bare)
