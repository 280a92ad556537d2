"""Checks of the task events on all workers against the guarantees of a pool."""

from collections.abc import Callable

from standins import siteworker
from wigeonhitch.jobs import model

__all__ = ["check_task_runs"]


def check_task_runs(
    events: list[siteworker.Event],
    get_size: Callable[[model.Task], int],
    capacity: int,
) -> list[str]:
    """Return the violations in a history, one line each.

    Parameters
    ----------
    events : list of siteworker.Event
        Events of all workers, in order.
    get_size : callable
        Returns the millicores that a task takes.
    capacity : int
        Millicores of each worker.
    """
    violations: list[str] = []
    running: dict[model.Task, tuple[str, int]] = {}
    acknowledged: set[model.Task] = set()
    last_runs: dict[model.Task, int] = {}
    used: dict[str, int] = {}
    for event in events:
        if event.kind == "start":
            if event.task in running:
                violations.append(
                    f"two runs at once: {event} beside {running[event.task]}"
                )
            if event.task in acknowledged:
                violations.append(f"started after a noted end: {event}")
            if event.run <= last_runs.get(event.task, 0):
                violations.append(f"run number doesn't increase: {event}")
            last_runs[event.task] = event.run
            running[event.task] = (event.worker, event.run)
            used[event.worker] = used.get(event.worker, 0) + get_size(event.task)
            if used[event.worker] > capacity:
                violations.append(f"capacity of the worker exceeded: {event}")
        elif event.kind == "end":
            used[event.worker] -= get_size(event.task)
            if running.get(event.task) == (event.worker, event.run):
                del running[event.task]
        elif event.kind == "noted" and event.outcome == "done":
            acknowledged.add(event.task)
    return violations
