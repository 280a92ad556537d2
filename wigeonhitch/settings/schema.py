"""The settings of ``wigeonhitchd`` as typed records.

Limits are defined next to the code that they apply to, and only composed here.
Times are in seconds unless a name states another unit.
"""

import ipaddress
from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, Field

from wigeonhitch.front import application, sender
from wigeonhitch.membership import confirmation, core, transport
from wigeonhitch.operators import credential
from wigeonhitch.telemetry import trace

__all__ = [
    "Callers",
    "Daemon",
    "Operators",
    "Peers",
    "Platform",
    "Seed",
    "Settings",
    "Tls",
]


def _check_address(text: str) -> str:
    address = transport.parse_address(text)
    ipaddress.ip_address(address.host)
    if not 0 < address.port < 65536:
        raise ValueError(f"port {address.port}; expected 1 to 65535")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class Tls(NamedTuple):
    """Paths of PEM files: own certificate, its key, and the CA of the other side."""

    certificate: str
    key: str
    authority: str


class Daemon(NamedTuple):
    """Identity of this daemon and its shutdown timeout.

    Parameters
    ----------
    name : str
        Unique among the daemons; a replaced daemon takes a new name.
    vm : str
        The entry VM on which it runs, as named in the platform's VM list.
    data_centre : str
        Data centre of that VM.
    stop_within : float
        Seconds within which the process ends after SIGTERM, finishing the
        requests that it holds. At least the longest request.
    """

    name: Name
    vm: str
    data_centre: Name
    stop_within: Annotated[float, Field(gt=0)] = 75.0


class Callers(NamedTuple):
    """Listener for callers' requests; TLS without client certificates."""

    bind: Address
    tls: Tls | None = None
    limits: application.Limits = application.Limits()


class Operators(NamedTuple):
    """Listener for operators' requests and ``/metrics``, and the credentials."""

    bind: Address
    tls: Tls | None = None
    credentials: tuple[credential.Operator, ...] = ()


class Seed(NamedTuple):
    """A peer to contact before the table lists any."""

    name: Name
    address: Address


class Peers(NamedTuple):
    """Listener for peers; ``tls`` enables mutual TLS on all peer connections.

    ``advertise`` is the address that peers connect to, if it differs from ``bind``.
    """

    bind: Address
    advertise: Address | None = None
    seeds: tuple[Seed, ...] = ()
    tls: Tls | None = None
    limits: core.Limits = core.Limits()


class Platform(NamedTuple):
    """The platform's service; ``authority`` is a PEM file of the CA for ``https``."""

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    authority: str | None = None


class Workers(NamedTuple):
    """Connections to workers; ``authority`` is a PEM file of the CA for TLS."""

    authority: str | None = None
    limits: sender.Limits = sender.Limits()


class Log(NamedTuple):
    """Log settings."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(NamedTuple):
    """All settings of one daemon."""

    daemon: Daemon
    callers: Callers
    operators: Operators
    peers: Peers
    platform: Platform
    workers: Workers = Workers()
    drains: confirmation.Limits = confirmation.Limits()
    traces: trace.Settings = trace.Settings()
    log: Log = Log()
