"""Messages that daemons exchange about membership and documents."""

from typing import NamedTuple

__all__ = ["Configuration", "Heartbeat", "Member"]


class Member(NamedTuple):
    """What one daemon passes on about another.

    Addresses are not passed on: they are in the daemon rows of the table.

    Parameters
    ----------
    daemon : str
        Identity.
    beat : int
        The member's own counter; only a higher one is news.
    age_ms : int
        Milliseconds since the sender learned of this beat.
    """

    daemon: str
    beat: int
    age_ms: int = 0


class Heartbeat(NamedTuple):
    """Sign of life, with the drains that the sender has applied.

    Parameters
    ----------
    daemon : str
        The sender.
    beat : int
        Its counter.
    store_age_ms : int
        Milliseconds since the sender last heard the platform's table.
    fleet_revision : int
        Revision of its fleet view.
    unusable : tuple of str
        VMs that must get no new request at that revision.
    drain : int
        The fleet revision that the sender's request side has applied.
    busy : tuple of str
        Unusable VMs that still hold requests of the sender.
    members : tuple of Member
        News passed on.
    address, vm, data_centre : str
        ``host:port`` of the sender's peer listener, its VM, failure domain.
    echo : int
        The receiver's newest beat that the sender knows; -1 when none. It
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
    """A message of the configuration slice, in its own encoding."""

    data: bytes
