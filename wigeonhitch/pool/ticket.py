"""Tickets of the advice service: the valid ones, and those to request.

The service handles one call at a time from each daemon and takes some time for each
worker in a call. A step's tickets are therefore requested for some VMs at a time, and
again only when no VM of the pool has a valid one, or when its tasks find no room on
those that do and other VMs could run them.

A call names the VMs that the service has not been asked about for this step first, so
that after a bounded number of calls it was asked about all of them. Among these, VMs
that it has allowed for other steps of the queue come first.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.platform import advice
from wigeonhitch.pool import vm

__all__ = ["Tickets"]

EXPIRY_MARGIN_SECONDS = 0.3
"""Seconds before its expiry at which a ticket isn't used any more: a start is in
flight for some milliseconds, and up to 0.25 s on a slow link."""

MAX_VMS_PER_REQUEST = 30
"""Largest number of VMs in a request; job objectives allow for one such call per
step."""

ASK_AGAIN_SECONDS = 0.5
"""Seconds after a request before VMs are named to the service again that it has not
allowed for the step. VMs that it hasn't been asked about are named at once."""


class _Request(NamedTuple):
    """Request of a step's tickets.

    ``room`` is what a task of the step reserves. ``is_extension`` tells that the step
    has valid tickets: then only VMs that it wasn't asked about and that have room for a
    task are of use.
    """

    queue: str = ""
    room: model.Room = model.Room()
    is_extension: bool = False


class _StepTickets:
    """Tickets of one step, and the VMs that it was asked about in vain."""

    def __init__(self) -> None:
        self.tickets: dict[str, str] = {}
        self.expiries: dict[str, float] = {}
        self.next_expiry = 0.0
        self.denied_at: dict[str, float] = {}
        """Time of the last request that named a VM without getting a ticket for it."""

    def list_valid(self, now: float) -> dict[str, str]:
        """Return the tickets that can be used."""
        if self.tickets and now >= self.next_expiry - EXPIRY_MARGIN_SECONDS:
            self.tickets = {
                id: ticket
                for id, ticket in self.tickets.items()
                if now < self.expiries[id] - EXPIRY_MARGIN_SECONDS
            }
            self._update_expiries()
        return self.tickets

    def add(self, tickets: Mapping[str, str], expiry: float) -> None:
        """Add the tickets of an answer."""
        self.tickets = {**self.tickets, **tickets}
        self.expiries.update(dict.fromkeys(tickets, expiry))
        self._update_expiries()

    def _update_expiries(self) -> None:
        self.expiries = {id: self.expiries[id] for id in self.tickets}
        self.next_expiry = min(self.expiries.values(), default=0.0)


