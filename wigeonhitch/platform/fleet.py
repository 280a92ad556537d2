"""Client of the platform's VM API: list VMs, move them between pools, maintain them."""

import enum
from typing import Any, NamedTuple, Protocol

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, http, table

__all__ = ["Fleet", "FleetCalls", "Listing", "OrderOutcome", "Vm", "VmState"]


class VmState(enum.Enum):
    """State of a VM as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Vm(NamedTuple):
    """One VM; ``worker`` is the id of its current incarnation, or empty."""

    id: str
    pool: str
    state: VmState
    data_centre: str
    labels: tuple[str, ...]
    room: model.Room
    worker: str


class Listing(NamedTuple):
    """The VMs, or None and the reason of the failure."""

    vms: tuple[Vm, ...] | None
    reason: str = ""


class OrderOutcome(enum.Enum):
    """Outcome of an order to move or maintain a VM."""

    DONE = "done"
    """In progress, or already done."""
    FENCED = "fenced"
    BUSY = "busy"
    """The VM isn't up, or is leaving."""
    WRONG_WAVE = "wrong wave"
    REFUSED = "refused"
    """Not possible: no such VM, or a pool for other VMs."""
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class FleetCalls(Protocol):
    """Calls of the fleet's leader to the platform."""

    async def list_vms(self, *, timeout: float) -> Listing:
        """Return all VMs."""
        ...

    async def move(
        self, vm: str, pool: str, holder: str, fence: int, *, timeout: float
    ) -> OrderOutcome:
        """Move a VM to another pool; its tasks end at once."""
        ...

    async def maintain(
        self, vm: str, wave: int, holder: str, fence: int, *, timeout: float
    ) -> OrderOutcome:
        """Start maintenance of a VM; its tasks end at once."""
        ...


class Fleet:
    """Implements `FleetCalls` over HTTP."""

    def __init__(self, client: http.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def list_vms(self, *, timeout: float) -> Listing:
        """Return all VMs."""
        vms: list[Vm] = []
        page = None
        while True:
            query = {"page_token": str(page)} if page else None
            reply = await self._client.call(
                "GET", self._address, "/v1/machines", timeout=timeout, query=query
            )
            if reply.status != 200 or not isinstance(reply.body, dict):
                return Listing(None, reply.reason or f"status {reply.status}")
            vms.extend(_read_vms(reply.body.get("machines", ())))
            page = reply.body.get("next_token")
            if not page:
                return Listing(tuple(vms))

    async def move(
        self, vm: str, pool: str, holder: str, fence: int, *, timeout: float
    ) -> OrderOutcome:
        """Move a VM to another pool; its tasks end at once."""
        body = {"machine": vm, "pool": pool}
        return await self._order("/v1/machine-move", body, holder, fence, timeout)

    async def maintain(
        self, vm: str, wave: int, holder: str, fence: int, *, timeout: float
    ) -> OrderOutcome:
        """Start maintenance of a VM; its tasks end at once."""
        body = {"machine": vm, "wave": wave}
        return await self._order("/v1/machine-upkeep", body, holder, fence, timeout)

    async def _order(
        self, path: str, body: Any, holder: str, fence: int, timeout: float
    ) -> OrderOutcome:
        headers = {"Duty-Holder": holder, "Fencing-Token": str(fence)}
        reply = await self._client.call(
            "POST", self._address, path, timeout=timeout, body=body, headers=headers
        )
        return _classify_reply(reply)


OUTCOMES_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "busy": OrderOutcome.BUSY,
    "wave": OrderOutcome.WRONG_WAVE,
}


def _classify_reply(reply: http.Reply) -> OrderOutcome:
    if reply.outcome is table.Outcome.NOT_DONE or reply.status in (429, 503):
        return OrderOutcome.NOT_DONE
    if reply.status == 200:
        return OrderOutcome.DONE
    if reply.status == 409:
        reason = reply.body.get("reason") if isinstance(reply.body, dict) else ""
        return OUTCOMES_BY_REASON.get(reason, OrderOutcome.BUSY)
    if 400 <= reply.status < 500:
        return OrderOutcome.REFUSED
    return OrderOutcome.UNKNOWN


def _read_vms(listed: Any) -> list[Vm]:
    vms = []
    for fields in listed:
        try:
            vms.append(_read_vm(fields))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue  # a row that can't be decoded must not hide the other VMs
    return vms


def _read_vm(fields: dict[str, Any]) -> Vm:
    return Vm(
        fields["machine"],
        fields["pool"],
        VmState(fields["state"]),
        fields.get("zone", ""),
        tuple(fields.get("labels", ())),
        entries.read_room(fields.get("capacity") or {}),
        fields.get("id") or "",
    )
