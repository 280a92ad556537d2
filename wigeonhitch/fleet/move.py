"""Moves: which VMs change pools so that every pool has its intended size.

This module produces three kinds of change. A listed VM that belongs to no pool
is assigned to the pool with the largest deficit. A VM that has been missing from
the list for too long is released, so that its pool shows a deficit again. A VM
of a pool with a surplus is drained and then joins a pool with a deficit.

The number of moves equals its lower bound, the sum of the deficits that no
unassigned VM can fill: only pools above their intended size give VMs and only
pools below it receive them, so no VM moves twice and no pool does both.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import batch, budget, change, state, wave
from wigeonhitch.platform import machines

__all__ = [
    "RELEASE_AFTER_SECONDS",
    "Imbalance",
    "assign_vms",
    "compute_intended_sizes",
    "measure_imbalance",
    "pick_moves",
]
__all__ += ["release"]

VmState = state.VmState
Step = change.Step

# Time for which a VM must be missing from the platform's list before it is
# released from its pool. Longer than a reboot, so that a restarting VM keeps its
# pool, and much longer than the lag of the list.
RELEASE_AFTER_SECONDS = 900.0

# VMs assigned in one round; each assignment scans all free VMs.
MAX_ASSIGNMENTS_PER_ROUND = 100


class Imbalance(NamedTuple):
    """Deficits and surpluses of pools, in VMs; a moving VM counts at its target."""

    deficits: Mapping[str, int]
    surpluses: Mapping[str, int]


def measure_imbalance(
    intended: Mapping[str, int], rows: Iterable[state.VmRow]
) -> Imbalance:
    """Return the deviation of each pool from its intended size.

    Examples
    --------
    >>> rows = [state.VmRow("x", "a"), state.VmRow("y", "a")]
    >>> measure_imbalance({"a": 1, "b": 1}, rows)
    Imbalance(deficits={'b': 1}, surpluses={'a': 1})
    """
    sizes = dict.fromkeys(intended, 0)
    for row in rows:
        pool = row.target or row.pool
        sizes[pool] = sizes.get(pool, 0) + 1
    deviations = {pool: intended.get(pool, 0) - size for pool, size in sizes.items()}
    return Imbalance(
        {
            pool: deviation
            for pool, deviation in sorted(deviations.items())
            if deviation > 0
        },
        {
            pool: -deviation
            for pool, deviation in sorted(deviations.items())
            if deviation < 0
        },
    )


def compute_intended_sizes(snapshot: wave.Snapshot) -> dict[str, int]:
    """Return the intended size of each pool, including VMs lent by buffers.

    A buffer is a pool that requires no VM to be up. It lends VMs first to pools
    that hold fewer VMs than must be up, then to pools without a spare VM of
    their own: one VM each, for as long as a running wave has VMs of the pool
    pending or under a stop. A borrowed VM moves from one pool straight to the next
    without returning to the buffer, which takes one move per pool, the lower
    bound. No pool borrows a second VM while another waits for its first.
    """
    pools = {pool.name: pool for pool in snapshot.document.pools}
    sizes = {name: pool.size for name, pool in pools.items()}
    buffers = {
        pool.kind: pool.name
        for pool in pools.values()
        if pool.size and not budget.required(pool)
    }
    current_sizes = collections.Counter(
        row.target or row.pool for row in snapshot.view.vms.values()
    )
    for name, pool in pools.items():
        buffer = buffers.get(pool.kind)
        shortfall = budget.required(pool) - current_sizes[name]
        if buffer and shortfall > 0:
            sizes[buffer] -= min(shortfall, sizes[buffer])
    borrowers = list_borrowers(snapshot)
    weights = snapshot.document.weights
    # Lending a second VM, which no other pool waits for, shortens the roll-out
    # at the cost of one more move, so it depends on the document's weights.
    if weights.rollout >= weights.moves:
        borrowers = [*borrowers, *borrowers]
    for name in borrowers:
        buffer = buffers.get(pools[name].kind)
        if buffer and buffer != name and sizes[buffer] > 0:
            sizes[buffer] -= 1
            sizes[name] += 1
    return sizes


def list_borrowers(snapshot: wave.Snapshot) -> list[str]:
    """Return the pools without a spare VM that a running wave still stops."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    borrowers: list[str] = []
    rows_by_pool = snapshot.group_rows()
    for wave_spec in snapshot.document.waves:
        if wave.find_stop_obstacle(snapshot, wave_spec, snapshot.limits.stop_estimate):
            continue
        pending = {
            row.pool for row in batch.list_pending(snapshot, wave_spec, rows_by_pool)
        }
        pending |= {
            pool
            for pool in wave_spec.pools
            for row in rows_by_pool.get(pool, ())
            if row.wave == wave_spec.name and row.state is not VmState.DOWN
        }
        for name in sorted(pending):
            pool = pools.get(name)
            if pool and pool.size <= budget.required(pool) and name not in borrowers:
                borrowers.append(name)
    return borrowers


