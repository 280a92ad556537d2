"""Decoding of what the operator and the workers write into the store.

An entry may come from another writer: fields missing or of another type, or
bytes that can't be read. Such an entry is refused with a reason, and the
others hold.
"""

from typing import Any, NamedTuple

import orjson

from wigeonhitch.jobs import model

__all__ = [
    "CATALOGUE_KEY",
    "OPERATOR_TABLE",
    "STATUS_TABLE",
    "WORKER_TABLE",
    "InvalidEntry",
    "WaveOrder",
    "WorkerEntry",
    "get_wave_key",
    "read_catalogue",
    "read_wave",
    "read_wave_number",
    "read_wave_status",
    "read_worker",
    "write_wave_status",
]

OPERATOR_TABLE = "op"
WORKER_TABLE = "servers"
STATUS_TABLE = "status"
CATALOGUE_KEY = "config"
WAVE_PREFIX = "wave/"


class InvalidEntry(NamedTuple):
    """An entry that can't be used, and why."""

    key: str
    reason: str


class WorkerEntry(NamedTuple):
    """A worker as it registers itself; one life of a VM.

    ``clock`` is the worker's steady clock in seconds when it wrote; it may be
    None. ``remaining`` is the least time in seconds that a leaving worker has.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    leaving: bool
    room: model.Room
    labels: tuple[str, ...]
    clock: float | None = None
    remaining: float | None = None


class WaveOrder(NamedTuple):
    """An operator's order to maintain VMs, at most ``ceiling`` at once.

    ``duration`` is the time in seconds in which the wave should be through.
    """

    number: int
    vms: tuple[str, ...]
    duration: float
    ceiling: int


def read_worker(key: str, value: bytes) -> WorkerEntry | InvalidEntry:
    """Read a worker's entry."""
    try:
        fields = orjson.loads(value)
        state = fields["state"]
        if state not in ("ready", "draining"):
            return InvalidEntry(key, f"state {state!r}; expected ready or draining")
        clock = fields.get("clock_ms")
        remaining = fields.get("remaining_ms")
        return WorkerEntry(
            key,
            _read_text(fields["service"]),
            _read_text(fields["address"]),
            _read_text(fields.get("zone", "")),
            state == "draining",
            read_room(fields["capacity"]),
            tuple(_read_text(one) for one in fields.get("labels", ())),
            None if clock is None else float(clock) / 1000,
            None if remaining is None else float(remaining) / 1000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(key, f"{type(error).__name__}: {error}")


def read_room(fields: dict[str, Any]) -> model.Room:
    """Read what a VM or a task has of processors, memory and accelerators."""
    return model.Room(
        int(fields.get("cpu", 0)),
        int(fields.get("mem_mb", 0)),
        int(fields.get("gpus", 0)),
    )


def read_catalogue(value: bytes) -> model.Catalogue | InvalidEntry:
    """Read the operator's configuration."""
    try:
        fields = orjson.loads(value)
        limits = fields.get("limits") or {}
        return model.Catalogue(
            int(fields["version"]),
            tuple(_read_queue(one) for one in fields["routes"]),
            tuple(_read_pool(one) for one in fields["services"]),
            int(limits.get("body_bytes", 262144)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(CATALOGUE_KEY, f"{type(error).__name__}: {error}")


def read_wave(key: str, value: bytes) -> WaveOrder | InvalidEntry:
    """Read an order of a wave."""
    try:
        fields = orjson.loads(value)
        return WaveOrder(
            int(fields["wave"]),
            tuple(_read_text(one) for one in fields["machines"]),
            float(fields["duration_s"]),
            max(1, int(fields["ceiling"])),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(key, f"{type(error).__name__}: {error}")


def write_wave_status(completed: bool) -> bytes:
    """Return what operators read of a wave."""
    return orjson.dumps({"state": "completed" if completed else "running"})


def read_wave_status(value: bytes) -> bool:
    """Return whether a wave's row says that it is completed."""
    try:
        return orjson.loads(value)["state"] == "completed"
    except (ValueError, KeyError, TypeError):
        return False


def get_wave_key(number: int) -> str:
    """Return the key of a wave's row."""
    return f"{WAVE_PREFIX}{number}"


def read_wave_number(key: str) -> int | None:
    """Return the number in the key of a wave's row, if it is one."""
    prefix, _, number = key.rpartition("/")
    return int(number) if prefix == "wave" and number.isdigit() else None


def _read_queue(fields: dict[str, Any]) -> model.Queue:
    hint = fields.get("hint")
    advice = None
    if hint:
        advice = model.Advice(
            float(hint.get("decide_ms", 0)) / 1000,
            float(hint.get("each_ms", 0)) / 1000,
            float(hint.get("validity_ms", 0)) / 1000,
        )
    return model.Queue(
        name=fields["name"],
        host=fields["host"],
        prefix=fields["path_prefix"],
        pool=fields["service"],
        priority=int(fields.get("priority", 0)),
        max_attempts=int(fields.get("max_attempts", 1)),
        stretch=float(fields.get("stretch", 1)),
        objective=float(fields.get("slo_ms", 0)) / 1000,
        timeout=float(fields.get("timeout_ms", 0)) / 1000,
        advice=advice,
    )


def _read_pool(fields: dict[str, Any]) -> model.Pool:
    return model.Pool(
        fields["name"],
        bool(fields.get("standby", False)),
        bool(fields.get("admission_control", False)),
    )


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r}; expected a text")
    return value
