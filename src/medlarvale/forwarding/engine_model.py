"""Estimates of the speeds, times and outputs of the engines of one service.

Nothing is assumed about an engine before it is measured: an estimate is None until there is enough
evidence.
"""

from __future__ import annotations

import math
from typing import Any

from medlarvale.forwarding.engine_figures import (
    EVIDENCE_TIME_CONSTANT_MS,
    MAX_TOKENS_PER_MS,
    MIN_EVIDENCE,
    EngineFigures,
    FastestSpeed,
    OutputMoments,
    add,
    flat,
    from_flat,
    limited,
    measured,
)
from medlarvale.forwarding.messages import TokenCounts
from medlarvale.ids import HostId

# Quantiles of the shortest plausible stream: fast engines, short outputs.
FASTEST_SHARE = 0.1
SHORTEST_SHARE = 0.1
# Share of the outputs for which the reserved memory suffices.
RESERVED_SHARE = 0.93
# Figures of a peer are dropped after this many time constants, when 5% of their weight remains.
MAX_AGES = 3.0
# Pooled estimates are recomputed at most this often.
POOL_PERIOD_MS = 500.0
_NOTHING = flat(EngineFigures())


class EngineModel:
    """Estimates for the engines of one service, from this host's measurements and its peers'."""

    def __init__(self) -> None:
        self._own = flat(EngineFigures())
        self._own_ms = 0.0
        # Time and numbers of the last figures of each peer.
        self._peers: dict[HostId, tuple[float, list[float]]] = {}
        self._pooled = EngineFigures()
        self._pooled_ms = -math.inf

    def note_events(self, events: int, elapsed_ms: float, now_ms: float) -> None:
        """Records the time that an engine took for some events of one stream."""
        self._note(now_ms, event_ms=measured(elapsed_ms / events))

    def note_first_event(self, elapsed_ms: float, now_ms: float) -> None:
        """Records the time from a reservation to the first event of its stream."""
        self._note(now_ms, first_event_ms=measured(elapsed_ms))

    def note_hold(self, held_ms: float, now_ms: float) -> None:
        """Records the time for which a complete stream held its memory."""
        self._note(now_ms, hold_ms=measured(held_ms))

    def note_prefill(self, tokens: int, elapsed_ms: float, now_ms: float) -> None:
        """Records the duration of a prefill."""
        speed = min(MAX_TOKENS_PER_MS, tokens / max(1.0, elapsed_ms))
        self._note(now_ms, prefill=FastestSpeed(1.0, speed))

    def note_output(self, hint: int, events: int, now_ms: float) -> None:
        """Records the number of events of a complete stream and the hint of its output."""
        x, y = math.log(max(1, hint)), math.log(max(1, events))
        self._note(now_ms, outputs=OutputMoments(1.0, x, y, x * x, y * y, x * y))

    def _note(self, now_ms: float, **parts: Any) -> None:
        known = add(_NOTHING, self._own, now_ms - self._own_ms)
        self._own = add(known, flat(EngineFigures(**parts)))
        self._own_ms = now_ms

    def own_figures(self, now_ms: float) -> EngineFigures:
        """Returns what this host has measured, for its peers."""
        return limited(from_flat(add(_NOTHING, self._own, now_ms - self._own_ms)))

    def note_peer(self, host: HostId, figures: EngineFigures, now_ms: float) -> None:
        """Replaces the figures of a peer."""
        self._peers[host] = (now_ms, flat(limited(figures)))

    def _figures(self, now_ms: float) -> EngineFigures:
        if now_ms - self._pooled_ms >= POOL_PERIOD_MS:
            self._pooled_ms = now_ms
            oldest_ms = now_ms - EVIDENCE_TIME_CONSTANT_MS * MAX_AGES
            total = add(_NOTHING, self._own, now_ms - self._own_ms)
            for host, (at_ms, values) in list(self._peers.items()):
                if at_ms < oldest_ms:
                    del self._peers[host]
                else:
                    total = add(total, values, now_ms - at_ms)
            self._pooled = from_flat(total)
        return self._pooled

    def event_ms(self, now_ms: float, share: float) -> float | None:
        """Returns the time between two events that a share of the streams does not exceed."""
        return self._figures(now_ms).event_ms.quantile(share)

    def first_event_ms(self, now_ms: float, share: float) -> float | None:
        """Returns the time to the first event that a share of the streams does not exceed."""
        return self._figures(now_ms).first_event_ms.quantile(share)

    def hold_ms(self, now_ms: float) -> float | None:
        """Returns the mean time for which a stream holds its memory."""
        return self._figures(now_ms).hold_ms.mean()

    def prefill_tokens_per_ms(self, now_ms: float) -> float | None:
        """Returns the prefill speed of an engine without a queue."""
        prefill = self._figures(now_ms).prefill
        return prefill.tokens_per_ms if prefill.weight >= MIN_EVIDENCE else None

    def output_tokens(self, tokens: TokenCounts, now_ms: float, share: float) -> int:
        """Returns the output that a share of such requests does not exceed, at most the maximum."""
        if tokens.output_hint is None:
            return tokens.max_output
        predicted = self._figures(now_ms).outputs.predict(tokens.output_hint)
        return max(1, min(tokens.max_output, round(math.exp(predicted.inv_cdf(share)))))

    def reserved_output(self, tokens: TokenCounts, now_ms: float) -> int:
        """Returns the output for which memory is reserved."""
        return self.output_tokens(tokens, now_ms, RESERVED_SHARE)

    def tokens_per_event(self, now_ms: float) -> float | None:
        """Returns the mean number of output tokens in an event."""
        return self._figures(now_ms).outputs.tokens_per_event()

    def shortest_stream_ms(self, tokens: TokenCounts, now_ms: float) -> float:
        """Returns the duration below which a stream is implausible; 0 without evidence."""
        event_ms = self.event_ms(now_ms, FASTEST_SHARE)
        tokens_per_event = self.tokens_per_event(now_ms)
        if event_ms is None or tokens_per_event is None or tokens.output_hint is None:
            return 0.0
        return event_ms * self.output_tokens(tokens, now_ms, SHORTEST_SHARE) / tokens_per_event

    def longest_stream_ms(self, tokens: TokenCounts, now_ms: float, share: float) -> float:
        """Returns the time between the first and the last event of a long stream.

        Args:
            share: share of the streams with at most such an output, and of those as fast.

        Returns:
            The time, or infinity without evidence.
        """
        event_ms = self.event_ms(now_ms, share)
        tokens_per_event = self.tokens_per_event(now_ms)
        if event_ms is None or tokens_per_event is None:
            return math.inf
        return event_ms * self.output_tokens(tokens, now_ms, share) / tokens_per_event
