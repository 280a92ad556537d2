"""Runs that the next incarnation of a worker may be executing.

Orders name a worker by its id. Where workers may be restarted under their ids, an order
that was sent to one incarnation may be executed by the next one, on whose clock its
deadline is far off. The run is therefore kept with the VM of the next incarnation until
that lists it, refuses it, or has confirmed a stop and doesn't list it.

While the next incarnation isn't known, a placeholder stands for it: a VM that is called
by the worker's id and on which nothing is started. It expires once an order that was on
its way would have been executed, and the worker would have answered.
"""

from collections.abc import Iterable

from wigeonhitch.jobs import model
from wigeonhitch.pool import vm

__all__ = ["Transfers"]

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
        seconds = ORDER_FLIGHT_SECONDS + FIRST_ANSWER_SECONDS
        return [
            run
            for run in runs
            if run.may_reach_next_incarnation and now - run.started_at < seconds
        ]

    def transfer(self, run: vm.Run, successor: vm.Vm, now: float) -> None:
        """Keep a run with the VM of the next incarnation, or with its placeholder."""
        run.transfer_to(successor)
        self.runs[run.task] = run
        if successor.is_placeholder:
            expiry = run.started_at + ORDER_FLIGHT_SECONDS + FIRST_ANSWER_SECONDS
            successor.expires_at = max(successor.expires_at, expiry)
        lease = ORDER_FLIGHT_SECONDS + self._max_lease
        successor.record_lease_deadline(successor.compute_clock(now) + lease)

    def forget(self, run: vm.Run) -> None:
        """Drop a run that is listed or has ended."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
