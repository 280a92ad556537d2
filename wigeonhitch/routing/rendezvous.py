"""Who does what among alike daemons, by rendezvous hashing.

Every daemon that sees the same members computes the same answer, and a change
of one member moves only what that member had.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["compute_connection_limit", "rank"]


def rank(name: str, members: Iterable[str]) -> list[str]:
    """Return the members, best first, for the duty ``name``.

    Examples
    --------
    >>> rank("lookup", ["a", "b"]) == rank("lookup", ["b", "a"])
    True
    """
    return sorted(members, key=lambda member: _score(name, member))


def compute_connection_limit(vm: str, own: str, members: list[str], most: int) -> int:
    """Return how many connections ``own`` may hold to a worker.

    Parameters
    ----------
    vm : str
        The worker, which accepts ``most`` connections.
    own : str
        This daemon.
    members : list of str
        All daemons, this one included.

    Notes
    -----
    The sum over all members is at most ``most``. What is left after an equal
    share goes to those whose rank for this worker is best, so with more
    daemons than connections each worker has a stable subset of daemons.
    """
    share, left = divmod(most, max(1, len(members)))
    if not left:
        return share
    score = _score(vm, own)
    better = 0
    for member in members:
        if _score(vm, member) < score:
            better += 1
            if better >= left:
                return share
    return share + 1


def _score(name: str, member: str) -> bytes:
    return hashlib.blake2b(f"{name}\0{member}".encode(), digest_size=8).digest()
