"""The promises of a site, checked by what callers and workers saw."""

import time
from typing import NamedTuple

from standins import siteworker, taskhistory
from standins.soak import caller, environment, fault, vmfleet
from wigeonhitch.jobs import model
from wigeonhitch.platform import http

__all__ = ["Observations", "check"]

TOUCH = 3.0
"""Seconds after a disturbance until times are promised again."""

CANCEL = 3.0
"""Seconds after a cancelling was acknowledged in which its tasks end."""

VISIBLE = 3.0
"""Seconds after which an accepted job is known everywhere."""

EARLY = 0.25
"""Seconds by which a task may start before its time."""

NOTICE = 4.5
"""Seconds after which a lasting task counts as away for any cause."""

AWAY = 6.0
"""Seconds for which a lasting task may be away in calm times."""

DRAIN = 2.0
"""Seconds after which nothing starts on a worker that leaves."""


class Observations(NamedTuple):
    """Everything that a run showed."""

    jobs: list[caller.SubmittedJob]
    calls: list[caller.Call]
    spans: list[fault.Span]
    vm_fleet: vmfleet.VmFleet
    ended: float

    def is_disturbed(self, begin: float, end: float, target: str = "") -> bool:
        """Whether a fault came near a time; ``target`` leaves out others' own."""
        return any(
            span.begin < end and begin < span.end + TOUCH
            for span in self.spans
            if span.kind not in fault.PLANNED
            and (not target or span.target in (target, "store") or "all" in span.kind)
        )


def check(seen: Observations) -> list[str]:
    """Return what went wrong, a line each."""
    jobs = {job.id: job for job in seen.jobs}

    def get_size(task: model.Task) -> int:
        return jobs[task.job].body["steps"][task.step]["cpu"]

    events = seen.vm_fleet.events
    unknown = {event.task.job for event in events} - set(jobs)
    if unknown:
        return [f"job that nobody submitted: {id}" for id in sorted(unknown)]
    return [
        *taskhistory.check_task_runs(events, get_size, vmfleet.CPU),
        *_check_starts(seen, jobs),
        *_check_lasting(seen, jobs),
        *_check_answers(seen, jobs),
        *_check_breaks(seen),
        *_check_orders(seen),
        *_check_finals(seen),
    ]


