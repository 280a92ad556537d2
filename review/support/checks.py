"""Checks of rules against the events of the workers and the answers to the callers."""

import collections
from typing import Any

__all__ = ["check_idle", "check_twice"]

IDLE_SECONDS = 3.0
WORKER_CPU = 8000


def check_twice(
    events: list[dict[str, Any]], crashes: list[tuple[float, str, int]]
) -> list[str]:
    """Return the breaches of TWICE, one line each.

    Parameters
    ----------
    events : list of dict
        Events of all workers in the order of their times.
    crashes : list of tuple
        Time, worker and its ``born`` of each life of a worker that was ended.
    """
    by_task: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for event in events:
        by_task[event["task"]].append(event)
    ends_of_lives = {(worker, born): at for at, worker, born in crashes}
    breaches = []
    for task, history in by_task.items():
        breaches.extend(_check_after_done(task, history))
        breaches.extend(_check_at_the_same_time(task, history, ends_of_lives))
    return breaches


def _name_run(event: dict[str, Any]) -> tuple[str, int, int]:
    return event["worker"], event["born"], event["run"]


def _check_after_done(task: str, history: list[dict[str, Any]]) -> list[str]:
    """Check that there is no start after an end ``done`` that is taken note of."""
    noted = {_name_run(e) for e in history if e["event"] == "noted"}
    ends = [
        e["t"]
        for e in history
        if e["event"] == "end" and e["how"] == "done" and _name_run(e) in noted
    ]
    if not ends:
        return []
    first = min(ends)
    later = [e for e in history if e["event"] == "start" and e["t"] > first]
    if not later:
        return []
    worker, _, run = _name_run(later[0])
    return [
        f"TWICE: task {task} ended done at {first:.3f}, which was taken note of; "
        f"started {len(later)} times more, first at {later[0]['t']:.3f} as run {run} "
        f"on {worker}"
    ]


def _check_at_the_same_time(
    task: str,
    history: list[dict[str, Any]],
    ends_of_lives: dict[tuple[str, int], float],
) -> list[str]:
    """Check that no two runs overlap, on workers that are up."""
    spans = []
    for start in (e for e in history if e["event"] == "start"):
        ends = [
            e["t"]
            for e in history
            if e["event"] == "end" and _name_run(e) == _name_run(start)
        ]
        life_end = ends_of_lives.get((start["worker"], start["born"]), float("inf"))
        spans.append((start["t"], min([*ends, life_end]), start))
    spans.sort(key=lambda span: span[0])
    return [
        f"TWICE: task {task} runs on {first['worker']} (run {first['run']}) and from "
        f"{begin:.3f} on {second['worker']} too (run {second['run']})"
        for (_, end, first), (begin, _, second) in zip(spans, spans[1:], strict=False)
        if begin < end
    ]


def check_idle(played: Any) -> list[str]:
    """Return the breaches of LOST, one line each.

    ``finish_s`` after the end of the traffic a job has nothing running for 3 s while
    its tasks' turn has come, the workers that are up have capacity for it twice over,
    and under half of that capacity is in use.
    """
    events = played.deployment.read_events()
    begin, end = played.asked, played.asked + IDLE_SECONDS
    spans = _list_spans(events, played.crashes)
    sizes = {task: cpu for job in played.callers.jobs for task, cpu in job.list_sizes()}
    used = sum(
        sizes.get(task, 0)
        for task, first, last in spans
        if first < end and begin < last
    )
    capacity = WORKER_CPU * played.up_workers
    if used >= capacity / 2:
        return []
    breaches = []
    for job in played.callers.jobs:
        if not job.accepted or job.state in ("completed", "failed", "cancelled"):
            continue
        tasks = dict(job.list_sizes())
        is_running = any(
            task in tasks and first < end and begin < last
            for task, first, last in spans
        )
        if not is_running and 2 * sum(tasks.values()) <= capacity - used:
            breaches.append(
                f"LOST: job {job.id}, accepted {job.accepted:.3f} and shown as "
                f"{job.state}, has nothing running from {begin:.3f} to {end:.3f}; "
                f"{used} of {capacity} millicores are in use"
            )
    return breaches


def _list_spans(
    events: list[dict[str, Any]], crashes: list[tuple[float, str, int]]
) -> list[tuple[str, float, float]]:
    """Return the task, begin and end of each run."""
    ends_of_lives = {(worker, born): at for at, worker, born in crashes}
    ends = {(e["task"], *_name_run(e)): e["t"] for e in events if e["event"] == "end"}
    spans = []
    for start in (e for e in events if e["event"] == "start"):
        life_end = ends_of_lives.get((start["worker"], start["born"]), float("inf"))
        end = ends.get((start["task"], *_name_run(start)), float("inf"))
        spans.append((start["task"], start["t"], min(end, life_end)))
    return spans
