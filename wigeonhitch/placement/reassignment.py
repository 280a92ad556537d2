"""Starts whose fate is not known and whose worker can't be asked any more."""

from typing import Protocol

from wigeonhitch.placement import job, selection, state

__all__ = ["reassign_starts"]


class PlacementRound(Protocol):
    """What is needed of a round of placing in one pool."""

    shard: state.ShardState
    pool: str
    candidates: dict[str, selection.Candidate]

    def start(self, item: job.Job, vm: str, need: tuple[float, float]) -> job.Job:
        """Return the job as started on a worker."""
        ...


def reassign_starts(pool_round: PlacementRound) -> int:
    """Give starts whose fate is not known another worker, under one name.

    The platform runs a task name once, so the same attempt may be started
    elsewhere even if the first call still arrives.
    """
    shard = pool_round.shard
    count = 0
    for name in _find_unconfirmed(shard, pool_round.pool):
        entry = shard.jobs[name]
        item = entry.job
        options = {"urgent": item.is_urgent, "rerun": item.asked.rerun}
        options |= {"crowd": {}, "avoid": (item.vm,)}
        candidate = selection.select_worker(
            pool_round.candidates.values(), (item.cores, item.memory), **options
        )
        if candidate is None:
            entry.refused = False
            continue
        candidate.allocate(item.cores, item.memory)
        entry.refused = False
        entry.retry_at = 0.0
        size = (item.cores, item.memory)
        shard.apply_change(entry, pool_round.start(item, candidate.vm, size))
        count += 1
    return count


def _find_unconfirmed(shard: state.ShardState, pool: str) -> list[str]:
    found = []
    for vm, names in shard.on_vm.items():
        known = shard.vms.get(vm)
        usable = known is not None and known.usable
        for name in names:
            entry = shard.jobs[name]
            item = entry.job
            if item.state is not job.JobState.STARTING or item.asked.pool != pool:
                continue
            waits = entry.refused or (not usable and not entry.flying)
            if entry.unsure and not entry.known and waits:
                found.append(name)
    return sorted(found)
