"""Orders of a pool's leader to its workers, as planned by `planner`."""

from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import vm

__all__ = ["Pace", "Start", "Stop"]


class Start(NamedTuple):
    """Start a run on its VM."""

    run: vm.Run
    order: workers.Start


class Stop(NamedTuple):
    """Stop a run, known to this leader or only listed by the worker."""

    vm: vm.Vm
    task: model.Task
    number: int


class Pace(NamedTuple):
    """Limit a filling run to a percentage of its full speed."""

    run: vm.Run
    percent: int
