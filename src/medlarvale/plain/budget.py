"""Limits retries of calls to plain services to a share of the calls."""

from __future__ import annotations

from medlarvale.ids import ServiceName

# Services with little traffic can still make this many consecutive retries.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket of each service: a call adds a share of a retry, a retry spends a whole one.

    It keeps retries from multiplying an overload, like the retry budget of Finagle.
    """

    def __init__(self) -> None:
        self._balance: dict[ServiceName, float] = {}

    def record_call(self, service: ServiceName, percent: int) -> None:
        """Counts a first attempt; ``percent`` is the permitted share of retries."""
        balance = self._balance.get(service, MAX_SAVED_RETRIES)
        self._balance[service] = min(MAX_SAVED_RETRIES, balance + percent / 100)

    def spend_retry(self, service: ServiceName) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        balance = self._balance.get(service, MAX_SAVED_RETRIES)
        if balance < 1.0:
            return False
        self._balance[service] = balance - 1.0
        return True
