"""Bounds retries to a share of the requests, so that faults do not multiply the load.

The idea of a retry budget is from Beyer et al., "Site Reliability Engineering" (2016), chapter 21.
"""

from __future__ import annotations

# The loss of one engine restarts about one engine's slots at once.
INITIAL_RETRIES = 20.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Counts retries of one service against its requests.

    Args:
        share: retries allowed per request.
        initial: retries allowed before the first request.
        ceiling: retries that can be saved up.
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
        """Changes how many retries can be saved up; what is beyond it is lost."""
        self._ceiling = ceiling
        self._saved = min(self._saved, ceiling)

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._saved = min(self._ceiling, self._saved + self._share)

    def spend_retry(self) -> bool:
        """Takes one retry from the budget; returns False if it is spent."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
