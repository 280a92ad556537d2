"""Availability budgets: how many VMs of a pool may be under a planned stop.

A VM counts as up when its row says ``up`` (it is not under a planned stop), the
platform lists it as live and its latest health check passed. Because only
observed health counts, an unplanned loss lowers the spare at once: the next
planned stop is refused, or a drain that has not led to a reboot is given back.

A pool can still fall below its budget when VMs fail after a reboot has been
committed. The guarantee is therefore limited to two moments: when a stop is
charged to the budget, and right before its reboot is committed, the pool has
its required VMs without the stopped one.
"""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import state

__all__ = ["Budget", "Refusal", "make_domain_lookup", "measure_budget", "required"]


class Refusal(NamedTuple):
    """Why a VM may not be stopped now; ``reason`` is empty when it may."""

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
    # Round first: in binary floating point 0.1 * 30 is slightly above 3, and
    # math.ceil would require a fourth VM.
    return math.ceil(round((pool.must_be_up.share or 0.0) * pool.size, 9))


def make_domain_lookup(
    pool: document.Pool, observation: state.Observation
) -> Callable[[str], str]:
    """Return a function that maps a VM to its failure domain in the pool."""

    def find_domain(vm: str) -> str:
        machine = observation.machines.get(vm)
        return getattr(machine, pool.spread) if machine else ""

    return find_domain


class Budget(NamedTuple):
    """The availability budget of one pool at one moment.

    Parameters
    ----------
    pool : str
        Name of the pool.
    required : int
        VMs that must be up.
    up : frozenset of str
        VMs that are up now.
    stops_by_domain : dict of str to int
        Number of VMs under a planned stop, by failure domain.
    """

    pool: str
    required: int
    up: frozenset[str]
    stops_by_domain: dict[str, int]

    @property
    def spare(self) -> int:
        """Return how many VMs may be lost now; negative when below the budget."""
        return len(self.up) - self.required

    def check_stop(self, vm: str, domain: str) -> Refusal:
        """Return why a planned stop of ``vm`` is refused, or an empty refusal.

        Waves and moves compete for the budget of a pool while VMs fail. A VM
        that is up needs one spare VM. One that is not up needs none, since a
        reboot may recover it, but the pool must be within its budget without
        it: a runner that is partitioned from the workers sees all of them as
        unhealthy and must not reboot them.

        Stops in one failure domain fail together more often than others (a rack
        that loses power on restart). Beyond the first stop, a domain therefore
        has at most as many stops under way as the pool has spare VMs left after
        all stops under way.
        """
        needed = 1 if vm in self.up else 0
        if self.spare < needed:
            text = f"budget of pool {self.pool}: {len(self.up)} up"
            return Refusal(f"{text}, {self.required} must be up")
        if not needed:
            return Refusal()
        domain_stops = self.stops_by_domain.get(domain, 0) + 1
        if domain_stops > max(1, self.spare - 1):
            text = f"failure domain {domain} of pool {self.pool}"
            return Refusal(f"{text} has {domain_stops - 1} stops under way")
        return Refusal()

    def take(self, vm: str, domain: str) -> "Budget":
        """Return the budget with ``vm`` charged to it as a planned stop."""
        stops = dict(self.stops_by_domain)
        stops[domain] = stops.get(domain, 0) + 1
        return self._replace(up=self.up - {vm}, stops_by_domain=stops)


def measure_budget(
    pool: document.Pool,
    rows: Iterable[state.VmRow],
    observation: state.Observation,
) -> Budget:
    """Return the budget of a pool from its VM rows and the VMs that are up."""
    find_domain = make_domain_lookup(pool, observation)
    up = set()
    stops: dict[str, int] = {}
    for row in rows:
        if row.state is state.VmState.UP:
            if observation.is_serving(row.vm):
                up.add(row.vm)
        elif row.state is not state.VmState.DOWN:
            stops[find_domain(row.vm)] = stops.get(find_domain(row.vm), 0) + 1
    return Budget(pool.name, required(pool), frozenset(up), stops)
