"""Where the time of a stream went."""

from __future__ import annotations

import statistics

import msgspec

# The median of fewer pauses says little about the speed of an engine.
MIN_GAPS = 8


class StreamTimes(msgspec.Struct):
    """Where the time of a stream went; all times are monotonic, in ms.

    Attributes:
        arrived_ms: start.
        waited_ms: time spent waiting for decode memory.
        prefill_ms: time spent on prefill.
        first_event_ms: time of the first event passed on; None before it.
        last_event_ms: time of the last event passed on.
        pauses_ms: times between two events.
        prefills: prompts read by prefill engines.
        complete: whether the stream was passed on to its end.
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
        """Longest time between two events."""
        return max(self.gaps_ms, default=0.0)

    def median_gap_ms(self) -> float | None:
        """Returns the usual time between two events; None after a few events."""
        if len(self.gaps_ms) < MIN_GAPS:
            return None
        return statistics.median(self.gaps_ms)

    def note_reserved(self, now_ms: float) -> float:
        """Counts the wait for memory; returns ``now_ms``."""
        self.waited_ms += now_ms - max(self.arrived_ms, self.last_event_ms or 0.0)
        self._reserved_ms = now_ms
        return now_ms

    def note_prefilled(self, now_ms: float) -> None:
        """Counts the time of the prefill."""
        self.prefill_ms += now_ms - self._reserved_ms

    def note_event(self, now_ms: float) -> None:
        """Counts events that are passed on."""
        if self.last_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.gaps_ms.append(now_ms - self.last_event_ms)
        self.last_event_ms = now_ms
