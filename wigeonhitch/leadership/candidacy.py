"""Which daemons hold a lease, so as to lead: a bounded number of candidates.

A lease costs renewals, and each daemon hears of all of them, so the number of leases
mustn't grow with the number of daemons. The others only look whether there are enough
candidates, each time that the first of the known leases would have run out.
"""

import hashlib
from typing import NamedTuple

__all__ = [
    "Candidate",
    "compute_backoff",
    "compute_wanted",
    "is_surplus",
    "mix",
]

LEAST = 8
"""Candidates at least: several may be lost at once before others have to join."""

SPARE = 3
"""Candidates beyond one for each pool."""

BACKOFF = 0.15
"""Seconds over which daemons of one core join where candidates are missing: those
that come first are heard of before most others join too."""


class Candidate(NamedTuple):
    """One daemon with a lease."""

    name: str
    cores: float
    leads: bool


def compute_wanted(pools: int) -> int:
    """Return how many candidates there should be for a number of pools."""
    return max(LEAST, pools + SPARE)


def compute_backoff(name: str, version: int, cores: float) -> float:
    """Return the seconds that a daemon waits before it joins.

    Parameters
    ----------
    name : str
        The daemon.
    version : int
        The store's, at which candidates were found to be missing.
    cores : float
        The daemon's processors: strong ones join first.
    """
    share = int.from_bytes(mix(f"{version}/{name}")) / 2**64
    return share * BACKOFF / max(cores, 0.1)


def is_surplus(name: str, candidates: list[Candidate], wanted: int) -> bool:
    """Whether a candidate may stand down: leaders stay, then the strongest."""

    def weigh(one: Candidate) -> tuple[bool, float, bytes]:
        return not one.leads, -one.cores, mix(one.name)

    ranked = sorted(candidates, key=weigh)
    return any(one.name == name and not one.leads for one in ranked[wanted:])


def mix(text: str) -> bytes:
    """Return a hash by which equals are put in an order that spreads them."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
