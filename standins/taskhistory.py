"""What workers saw of tasks, and the promises that it is checked for."""

from collections.abc import Callable

from standins import siteworker
from wigeonhitch.jobs import model

__all__ = ["check_task_runs"]


def check_task_runs(
    events: list[siteworker.Event],
    get_size: Callable[[model.Task], int],
    capacity: int,
) -> list[str]:
    """Return what went wrong in a history, a line each.

    Parameters
    ----------
    events : list of siteworker.Event
        What happened on all workers, in order.
    get_size : callable
        Thousandths of a core that a task takes.
    capacity : int
        Thousandths of a core that each worker has.
    """
    faults: list[str] = []
    live: dict[model.Task, tuple[str, int]] = {}
    noted: set[model.Task] = set()
    numbers: dict[model.Task, int] = {}
    used: dict[str, int] = {}
    for event in events:
        if event.kind == "start":
            if event.task in live:
                faults.append(f"two runs at once: {event} beside {live[event.task]}")
            if event.task in noted:
                faults.append(f"started after a noted end: {event}")
            if event.run <= numbers.get(event.task, 0):
                faults.append(f"number doesn't rise: {event}")
            numbers[event.task] = event.run
            live[event.task] = (event.worker, event.run)
            used[event.worker] = used.get(event.worker, 0) + get_size(event.task)
            if used[event.worker] > capacity:
                faults.append(f"beyond the room: {event}")
        elif event.kind == "end":
            used[event.worker] -= get_size(event.task)
            if live.get(event.task) == (event.worker, event.run):
                del live[event.task]
        elif event.kind == "noted" and event.outcome == "done":
            noted.add(event.task)
    return faults
