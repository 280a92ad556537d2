"""The settings file that the platform provides to each process."""

import math
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
    """Time limits of the platform's rules, in seconds."""

    termination_grace: float
    """Time between SIGTERM and SIGKILL."""
    recovery: float
    """Time after the end of a disturbance until time limits apply again."""
    longest_lease: float
    """Longest lease that a worker grants."""
    stop_grace: float
    """Maximum time that stopping a task takes."""
    order_gap: float
    """Minimum time between the orders of two daemons about one VM."""
    gang_wait: float
    max_absence: float
    """A lasting task that is down for longer counts as down, whatever the cause."""
    final_retention: float
    """Time for which the state of a final job is kept for queries."""
    move_seconds: float
    maintenance_seconds: float
    configuration_deadline: float = 2.0
    """Maximum time from accepting a configuration until it is in force."""
    configuration_outage: float = 5.0
    """Time by which that limit is extended while the store fails."""
    revocation_deadline: float = math.inf
    """Maximum time from revoking a caller's key until it is refused, for daemons that
    are cut off too; infinite if those are exempt."""


class StoreRates(NamedTuple):
    """Limits of the store: calls per second of all daemons together, row size."""

    writes: float
    reads: float
    row_bytes: int
    has_cross_part_transactions: bool = True
    """Whether a transaction may span several parts."""


class NodeSettings(NamedTuple):
    """Identity, addresses and limits of a process."""

    name: str
    data_centre: str
    ip: str
    callers: str
    """Listen address for callers."""
    ready: str
    """Listen address for the load balancer's readiness checks."""
    store: str
    """Address of the row store."""
    fleet: str
    """Address of the API for VMs."""
    advice: str
    """Address of the advice service; may be empty."""
    entry_interval: float
    """Seconds between two writes of a worker's entry."""
    bounds: Bounds
    rates: StoreRates
    cores: float = 1.0
    """CPU cores that the process may use."""
    orders_per_second: float = 64.0
    """VM orders per second that the platform accepts from all daemons together."""
    relay_address: str = ""
    """Listen address for the store calls of peers; empty when they aren't relayed."""


class CheckResult(NamedTuple):
    """Settings as far as they are valid, and every problem."""

    settings: NodeSettings
    problems: tuple[str, ...]


def load(path: str | pathlib.Path) -> NodeSettings:
    """Load the settings file.

    Raises
    ------
    OSError
        If the file can't be read.
    ValueError
        If a required key is missing or a value is invalid; lists all problems.
    """
    checked = check(pathlib.Path(path).read_text(encoding="utf-8"))
    if checked.problems:
        raise ValueError(f"{path}: {'; '.join(checked.problems)}")
    return checked.settings


def is_node_file(text: str) -> bool:
    """Return whether a text has the format of this file rather than YAML."""
    lines = [line for line in text.splitlines() if line.strip()]
    return bool(lines) and all("=" in line.partition(":")[0] for line in lines)


def check(text: str) -> CheckResult:
    """Parse the text of the file and list every problem."""
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
            configuration_outage=reader.number("parameters.skew_max_ms", 5000) / 1000,
            revocation_deadline=_read_revocation_deadline(reader),
        ),
        rates=StoreRates(
            reader.number("platform.writes_per_s", 800),
            reader.number("platform.reads_per_s", 2000),
            int(reader.number("platform.row_bytes", 65536)),
            reader.flag("platform.across", True),
        ),
        cores=max(MIN_CORES, _read_cores(reader)),
        orders_per_second=reader.number("cloud_api.duty_per_s", 64.0),
        relay_address=_read_relay_address(reader),
    )
    return CheckResult(settings, tuple(reader.problems))


MIN_CORES = 0.01
"""Lower bound of the cores of a process; keeps divisions by it finite."""


def _read_cores(reader: "_Reader") -> float:
    share = reader.number("limits.cpu_share", 1.0)
    return share * reader.number("limits.cores", 1.0)


MIN_MACHINES_FOR_RELAY = 2
"""Number of machines that may fail at once from which on peers relay store calls."""


def _read_relay_address(reader: "_Reader") -> str:
    """Return the listen address for peers, or an empty text.

    Keys in a form that isn't known only leave this part inactive: the daemon doesn't
    need it to start.
    """
    ip, ports = reader.text("ip", ""), reader.text("port_range", "").split(",")
    machines = reader.text("fault_tolerance.machines", "")
    if not ip or len(ports) != 2 or not all(_is_port(port) for port in ports):
        return ""
    if not machines.isdecimal() or int(machines) < MIN_MACHINES_FOR_RELAY:
        return ""
    address = f"{ip}:{int(ports[0])}"
    used_keys = ("listen_addrs.frontend", "listen_addrs.ready")
    is_used = any(reader.text(key, "") == address for key in used_keys)
    return "" if is_used else address


def _is_port(text: str) -> bool:
    text = text.strip()
    return text.isascii() and text.isdecimal() and 0 < int(text) < 65536


def _read_revocation_deadline(reader: "_Reader") -> float:
    if not reader.flag("parameters.strict_revoke", False):
        return math.inf
    return reader.number("parameters.revoke_ms", 5000) / 1000


class _Reader:
    """Reads typed fields and collects every problem."""

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
    return {key.strip(): value.strip() for key, separator, value in pairs if separator}
