"""Moves: which VMs change pools so that every pool has its intended size.

Three kinds of change come from here. A VM of the list that no pool has yet is
assigned to the pool with the largest deficit. A VM that has been gone from the
list for long is released, so that its pool shows a deficit again. A VM of a
pool with too many drains first and then arrives in a pool with too few.

The number of moves is at its lower bound, the sum of the deficits that no
unassigned VM can fill, because only pools above their intended size give and
only pools below it receive: no VM moves twice and no pool does both.
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

# Seconds for which a VM must be missing from the platform's list before its
# pool stops counting on it. Longer than a reboot, so that a VM which is only
# restarting keeps its pool, and much longer than the lag of the list.
RELEASE_AFTER_SECONDS = 900.0

# VMs assigned in one round; each costs a look at every free VM.
MAX_ASSIGNMENTS_PER_ROUND = 100


class Imbalance(NamedTuple):
    """Deficits and surpluses of pools, in VMs; VMs on their way count as there."""

    deficits: Mapping[str, int]
    surpluses: Mapping[str, int]


def measure_imbalance(
    intended: Mapping[str, int], rows: Iterable[state.VmRow]
) -> Imbalance:
    """Return how far pools are from their intended sizes.

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
    gaps = {pool: intended.get(pool, 0) - size for pool, size in sizes.items()}
    return Imbalance(
        {pool: gap for pool, gap in sorted(gaps.items()) if gap > 0},
        {pool: -gap for pool, gap in sorted(gaps.items()) if gap < 0},
    )


def compute_intended_sizes(snapshot: wave.Snapshot) -> dict[str, int]:
    """Return the intended size of each pool, with what the buffers lend.

    A buffer is a pool that must keep none up. It lends first to pools that
    have lost VMs and hold fewer than must be up, then to pools without a
    spare VM of their own, one VM each while a running wave has VMs of them
    left. A borrowed VM passes from one pool to the next without returning to
    the buffer in between, which is one move per pool, the lower bound. No
    pool borrows a second VM while another waits for its first.
    """
    pools = {pool.name: pool for pool in snapshot.document.pools}
    sizes = {name: pool.size for name, pool in pools.items()}
    buffers = {
        pool.kind: pool.name
        for pool in pools.values()
        if pool.size and not budget.required(pool)
    }
    held = collections.Counter(
        row.target or row.pool for row in snapshot.view.vms.values()
    )
    for name, pool in pools.items():
        buffer = buffers.get(pool.kind)
        lost = budget.required(pool) - held[name]
        if buffer and lost > 0:
            sizes[buffer] -= min(lost, sizes[buffer])
    borrowers = list_borrowers(snapshot)
    weights = snapshot.document.weights
    # A buffer VM that no other pool waits for shortens the roll-out of the
    # last pools for one more move, so the weights of the document decide.
    if weights.rollout >= weights.moves:
        borrowers = [*borrowers, *borrowers]
    for name in borrowers:
        buffer = buffers.get(pools[name].kind)
        if buffer and buffer != name and sizes[buffer] > 0:
            sizes[buffer] -= 1
            sizes[name] += 1
    return sizes


def list_borrowers(snapshot: wave.Snapshot) -> list[str]:
    """Return the pools without a spare that a running wave has VMs left of."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    found: list[str] = []
    groups = snapshot.group_rows()
    for item in snapshot.document.waves:
        if wave.tell_closed(snapshot, item, snapshot.limits.stop_estimate):
            continue
        pending = {row.pool for row in batch.list_pending(snapshot, item, groups)}
        pending |= {
            pool
            for pool in item.pools
            for row in groups.get(pool, ())
            if row.wave == item.name and row.state is not VmState.DOWN
        }
        for name in sorted(pending):
            pool = pools.get(name)
            if pool and pool.size <= budget.required(pool) and name not in found:
                found.append(name)
    return found


def assign_vms(snapshot: wave.Snapshot) -> list[change.Change]:
    """Assign VMs of the list that no pool has, spread over failure domains.

    The pool with the largest deficit chooses first, and takes a VM from the
    failure domain in which it has fewest. At most `MAX_ASSIGNMENTS_PER_ROUND` VMs are
    assigned at once, so that a whole new fleet does not hold up the round.
    """
    pools = {pool.name: pool for pool in snapshot.document.pools}
    seen = snapshot.observation
    gaps = dict(
        measure_imbalance(
            compute_intended_sizes(snapshot), snapshot.view.vms.values()
        ).deficits
    )
    spread = count_domains(snapshot)
    free = [
        machine
        for name, machine in sorted(seen.machines.items())
        if machine.role == "worker" and seen.is_live(name)
        if name not in snapshot.view.vms
    ]
    changes: list[change.Change] = []
    while gaps and free and len(changes) < MAX_ASSIGNMENTS_PER_ROUND:
        name = max(sorted(gaps), key=lambda name: gaps[name])
        machine = choose_free_vm(pools[name], free, spread[name])
        gaps[name] -= 1
        if machine is None or not gaps[name]:
            del gaps[name]
        if machine is None:
            continue
        free.remove(machine)
        domain = getattr(machine, pools[name].spread)
        spread[name][domain] = spread[name].get(domain, 0) + 1
        row = state.VmRow(machine.vm, name, since=seen.now)
        changes.append(change.Change(Step.ASSIGN, row, "VM had no pool"))
    return changes


def choose_free_vm(
    pool: document.Pool,
    free: Iterable[machines.Machine],
    spread: Mapping[str, int],
) -> machines.Machine | None:
    """Return the free VM of the pool's kind that spreads the pool best."""
    fits = (machine for machine in free if machine.kind == pool.kind)
    return min(
        fits,
        key=lambda item: (spread.get(getattr(item, pool.spread), 0), item.vm),
        default=None,
    )


