"""Tells how long ago a caller first asked, from the time that it still has."""

from __future__ import annotations

from collections import Counter, deque

# Requests of a route that are remembered, and the share of them that a usual deadline has to have.
REMEMBERED = 64
LEAST_SHARE = 0.25
# Deadlines closer than this count as equal: a request may wait a little on its way.
RESOLUTION_MS = 100.0


class FirstAttemptEstimator:
    """Learns the deadline with which callers of one route first ask.

    Callers that come back after a refusal have less time left than those that ask for the first
    time. Where deadlines differ widely, none is usual and every request counts as new.
    """

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=REMEMBERED)
        self._counts: Counter[int] = Counter()

    def elapsed_ms(self, deadline_ms: float) -> float:
        """Takes the deadline of a request; returns how long ago its caller first asked, or 0."""
        step = round(deadline_ms / RESOLUTION_MS)
        if len(self._recent) == REMEMBERED:
            oldest = self._recent[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._recent.append(step)
        self._counts[step] += 1
        usual, count = self._counts.most_common(1)[0]
        if count < LEAST_SHARE * len(self._recent):
            return 0.0
        return max(0.0, (usual - step) * RESOLUTION_MS)
