"""Which daemons have not yet confirmed a drain.

A planned stop may begin only when no daemon can still hold a request on the
VM. A daemon says so in its own row: it has applied the fleet's rows up to the
drain's number and does not name the VM among those it still has requests on.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.fleet import state
from wigeonhitch.platform import table

__all__ = ["Daemon", "HasLapsed", "is_gone", "never_lapses", "parse_daemon", "waiting"]


class Daemon(NamedTuple):
    """What a drain needs to know of a row ``daemon/{id}``.

    Parameters
    ----------
    daemon, vm : str
        The daemon's id and the entry VM that runs it.
    beat, expires : float
        Last beat and end of its validity, seconds on the table's clock.
    drain : int
        Highest revision of the fleet's rows that the daemon has applied.
    busy : frozenset of str
        Draining VMs on which it still has requests.
    value : mapping
        The whole row, for the rule of lapsing.
    """

    daemon: str
    vm: str
    beat: float
    expires: float
    drain: int
    busy: frozenset[str]
    value: Mapping[str, Any]


# Whether a daemon's right to send has lapsed for longer than the longest
# request, given its row and the table's time. Membership supplies the rule.
HasLapsed = Callable[[Daemon, float], bool]


def never_lapses(daemon: Daemon, now: float) -> bool:
    """Return False: only the platform's VM list can say that a daemon is gone."""
    del daemon, now
    return False


def parse_daemon(row: table.Row) -> Daemon:
    """Return the `Daemon` of a present row under ``daemon/``."""
    value = row.value or {}
    return Daemon(
        row.key.removeprefix("daemon/"),
        value.get("vm", ""),
        value.get("beat", 0.0),
        value.get("expires", 0.0),
        value.get("drain", 0),
        frozenset(value.get("busy", ())),
        value,
    )


def is_gone(
    daemon: Daemon, observation: state.Observation, has_lapsed: HasLapsed
) -> bool:
    """Tell whether a daemon can no longer hold a request.

    Made for silent daemons: killed, cut off, or paused with requests in
    flight. A VM list older than the daemon's last beat proves nothing, since
    the list lags and the VM may not have been in it yet.
    """
    is_listed = daemon.vm in observation.machines
    if not is_listed and observation.as_of > daemon.beat:
        return True
    return has_lapsed(daemon, observation.now)


def waiting(
    row: state.VmRow,
    daemons: Iterable[Daemon],
    observation: state.Observation,
    has_lapsed: HasLapsed,
) -> tuple[str, ...]:
    """Return the daemons that have not confirmed the drain of ``row``."""
    return tuple(
        sorted(
            daemon.daemon
            for daemon in daemons
            if (daemon.drain < row.version or row.vm in daemon.busy)
            and not is_gone(daemon, observation, has_lapsed)
        )
    )
