"""Quota that a host has been granted for requests to come, without I/O."""

from __future__ import annotations

import math
from collections import deque

import msgspec

from medlarvale.ids import HostId

# An advance lapses at the host that holds it after this time: what is granted in one window may be
# used in the next one, and this bounds by how much.
ADVANCE_LIFE_MS = 1_000.0
# Advances cover the demand of about this time.
DEMAND_MS = 500.0
# Lots held at a time per workspace; smaller ones are merged with the one before.
MAX_LOTS = 8


class _Lot(msgspec.Struct):
    """An advance.

    Attributes:
        owner: the host that has granted it; None for the amount of a request that did not run.
    """

    amount: float
    until_ms: float
    owner: HostId | None


class Holding:
    """What one host holds for one workspace, and its recent demand."""

    def __init__(self, now_ms: float) -> None:
        self.used_ms = now_ms
        self._lots: deque[_Lot] = deque()
        self._demand = 0.0
        self._demand_ms = now_ms
        self._held_off_ms = float("-inf")
        self._granted_from_ms = 0.0

    def note_refusal(self, now_ms: float, hold_ms: float, retry_ms: float) -> None:
        """Notes that the owner has refused a request.

        Args:
            now_ms: current time.
            hold_ms: time for which it is not asked again.
            retry_ms: time after which the request may be granted.
        """
        self._held_off_ms = now_ms + hold_ms
        self._granted_from_ms = now_ms + retry_ms

    def hold_off(self, now_ms: float) -> int | None:
        """Returns the retry time of a request that is refused without asking; None to ask."""
        if now_ms >= self._held_off_ms:
            return None
        return int(self._granted_from_ms - now_ms) + 1

    @property
    def amount(self) -> float:
        """Amount held, which may include lapsed lots."""
        return sum(lot.amount for lot in self._lots)

    def note_demand(self, amount: float, now_ms: float) -> None:
        """Counts the amount of a request into the recent demand."""
        self._demand = self.demand(now_ms) + amount
        self._demand_ms = self.used_ms = now_ms

    def demand(self, now_ms: float) -> float:
        """Returns the demand per ``DEMAND_MS``, an exponentially weighted mean."""
        return self._demand * math.exp((self._demand_ms - now_ms) / DEMAND_MS)

    def add(self, amount: float, until_ms: float, owner: HostId | None) -> None:
        """Adds an advance, or the amount of a request that did not run."""
        if amount <= 0.0:
            return
        if len(self._lots) >= MAX_LOTS and self._lots[-1].owner == owner:
            # The merged lot lapses with the earlier of the two.
            self._lots[-1].amount += amount
            return
        self._lots.append(_Lot(amount, until_ms, owner))

    def use(self, amount: float, now_ms: float) -> bool:
        """Uses held quota for a request, the oldest first; returns whether it suffices."""
        live = [lot for lot in self._lots if lot.until_ms > now_ms]
        if not live or sum(lot.amount for lot in live) < amount:
            return False
        for lot in live:
            part = min(lot.amount, amount)
            lot.amount -= part
            amount -= part
        return True

    def take_lapsed(self, now_ms: float) -> dict[HostId, float]:
        """Removes lapsed advances and returns what is left of them by owner."""
        lapsed: dict[HostId, float] = {}
        for lot in [lot for lot in self._lots if lot.until_ms <= now_ms or lot.amount <= 0.0]:
            self._lots.remove(lot)
            if lot.owner is not None and lot.amount > 0.0:
                lapsed[lot.owner] = lapsed.get(lot.owner, 0.0) + lot.amount
        return lapsed