class Tickets:
    """Tickets of one pool's steps."""

    def __init__(self) -> None:
        self._steps: dict[advice.StepName, _StepTickets] = {}
        self._requested: dict[advice.StepName, None] = {}
        self._requests: dict[advice.StepName, _Request] = {}
        """Latest request of each step."""
        self._not_before: dict[advice.StepName, float] = {}
        self._allowed_by_queue: dict[str, dict[str, bool]] = {}
        """Whether each VM was allowed for the queue's step that last asked about it."""

    def get(
        self,
        step: advice.StepName,
        now: float,
        vms: Mapping[str, vm.Vm] | None = None,
        *,
        queue: str = "",
        room: model.Room | None = None,
    ) -> dict[str, str]:
        """Return a step's valid tickets by VM; without any, schedule a request.

        Parameters
        ----------
        vms : mapping of str to vm.Vm, optional
            The pool's VMs; tickets don't count if none of theirs is left.
        queue : str
            Queue of the step's job.
        room : model.Room, optional
            What a task of the step reserves.
        """
        known = self._steps.get(step)
        valid = known.list_valid(now) if known is not None else {}
        if valid and _has_vm_left(valid, vms):
            return valid
        if now >= self._not_before.get(step, 0.0):
            self._requested[step] = None
            self._requests[step] = _Request(queue, room or model.Room())
        return {}

    def extend(
        self,
        step: advice.StepName,
        queue: str,
        room: model.Room,
        now: float,
        vms: Mapping[str, vm.Vm],
    ) -> None:
        """Schedule a request, as the VMs with tickets have no room for a task.

        If they are all silent or set aside, they are waited for.
        """
        if step in self._requested or now < self._not_before.get(step, 0.0):
            return
        if any(id in vms and vms[id].is_open(now) for id in self.list_valid(step, now)):
            self._requested[step] = None
            self._requests[step] = _Request(queue, room, is_extension=True)

    def list_valid(self, step: advice.StepName, now: float) -> list[str]:
        """Return the VMs for which a step has a valid ticket; request none."""
        known = self._steps.get(step)
        return list(known.list_valid(now)) if known is not None else []

    def pop_requested(self) -> advice.StepName | None:
        """Return and remove the next step whose tickets are to be requested."""
        step = next(iter(self._requested), None)
        if step is not None:
            del self._requested[step]
        return step

    def select_vms(
        self, step: advice.StepName, vms: Iterable[vm.Vm], now: float
    ) -> list[str]:
        """Return the VMs to name in a request; empty if it would tell nothing.

        Open VMs without a valid ticket are named that the service hasn't been asked
        about. If there are none, those that were denied the longest time ago are, since
        it may not have known a worker that had just started.
        """
        request = self._requests.get(step, _Request())
        known = self._steps.get(step)
        valid = known.list_valid(now) if known is not None else {}
        denied_at = known.denied_at if known is not None else {}
        verdicts = self._allowed_by_queue.get(request.queue, {})
        candidates = []
        for machine in vms:
            if machine.id in valid or not machine.is_open(now):
                continue
            free = machine.compute_free_room()
            has_room = request.room.fits_in(free)
            if request.is_extension and (machine.id in denied_at or not has_room):
                continue
            allowed = verdicts.get(machine.id)
            rank = (
                denied_at.get(machine.id, 0.0),
                not has_room,
                1 if allowed is None else 2 * (not allowed),
                -free.cpu,
            )
            candidates.append((rank, machine.id))
        if not candidates:
            self._not_before[step] = now + ASK_AGAIN_SECONDS
        candidates = [c for c in candidates if not c[0][0]] or candidates
        candidates.sort(key=lambda candidate: candidate[0])
        return [id for _, id in candidates[:MAX_VMS_PER_REQUEST]]

    def on_advice(
        self,
        step: advice.StepName,
        advice_reply: advice.AdviceReply,
        now: float,
        *,
        named: Iterable[str] = (),
        vms: Mapping[str, vm.Vm] | None = None,
    ) -> None:
        """Apply an answer.

        Parameters
        ----------
        now : float
            Time of the request.
        named : iterable of str
            The VMs that were named in the request.
        vms : mapping of str to vm.Vm, optional
            The pool's VMs; what is known of others is dropped.
        """
        self._not_before[step] = now + ASK_AGAIN_SECONDS
        if advice_reply.tickets is None:
            return
        known = self._steps.setdefault(step, _StepTickets())
        known.add(advice_reply.tickets, now + advice_reply.validity)
        queue = self._requests.get(step, _Request()).queue
        verdicts = self._allowed_by_queue.setdefault(queue, {})
        for id in named:
            verdicts[id] = id in advice_reply.tickets
            if verdicts[id]:
                known.denied_at.pop(id, None)
            else:
                known.denied_at[id] = now
        if vms is None:
            return
        for table in (known.denied_at, verdicts):
            for id in table.keys() - vms.keys():
                del table[id]
        if any(
            machine.is_open(now)
            for id, machine in vms.items()
            if id not in known.tickets and id not in known.denied_at
        ):
            del self._not_before[step]

    def on_queues(self, queues: Iterable[str]) -> None:
        """Forget which VMs were allowed for queues that aren't in force any more."""
        dropped = self._allowed_by_queue.keys() - set(queues)
        for queue in dropped:
            del self._allowed_by_queue[queue]

    def drop(self, step: advice.StepName) -> None:
        """Drop a step's tickets after a worker refused one."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets = {}

    def forget_job(self, job: str) -> None:
        """Drop the tickets and requests of a job."""
        tables = (self._steps, self._requested, self._requests, self._not_before)
        for table in tables:
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
