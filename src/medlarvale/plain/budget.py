"""Limits retries of calls to plain services to a share of the calls."""

from __future__ import annotations

from medlarvale.ids import ServiceName

# Services with little traffic may still retry this often in a row.
RESERVE_RETRIES = 10.0


class RetryBudget:
    """Token bucket per service: each call adds a share of a retry, each retry takes a whole one.

    The idea is Finagle's retry budget; it keeps retries from multiplying an overload.
    """

    def __init__(self) -> None:
        self._balance: dict[ServiceName, float] = {}

    def record_call(self, service: ServiceName, percent: int) -> None:
        """Counts a first try; ``percent`` is the permitted share of retries."""
        balance = self._balance.get(service, RESERVE_RETRIES)
        self._balance[service] = min(RESERVE_RETRIES, balance + percent / 100)

    def spend_retry(self, service: ServiceName) -> bool:
        """Takes a retry from the budget and returns whether there was one."""
        balance = self._balance.get(service, RESERVE_RETRIES)
        if balance < 1.0:
            return False
        self._balance[service] = balance - 1.0
        return True
