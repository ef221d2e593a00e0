"""Estimates the wait of a prompt at the prefill engines, which all hosts share."""

from __future__ import annotations

# The queue of an engine that was overloaded by a burst is empty after about a second.
HALF_LIFE_MS = 500.0
# Weight of the newest prompt in the smoothed wait.
SMOOTHING = 0.5
# Each host of a large fleet sends a prompt about once per second.
RECENT_HALF_LIFE_MS = 2_000.0


class PrefillBacklog:
    """Estimate of the work that other hosts have queued at one prefill engine.

    While a prompt is overdue, the estimate is at least its delay. After its prefill, the delay of
    the last prompt counts with an exponential decay.
    """

    def __init__(self) -> None:
        self._due_ms: list[float] = []
        self._waited_ms = 0.0
        self._ended_ms = 0.0

    def begin(self, due_ms: float) -> None:
        """Adds a prompt whose prefill would end by ``due_ms`` without prompts of other hosts."""
        self._due_ms.append(due_ms)

    def end(self, due_ms: float, now_ms: float, *, prefilled: bool) -> None:
        """Removes a prompt that was added with ``begin``.

        Args:
            due_ms: value that was passed to ``begin``.
            now_ms: monotonic time.
            prefilled: whether its prefill succeeded, so that its delay measures the queue.
        """
        self._due_ms.remove(due_ms)
        if prefilled:
            self._waited_ms, self._ended_ms = max(0.0, now_ms - due_ms), now_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the expected wait of a new prompt behind those of other hosts."""
        overdue_ms = now_ms - min(self._due_ms, default=now_ms)
        decay = 0.5 ** ((now_ms - self._ended_ms) / HALF_LIFE_MS)
        return max(overdue_ms, self._waited_ms * decay)


class RecentWaits:
    """Smoothed recent wait of this host's prompts at all prefill engines of a service.

    With many hosts and engines, a host rarely has a recent measurement of the selected engine.
    """

    def __init__(self) -> None:
        self._wait_ms = 0.0
        self._ended_ms = 0.0

    def note(self, waited_ms: float, now_ms: float) -> None:
        """Records the wait of a prefilled prompt."""
        known_ms = self.wait_ms(now_ms)
        self._wait_ms = known_ms + SMOOTHING * (waited_ms - known_ms)
        self._ended_ms = now_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the smoothed wait, which decays while no prompt is sent."""
        return self._wait_ms * 0.5 ** ((now_ms - self._ended_ms) / RECENT_HALF_LIFE_MS)
