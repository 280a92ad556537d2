"""Decides whether a drained VM may be stopped.

A wave drains a few VMs at a time while hundreds of daemons send requests. A planned
stop must not interrupt a request because one daemon was paused, cut off or late to
learn of the drain. A stop therefore waits for every daemon that may have a request
on the VM, except for daemons that can no longer send.
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
    """Times after which a silent daemon has no request in progress.

    Parameters
    ----------
    send_right : float
        Seconds for which a cut-off daemon may still send; as in `core.Limits`.
    longest_request : float
        Maximum seconds of a request. Every daemon abandons an attempt after this
        time, since the wait could not be bounded otherwise.
    margin : float
        Allowance in seconds for clocks that run at different rates.
    """

    send_right: float = 10.0
    longest_request: float = 60.0
    margin: float = 2.0


class DaemonRow(NamedTuple):
    """The fields of a ``daemon/`` row that decide about a stop."""

    daemon: str
    vm: str
    expires: float
    drain: int
    busy: frozenset[str]
    registered: int
    relayed: Mapping[str, tuple[int, tuple[str, ...]]]


class BlockingDaemon(NamedTuple):
    """A daemon that a stop waits for, and the reason."""

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
    """Return the daemons for which a stop of ``vm`` must still wait.

    Parameters
    ----------
    vm : str
        The VM to be stopped.
    number : int
        Number of the drain: the version of the VM's row when it became draining.
    rows : iterable of DaemonRow
        All daemon rows, read after the drain was committed.
    now, drained_at : float
        Times of the table's clock, in seconds, at the read and at the commit of the
        drain.
    gone_vms : collection of str
        VMs of daemons that the platform has certainly ended. Requests that their
        daemons sent may still run on a worker, for as long as the longest request.
    limits : Limits

    Returns
    -------
    tuple of BlockingDaemon
        Empty if no daemon has a request on ``vm`` or can send one to it.

    Notes
    -----
    A silent daemon keeps its right to send only while it hears from a majority of the
    daemons that it last saw registered. If more than half of those are not silent, it
    must have heard from one that has applied the drain, within ``send_right`` of the
    time at which the last of them confirmed.
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
        reason = _find_reason(vm, number, row, relayed)
        if reason is None:
            continue
        if row.vm in gone_vms:
            if now - row.expires > limits.longest_request + limits.margin:
                continue
            reason = WaitReason.ENDED
        elif row.expires < now:
            if _has_lapsed(row, len(silent), now, drained_at, limits):
                continue
            reason = WaitReason.SILENT
        waiting.append(BlockingDaemon(row.daemon, reason))
    known = {row.daemon for row in rows}
    waiting.extend(_find_without_row(vm, number, known, relayed))
    return tuple(waiting)


def _find_without_row(
    vm: str,
    number: int,
    known: Collection[str],
    relayed: Mapping[str, tuple[int, tuple[str, ...]]],
) -> list[BlockingDaemon]:
    """Return unconfirmed daemons that peers hear from but that have no row.

    Their rows were deleted because they lost contact to the table long ago, but they
    may still send.
    """
    blocking = []
    for name, (drain, busy) in sorted(relayed.items()):
        if name not in known and (drain < number or vm in busy):
            blocking.append(BlockingDaemon(name, WaitReason.NOT_APPLIED))
    return blocking


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
    silence_limit = limits.send_right + limits.longest_request + limits.margin
    return now - since > silence_limit
