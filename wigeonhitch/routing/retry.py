"""Budget for retries to the workers of one pool.

Prevents retries from prolonging a total outage of a pool's workers: with three
tries per request, the load on the remaining workers would triple just as they
recover.
"""

__all__ = ["Budget"]

# Retries after failures earned by each first send. If all are used, the load stays
# below 1.03 times what callers sent; with the saved tokens the target is 1.1 times.
TOKENS_PER_SEND = 0.03

# Retries after refusals earned by each whole answer. An answer shows that slots
# become free, so that a refusal results from contention between daemons that lack
# each other's counts, not from an outage.
TOKENS_PER_ANSWER = 5.0

# Largest balance of each kind, which each daemon may spend when an outage begins.
# A larger one would multiply the load of the outage; with fewer tokens for refusals,
# a burst of contention would exhaust them and requests would be refused.
MAX_FAILURE_TOKENS = 5.0
MAX_REFUSAL_TOKENS = 20.0


class Budget:
    """Token buckets of one daemon for one pool.

    Examples
    --------
    >>> budget = Budget()
    >>> sum(budget.spend() for _ in range(50))
    5
    """

    def __init__(self) -> None:
        self._failure_tokens = MAX_FAILURE_TOKENS
        self._refusal_tokens = MAX_REFUSAL_TOKENS

    def add_for_send(self) -> None:
        """Add the tokens for a first send."""
        self._failure_tokens = min(
            MAX_FAILURE_TOKENS, self._failure_tokens + TOKENS_PER_SEND
        )

    def add_for_answer(self) -> None:
        """Add the tokens for a whole answer."""
        self._refusal_tokens = min(
            MAX_REFUSAL_TOKENS, self._refusal_tokens + TOKENS_PER_ANSWER
        )

    def spend(self) -> bool:
        """Spend a token for a retry after a failure; return whether there was one."""
        if self._failure_tokens < 1.0:
            return False
        self._failure_tokens -= 1.0
        return True

    def can_retry_refused(self) -> bool:
        """Return whether a token for a retry after a refusal is left."""
        return max(self._refusal_tokens, self._failure_tokens) >= 1.0

    def spend_after_refusal(self) -> bool:
        """Spend a token for a retry after a refusal; return whether there was one."""
        if self._refusal_tokens >= 1.0:
            self._refusal_tokens -= 1.0
            return True
        return self.spend()