def _check_starts(
    seen: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check order, times, attempts, refusals, cancellations and leaving workers."""
    faults = []
    done: set[model.Task] = set()
    failed: dict[model.Task, int] = {}
    to_wall = time.time() - http.read_clock()
    for event in seen.vm_fleet.events:
        job = jobs[event.task.job]
        if event.kind == "noted" and event.outcome == "failed":
            failed[event.task] = failed.get(event.task, 0) + 1
        if event.kind == "end" and event.outcome == "done":
            done.add(event.task)
        if event.kind != "start":
            continue
        if job.was_refused:
            faults.append(f"refused job started: {event}")
        if not _is_after(job, event.task, done):
            faults.append(f"started before an earlier step was done: {event}")
        if failed.get(event.task, 0) >= environment.MAX_ATTEMPTS and not job.lasts:
            faults.append(f"started after its last attempt: {event}")
        start = job.body.get("start_at_ms", 0) / 1000
        due = start + event.task.occurrence * job.body.get("interval_ms", 0) / 1000
        if event.time + to_wall < due - EARLY:
            faults.append(f"started {due - event.time - to_wall:.2f} s early: {event}")
        faults.extend(_check_late_start(seen, job, event))
    return faults


def _check_late_start(
    seen: Observations, job: caller.SubmittedJob, event: siteworker.Event
) -> list[str]:
    faults = []
    is_calm = not seen.is_disturbed(event.time - TOUCH, event.time)
    if job.cancelled and event.time > job.cancelled + CANCEL and is_calm:
        faults.append(
            f"started {event.time - job.cancelled:.1f} s after cancel: {event}"
        )
    drained = seen.vm_fleet.drained.get(event.worker)
    if drained and event.time > drained + DRAIN and is_calm:
        faults.append(f"started on a leaving worker: {event}")
    return faults


def _is_after(
    job: caller.SubmittedJob, task: model.Task, done: set[model.Task]
) -> bool:
    return all(
        task._replace(step=step, index=index) in done
        for step in job.body["steps"][task.step].get("after", ())
        for index in range(job.body["steps"][step]["count"])
    )


def _check_lasting(
    seen: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check that orders leave enough tasks of a lasting step at work."""
    faults = []
    away: dict[model.Task, tuple[float, str]] = {}
    for event in seen.vm_fleet.events:
        job = jobs[event.task.job]
        if not job.lasts:
            continue
        if event.kind == "start":
            away.pop(event.task, None)
        elif event.kind == "end" and away.get(event.task, ("", ""))[1] != "ordered":
            away[event.task] = (event.time, event.outcome)
        if event.kind != "ordered" or job.cancel_sent or _leaves(seen, event):
            continue
        away[event.task] = (event.time, "ordered")
        others = sum(
            1
            for task, (since, how) in away.items()
            if task.job == job.id and task != event.task
            and (how == "ordered" or event.time - since > NOTICE)
        )  # fmt: skip
        if others >= job.body["steps"][event.task.step]["may_miss"]:
            faults.append(f"ended with {others} others away: {event}")
    return faults


def _leaves(seen: Observations, event: siteworker.Event) -> bool:
    drained = seen.vm_fleet.drained.get(event.worker)
    return drained is not None and drained <= event.time


def _check_answers(
    seen: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check that accepted jobs stay known, and that refusals name a time."""
    faults = []
    for call in seen.calls:
        job = jobs[call.job]
        if call.status in (429, 503) and not call.has_time:
            faults.append(f"refused without a time to come back: {call}")
        if call.method != "GET" or call.status != 410 or not job.accepted:
            continue
        is_calm = not seen.is_disturbed(call.sent - TOUCH, call.ended, call.daemon)
        if call.sent > job.accepted + VISIBLE and not job.cancel_sent and is_calm:
            faults.append(f"accepted job isn't known: {call}")
    return faults


def _check_breaks(seen: Observations) -> list[str]:
    """Check that no answer breaks off but for a disturbance of its daemon."""
    return [
        f"answer broke off: {call}"
        for call in seen.calls
        if call.broke
        and call.broke != "ReadTimeout"
        and not seen.is_disturbed(call.sent - TOUCH, call.ended, call.daemon)
        and not _is_past_grace(seen, call)
    ]


def _is_past_grace(seen: Observations, call: caller.Call) -> bool:
    """Whether the daemon's process was killed since its grace was over."""
    return any(
        span.kind == "stop"
        and span.target == call.daemon
        and call.ended > span.begin + environment.GRACE - 0.1
        and call.sent < span.begin + environment.GRACE + 1
        for span in seen.spans
    )


def _check_orders(seen: Observations) -> list[str]:
    """Check waves' ceilings and that no fencing token has two holders."""
    faults = []
    holders: dict[tuple[str, int], str] = {}
    upkeeps: list[vmfleet.Order] = []
    for order in seen.vm_fleet.orders:
        known = holders.setdefault((order.vm, order.fence), order.holder)
        if known != order.holder:
            faults.append(f"two holders of one fencing token: {order}, {known}")
        if not order.wave:
            continue
        down = [
            one
            for one in upkeeps
            if one.wave == order.wave and order.time - one.time < vmfleet.REJOIN
        ]
        upkeeps.append(order)
        if down:
            faults.append(f"upkeep above the ceiling: {order} beside {down}")
    return faults


def _check_finals(seen: Observations) -> list[str]:
    """Check what became of every accepted job, once all faults are over."""
    faults = []
    ends: dict[str, set[model.Task]] = {}
    failures: dict[model.Task, int] = {}
    for event in seen.vm_fleet.events:
        if event.kind == "end" and event.outcome == "done":
            ends.setdefault(event.task.job, set()).add(event.task)
        elif event.kind == "end" and event.outcome == "failed":
            failures[event.task] = failures.get(event.task, 0) + 1
    spent = {
        task.job
        for task, count in failures.items()
        if count >= environment.MAX_ATTEMPTS
    }
    for job in seen.jobs:
        if not job.accepted:
            continue
        name = f"{job.id} of {job.queue.name}"
        if job.cancelled:
            faults.extend(_check_cancelled(seen, job, name))
            continue
        if job.lasts:
            faults.extend(_check_at_work(seen, job, name))
        elif not job.final:
            faults.append(f"accepted job never became final: {name}")
        if job.final == "completed" and len(ends.get(job.id, ())) < _count(job):
            faults.append(f"completed without all ends: {name}")
        if job.final == "failed" and job.id not in spent:
            faults.append(f"failed without a cause: {name}")
        if job.final == "cancelled" and not job.cancel_sent:
            faults.append(f"cancelled without being asked: {name}")
    return faults


def _count(job: caller.SubmittedJob) -> int:
    tasks = sum(step["count"] for step in job.body["steps"])
    return tasks * max(1, job.body.get("times", 0))


def _list_running(seen: Observations, job: caller.SubmittedJob) -> list[model.Task]:
    return [
        task
        for vm in seen.vm_fleet.vms.values()
        if vm.life is not None
        for task in vm.life.runs
        if task.job == job.id
    ]


def _check_cancelled(
    seen: Observations, job: caller.SubmittedJob, name: str
) -> list[str]:
    running = _list_running(seen, job)
    if running and seen.ended > (job.cancelled or 0.0) + CANCEL:
        return [f"cancelled job still runs: {name}: {running}"]
    return []


def _check_at_work(
    seen: Observations, job: caller.SubmittedJob, name: str
) -> list[str]:
    """Check that no task of a lasting job is away for long at the end.

    A wave that still goes on moves them, so that one may be away for a moment.
    """
    running = _list_running(seen, job)
    last = {
        one.task: one.time for one in seen.vm_fleet.events if one.task.job == job.id
    }
    return [
        f"lasting task {index} is away for {seen.ended - since:.1f} s: {name}"
        for index in range(job.body["steps"][0]["count"])
        if (task := model.Task(job.id, 0, 0, index)) not in running
        and (since := last.get(task, 0.0)) < seen.ended - AWAY
    ]
