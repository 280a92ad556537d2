"""Selection of the candidates: the daemons that hold a lease and so can lead.

Each lease costs renewals, and every daemon receives all of them, so the number of
leases must not grow with the number of daemons. Daemons without a lease only check
whether there are enough candidates, each time the earliest known lease would expire.
"""

import hashlib
from typing import NamedTuple

__all__ = [
    "Candidate",
    "compute_join_backoff",
    "compute_target_count",
    "hash_text",
    "is_surplus",
]

MIN_CANDIDATES = 8
"""Minimum number of candidates, so that several can be lost at once before other
daemons have to join."""

SPARE_CANDIDATES = 3
"""Number of candidates beyond one per pool."""

MAX_JOIN_BACKOFF_SECONDS = 0.15
"""Maximum backoff of a daemon with one core before it joins as a candidate. The joins
are spread over it so that most daemons see the first ones and don't join as well."""


class Candidate(NamedTuple):
    """One daemon with a lease."""

    name: str
    cores: float
    is_leader: bool


def compute_target_count(pools: int) -> int:
    """Return the target number of candidates for a number of pools."""
    return max(MIN_CANDIDATES, pools + SPARE_CANDIDATES)


def compute_join_backoff(name: str, version: int, cores: float) -> float:
    """Return the seconds that a daemon waits before it joins.

    Parameters
    ----------
    name : str
        Name of the daemon.
    version : int
        Version of the store at which candidates were found to be missing.
    cores : float
        Processor cores of the daemon; daemons with more cores join first.
    """
    fraction = int.from_bytes(hash_text(f"{version}/{name}")) / 2**64
    return fraction * MAX_JOIN_BACKOFF_SECONDS / max(cores, 0.1)


def is_surplus(name: str, candidates: list[Candidate], target_count: int) -> bool:
    """Return whether a candidate may step down.

    Leaders are kept first, then the candidates with the most cores.
    """

    def sort_key(candidate: Candidate) -> tuple[bool, float, bytes]:
        return not candidate.is_leader, -candidate.cores, hash_text(candidate.name)

    ranked = sorted(candidates, key=sort_key)
    return any(
        candidate.name == name and not candidate.is_leader
        for candidate in ranked[target_count:]
    )


def hash_text(text: str) -> bytes:
    """Return a hash that orders equal candidates pseudo-randomly."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
