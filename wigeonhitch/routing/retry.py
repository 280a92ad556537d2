"""Budget of repeated sends to the workers of one pool.

Made for a total outage of a pool's workers: with three tries a request the
load on what is left would triple just when it returns. Harm prevented: an
outage that lasts because of the retries.
"""

__all__ = ["Budget"]

# Repeats earned by each first send. Even if every one is used, the load stays
# under 1.05 times what callers sent; the aim is 1.1.
EARNED_BY_SEND = 0.05

# Repeats after a worker's refusal that each whole answer earns. An answer
# proves that slots become free, so a refusal then is contention between
# daemons that know too little of each other, not an outage.
EARNED_BY_ANSWER = 3.0

# Most that can be saved up, for each of the two. An outage begins with at
# most this many repeats by each daemon.
MOST = 10.0


class Budget:
    """Token buckets of one daemon for one pool.

    Examples
    --------
    >>> budget = Budget()
    >>> sum(budget.spend() for _ in range(50))
    10
    """

    def __init__(self) -> None:
        self._repeats = MOST
        self._refusals = MOST

    def earn_by_send(self) -> None:
        """Count a first send."""
        self._repeats = min(MOST, self._repeats + EARNED_BY_SEND)

    def earn_by_answer(self) -> None:
        """Count a whole answer."""
        self._refusals = min(MOST, self._refusals + EARNED_BY_ANSWER)

    def spend(self) -> bool:
        """Take one repeat after a failure, if there is one."""
        if self._repeats < 1.0:
            return False
        self._repeats -= 1.0
        return True

    def spend_refusal(self) -> bool:
        """Take one repeat after a refusal, if there is one."""
        if self._refusals >= 1.0:
            self._refusals -= 1.0
            return True
        return self.spend()
