"""Breakdown of the duration of a stream."""

from __future__ import annotations

import statistics

import msgspec

# With fewer gaps the median is too noisy to describe the speed of an engine.
MIN_GAPS = 8


class StreamTimes(msgspec.Struct):
    """Times of one stream; points in time are monotonic, in ms.

    Attributes:
        arrived_ms: arrival of the request.
        waited_ms: total wait for decode memory.
        prefill_ms: total duration of prefills.
        first_event_ms: time of the first forwarded event; None before it.
        last_event_ms: time of the last forwarded event; None before the first.
        prefills: number of successful prefills on prefill engines.
        complete: whether the stream was forwarded to its end.
        gaps_ms: gaps between consecutive events.
    """

    arrived_ms: float
    waited_ms: float = 0.0
    prefill_ms: float = 0.0
    first_event_ms: float | None = None
    last_event_ms: float | None = None
    prefills: int = 0
    complete: bool = False
    gaps_ms: list[float] = []
    _reserved_ms: float = 0.0

    @property
    def longest_gap_ms(self) -> float:
        """Longest gap between two events."""
        return max(self.gaps_ms, default=0.0)

    def median_gap_ms(self) -> float | None:
        """Returns the median gap between two events; None if there are too few."""
        if len(self.gaps_ms) < MIN_GAPS:
            return None
        return statistics.median(self.gaps_ms)

    def note_reserved(self, now_ms: float) -> float:
        """Adds the wait for memory; returns ``now_ms``."""
        self.waited_ms += now_ms - max(self.arrived_ms, self.last_event_ms or 0.0)
        self._reserved_ms = now_ms
        return now_ms

    def note_prefilled(self, now_ms: float) -> None:
        """Adds the duration of the prefill."""
        self.prefill_ms += now_ms - self._reserved_ms

    def note_event(self, now_ms: float) -> None:
        """Records the time of forwarded events."""
        if self.last_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.gaps_ms.append(now_ms - self.last_event_ms)
        self.last_event_ms = now_ms
