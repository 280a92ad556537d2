"""Which worker a job goes to, and which bulk makes room for urgent work."""

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
# Bulk that could not be resumed this long and still finish in time is left
# alone, as urgent work must not cost a reconciliation its deadline.
MIN_SLACK_SECONDS = 120.0


class Candidate:
    """Room on one worker during one round of placing."""

    __slots__ = ("busy", "cores", "domain", "memory", "trial", "vm")

    def __init__(self, vm: str, domain: str, cores: float, memory: float):
        self.vm = vm
        self.domain = domain
        self.cores = cores
        self.memory = memory
        self.trial = False
        self.busy = False

    def allocate(self, cores: float, memory: float) -> None:
        """Use up room."""
        self.cores -= cores
        self.memory -= memory
        self.busy = True


class Victim(NamedTuple):
    """A running bulk job that could be checkpointed."""

    name: str
    vm: str
    cores: float
    memory: float
    slack: float


def fits(candidate: Candidate, cores: float, memory: float) -> bool:
    """Whether the worker has room."""
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
    """Return the worker for a job, or None when none has room.

    Fewest jobs of the same group in the failure domain first, so that the loss
    of a rack takes the fewest of them. Then bulk goes where least room is left
    over, which keeps room whole for large jobs, and urgent work where most is
    left, as its true size may be above the estimate. A worker on trial gets one
    bulk job at a time that may be run again, and gets it before the others, so
    that a worker that was mended comes back soon. ``held`` is kept free of new
    bulk for a job that has waited for a whole worker, and is the last choice for
    urgent work, or short urgent jobs would keep it from ever being empty.
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
        left = candidate.cores - need[0] + (candidate.memory - need[1]) / 4
        last = candidate.vm == held
        share = -left if urgent else left
        rank = (crowd.get(candidate.domain, 0), last, not candidate.trial, share)
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def select_victims(
    candidates: Iterable[Candidate],
    victims: Mapping[str, Sequence[Victim]],
    need: tuple[float, float],
    avoid: Sequence[str],
) -> tuple[str, list[str]] | None:
    """Return the worker and the fewest bulk jobs that make room for urgent work.

    Load: every worker full of bulk when urgent work comes. Harm: a clerk waits
    for a reconciliation to end. Jobs with the most slack are taken, and none
    whose deadline the pause would break.
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
    """Return the seconds a running job could pause; negative when late."""
    done = entry.seen.progress if entry.seen is not None else 0.0
    left = entry.job.asked.duration * (1.0 - min(1.0, done))
    if now > entry.job.due:
        return -1.0
    return max(0.0, entry.job.due - now - left)
