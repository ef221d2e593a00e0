"""Measures the load of callers on the engines of a service."""

from __future__ import annotations

import math

from medlarvale.forwarding.backlog import RecentWaits
from medlarvale.forwarding.engine_model import EngineModel
from medlarvale.forwarding.fleet_messages import Demand

# Time constant of the arrival rates: longer than a burst, which ends before an engine could switch.
RATE_TIME_CONSTANT_MS = 12_000.0
# Rates are computed over at least this time, because shorter windows are too noisy.
MIN_MEASURED_MS = 2_000.0


class _Rate:
    """Exponentially weighted rate per second, corrected for the time since the first arrival."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at_ms = 0.0
        self._since_ms: float | None = None

    def add(self, amount: float, now_ms: float) -> None:
        if self._since_ms is None:
            self._since_ms = now_ms
        self._sum = self._decayed(now_ms) + amount
        self._at_ms = now_ms

    def _decayed(self, now_ms: float) -> float:
        return self._sum * math.exp(-(now_ms - self._at_ms) / RATE_TIME_CONSTANT_MS)

    def per_s(self, now_ms: float) -> float:
        if self._since_ms is None:
            return 0.0
        measured_ms = max(MIN_MEASURED_MS, now_ms - self._since_ms)
        weight_ms = RATE_TIME_CONSTANT_MS * (1.0 - math.exp(-measured_ms / RATE_TIME_CONSTANT_MS))
        return self._decayed(now_ms) * 1000.0 / weight_ms


class DemandMeter:
    """Load of one service at one host.

    Attributes:
        model: learned speeds and outputs of its engines.
        prefill_waits: recent queueing times at prefill engines.
    """

    def __init__(self) -> None:
        self._prompt = _Rate()
        self._memory = _Rate()
        self._streams = _Rate()
        self.model = EngineModel()
        self.prefill_waits = RecentWaits()

    def note_arrival(self, prompt_tokens: int, memory_tokens: int, now_ms: float) -> None:
        """Counts a request, whether or not it is served."""
        self._prompt.add(prompt_tokens, now_ms)
        self._memory.add(memory_tokens, now_ms)
        self._streams.add(1.0, now_ms)

    def demand(self, now_ms: float) -> Demand:
        """Returns the present load; its decode part is 0 until hold times have been measured."""
        hold_s = (self.model.hold_ms(now_ms) or 0.0) / 1000.0
        return Demand(
            self._prompt.per_s(now_ms),
            self._memory.per_s(now_ms) * hold_s,
            self._streams.per_s(now_ms) * hold_s,
        )
