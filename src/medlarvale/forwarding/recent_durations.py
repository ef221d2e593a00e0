"""Longest of the recent durations of one kind."""

from __future__ import annotations

import math
from collections import deque

# Number of durations that are kept, and the least number that says something about the longest.
KEPT_DURATIONS = 64
MIN_DURATIONS = 8


class RecentDurations:
    """Keeps the latest durations, for an estimate of the longest that may come."""

    def __init__(self) -> None:
        self._recent_ms: deque[float] = deque(maxlen=KEPT_DURATIONS)

    def note(self, duration_ms: float) -> None:
        """Records a duration."""
        self._recent_ms.append(duration_ms)

    def longest_ms(self) -> float:
        """Returns the longest recent duration; infinity if too few are known."""
        return max(self._recent_ms) if len(self._recent_ms) >= MIN_DURATIONS else math.inf
