"""Messages that daemons exchange about membership and documents."""

from typing import NamedTuple

__all__ = ["Configuration", "Heartbeat", "Member"]


class Member(NamedTuple):
    """Liveness of one daemon, as forwarded by another.

    Addresses are not forwarded, since the daemon rows of the table have them.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    beat : int
        The daemon's heartbeat counter; lower or equal values are ignored.
    age_ms : int
        Milliseconds since the sender learned of this beat.
    """

    daemon: str
    beat: int
    age_ms: int = 0


class Heartbeat(NamedTuple):
    """Heartbeat with the drains that the sender has applied.

    Parameters
    ----------
    daemon : str
        Name of the sender.
    beat : int
        The sender's heartbeat counter.
    store_age_ms : int
        Milliseconds since the platform's table last answered the sender.
    fleet_revision : int
        Revision of the sender's fleet view.
    unusable : tuple of str
        VMs that must not get new requests at that revision.
    drain : int
        The fleet revision that the sender's routing has applied.
    busy : tuple of str
        Unusable VMs that still process requests of the sender.
    members : tuple of Member
        Forwarded beats of other daemons.
    address, vm, data_centre : str
        ``host:port`` of the sender's peer listener, its VM and its data centre.
    echo : int
        The newest beat of the receiver that the sender knows, or -1 if none. It
        proves that this heartbeat was made after that beat was sent.
    """

    daemon: str
    beat: int
    store_age_ms: int
    fleet_revision: int = 0
    unusable: tuple[str, ...] = ()
    drain: int = 0
    busy: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    echo: int = -1
    address: str = ""
    vm: str = ""
    data_centre: str = ""


class Configuration(NamedTuple):
    """A message of the configuration package, in that package's own encoding."""

    data: bytes
