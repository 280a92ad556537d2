"""Reassignment of unconfirmed starts whose worker is no longer available."""

from typing import Protocol

from wigeonhitch.placement import job, selection, state

__all__ = ["reassign_starts"]


class PlacementRound(Protocol):
    """The parts of a placement round in one pool that reassignment needs."""

    shard: state.ShardState
    pool: str
    candidates: dict[str, selection.Candidate]

    def start(self, item: job.Job, vm: str, need: tuple[float, float]) -> job.Job:
        """Return the job with its start on a worker."""
        ...


def reassign_starts(pool_round: PlacementRound) -> int:
    """Move unconfirmed starts to another worker; return how many were moved.

    The task name stays the same. The platform runs each name at most once, so
    the attempt may be started elsewhere even if the first call still arrives.
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
            # The call was dropped if the refused start stood for more than a step.
            shard.pending_calls.add(name)
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
    unconfirmed = []
    for vm, names in shard.on_vm.items():
        worker = shard.vms.get(vm)
        usable = worker is not None and worker.usable
        for name in names:
            entry = shard.jobs[name]
            item = entry.job
            if item.state is not job.JobState.STARTING or item.asked.pool != pool:
                continue
            needs_worker = entry.refused or (not usable and not entry.call_in_flight)
            if entry.start_unconfirmed and not entry.known_to_platform and needs_worker:
                unconfirmed.append(name)
    return sorted(unconfirmed)
