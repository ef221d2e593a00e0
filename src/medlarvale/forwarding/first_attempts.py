"""Estimates the time since a caller's first attempt from the deadline of its request."""

from __future__ import annotations

from collections import Counter, deque

# Size of the window of recent requests per route, and the minimum share of them that must have the
# same deadline for it to be the usual one.
WINDOW_REQUESTS = 64
MIN_SHARE = 0.25
# Number of requests after which a usual deadline is known.
MIN_REQUESTS = 4
# Deadlines are rounded to this resolution, because a request may be delayed on its way.
RESOLUTION_MS = 100.0


class FirstAttemptEstimator:
    """Estimates the usual deadline of first attempts on one route.

    Callers that retry after a refusal have less time left than on their first attempt. If deadlines
    vary widely, there is no usual one and every request counts as a first attempt.
    """

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=WINDOW_REQUESTS)
        self._counts: Counter[int] = Counter()

    def longest_deadline_ms(self) -> float:
        """Returns the longest recent deadline: that of first attempts is not shorter."""
        return max(self._recent, default=0) * RESOLUTION_MS

    def reference_deadline_ms(self, timeout_ms: float) -> float:
        """Returns the deadline from which a host computes when the version of a stream is chosen.

        Args:
            timeout_ms: timeout of the route, which differs less between hosts than what they see.
        """
        return max(timeout_ms, self.usual_deadline_ms() or self.longest_deadline_ms())

    def usual_deadline_ms(self) -> float | None:
        """Returns the usual deadline of first attempts; None if it is not known."""
        if len(self._recent) < MIN_REQUESTS:
            return None
        usual, count = self._counts.most_common(1)[0]
        return usual * RESOLUTION_MS if count >= MIN_SHARE * len(self._recent) else None

    def first_attempt_age_ms(self, deadline_ms: float) -> float:
        """Records the deadline of a request; returns the time since the first attempt, or 0."""
        step = round(deadline_ms / RESOLUTION_MS)
        if len(self._recent) == WINDOW_REQUESTS:
            oldest = self._recent[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._recent.append(step)
        self._counts[step] += 1
        usual, count = self._counts.most_common(1)[0]
        if count < MIN_SHARE * len(self._recent):
            return 0.0
        return max(0.0, (usual - step) * RESOLUTION_MS)
