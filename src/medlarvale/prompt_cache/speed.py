"""Finds the speed of prefills of which nothing was cached, although some others were cached.

Other hosts send prompts to the same engines, so a host can't tell from its own record that nothing
of a prompt was cached. The highest speed is then that of a cached prompt.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

# Prefills over which the speed is measured, and from how many on it is used.
MAX_SAMPLES = 64
MIN_SAMPLES = 16


# Times per token of uncached prompts that differ by less than this factor count as equal.
SAME_SPEED_FACTOR = 1.1


def most_frequent(values: Sequence[float]) -> float:
    """Returns the middle of the sorted values within the most frequent range.

    Of equally frequent ranges the highest one counts: the slowest speed.
    """
    best, best_size = (0, 0), 0
    first = 0
    for last, value in enumerate(values):
        while values[first] * SAME_SPEED_FACTOR < value:
            first += 1
        if last + 1 - first >= best_size:
            best, best_size = (first, last), last + 1 - first
    return values[sum(best) // 2]


class UncachedSpeed:
    """Most frequent time per token, in ms.

    Prompts without a cached part take nearly the same time per token. That of cached ones varies
    with the size of the rest, and that of prompts which waited varies with the wait.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._ms_per_token: float | None = None

    def note(self, prompt_tokens: int, took_ms: float) -> None:
        """Records the duration of a prefill of which this host has not sent the beginning."""
        self._samples.append(max(1.0, took_ms) / prompt_tokens)
        if len(self._samples) >= MIN_SAMPLES:
            self._ms_per_token = most_frequent(sorted(self._samples))

    def ms_per_token(self) -> float | None:
        """Returns the time per token; None without enough measurements."""
        return self._ms_per_token
