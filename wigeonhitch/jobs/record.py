"""Durable rows of jobs, as compact JSON.

Each job has two rows. ``job`` holds the submission; it is written at acceptance and
at cancellation, and some time after the job is final it is replaced by the bare
final state. ``progress`` holds what the leader has recorded; it is written with each
batch of ended runs and holds the final state too. A ``progress`` row that would be
larger than the store accepts is written in another form, with tasks grouped by what is
recorded of them, and without what a successor can do without.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import orjson

from wigeonhitch.jobs import model, progress

__all__ = [
    "JobRecord",
    "has_given_up",
    "is_cancelled",
    "read_final",
    "read_job",
    "read_progress",
    "write_final",
    "write_job",
    "write_progress",
]

STEP_FLAGS = ("checkpoint", "gang", "same_rack", "speculative", "lasting", "fills")
STEP_VALUES = (
    "estimate",
    "label",
    "data_rack",
    "spread",
    "image",
    "target",
    "max_unavailable",
)

PROGRESS_FIELDS = frozenset(
    {
        "final",
        "started",
        "done",
        "failed",
        "saved",
        "crashed",
        "tested",
        "uncounted",
        "assigned",
        "given_up",
        "complete",
        "grouped",
    }
)
"""Fields of a progress row that this version reads."""


class JobRecord(NamedTuple):
    """Content of a job row: an open job, or only the final state of one.

    ``finished`` is the store's time in seconds when the row was reduced to the final
    state, ``pool`` the pool that accepted the job. ``path`` is the path by which it was
    submitted; rows of earlier versions have none. ``is_withdrawn`` means that the job
    was cancelled before any daemon had accepted it, so that there never was one.
    """

    job: model.Job | None
    accepted: float
    cancelled: bool
    final: model.JobState | None = None
    finished: float = 0.0
    pool: str = ""
    path: model.RoutePath = model.UNKNOWN_PATH
    is_withdrawn: bool = False


def write_job(
    job: model.Job,
    pool: str,
    accepted: float,
    cancelled: bool = False,
    path: model.RoutePath = model.UNKNOWN_PATH,
) -> bytes:
    """Return the row of an open job; ``accepted`` is a Unix time."""
    row: dict[str, Any] = {
        "pool": pool,
        "queue": job.queue,
        "spec": job.spec,
        "steps": [_write_step(step) for step in job.steps],
        "accepted": round(accepted, 3),
    }
    if job.times:
        row["times"] = [job.times, job.first_due, job.interval]
    if job.attempts > 1:
        row["attempts"] = job.attempts
    if job.terms != model.Terms():
        row["terms"] = list(job.terms)
    if job.is_advised:
        row["advised"] = True
    if path != model.UNKNOWN_PATH:
        row["path"] = list(path)
    if job.team:
        row["team"] = job.team
    if cancelled:
        row["cancelled"] = True
    return orjson.dumps(row)


def write_final(
    state: model.JobState, pool: str, finished: float, *, is_withdrawn: bool = False
) -> bytes:
    """Return the row that replaces the job's row once the job is final.

    Earlier versions don't read that a job is withdrawn, and show its state.
    """
    row: dict[str, Any] = {"pool": pool, "final": state.value}
    row["finished"] = round(finished, 3)
    if is_withdrawn:
        row["withdrawn"] = True
    return orjson.dumps(row)


def read_job(id: str, value: bytes) -> JobRecord:
    """Read a job row.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the row wasn't written by `write_job` or `write_final`.
    """
    row = orjson.loads(value)
    if "final" in row:
        state = model.JobState(row["final"])
        stored = JobRecord(None, 0.0, False, state, row["finished"], row["pool"])
        return stored._replace(is_withdrawn=row.get("withdrawn", False))
    times, first_due, interval = row.get("times", (0, 0.0, 0.0))
    steps = tuple(_read_step(fields) for fields in row["steps"])
    schedule = (times, first_due, interval)
    terms = model.Terms(*row.get("terms", ()))
    policy = (row.get("attempts", 1), row.get("advised", False), terms)
    team = row.get("team", "")
    job = model.Job(id, row["queue"], row["spec"], steps, *schedule, *policy, team)
    cancelled = row.get("cancelled", False)
    path = model.RoutePath(*row.get("path", ()))
    return JobRecord(job, row["accepted"], cancelled, pool=row["pool"], path=path)


def is_cancelled(value: bytes) -> bool:
    """Return whether a job row is marked as cancelled."""
    return orjson.loads(value).get("cancelled", False)


def write_progress(state: progress.Progress, max_bytes: float = math.inf) -> bytes:
    """Return the progress row of a job; once it is final, only its final state.

    Parameters
    ----------
    state : progress.Progress
        The progress.
    max_bytes : float
        Largest size of a row that the store accepts, in bytes.
    """
    if state.final is not None:
        return orjson.dumps({"final": state.final.value})
    failed = _keep_undone(state, state.failed_runs)
    saved = _keep_undone(state, state.checkpoints)
    row: dict[str, Any] = {"started": state.started, "done": _write_sets(state.done)}
    row["failed"] = {_write_task(t): sorted(runs) for t, runs in failed.items()}
    row["saved"] = {_write_task(t): text for t, text in saved.items()}
    crashed = {_write_task(t): sorted(vms) for t, vms in state.crashed_vms.items()}
    assigned = {_write_task(t): vm for t, vm in state.assigned_vms.items()}
    tested = {_write_task(t): sorted(vms) for t, vms in state.test_crashes.items()}
    row.update(crashed=crashed, assigned=assigned, tested=tested)
    row["uncounted"] = _write_tasks(state.maybe_uncounted)
    row["given_up"] = _write_tasks(state.given_up)
    value = _dump_progress(state, row)
    if len(value) <= max_bytes:
        return value
    return _write_large(state, row, max_bytes)


def _write_large(
    state: progress.Progress, row: dict[str, Any], max_bytes: float
) -> bytes:
    """Return a progress row of bounded size.

    A successor can do without checkpoints, of which as many are kept as fit, and if
    need be without what is recorded of crashes.
    """
    complete, partly_done = _split_done(state)
    failed = _keep_undone(state, state.failed_runs)
    grouped = {
        "crashed": _group(state.crashed_vms),
        "assigned": _group({t: [vm] for t, vm in state.assigned_vms.items()}),
        "tested": _group(state.test_crashes),
        "failed": _group({t: map(str, runs) for t, runs in failed.items()}),
    }
    kept = ("started", "uncounted", "given_up")
    large = {name: row[name] for name in kept}
    large |= {"done": _write_sets(partly_done), "complete": complete}
    value = _dump_progress(state, large | {"grouped": grouped})
    for name in ("tested", "assigned", "crashed"):
        if len(value) <= max_bytes:
            break
        del grouped[name]
        value = _dump_progress(state, large | {"grouped": grouped})
    saved: dict[str, str] = {}
    free = max_bytes - len(value) - len(b',"saved":{}')
    for key, text in row["saved"].items():
        free -= len(orjson.dumps({key: text}))
        if free < 0:
            break
        saved[key] = text
    return _dump_progress(state, large | {"grouped": grouped, "saved": saved})


def _dump_progress(state: progress.Progress, row: dict[str, Any]) -> bytes:
    known = {key: part for key, part in row.items() if part}
    return orjson.dumps(state.unknown_fields | known)


def _keep_undone(
    state: progress.Progress, values: dict[model.Task, Any]
) -> dict[model.Task, Any]:
    """Return what is recorded of tasks that may run again."""
    done = state.done
    if not done:
        return values
    return {
        task: value
        for task, value in values.items()
        if task.index not in done.get((task.occurrence, task.step), ())
    }


def _split_done(
    state: progress.Progress,
) -> tuple[list[tuple[int, int]], dict[tuple[int, int], set[int]]]:
    """Return ranges of complete occurrences, and the completed tasks of others."""
    steps = range(len(state.job.steps))
    complete = {
        occurrence
        for occurrence in {occurrence for occurrence, _ in state.done}
        if all(state.is_step_done(occurrence, step) for step in steps)
    }
    ranges: list[tuple[int, int]] = []
    for occurrence in sorted(complete):
        if ranges and ranges[-1][1] == occurrence - 1:
            ranges[-1] = (ranges[-1][0], occurrence)
        else:
            ranges.append((occurrence, occurrence))
    partly = {key: done for key, done in state.done.items() if key[0] not in complete}
    return ranges, partly


def _group(names: dict[model.Task, Iterable[str]]) -> dict[str, dict[str, str]]:
    """Return the tasks by each name that is recorded of them."""
    tasks: dict[str, list[model.Task]] = {}
    for task, recorded in names.items():
        for name in recorded:
            tasks.setdefault(name, []).append(task)
    return {name: _write_tasks(group) for name, group in sorted(tasks.items())}


def read_final(value: bytes) -> model.JobState | None:
    """Return the final state in a progress row, or None while the job is open."""
    final = orjson.loads(value).get("final")
    return model.JobState(final) if final else None


def read_finished(value: bytes) -> float | None:
    """Return the time in the row of a final job, or None for that of an open one."""
    return orjson.loads(value).get("finished")


def has_given_up(value: bytes) -> bool:
    """Return whether a progress row names tasks that are never started again."""
    return bool(orjson.loads(value).get("given_up"))


def read_progress(state: progress.Progress, value: bytes) -> None:
    """Update ``state`` from a progress row.

    Fields that a newer version has added are kept for the next write.
    """
    state.final = read_final(value)
    state.is_final_durable = state.final is not None
    row = orjson.loads(value)
    state.unknown_fields = {k: v for k, v in row.items() if k not in PROGRESS_FIELDS}
    state.started = row.get("started", False)
    state.done.update(_read_sets(row.get("done", {})))
    for key, runs in row.get("failed", {}).items():
        state.failed_runs[_read_task(state.job.id, key)] = set(runs)
    for key, text in row.get("saved", {}).items():
        state.checkpoints[_read_task(state.job.id, key)] = text
    for key, vms in row.get("crashed", {}).items():
        state.crashed_vms[_read_task(state.job.id, key)] = set(vms)
    for key, vms in row.get("tested", {}).items():
        state.test_crashes[_read_task(state.job.id, key)] = set(vms)
    state.maybe_uncounted.update(_read_tasks(state.job.id, row.get("uncounted", {})))
    state.given_up.update(_read_tasks(state.job.id, row.get("given_up", {})))
    for key, vm in row.get("assigned", {}).items():
        state.assigned_vms[_read_task(state.job.id, key)] = vm
    for first, last in row.get("complete", ()):
        for occurrence in range(first, last + 1):
            for number, step in enumerate(state.job.steps):
                state.done[occurrence, number] = set(range(step.count))
    grouped = row.get("grouped", {})
    for run, task in _read_groups(state, grouped, "failed"):
        state.failed_runs.setdefault(task, set()).add(int(run))
    for vm, task in _read_groups(state, grouped, "crashed"):
        state.crashed_vms.setdefault(task, set()).add(vm)
    for vm, task in _read_groups(state, grouped, "tested"):
        state.test_crashes.setdefault(task, set()).add(vm)
    for vm, task in _read_groups(state, grouped, "assigned"):
        state.assigned_vms[task] = vm


def _read_groups(
    state: progress.Progress, grouped: dict[str, Any], kind: str
) -> Iterator[tuple[str, model.Task]]:
    for name, sets in grouped.get(kind, {}).items():
        for task in _read_tasks(state.job.id, sets):
            yield name, task


def _write_step(step: model.Step) -> dict[str, Any]:
    row: dict[str, Any] = {"count": step.count, "room": list(step.room)}
    if step.after:
        row["after"] = list(step.after)
    for name in (*STEP_FLAGS, *STEP_VALUES):
        if value := getattr(step, name):
            row[name] = value
    return row


def _read_step(fields: dict[str, Any]) -> model.Step:
    rest = dict(fields)
    room = model.Room(*rest.pop("room"))
    after = tuple(rest.pop("after", ()))
    return model.Step(room=room, after=after, **rest)


def _write_task(task: model.Task) -> str:
    return f"{task.occurrence}.{task.step}.{task.index}"


def _read_task(job: str, key: str) -> model.Task:
    occurrence, step, index = key.split(".")
    return model.Task(job, int(occurrence), int(step), int(index))


def _write_sets(sets: dict[tuple[int, int], set[int]]) -> dict[str, str]:
    return {f"{k}.{step}": _write_set(indices) for (k, step), indices in sets.items()}


def _read_sets(fields: dict[str, str]) -> dict[tuple[int, int], set[int]]:
    sets = {}
    for key, mask in fields.items():
        occurrence, step = key.split(".")
        sets[int(occurrence), int(step)] = _read_set(mask)
    return sets


def _write_tasks(tasks: Iterable[model.Task]) -> dict[str, str]:
    sets: dict[tuple[int, int], set[int]] = {}
    for task in tasks:
        sets.setdefault((task.occurrence, task.step), set()).add(task.index)
    return _write_sets(sets)


def _read_tasks(job: str, fields: dict[str, str]) -> Iterator[model.Task]:
    for (occurrence, step), indices in _read_sets(fields).items():
        for index in indices:
            yield model.Task(job, occurrence, step, index)


def _write_set(indices: set[int]) -> str:
    return format(sum(1 << index for index in indices), "x")


def _read_set(mask: str) -> set[int]:
    bits = int(mask, 16)
    return {index for index in range(bits.bit_length()) if bits >> index & 1}
