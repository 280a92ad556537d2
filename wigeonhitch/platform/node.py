"""The settings file that the platform lays beside each process."""

import pathlib
from typing import NamedTuple

__all__ = [
    "NODE_FILE_VARIABLE",
    "Bounds",
    "CheckResult",
    "NodeSettings",
    "StoreRates",
    "check",
    "is_node_file",
    "load",
]

NODE_FILE_VARIABLE = "WIGEONHITCH_NODE_FILE"
"""Environment variable that holds the path of the file."""


class Bounds(NamedTuple):
    """Times that the users' rules set, in seconds."""

    termination_grace: float
    """From SIGTERM to SIGKILL."""
    recovery: float
    """After the end of a disturbance until time bounds hold again."""
    longest_lease: float
    """Longest lease that a worker grants."""
    stop_grace: float
    """Longest time that stopping a task takes."""
    order_gap: float
    """Two daemons don't order about one VM within this time."""
    gang_wait: float
    max_absence: float
    """A lasting task away for longer counts as away for any cause."""
    final_retention: float
    """How long a final job can still be asked for."""
    move_seconds: float
    maintenance_seconds: float
    configuration_deadline: float = 2.0
    """From the acknowledgement of a configuration until it has to be in force."""


class StoreRates(NamedTuple):
    """Calls a second that all daemons together may make."""

    writes: float
    reads: float
    row_bytes: int
    has_cross_part_transactions: bool = True
    """Whether a transaction may go across parts."""


class NodeSettings(NamedTuple):
    """What a process learns of itself and of its surroundings."""

    name: str
    data_centre: str
    ip: str
    callers: str
    """Address that callers' connections arrive at."""
    ready: str
    """Address that the balancer asks for readiness."""
    store: str
    fleet: str
    """Address of the calls on machines."""
    advice: str
    """Address of the advice service; may be empty."""
    entry_interval: float
    """Seconds between two writings of a worker's entry."""
    bounds: Bounds
    rates: StoreRates
    cores: float = 1.0
    """Processors that the process may use."""
    orders_per_second: float = 64.0
    """Orders about VMs that the platform takes from all daemons together."""


class CheckResult(NamedTuple):
    """Settings as far as they could be read, and every problem."""

    settings: NodeSettings
    problems: tuple[str, ...]


def load(path: str | pathlib.Path) -> NodeSettings:
    """Read the file.

    Raises
    ------
    OSError
        If the file can't be read.
    ValueError
        If a needed key is missing or isn't a number; every fault is named.
    """
    checked = check(pathlib.Path(path).read_text(encoding="utf-8"))
    if checked.problems:
        raise ValueError(f"{path}: {'; '.join(checked.problems)}")
    return checked.settings


def is_node_file(text: str) -> bool:
    """Whether a text has the form of this file and not of YAML."""
    lines = [line for line in text.splitlines() if line.strip()]
    return bool(lines) and all("=" in line.partition(":")[0] for line in lines)


def check(text: str) -> CheckResult:
    """Read the text of the file; every problem is named."""
    reader = _Reader(_split(text))
    settings = NodeSettings(
        name=reader.text("node_name"),
        data_centre=reader.text("zone"),
        ip=reader.text("ip"),
        callers=reader.text("listen_addrs.frontend"),
        ready=reader.text("listen_addrs.ready"),
        store=reader.text("platform.address"),
        fleet=reader.text("cloud_api.address", ""),
        advice=reader.text("hint", ""),
        entry_interval=reader.number("heartbeat_ms", 1500) / 1000,
        bounds=Bounds(
            termination_grace=reader.number("parameters.grace_s", 6),
            recovery=reader.number("parameters.contact_ms", 3000) / 1000,
            longest_lease=reader.number("parameters.hold_max_ms", 10000) / 1000,
            stop_grace=reader.number("parameters.kill_grace_ms", 1000) / 1000,
            order_gap=reader.number("parameters.lease_ms", 3000) / 1000,
            gang_wait=reader.number("parameters.gang_wait_ms", 3000) / 1000,
            max_absence=reader.number("parameters.notice_ms", 4500) / 1000,
            final_retention=reader.number("parameters.status_s", 120),
            move_seconds=reader.number("parameters.migrate_s", 1.5),
            maintenance_seconds=reader.number("parameters.maintenance_s", 2),
            configuration_deadline=reader.number("parameters.config_apply_ms", 2000)
            / 1000,
        ),
        rates=StoreRates(
            reader.number("platform.writes_per_s", 800),
            reader.number("platform.reads_per_s", 2000),
            int(reader.number("platform.row_bytes", 65536)),
            reader.flag("platform.across", True),
        ),
        cores=max(MIN_CORES, _read_cores(reader)),
        orders_per_second=reader.number("cloud_api.duty_per_s", 64.0),
    )
    return CheckResult(settings, tuple(reader.problems))


MIN_CORES = 0.01
"""Processors that a process has at least; keeps shares of them finite."""


def _read_cores(reader: "_Reader") -> float:
    share = reader.number("limits.cpu_share", 1.0)
    return share * reader.number("limits.cores", 1.0)


class _Reader:
    """Takes fields and remembers every fault."""

    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields
        self.problems: list[str] = []

    def text(self, key: str, default: str | None = None) -> str:
        value = self._fields.get(key, default)
        if value is None:
            self.problems.append(f"{key} is missing; expected a text")
            return ""
        return value

    def flag(self, key: str, default: bool) -> bool:
        text = self._fields.get(key, "")
        if text not in ("", "true", "false"):
            self.problems.append(f"{key} is {text!r}; expected true or false")
        return text == "true" if text else default

    def number(self, key: str, default: float) -> float:
        text = self._fields.get(key, "")
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            self.problems.append(f"{key} is {text!r}; expected a number")
            return default


def _split(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines())
    return {key.strip(): value.strip() for key, mark, value in pairs if mark}