def count_domains(snapshot: wave.Snapshot) -> dict[str, dict[str, int]]:
    """Return per pool how many of its VMs lie in each failure domain."""
    counts: dict[str, dict[str, int]] = {}
    tells = {}
    for pool in snapshot.document.pools:
        counts[pool.name] = {}
        tells[pool.name] = budget.make_domain_lookup(pool, snapshot.observation)
    for row in snapshot.view.vms.values():
        pool = row.target or row.pool
        if pool in counts:
            domain = tells[pool](row.vm)
            counts[pool][domain] = counts[pool].get(domain, 0) + 1
    return counts


def release(
    snapshot: wave.Snapshot, missing: Mapping[str, float]
) -> list[change.Change]:
    """Release VMs that the platform has not listed for `RELEASE_AFTER_SECONDS` seconds.

    Parameters
    ----------
    snapshot : Snapshot
        What the decision is made from.
    missing : mapping of str to float
        Since when (``as_of``) each unlisted VM has been missing.
    """
    changes = []
    for vm, since in sorted(missing.items()):
        row = snapshot.view.vms.get(vm)
        is_gone = snapshot.observation.as_of - since >= RELEASE_AFTER_SECONDS
        if row and is_gone and vm not in snapshot.observation.machines:
            gone = row._replace(since=snapshot.observation.now)
            changes.append(change.Change(Step.RELEASE, gone, "gone from the list"))
    return changes


def pick_moves(snapshot: wave.Snapshot) -> batch.Picks:
    """Return the moves that may begin now: take budget of the donor, drain.

    Donors with the largest surplus give first; of its VMs a donor gives one
    from its most crowded failure domain into the one where the receiver has
    fewest, so that both become more evenly spread. A donor's budget counts as
    for any planned stop, so a move waits for its donor, never overspends it.
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
            best = choose_donor(snapshot, receiver, surpluses, spread, budgets, taken)
            if isinstance(best, budget.Refusal):
                waiting[f"move/{receiver}"] = best.reason
                break
            taken.add(best.vm)
            surpluses[best.pool] -= 1
            domain = budget.make_domain_lookup(pools[receiver], snapshot.observation)(
                best.vm
            )
            spread[receiver][domain] = spread[receiver].get(domain, 0) + 1
            new = best._replace(
                state=VmState.DRAINING, since=snapshot.observation.now, target=receiver
            )
            why = f"pool {receiver} is below its intended size"
            changes.append(change.Change(Step.TAKE, new, why))
    return batch.Picks(tuple(changes), waiting)


def choose_donor(
    snapshot: wave.Snapshot,
    receiver: str,
    surpluses: Mapping[str, int],
    spread: Mapping[str, Mapping[str, int]],
    budgets: dict[str, budget.Budget],
    taken: set[str],
) -> state.VmRow | budget.Refusal:
    """Return the VM that should move to ``receiver``, or why none may now."""
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
            answer = budgets[donor].check_stop(row.vm, domain)
            if answer.reason:
                refusal = answer
                continue
        there = spread[receiver].get(getattr(machine, pools[receiver].spread), 0)
        here = spread.get(donor, {}).get(domain, 0)
        key = (there, -surpluses[donor], -here, row.vm)
        if best is None or key < best[0]:
            best = (key, row, domain)
    if best is None:
        return refusal
    _, row, domain = best
    if row.pool in pools:
        budgets[row.pool] = budgets[row.pool].take(row.vm, domain)
    return row
