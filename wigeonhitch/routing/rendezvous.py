"""Assignment of duties among equivalent daemons by rendezvous hashing.

Every daemon that sees the same members computes the same assignment, and a change
of one member moves only the duties of that member.
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


def compute_connection_limit(
    vm: str, daemon: str, members: list[str], max_connections: int
) -> int:
    """Return how many connections a daemon may hold to a worker.

    Parameters
    ----------
    vm : str
        The worker, which accepts ``max_connections`` connections.
    daemon : str
        The daemon.
    members : list of str
        All daemons, this one included.

    Notes
    -----
    The sum over all members is at most ``max_connections``. The remainder after an
    equal share goes to the members that rank best for this worker, so with more
    daemons than connections each worker has a stable subset of daemons.
    """
    share, remainder = divmod(max_connections, max(1, len(members)))
    if not remainder:
        return share
    score = _score(vm, daemon)
    better = 0
    for member in members:
        if _score(vm, member) < score:
            better += 1
            if better >= remainder:
                return share
    return share + 1


def _score(name: str, member: str) -> bytes:
    return hashlib.blake2b(f"{name}\0{member}".encode(), digest_size=8).digest()
