"""Availability budgets: how many VMs of a pool a planned stop may take now.

A VM counts as up when the table says ``up`` (no planned stop has taken it),
the platform lists it as live and its health check passed just now. What should
be up does not count: an unplanned loss lowers the spare at once, and the next
planned stop is refused, or one that has not yet begun is given back.

No planner can promise that a pool stays within its budget when VMs fail after
the last VM that was allowed to stop has been told to reboot. The promise made
here is narrower: at the moment a stop takes its part of the budget, and again
right before the reboot is committed, the pool has its required VMs without it.
"""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import state

__all__ = ["Budget", "Refusal", "make_domain_lookup", "measure_budget", "required"]


class Refusal(NamedTuple):
    """Why a VM may not be taken now; ``reason`` is empty when it may."""

    reason: str = ""


def required(pool: document.Pool) -> int:
    """Return how many VMs of a pool must be up.

    Examples
    --------
    >>> required(document.Pool("a", "k", 6, document.Budget(share=0.8)))
    5
    """
    if pool.must_be_up.number is not None:
        return pool.must_be_up.number
    # Rounded first: 0.1 * 30 is a little above 3 in binary and would
    # otherwise ask for a fourth VM that no operator meant.
    return math.ceil(round((pool.must_be_up.share or 0.0) * pool.size, 9))


def make_domain_lookup(
    pool: document.Pool, observation: state.Observation
) -> Callable[[str], str]:
    """Return a function from VM to its failure domain by the pool's spread."""

    def tell(vm: str) -> str:
        machine = observation.machines.get(vm)
        return getattr(machine, pool.spread) if machine else ""

    return tell


class Budget(NamedTuple):
    """The budget of one pool at one moment.

    Parameters
    ----------
    pool : str
        Name of the pool.
    required : int
        VMs that must be up.
    up : frozenset of str
        VMs that are up now.
    stops_by_domain : dict of str to int
        VMs taken by planned stops, by failure domain.
    """

    pool: str
    required: int
    up: frozenset[str]
    stops_by_domain: dict[str, int]

    @property
    def spare(self) -> int:
        """Return how many VMs may be lost now; negative when under budget."""
        return len(self.up) - self.required

    def check_stop(self, vm: str, domain: str) -> Refusal:
        """Decide whether a planned stop may take ``vm`` now.

        Made for waves and moves that compete for one pool while VMs fail.
        A VM that is up needs one spare. One that is not up costs nothing, since
        a reboot may bring it back, but the pool must hold its budget without
        it: a runner that is itself cut off from the workers sees all of them
        fail and must not reboot them. Stops of one failure
        domain fail together more often than others (a rack that loses power
        on restart), so beyond the first, a domain has at most as many stops
        under way as the budget could lose besides all stops under way.
        """
        needed = 1 if vm in self.up else 0
        if self.spare < needed:
            text = f"budget of pool {self.pool}: {len(self.up)} up"
            return Refusal(f"{text}, {self.required} must be up")
        if not needed:
            return Refusal()
        there = self.stops_by_domain.get(domain, 0) + 1
        if there > max(1, self.spare - 1):
            text = f"failure domain {domain} of pool {self.pool}"
            return Refusal(f"{text} has {there - 1} stops under way")
        return Refusal()

    def take(self, vm: str, domain: str) -> "Budget":
        """Return the budget after a planned stop has taken ``vm``."""
        stops = dict(self.stops_by_domain)
        stops[domain] = stops.get(domain, 0) + 1
        return self._replace(up=self.up - {vm}, stops_by_domain=stops)


def measure_budget(
    pool: document.Pool,
    rows: Iterable[state.VmRow],
    observation: state.Observation,
) -> Budget:
    """Return the budget of a pool from its VM rows and what is up now."""
    tell = make_domain_lookup(pool, observation)
    up = set()
    stops: dict[str, int] = {}
    for row in rows:
        if row.state is state.VmState.UP:
            if observation.is_serving(row.vm):
                up.add(row.vm)
        elif row.state is not state.VmState.DOWN:
            stops[tell(row.vm)] = stops.get(tell(row.vm), 0) + 1
    return Budget(pool.name, required(pool), frozenset(up), stops)
