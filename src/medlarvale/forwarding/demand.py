"""Measures the load that callers put on the engines of a service."""

from __future__ import annotations

import math

from medlarvale.forwarding.backlog import RecentWaits
from medlarvale.forwarding.fleet_messages import Demand

# Time constant of the arrival rates: longer than a burst, which is over before a switch is.
RATE_TIME_CONSTANT_MS = 12_000.0
# Shorter measurements say nothing yet.
MIN_MEASURED_MS = 2_000.0
# Weight of the newest stream in the mean time that a stream takes.
TIME_SMOOTHING = 0.05
# Time that a stream holds its memory, before one has ended: 60 events at about 50 ms.
INITIAL_HOLD_MS = 3_000.0
# A decode step takes at least this long.
INITIAL_MS_PER_TOKEN = 3.8
INITIAL_OUTPUT_TOKENS = 700.0
# Prefill speed before a prompt was read, and the slowest that is believed.
INITIAL_TOKENS_PER_MS = 40.0
MIN_TOKENS_PER_MS = 5.0
# The fastest prefill counts; it fades by this share with each prompt, as engines may change.
SPEED_DECAY = 0.002


class _Rate:
    """Exponentially weighted sum a second, over the time since the first arrival."""

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
        hold_ms: how long a stream holds its memory.
        tokens_per_ms: prompt tokens that an otherwise idle prefill engine reads in a ms.
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
        """Counts a request, whether it is served or not."""
        self._prompt.add(prompt_tokens, now_ms)
        self._memory.add(memory_tokens, now_ms)

    def note_prefill(self, prompt_tokens: int, took_ms: float) -> None:
        """Learns the speed of prefill from a prompt."""
        speed = max(MIN_TOKENS_PER_MS, prompt_tokens / max(1.0, took_ms))
        self.tokens_per_ms = max(speed, self.tokens_per_ms * (1.0 - SPEED_DECAY))

    def note_hold(self, held_ms: float) -> None:
        """Learns how long a stream holds its memory."""
        self.hold_ms += TIME_SMOOTHING * (held_ms - self.hold_ms)

    def note_decode(self, output_tokens: int, took_ms: float) -> None:
        """Learns the speed of decoding from a stream and the output expected of it."""
        # Times and tokens are summed apart: the mean of their quotients would be ruled by the few
        # streams that were expected to be short and were long.
        self._decode_ms += TIME_SMOOTHING * (took_ms - self._decode_ms)
        self._decode_tokens += TIME_SMOOTHING * (output_tokens - self._decode_tokens)

    def decode_ms(self, output_tokens: int) -> float:
        """Returns how long a stream is expected to take from its first event."""
        return output_tokens * self._decode_ms / self._decode_tokens

    def demand(self, now_ms: float) -> Demand:
        """Returns the present load."""
        return Demand(
            self._prompt.per_s(now_ms), self._memory.per_s(now_ms) * self.hold_ms / 1000.0
        )
