"""Budget of repeated sends to the workers of one pool.

Made for a total outage of a pool's workers: with three tries a request the
load on what is left would triple just when it returns. Harm prevented: an
outage that lasts because of the retries.
"""

__all__ = ["Budget"]

# Repeats earned by each first send. Even if every one is used, the load stays
# under 1.03 times what callers sent; with what was saved up the aim is 1.1.
EARNED_BY_SEND = 0.03

# Repeats after a worker's refusal that each whole answer earns. An answer
# proves that slots become free, so a refusal then is contention between
# daemons that know too little of each other, not an outage.
EARNED_BY_ANSWER = 5.0

# Most that can be saved up of each kind: what an outage begins with, for each
# daemon. More would multiply an outage; fewer after refusals would not last
# through a burst of contention, and requests be refused for want of a repeat.
MOST_REPEATS = 5.0
MOST_REFUSALS = 20.0


class Budget:
    """Token buckets of one daemon for one pool.

    Examples
    --------
    >>> budget = Budget()
    >>> sum(budget.spend() for _ in range(50))
    5
    """

    def __init__(self) -> None:
        self._repeats = MOST_REPEATS
        self._refusals = MOST_REFUSALS

    def earn_by_send(self) -> None:
        """Count a first send."""
        self._repeats = min(MOST_REPEATS, self._repeats + EARNED_BY_SEND)

    def earn_by_answer(self) -> None:
        """Count a whole answer."""
        self._refusals = min(MOST_REFUSALS, self._refusals + EARNED_BY_ANSWER)

    def spend(self) -> bool:
        """Take one repeat after a failure, if there is one."""
        if self._repeats < 1.0:
            return False
        self._repeats -= 1.0
        return True

    def has_refusal(self) -> bool:
        """Tell whether a repeat after a refusal is left."""
        return max(self._refusals, self._repeats) >= 1.0

    def spend_refusal(self) -> bool:
        """Take one repeat after a refusal, if there is one."""
        if self._refusals >= 1.0:
            self._refusals -= 1.0
            return True
        return self.spend()
