"""What a keeper is given, and the answers that calls beside it report."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.membership import lease
from wigeonhitch.placement import calls, view
from wigeonhitch.platform import table, tasks

__all__ = ["Answered", "Listed", "Platform", "Renewed", "Wake"]

Fleet = Callable[[], Sequence[view.Vm]]
Source = Callable[[], document.Document | None]


class Answered(NamedTuple):
    """A task call was answered; None when it was not sent."""

    fence: int
    call: calls.Call
    outcome: table.Outcome | None


class Renewed(NamedTuple):
    """A renewal was answered."""

    fence: int
    names: tuple[str, ...]
    outcome: table.Outcome


class Listed(NamedTuple):
    """Tasks of ``vms``, asked for at ``at``; ``result`` may have failed."""

    fence: int
    vms: tuple[str, ...]
    at: float
    result: tasks.TaskList


class Wake(NamedTuple):
    """There may be something to do."""


class Platform(NamedTuple):
    """What a keeper talks to; ``fleet`` and ``source`` are views in memory."""

    table: table.Table
    tasks: tasks.Tasks
    leases: lease.Leases
    fleet: Fleet
    source: Source
    clock: Callable[[], float]
