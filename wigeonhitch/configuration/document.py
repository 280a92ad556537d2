"""The fleet document, which describes the intended fleet, as typed records.

The records are validated by pydantic: unknown keys are refused, and all errors
are returned at once, each with its location. Cross-references (a pool names a
kind, a service names a pool) are checked in
`wigeonhitch.configuration.references`.

Times are in seconds, memory is in GB, and shares lie between 0 and 1.
"""

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

__all__ = [
    "Approval",
    "Budget",
    "DataCentre",
    "Document",
    "Kind",
    "Pool",
    "Service",
    "Team",
    "Urgency",
    "Wave",
    "Weights",
    "Window",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0)]


class DataCentre(NamedTuple):
    """A failure domain of many racks."""

    name: Name
    region: Name


class Kind(NamedTuple):
    """A kind of VM: cores, memory (GB), request slots and connections."""

    name: Name
    cores: Positive
    memory: Positive
    accelerators: Count = 0
    slots: Annotated[int, Field(gt=0)] = 8
    connections: Annotated[int, Field(gt=0)] = 60


class Budget(NamedTuple):
    """Availability a pool must keep: a number or a share of VMs that is up.

    Exactly one of the two is given; a share is rounded up to whole VMs.
    """

    number: Count | None = None
    share: Share | None = None


class Pool(NamedTuple):
    """A group of VMs of one kind.

    ``spread`` is the kind of failure domain over which VMs are spread evenly.
    """

    name: Name
    kind: Name
    size: Count
    must_be_up: Budget
    spread: Literal["rack", "data_centre"] = "rack"


class Urgency(NamedTuple):
    """A class of work.

    Parameters
    ----------
    name : str
        ``"urgent"`` is served before every other class.
    deadline : float
        Seconds within which a request or job must finish, by default.
    start_within : float
        Seconds within which it must start.
    """

    name: Name
    deadline: Positive
    start_within: Positive


class Service(NamedTuple):
    """What callers ask for; served by the workers of one pool."""

    name: Name
    pool: Name
    urgency: Name


class Team(NamedTuple):
    """A team with quotas for placed jobs: cores and memory (GB)."""

    name: Name
    cores: Positive
    memory: Positive
    weight: Positive = 1.0


class Window(NamedTuple):
    """When a wave may stop VMs, in seconds since the Unix epoch, UTC."""

    start: float
    end: float


class Wave(NamedTuple):
    """Planned maintenance of all VMs of some pools."""

    name: Name
    pools: tuple[Name, ...]
    window: Window
    reason: str
    action: Literal["reboot"] = "reboot"


class Approval(NamedTuple):
    """Who must approve a kind of change before it is accepted.

    ``change`` is a top-level section of the document, or ``"any"``.
    """

    change: Literal[
        "any",
        "data_centres",
        "kinds",
        "pools",
        "services",
        "urgencies",
        "teams",
        "waves",
        "approvals",
        "weights",
    ]
    approvals: Count
    roles: tuple[Name, ...]


class Weights(NamedTuple):
    """How much each of the three measures weighs for this customer."""

    buffer: Positive = 1.0
    rollout: Positive = 1.0
    moves: Positive = 1.0


class Document(NamedTuple):
    """The whole intended fleet of one customer."""

    fleet: Name
    data_centres: tuple[DataCentre, ...]
    kinds: tuple[Kind, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    urgencies: tuple[Urgency, ...]
    teams: tuple[Team, ...] = ()
    waves: tuple[Wave, ...] = ()
    approvals: tuple[Approval, ...] = ()
    weights: Weights = Weights()
