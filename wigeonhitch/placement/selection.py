"""Selection of the worker for a job, and of bulk jobs to preempt for urgent work."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wigeonhitch.placement import attempt

__all__ = [
    "Candidate",
    "Victim",
    "fits",
    "select_worker",
    "select_victims",
    "find_slack",
]

EPSILON = 1e-6
# A bulk job with less slack than this is not preempted: urgent work must not make
# it miss its deadline.
MIN_SLACK_SECONDS = 120.0


class Candidate:
    """Free capacity of one worker during one placement round."""

    __slots__ = ("busy", "cores", "domain", "memory", "trial", "vm")

    def __init__(self, vm: str, domain: str, cores: float, memory: float):
        self.vm = vm
        self.domain = domain
        self.cores = cores
        self.memory = memory
        self.trial = False
        self.busy = False

    def allocate(self, cores: float, memory: float) -> None:
        """Subtract a job's size from the free capacity."""
        self.cores -= cores
        self.memory -= memory
        self.busy = True


class Victim(NamedTuple):
    """A running bulk job that may be checkpointed for urgent work."""

    name: str
    vm: str
    cores: float
    memory: float
    slack: float


def fits(candidate: Candidate, cores: float, memory: float) -> bool:
    """Return whether the worker has enough free capacity."""
    return candidate.cores + EPSILON >= cores and candidate.memory + EPSILON >= memory


def select_worker(
    candidates: Iterable[Candidate],
    need: tuple[float, float],
    *,
    urgent: bool,
    rerun: bool,
    crowd: Mapping[str, int],
    avoid: Sequence[str],
    held: str = "",
) -> Candidate | None:
    """Return the worker for a job, or None when none has enough capacity.

    Workers are ranked by the number of jobs of the same group in their failure
    domain, fewest first, so that the loss of a rack affects as few as possible.
    Among equals, bulk goes where the least capacity is left over, which keeps
    large gaps for large jobs, and urgent work where the most is left, as its true
    size may exceed the estimate. A worker on trial gets one repeatable bulk job
    at a time, and is preferred for it, so that a repaired worker returns soon.
    ``held`` is a worker kept free of new bulk for a job that has waited for a
    whole worker. It is the last choice for urgent work, since short urgent jobs
    would keep it from ever becoming empty.
    """
    best = None
    best_rank: tuple[int, bool, bool, float] | None = None
    for candidate in candidates:
        if not fits(candidate, *need) or candidate.vm in avoid:
            continue
        if (candidate.trial and (urgent or candidate.busy or not rerun)) or (
            candidate.vm == held and not urgent
        ):
            continue
        remaining = candidate.cores - need[0] + (candidate.memory - need[1]) / 4
        is_held = candidate.vm == held
        preference = -remaining if urgent else remaining
        rank = (
            crowd.get(candidate.domain, 0),
            is_held,
            not candidate.trial,
            preference,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def select_victims(
    candidates: Iterable[Candidate],
    victims: Mapping[str, Sequence[Victim]],
    need: tuple[float, float],
    avoid: Sequence[str],
) -> tuple[str, list[str]] | None:
    """Return the worker and the fewest bulk jobs to preempt for urgent work.

    When bulk fills every worker, an interactive user would wait for a bulk job
    to end. Jobs with the most slack are chosen first, and none whose deadline
    the pause would break.
    """
    best: tuple[str, list[str]] | None = None
    for candidate in candidates:
        if candidate.vm in avoid or candidate.trial:
            continue
        chosen = _choose_victims(candidate, victims.get(candidate.vm, ()), need)
        if chosen and (best is None or len(chosen) < len(best[1])):
            best = (candidate.vm, chosen)
    return best


def _choose_victims(
    candidate: Candidate, victims: Sequence[Victim], need: tuple[float, float]
) -> list[str]:
    cores, memory = candidate.cores, candidate.memory
    chosen = []
    for victim in sorted(victims, key=lambda item: -item.slack):
        if 0 <= victim.slack < MIN_SLACK_SECONDS:
            continue
        chosen.append(victim.name)
        cores += victim.cores
        memory += victim.memory
        if cores + EPSILON >= need[0] and memory + EPSILON >= need[1]:
            return chosen
    return []


def find_slack(entry: attempt.Attempt, now: float) -> float:
    """Return how many seconds a running job may pause; negative when late."""
    progress = entry.listed.progress if entry.listed is not None else 0.0
    remaining = entry.job.asked.duration * (1.0 - min(1.0, progress))
    if now > entry.job.due:
        return -1.0
    return max(0.0, entry.job.due - now - remaining)
