"""The durable rows of jobs, as compact JSON.

Two rows a job: ``job`` holds what was submitted and is written at acceptance,
when cancelled, and, some time after it is final, as the bare state;
``progress`` holds what the leader has noted and is written with each group of
ends, the final state too.
"""

from typing import Any, NamedTuple

import orjson

from wigeonhitch.jobs import model, progress

__all__ = [
    "JobRecord",
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


class JobRecord(NamedTuple):
    """A job row as read: an open job, or only the final state of one.

    ``finished`` is the store's time in seconds at which it became final, ``pool`` the
    pool that accepted it.
    """

    job: model.Job | None
    accepted: float
    cancelled: bool
    final: model.JobState | None = None
    finished: float = 0.0
    pool: str = ""


def write_job(
    job: model.Job, pool: str, accepted: float, cancelled: bool = False
) -> bytes:
    """Return the row of an open job; ``accepted`` in seconds since 1970."""
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
    if cancelled:
        row["cancelled"] = True
    return orjson.dumps(row)


def write_final(state: model.JobState, pool: str, finished: float) -> bytes:
    """Return the row that is left of a job once it is final."""
    row = {"pool": pool, "final": state.value, "finished": round(finished, 3)}
    return orjson.dumps(row)


def read_job(id: str, value: bytes) -> JobRecord:
    """Read a job row.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the row isn't one that `write_job` or `write_final` wrote.
    """
    row = orjson.loads(value)
    if "final" in row:
        state = model.JobState(row["final"])
        return JobRecord(None, 0.0, False, state, row["finished"], row["pool"])
    times, first_due, interval = row.get("times", (0, 0.0, 0.0))
    steps = tuple(_read_step(fields) for fields in row["steps"])
    due = (times, first_due, interval)
    terms = model.Terms(*row.get("terms", ()))
    kept = (row.get("attempts", 1), row.get("advised", False), terms)
    job = model.Job(id, row["queue"], row["spec"], steps, *due, *kept)
    cancelled = row.get("cancelled", False)
    return JobRecord(job, row["accepted"], cancelled, pool=row["pool"])


def is_cancelled(value: bytes) -> bool:
    """Whether a job row has the mark of a cancellation."""
    return orjson.loads(value).get("cancelled", False)


def write_progress(state: progress.Progress) -> bytes:
    """Return the row of what was noted of a job; of a final one, its state."""
    if state.final is not None:
        return orjson.dumps({"final": state.final.value})
    done = {
        f"{occurrence}.{step}": _write_set(indices)
        for (occurrence, step), indices in state.done.items()
    }
    failed = {_write_task(t): sorted(runs) for t, runs in state.failed_runs.items()}
    saved = {_write_task(t): text for t, text in state.checkpoints.items()}
    row = {"started": state.started, "done": done, "failed": failed, "saved": saved}
    return orjson.dumps({key: part for key, part in row.items() if part})


def read_final(value: bytes) -> model.JobState | None:
    """Return the final state in a progress row, or None while it is open."""
    final = orjson.loads(value).get("final")
    return model.JobState(final) if final else None


def read_progress(state: progress.Progress, value: bytes) -> None:
    """Put what a progress row says into ``state``."""
    state.final = read_final(value)
    state.is_final_durable = state.final is not None
    row = orjson.loads(value)
    state.started = row.get("started", False)
    for key, mask in row.get("done", {}).items():
        occurrence, step = key.split(".")
        state.done[int(occurrence), int(step)] = _read_set(mask)
    for key, runs in row.get("failed", {}).items():
        state.failed_runs[_read_task(state.job.id, key)] = set(runs)
    for key, text in row.get("saved", {}).items():
        state.checkpoints[_read_task(state.job.id, key)] = text


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


def _write_set(indices: set[int]) -> str:
    return format(sum(1 << index for index in indices), "x")


def _read_set(mask: str) -> set[int]:
    bits = int(mask, 16)
    return {index for index in range(bits.bit_length()) if bits >> index & 1}
