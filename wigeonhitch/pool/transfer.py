"""Runs that the next incarnation of a worker may be executing.

Orders name a worker by its id. Where workers may be restarted under their ids, an order
that was sent to one incarnation may be executed by the next one, on whose clock its
deadline is far off. The run is therefore kept with the VM of the next incarnation until
that lists it, refuses it, or has confirmed a stop and doesn't list it.

While the next incarnation isn't known, a placeholder stands for it: a VM that is called
by the worker's id and on which nothing is started. It expires once an order that was on
its way would have been executed, and the worker would have answered.
"""

import math
from collections.abc import Iterable

from wigeonhitch.jobs import model
from wigeonhitch.pool import vm

__all__ = ["ORDER_FLIGHT_SECONDS", "Transfers", "may_be_on_its_way"]

ORDER_FLIGHT_SECONDS = 2.0
"""Seconds after which an order that was sent to one incarnation isn't executed by the
next one any more: its call ends after 0.7 s, and a process that has just started reads
what waits on its connections."""

FIRST_ANSWER_SECONDS = 0.7
"""Seconds in which an incarnation that has started answers a renewal: one call of 0.5 s
that is lost, a delay of 0.1 s and the next call."""


class Transfers:
    """Runs of one pool that were transferred to the next incarnation of their worker.

    Parameters
    ----------
    max_lease : float
        Longest lease in seconds that a worker takes from any call.
    """

    def __init__(self, max_lease: float) -> None:
        self._max_lease = max_lease
        self.runs: dict[model.Task, vm.Run] = {}
        """Transferred runs that aren't listed yet."""
        self._lost_renewals: dict[str, float] = {}
        """Time of the last renewal of each worker that acknowledged ends and got no
        answer."""

    def on_renewal_lost(self, worker: str, now: float) -> None:
        """Record that a renewal which acknowledged ends got no answer.

        If the next incarnation receives it, it forgets ends of its own.
        """
        self._lost_renewals = {
            id: sent
            for id, sent in self._lost_renewals.items()
            if now - sent < ORDER_FLIGHT_SECONDS
        }
        self._lost_renewals[worker] = now

    def compute_opening(self, worker: str) -> float:
        """Return the time from which tasks may start on a new incarnation."""
        sent = self._lost_renewals.get(worker)
        return 0.0 if sent is None else sent + ORDER_FLIGHT_SECONDS

    def list_pending(self, runs: Iterable[vm.Run], now: float) -> list[vm.Run]:
        """Return the runs that an incarnation which isn't known yet may execute."""
        return [
            run
            for run in runs
            if run.may_reach_next_incarnation and now < _compute_expiry(run)
        ]

    def transfer(self, run: vm.Run, successor: vm.Vm, now: float) -> None:
        """Keep a run with the VM of the next incarnation, or with its placeholder."""
        run.transfer_to(successor)
        self.runs[run.task] = run
        if successor.is_placeholder:
            successor.expires_at = max(successor.expires_at, _compute_expiry(run))
        lease = ORDER_FLIGHT_SECONDS + self._max_lease
        successor.record_lease_deadline(successor.compute_clock(now) + lease)

    def forget(self, run: vm.Run) -> None:
        """Drop a run that is listed or has ended."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]


def may_be_on_its_way(run: vm.Run, sent: float, now: float) -> bool:
    """Return whether a start that a list lacks may be executed after that list.

    The worker may have been restarted after it gave the list, and the next incarnation
    executes starts that are late by the clock of this one.

    Parameters
    ----------
    run : vm.Run
        Run whose start isn't known to have been executed.
    sent : float
        This daemon's time of the call that the list answers.
    now : float
        This daemon's time.
    """
    if not (run.vm.entry.start_ms and run.may_reach_next_incarnation):
        return False
    # The answer to the start may be pending, but the start has been sent by now.
    run.flight_ends_at = min(run.flight_ends_at, now + ORDER_FLIGHT_SECONDS)
    return sent < run.flight_ends_at


def _compute_expiry(run: vm.Run) -> float:
    """Return the time by which an incarnation that executes a start has answered."""
    flight_ends_at = run.started_at + ORDER_FLIGHT_SECONDS
    if run.flight_ends_at < math.inf:
        # The start was sent some time after it was planned if the daemon was paused.
        flight_ends_at = max(flight_ends_at, run.flight_ends_at)
    return flight_ends_at + FIRST_ANSWER_SECONDS