def assign_vms(snapshot: wave.Snapshot) -> list[change.Change]:
    """Assign listed VMs without a pool, spread over failure domains.

    The pool with the largest deficit chooses first, and takes a VM from the
    failure domain in which it has the fewest. At most
    `MAX_ASSIGNMENTS_PER_ROUND` VMs are assigned at once, so that a completely new
    fleet does not delay the round.
    """
    pools = {pool.name: pool for pool in snapshot.document.pools}
    observation = snapshot.observation
    deficits = dict(
        measure_imbalance(
            compute_intended_sizes(snapshot), snapshot.view.vms.values()
        ).deficits
    )
    spread = count_domains(snapshot)
    free = [
        machine
        for name, machine in sorted(observation.machines.items())
        if machine.role == "worker" and observation.is_live(name)
        if name not in snapshot.view.vms
    ]
    changes: list[change.Change] = []
    while deficits and free and len(changes) < MAX_ASSIGNMENTS_PER_ROUND:
        name = max(sorted(deficits), key=lambda name: deficits[name])
        machine = choose_free_vm(pools[name], free, spread[name])
        deficits[name] -= 1
        if machine is None or not deficits[name]:
            del deficits[name]
        if machine is None:
            continue
        free.remove(machine)
        domain = getattr(machine, pools[name].spread)
        spread[name][domain] = spread[name].get(domain, 0) + 1
        row = state.VmRow(machine.vm, name, since=observation.now)
        changes.append(change.Change(Step.ASSIGN, row, "VM had no pool"))
    return changes


def choose_free_vm(
    pool: document.Pool,
    free: Iterable[machines.Machine],
    spread: Mapping[str, int],
) -> machines.Machine | None:
    """Return the free VM of the pool's kind in its least used failure domain."""
    candidates = (machine for machine in free if machine.kind == pool.kind)
    return min(
        candidates,
        key=lambda machine: (spread.get(getattr(machine, pool.spread), 0), machine.vm),
        default=None,
    )


def count_domains(snapshot: wave.Snapshot) -> dict[str, dict[str, int]]:
    """Return the number of VMs of each pool in each failure domain."""
    counts: dict[str, dict[str, int]] = {}
    find_domain = {}
    for pool in snapshot.document.pools:
        counts[pool.name] = {}
        find_domain[pool.name] = budget.make_domain_lookup(pool, snapshot.observation)
    for row in snapshot.view.vms.values():
        pool = row.target or row.pool
        if pool in counts:
            domain = find_domain[pool](row.vm)
            counts[pool][domain] = counts[pool].get(domain, 0) + 1
    return counts


