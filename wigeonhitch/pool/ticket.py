"""Tickets of the advice service: the valid ones, and those to request.

The service handles one call at a time from each daemon and takes some time for each
worker in a call. A step's tickets are therefore requested once, for the VMs with
most free room, and again only when they expire or no VM of the pool has one.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.platform import advice
from wigeonhitch.pool import vm

__all__ = ["Tickets", "select_vms"]

EXPIRY_MARGIN_SECONDS = 0.3
"""Seconds before its expiry at which a ticket isn't used any more: a start is in
flight for some milliseconds, and up to 0.25 s on a slow link."""

MAX_VMS_PER_REQUEST = 30
"""Largest number of VMs in a request; job objectives allow for one such call per
step."""

ASK_AGAIN_SECONDS = 0.5
"""Seconds after a request before the step's tickets are requested again."""


class _StepTickets(NamedTuple):
    tickets: dict[str, str]
    expiry: float


class Tickets:
    """Tickets of one pool's steps."""

    def __init__(self) -> None:
        self._valid: dict[advice.StepName, _StepTickets] = {}
        self._requested: dict[advice.StepName, None] = {}
        self._not_before: dict[advice.StepName, float] = {}

    def get(
        self,
        step: advice.StepName,
        now: float,
        vms: Mapping[str, vm.Vm] | None = None,
    ) -> dict[str, str]:
        """Return a step's valid tickets by VM; without any, schedule a request.

        With ``vms``, the pool's VMs, tickets don't count if none of theirs is left.
        """
        valid = self._valid.get(step)
        if (
            valid is not None
            and now < valid.expiry - EXPIRY_MARGIN_SECONDS
            and _has_vm_left(valid.tickets, vms)
        ):
            return valid.tickets
        if now >= self._not_before.get(step, 0.0):
            self._requested[step] = None
        return {}

    def list_valid(self, step: advice.StepName, now: float) -> list[str]:
        """Return the VMs for which a step has a valid ticket; request none."""
        valid = self._valid.get(step)
        if valid is None or now >= valid.expiry - EXPIRY_MARGIN_SECONDS:
            return []
        return list(valid.tickets)

    def pop_requested(self) -> advice.StepName | None:
        """Return and remove the next step whose tickets are to be requested."""
        step = next(iter(self._requested), None)
        if step is not None:
            del self._requested[step]
        return step

    def on_advice(
        self, step: advice.StepName, advice_reply: advice.AdviceReply, now: float
    ) -> None:
        """Apply an answer; ``now`` is the time of the request."""
        self._not_before[step] = now + ASK_AGAIN_SECONDS
        if advice_reply.tickets is not None:
            self._valid[step] = _StepTickets(
                advice_reply.tickets, now + advice_reply.validity
            )

    def drop(self, step: advice.StepName) -> None:
        """Drop a step's tickets after a worker refused one."""
        self._valid.pop(step, None)

    def forget_job(self, job: str) -> None:
        """Drop the tickets and requests of a job."""
        for table in (self._valid, self._requested, self._not_before):
            for step in [step for step in table if step.job == job]:
                del table[step]


def _has_vm_left(tickets: Mapping[str, str], vms: Mapping[str, vm.Vm] | None) -> bool:
    """Return whether a VM with a ticket is in the pool and may get tasks again.

    A VM that is silent or set aside usually may within the validity of its ticket.
    """
    if vms is None:
        return bool(tickets)
    machines = (vms[id] for id in tickets if id in vms)
    return any(
        machine.listed and not (machine.closed or machine.entry.leaving)
        for machine in machines
    )


def select_vms(vms: Iterable[vm.Vm], now: float) -> list[str]:
    """Return the VMs to request tickets for: open ones, most free room first."""
    open_vms = [machine for machine in vms if machine.is_open(now)]
    open_vms.sort(key=lambda machine: -machine.compute_free_room().cpu)
    return [machine.id for machine in open_vms[:MAX_VMS_PER_REQUEST]]
