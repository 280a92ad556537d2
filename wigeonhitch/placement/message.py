"""Dependencies of a shard controller, and the messages that its calls report."""

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
    """A task call was answered; ``outcome`` is None when it was not sent."""

    fence: int
    call: calls.Call
    outcome: table.Outcome | None


class Renewed(NamedTuple):
    """A renewal of task leases was answered."""

    fence: int
    names: tuple[str, ...]
    outcome: table.Outcome


class Listed(NamedTuple):
    """Tasks of ``vms``, requested at time ``at``; ``result`` may be a failure."""

    fence: int
    vms: tuple[str, ...]
    at: float
    result: tasks.TaskList


class Wake(NamedTuple):
    """The controller should take a step."""


class Platform(NamedTuple):
    """Services that a controller uses; ``fleet`` and ``source`` read memory only."""

    table: table.Table
    tasks: tasks.Tasks
    leases: lease.Leases
    fleet: Fleet
    source: Source
    clock: Callable[[], float]
