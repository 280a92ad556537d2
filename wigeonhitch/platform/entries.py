"""Decoding of the entries that operators and workers write into the store.

An entry may come from a foreign writer: fields may be missing or of another
type, and the bytes may not be JSON. Such an entry is rejected with a reason,
and the other entries stay valid.
"""

import ipaddress
import re
from typing import Any, NamedTuple

import orjson

from wigeonhitch.jobs import credential, model
from wigeonhitch.platform import field

__all__ = [
    "CATALOGUE_KEY",
    "OPERATOR_TABLE",
    "STATUS_TABLE",
    "WORKER_TABLE",
    "InvalidEntry",
    "WaveOrder",
    "WorkerEntry",
    "get_wave_key",
    "has_replaced",
    "name_incarnation",
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

_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._-]+):([0-9]{1,5})")
"""Host or literal IP address, and port."""

MAX_PORT = 65535


class InvalidEntry(NamedTuple):
    """Key of an entry that can't be decoded, with the reason."""

    key: str
    reason: str


class WorkerEntry(NamedTuple):
    """Registration of a worker, which is one incarnation of a VM.

    ``clock`` is the worker's monotonic clock in seconds at the time of writing,
    or None. ``remaining`` is the minimum time in seconds until a leaving worker
    ends. ``start_ms`` is the Unix time in milliseconds of the worker's start, 0 where
    workers don't report it. It only identifies an incarnation: a later one may report
    an earlier time, or the same. ``restarts`` counts the restarts with the same time
    that a leader has noticed.
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
    start_ms: int = 0
    restarts: int = 0

    @property
    def incarnation(self) -> str:
        """Name of this incarnation of the worker."""
        name = self.reported_incarnation
        return f"{name}.{self.restarts}" if self.restarts else name

    @property
    def reported_incarnation(self) -> str:
        """Name of all incarnations of the worker that report the same start."""
        return name_incarnation(self.id, self.start_ms)


class WaveOrder(NamedTuple):
    """An operator's order to maintain VMs, at most ``ceiling`` at once.

    ``duration`` is the time in seconds in which the wave should complete.
    """

    number: int
    vms: tuple[str, ...]
    duration: float
    ceiling: int


def read_worker(key: str, value: bytes) -> WorkerEntry | InvalidEntry:
    """Decode a worker's registration.

    An entry names a worker only if calls to it can be made: its id goes into a header,
    and a host that can't be resolved is an error of the client and not of a call.
    """
    try:
        if not key.isprintable():
            return InvalidEntry(key, "id with control characters")
        fields = orjson.loads(value)
        state = fields["state"]
        if state not in ("ready", "draining"):
            return InvalidEntry(key, f"state {state!r}; expected ready or draining")
        clock = fields.get("clock_ms")
        remaining = fields.get("remaining_ms")
        return WorkerEntry(
            key,
            field.read_text(fields["service"]),
            _read_address(fields["address"]),
            field.read_text(fields.get("zone", "")),
            state == "draining",
            _read_capacity(fields["capacity"]),
            tuple(
                field.read_text(label)
                for label in field.read_list(fields.get("labels", []))
            ),
            None if clock is None else field.read_number(clock) / 1000,
            None if remaining is None else field.read_number(remaining) / 1000,
            field.read_start(fields),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(key, f"{type(error).__name__}: {error}")


def name_incarnation(id: str, start_ms: int) -> str:
    """Return the name of one incarnation of a worker.

    It is the worker's id, followed by the time of the start where workers report it:
    there a worker may be restarted under its id.
    """
    return f"{id}@{start_ms}" if start_ms else id


def has_replaced(name: str, former: str) -> bool:
    """Return whether the worker ``former`` has ended if its VM is up with ``name``.

    That is the case for a worker with another id. Two starts under one id prove
    nothing: the time of day may go back between them, and the name may come from an
    entry that was written late or by a foreign writer.
    """
    return _remove_start(name) != _remove_start(former)


def _remove_start(name: str) -> str:
    id, separator, start_ms = name.rpartition("@")
    return id if separator and start_ms.isdigit() else name


def read_room(fields: dict[str, Any]) -> model.Room:
    """Decode the CPU, memory and GPUs of a VM or a task."""
    return model.Room(
        int(fields.get("cpu", 0)),
        int(fields.get("mem_mb", 0)),
        int(fields.get("gpus", 0)),
    )


def read_catalogue(value: bytes) -> model.Catalogue | InvalidEntry:
    """Decode the operators' configuration."""
    try:
        fields = orjson.loads(value)
        limits = fields.get("limits") or {}
        has_teams = "tenants" in fields
        return model.Catalogue(
            int(fields["version"]),
            tuple(_read_queue(route, has_teams) for route in fields["routes"]),
            tuple(_read_pool(service) for service in fields["services"]),
            int(limits.get("body_bytes", 262144)),
            tuple(_read_team(tenant) for tenant in fields.get("tenants") or ()),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(CATALOGUE_KEY, f"{type(error).__name__}: {error}")


def read_wave(key: str, value: bytes) -> WaveOrder | InvalidEntry:
    """Decode the order of a maintenance wave."""
    try:
        fields = orjson.loads(value)
        return WaveOrder(
            int(fields["wave"]),
            tuple(field.read_text(vm) for vm in fields["machines"]),
            float(fields["duration_s"]),
            max(1, int(fields["ceiling"])),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidEntry(key, f"{type(error).__name__}: {error}")


def write_wave_status(completed: bool) -> bytes:
    """Encode the status of a wave for operators."""
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
    """Return the number in the key of a wave's row, None for any other key."""
    prefix, _, number = key.rpartition("/")
    return int(number) if prefix == "wave" and number.isdigit() else None


def _read_team(fields: dict[str, Any]) -> model.Team:
    return model.Team(
        field.read_text(fields["name"]),
        _read_keys(fields.get("api_keys") or []),
        float(fields.get("weight") or 1),
        read_room(fields.get("ceiling") or {}),
    )


def _read_keys(keys: Any) -> frozenset[bytes]:
    """Return the digests of a team's keys; no message holds any of them."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise TypeError("api_keys of a team; expected a list of texts")
    return frozenset(credential.compute_digest(key) for key in keys)


def _read_queue(fields: dict[str, Any], has_teams: bool) -> model.Queue:
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
        is_anonymous=bool(fields.get("allow_anonymous", not has_teams)),
    )


def _read_pool(fields: dict[str, Any]) -> model.Pool:
    return model.Pool(
        fields["name"],
        bool(fields.get("standby", False)),
        bool(fields.get("admission_control", False)),
    )


def _read_address(value: Any) -> str:
    """Return an address to which a connection can be attempted."""
    text = field.read_text(value)
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError(f"address {text!r}; expected a host and a port")
    if match[1].startswith("["):
        ipaddress.IPv6Address(match[1][1:-1])
    else:
        match[1].encode("idna")
    return text


def _read_capacity(fields: Any) -> model.Room:
    """Decode what a worker says of its capacity."""
    names = ("cpu", "mem_mb", "gpus")
    return read_room({name: field.read_number(fields.get(name, 0)) for name in names})
