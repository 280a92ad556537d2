"""Which worker a job goes to, and which bulk makes room for urgent work."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wigeonhitch.placement import attempt

__all__ = ["Spot", "Victim", "fits", "pick", "pick_victims", "slack_of"]

EPSILON = 1e-6
# Bulk that could not be resumed this long and still finish in time is left
# alone, as urgent work must not cost a reconciliation its deadline.
PAUSE = 120.0


class Spot:
    """Room on one worker during one round of placing."""

    __slots__ = ("busy", "cores", "domain", "memory", "trial", "vm")

    def __init__(self, vm: str, domain: str, cores: float, memory: float):
        self.vm = vm
        self.domain = domain
        self.cores = cores
        self.memory = memory
        self.trial = False
        self.busy = False

    def take(self, cores: float, memory: float) -> None:
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


def fits(spot: Spot, cores: float, memory: float) -> bool:
    """Whether the worker has room."""
    return spot.cores + EPSILON >= cores and spot.memory + EPSILON >= memory


def pick(
    spots: Iterable[Spot],
    need: tuple[float, float],
    *,
    urgent: bool,
    rerun: bool,
    crowd: Mapping[str, int],
    avoid: Sequence[str],
    held: str = "",
) -> Spot | None:
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
    for spot in spots:
        if not fits(spot, *need) or spot.vm in avoid:
            continue
        if (spot.trial and (urgent or spot.busy or not rerun)) or (
            spot.vm == held and not urgent
        ):
            continue
        left = spot.cores - need[0] + (spot.memory - need[1]) / 4
        last = spot.vm == held
        share = -left if urgent else left
        rank = (crowd.get(spot.domain, 0), last, not spot.trial, share)
        if best_rank is None or rank < best_rank:
            best, best_rank = spot, rank
    return best


def pick_victims(
    spots: Iterable[Spot],
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
    for spot in spots:
        if spot.vm in avoid or spot.trial:
            continue
        chosen = _fill(spot, victims.get(spot.vm, ()), need)
        if chosen and (best is None or len(chosen) < len(best[1])):
            best = (spot.vm, chosen)
    return best


def _fill(
    spot: Spot, victims: Sequence[Victim], need: tuple[float, float]
) -> list[str]:
    cores, memory = spot.cores, spot.memory
    chosen = []
    for victim in sorted(victims, key=lambda item: -item.slack):
        if 0 <= victim.slack < PAUSE:
            continue
        chosen.append(victim.name)
        cores += victim.cores
        memory += victim.memory
        if cores + EPSILON >= need[0] and memory + EPSILON >= need[1]:
            return chosen
    return []


def slack_of(entry: attempt.Attempt, now: float) -> float:
    """Return the seconds a running job could pause; negative when late."""
    done = entry.seen.progress if entry.seen is not None else 0.0
    left = entry.job.asked.duration * (1.0 - min(1.0, done))
    if now > entry.job.due:
        return -1.0
    return max(0.0, entry.job.due - now - left)