def release(
    snapshot: wave.Snapshot, missing: Mapping[str, float]
) -> list[change.Change]:
    """Release VMs that the platform has not listed for `RELEASE_AFTER_SECONDS`.

    Parameters
    ----------
    snapshot : Snapshot
        The state on which the decision is based.
    missing : mapping of str to float
        Time (``as_of`` of the list) since which each VM has been missing.
    """
    changes = []
    for vm, since in sorted(missing.items()):
        row = snapshot.view.vms.get(vm)
        is_gone = snapshot.observation.as_of - since >= RELEASE_AFTER_SECONDS
        if row and is_gone and vm not in snapshot.observation.machines:
            new_row = row._replace(since=snapshot.observation.now)
            changes.append(change.Change(Step.RELEASE, new_row, "gone from the list"))
    return changes


def pick_moves(snapshot: wave.Snapshot) -> batch.Picks:
    """Return the moves that may begin now, as drains of VMs of donor pools.

    VMs are chosen first by the failure domain in which the receiver has the
    fewest VMs, then by the largest surplus of the donor, then by the failure
    domain in which the donor has the most, so that both pools become more evenly
    spread. A move is charged to the donor's budget like any planned stop, and
    waits until that budget allows it.
    """
    pools = {pool.name: pool for pool in snapshot.document.pools}
    budgets = snapshot.measure_budgets()
    imbalance = measure_imbalance(
        compute_intended_sizes(snapshot), snapshot.view.vms.values()
    )
    deficits, surpluses = dict(imbalance.deficits), dict(imbalance.surpluses)
    spread = count_domains(snapshot)
    changes: list[change.Change] = []
    waiting: dict[str, str] = {}
    taken: set[str] = set()
    for receiver in sorted(deficits, key=lambda name: (-deficits[name], name)):
        for _ in range(deficits[receiver]):
            donor = choose_donor(snapshot, receiver, surpluses, spread, budgets, taken)
            if isinstance(donor, budget.Refusal):
                waiting[f"move/{receiver}"] = donor.reason
                break
            taken.add(donor.vm)
            surpluses[donor.pool] -= 1
            domain = budget.make_domain_lookup(pools[receiver], snapshot.observation)(
                donor.vm
            )
            spread[receiver][domain] = spread[receiver].get(domain, 0) + 1
            new_row = donor._replace(
                state=VmState.DRAINING, since=snapshot.observation.now, target=receiver
            )
            why = f"pool {receiver} is below its intended size"
            changes.append(change.Change(Step.TAKE, new_row, why))
    return batch.Picks(tuple(changes), waiting)


def choose_donor(
    snapshot: wave.Snapshot,
    receiver: str,
    surpluses: Mapping[str, int],
    spread: Mapping[str, Mapping[str, int]],
    budgets: dict[str, budget.Budget],
    taken: set[str],
) -> state.VmRow | budget.Refusal:
    """Return the VM to move to ``receiver``, or why no VM may move now."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    refusal = budget.Refusal("no pool of this kind has a VM to give")
    best: tuple[tuple, state.VmRow, str] | None = None
    for row in snapshot.view.vms.values():
        donor = row.pool
        is_free = row.state is VmState.UP and row.vm not in taken
        if not is_free or surpluses.get(donor, 0) < 1:
            continue
        machine = snapshot.observation.machines.get(row.vm)
        if machine is None or machine.kind != pools[receiver].kind:
            continue
        if not snapshot.observation.is_serving(row.vm):
            continue
        domain = ""
        if donor in pools:
            domain = getattr(machine, pools[donor].spread)
            budget_refusal = budgets[donor].check_stop(row.vm, domain)
            if budget_refusal.reason:
                refusal = budget_refusal
                continue
        receiver_count = spread[receiver].get(
            getattr(machine, pools[receiver].spread), 0
        )
        donor_count = spread.get(donor, {}).get(domain, 0)
        key = (receiver_count, -surpluses[donor], -donor_count, row.vm)
        if best is None or key < best[0]:
            best = (key, row, domain)
    if best is None:
        return refusal
    _, row, domain = best
    if row.pool in pools:
        budgets[row.pool] = budgets[row.pool].take(row.vm, domain)
    return row
