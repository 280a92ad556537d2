"""Tickets that a queue's policy asks for: which are held, which to ask for.

The advice service takes one call at a time of each daemon and some time for
each worker that is named, so a step is asked for once, for the VMs with most
room, and again only when its tickets run out or have named none.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.platform import advice
from wigeonhitch.pool import vm

__all__ = ["Tickets", "select_vms"]

EXPIRY_MARGIN_SECONDS = 0.3
"""Seconds before its end at which a ticket isn't used any more: a start is on
its way for some milliseconds, and up to 0.25 s on a slow link."""

MAX_VMS_PER_REQUEST = 30
"""VMs named in one call; the objective allows for a call on so many a step."""

ASK_AGAIN_SECONDS = 0.5
"""Seconds before a step that got no ticket is asked for again."""


class _StepTickets(NamedTuple):
    tickets: dict[str, str]
    until: float


class Tickets:
    """Tickets of one pool's steps."""

    def __init__(self) -> None:
        self._valid: dict[advice.StepName, _StepTickets] = {}
        self._requested: dict[advice.StepName, None] = {}
        self._not_before: dict[advice.StepName, float] = {}

    def get(self, step: advice.StepName, now: float) -> dict[str, str]:
        """Return the valid tickets of a step by VM; it is asked for if none."""
        held = self._valid.get(step)
        if (
            held is not None
            and now < held.until - EXPIRY_MARGIN_SECONDS
            and held.tickets
        ):
            return held.tickets
        if now >= self._not_before.get(step, 0.0):
            self._requested[step] = None
        return {}

    def pop_requested(self) -> advice.StepName | None:
        """Return the step to ask for next."""
        step = next(iter(self._requested), None)
        if step is not None:
            del self._requested[step]
        return step

    def on_opinion(
        self, step: advice.StepName, opinion: advice.Opinion, now: float
    ) -> None:
        """Take an answer; ``now`` is when it was asked for."""
        self._not_before[step] = now + ASK_AGAIN_SECONDS
        if opinion.tickets is not None:
            self._valid[step] = _StepTickets(opinion.tickets, now + opinion.validity)

    def drop(self, step: advice.StepName) -> None:
        """Forget tickets that a worker refused."""
        self._valid.pop(step, None)

    def forget_job(self, job: str) -> None:
        """Forget all of a job's steps."""
        for table in (self._valid, self._requested, self._not_before):
            for step in [one for one in table if one.job == job]:
                del table[step]


def select_vms(vms: Iterable[vm.Vm], now: float) -> list[str]:
    """Return the VMs to name in a call: open ones, most free room first."""
    opened = [one for one in vms if one.is_open(now)]
    opened.sort(key=lambda one: -one.compute_free_room().cpu)
    return [one.id for one in opened[:MAX_VMS_PER_REQUEST]]
