"""Limits retries to a share of the requests, so that faults do not multiply the load.

Retry budgets: Beyer et al., "Site Reliability Engineering" (2016), chapter 21.
"""

from __future__ import annotations

# The loss of one engine restarts about as many requests at once as the engine has slots.
INITIAL_RETRIES = 20.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Retry budget of one service: requests add to it, retries spend it.

    Args:
        share: retries allowed per request.
        initial: retries allowed before the first request.
        ceiling: maximum number of unspent retries.
    """

    def __init__(
        self,
        share: float,
        initial: float = INITIAL_RETRIES,
        ceiling: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._share = share
        self._ceiling = ceiling
        self._saved = initial if share > 0 else 0.0

    def set_ceiling(self, ceiling: float) -> None:
        """Changes the maximum number of unspent retries; any excess is discarded."""
        self._ceiling = ceiling
        self._saved = min(self._saved, ceiling)

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._saved = min(self._ceiling, self._saved + self._share)

    def has_retry(self) -> bool:
        """Returns whether a retry can be spent."""
        return self._saved >= 1.0

    def spend_retry(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if not self.has_retry():
            return False
        self._saved -= 1.0
        return True
