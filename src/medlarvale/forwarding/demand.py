"""Measures the load of callers on the engines of a service."""

from __future__ import annotations

import math

from medlarvale.forwarding.backlog import RecentWaits
from medlarvale.forwarding.fleet_messages import Demand

# Time constant of the arrival rates: longer than a burst, which ends before an engine could switch.
RATE_TIME_CONSTANT_MS = 12_000.0
# Rates are computed over at least this time, because shorter windows are too noisy.
MIN_MEASURED_MS = 2_000.0
# Weight of the newest stream in the smoothed times.
TIME_SMOOTHING = 0.05
# Assumed hold time until a stream has ended: 60 events at about 50 ms.
INITIAL_HOLD_MS = 3_000.0
# Assumed until a stream has ended: the shortest duration of a decode step.
INITIAL_MS_PER_TOKEN = 3.8
INITIAL_OUTPUT_TOKENS = 700.0
# Prefill speed that is assumed until a prompt has been measured, and the lower bound of
# measurements.
INITIAL_TOKENS_PER_MS = 40.0
MIN_TOKENS_PER_MS = 5.0
# The fastest prefill is kept; it decays by this share with each prompt, because engines may change.
SPEED_DECAY = 0.002


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
        hold_ms: smoothed time that a stream holds its memory.
        tokens_per_ms: prompt tokens per ms that an otherwise idle prefill engine processes.
        prefill_waits: recent queueing times at prefill engines.
    """

    def __init__(self) -> None:
        self._prompt = _Rate()
        self._memory = _Rate()
        self.hold_ms = INITIAL_HOLD_MS
        self._decode_ms = INITIAL_MS_PER_TOKEN * INITIAL_OUTPUT_TOKENS
        self._decode_tokens = INITIAL_OUTPUT_TOKENS
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS
        self.prefill_waits = RecentWaits()

    def note_arrival(self, prompt_tokens: int, memory_tokens: int, now_ms: float) -> None:
        """Counts a request, whether or not it is served."""
        self._prompt.add(prompt_tokens, now_ms)
        self._memory.add(memory_tokens, now_ms)

    def note_prefill(self, prompt_tokens: int, took_ms: float) -> None:
        """Updates the prefill speed from a prompt."""
        speed = max(MIN_TOKENS_PER_MS, prompt_tokens / max(1.0, took_ms))
        self.tokens_per_ms = max(speed, self.tokens_per_ms * (1.0 - SPEED_DECAY))

    def note_hold(self, held_ms: float) -> None:
        """Updates the smoothed hold time."""
        self.hold_ms += TIME_SMOOTHING * (held_ms - self.hold_ms)

    def note_decode(self, output_tokens: int, took_ms: float) -> None:
        """Updates the decode speed from the duration of a stream and its expected output."""
        # Times and tokens are averaged separately: a mean of quotients would be dominated by the
        # few streams whose output was much longer than expected.
        self._decode_ms += TIME_SMOOTHING * (took_ms - self._decode_ms)
        self._decode_tokens += TIME_SMOOTHING * (output_tokens - self._decode_tokens)

    def decode_ms(self, output_tokens: int) -> float:
        """Returns the expected duration of a stream from its first event."""
        return output_tokens * self._decode_ms / self._decode_tokens

    def demand(self, now_ms: float) -> Demand:
        """Returns the present load."""
        return Demand(
            self._prompt.per_s(now_ms), self._memory.per_s(now_ms) * self.hold_ms / 1000.0
        )
