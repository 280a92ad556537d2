"""When a drained VM may be stopped: who could still send to it.

The load: a wave drains a few VMs at a time while hundreds of daemons send
requests. The harm prevented: a request cut off by a planned stop because one
daemon was paused, cut off or slow to hear of the drain. A stop therefore waits
for every daemon that could hold a request, and gives up waiting only for one
that surely sends nothing more.
"""

import enum
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

__all__ = [
    "DaemonRow",
    "Limits",
    "BlockingDaemon",
    "WaitReason",
    "find_waiting",
    "read_row",
]


class WaitReason(enum.Enum):
    """Why a stop still waits for a daemon."""

    NOT_APPLIED = "has not applied the drain"
    BUSY = "still holds requests"
    ENDED = "was ended, and its last requests may still run"
    SILENT = "is silent, and its right to send has not lapsed"


class Limits(NamedTuple):
    """Times after which a silent daemon surely holds no request.

    Parameters
    ----------
    send_right : float
        Seconds a cut-off daemon goes on sending; as in the membership limits.
    longest_request : float
        Seconds the longest request may take; every daemon abandons an attempt
        after this time, so that a bound exists at all.
    margin : float
        Seconds for clocks that run at different rates.
    """

    send_right: float = 10.0
    longest_request: float = 60.0
    margin: float = 2.0


class DaemonRow(NamedTuple):
    """What a stop needs to know from one ``daemon/`` row."""

    daemon: str
    vm: str
    expires: float
    drain: int
    busy: frozenset[str]
    registered: int
    relayed: Mapping[str, tuple[int, tuple[str, ...]]]


class BlockingDaemon(NamedTuple):
    """A daemon that a stop waits for, and why."""

    daemon: str
    reason: WaitReason


def read_row(key: str, value: Mapping[str, Any]) -> DaemonRow:
    """Return the typed form of a ``daemon/`` row."""
    relayed = {
        name: (int(drain), tuple(busy))
        for name, (drain, busy) in value.get("relayed", {}).items()
    }
    return DaemonRow(
        daemon=key.removeprefix("daemon/"),
        vm=value.get("vm", ""),
        expires=float(value["expires"]),
        drain=int(value.get("drain", 0)),
        busy=frozenset(value.get("busy", ())),
        registered=int(value.get("registered", 1)),
        relayed=relayed,
    )


def find_waiting(
    vm: str,
    number: int,
    rows: Iterable[DaemonRow],
    *,
    now: float,
    drained_at: float,
    gone_vms: Collection[str],
    limits: Limits = Limits(),  # noqa: B008 - an immutable tuple
) -> tuple[BlockingDaemon, ...]:
    """Return the daemons that a stop of ``vm`` must still wait for.

    Parameters
    ----------
    vm : str
        The VM to be stopped.
    number : int
        The drain's number: version of the VM's row when it became draining.
    rows : iterable of DaemonRow
        All daemon rows, read after the drain was committed.
    now, drained_at : float
        Table's clock, seconds: at the reading, and when the drain was committed.
    gone_vms : collection of str
        Entry VMs that the platform certainly ended. What their daemons sent
        before may still run on a worker, for as long as the longest request.
    limits : Limits

    Returns
    -------
    tuple of BlockingDaemon
        Empty when no daemon can hold or send a request to ``vm``.

    Notes
    -----
    A silent daemon keeps its right to send only while it hears a majority of
    the daemons it last saw registered. If more than half of those are not
    silent, it must have heard one that has applied the drain, within
    ``send_right`` of the moment the last of them confirmed.
    """
    rows = tuple(rows)
    silent = [row for row in rows if row.expires < now]
    relayed = {
        name: entry
        for row in rows
        if row.expires >= now
        for name, entry in row.relayed.items()
    }
    waiting = []
    for row in rows:
        why = _find_reason(vm, number, row, relayed)
        if why is None:
            continue
        if row.vm in gone_vms:
            if now - row.expires > limits.longest_request + limits.margin:
                continue
            why = WaitReason.ENDED
        elif row.expires < now:
            if _has_lapsed(row, len(silent), now, drained_at, limits):
                continue
            why = WaitReason.SILENT
        waiting.append(BlockingDaemon(row.daemon, why))
    known = {row.daemon for row in rows}
    waiting.extend(_find_forgotten(vm, number, known, relayed))
    return tuple(waiting)


def _find_forgotten(
    vm: str,
    number: int,
    known: Collection[str],
    relayed: Mapping[str, tuple[int, tuple[str, ...]]],
) -> list[BlockingDaemon]:
    """Return the daemons that are heard and have no row.

    Their rows were deleted, since they lost the table long ago; they still send.
    """
    found = []
    for name, (drain, busy) in sorted(relayed.items()):
        if name not in known and (drain < number or vm in busy):
            found.append(BlockingDaemon(name, WaitReason.NOT_APPLIED))
    return found


def _find_reason(
    vm: str,
    number: int,
    row: DaemonRow,
    relayed: Mapping[str, tuple[int, tuple[str, ...]]],
) -> WaitReason | None:
    drain, busy = row.drain, row.busy
    if row.daemon in relayed and relayed[row.daemon][0] >= drain:
        drain, busy = relayed[row.daemon][0], frozenset(relayed[row.daemon][1])
    if drain < number:
        return WaitReason.NOT_APPLIED
    return WaitReason.BUSY if vm in busy else None


def _has_lapsed(
    row: DaemonRow, silent: int, now: float, drained_at: float, limits: Limits
) -> bool:
    if silent * 2 > row.registered:
        return False
    since = max(row.expires, drained_at)
    quiet = limits.send_right + limits.longest_request + limits.margin
    return now - since > quiet
