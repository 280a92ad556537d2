"""The settings of ``wigeonhitchd`` as typed records.

Limits are declared beside the code they limit and only gathered here. Every
time is in seconds unless its name says otherwise.
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
    """PEM files: own certificate, its key, and the authority of the others."""

    certificate: str
    key: str
    authority: str


class Daemon(NamedTuple):
    """Who this daemon is.

    Parameters
    ----------
    name : str
        Unique among the daemons; a replaced daemon takes a new name.
    vm : str
        The entry VM it runs on, as the platform's VM list names it.
    data_centre : str
        Where that VM is.
    stop_within : float
        Seconds in which SIGTERM ends the process: the requests it holds are
        finished up to then. At least the longest request.
    """

    name: Name
    vm: str
    data_centre: Name
    stop_within: Annotated[float, Field(gt=0)] = 75.0


class Callers(NamedTuple):
    """Where callers' requests arrive; TLS without client certificates."""

    bind: Address
    tls: Tls | None = None
    limits: application.Limits = application.Limits()


class Operators(NamedTuple):
    """Where operators' requests and ``/metrics`` arrive, and who they are."""

    bind: Address
    tls: Tls | None = None
    credentials: tuple[credential.Operator, ...] = ()


class Seed(NamedTuple):
    """A peer to talk to before the table has named any."""

    name: Name
    address: Address


class Peers(NamedTuple):
    """Where peers connect; ``tls`` makes all of it mutual TLS.

    ``advertise`` is the address that peers use, if it isn't ``bind``.
    """

    bind: Address
    advertise: Address | None = None
    seeds: tuple[Seed, ...] = ()
    tls: Tls | None = None
    limits: core.Limits = core.Limits()


class Platform(NamedTuple):
    """The platform's service; ``authority`` is a PEM file for ``https``."""

    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    authority: str | None = None


class Workers(NamedTuple):
    """Connections to workers; ``authority`` is a PEM file for TLS to them."""

    authority: str | None = None
    limits: sender.Limits = sender.Limits()


class Log(NamedTuple):
    """What is logged."""

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
