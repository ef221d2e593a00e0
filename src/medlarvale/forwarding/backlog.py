"""How long a prompt has to wait at the prefill engines that all hosts share."""

from __future__ import annotations

# An engine that was overloaded by a burst has worked its queue off in about a second.
HALF_LIFE_MS = 500.0
# Weight of the newest prompt in the usual wait.
SMOOTHING = 0.5
# A host of a large fleet sends a prompt about every second.
RECENT_HALF_LIFE_MS = 2_000.0


class PrefillBacklog:
    """Work that other hosts have queued at one prefill engine, as this host can tell.

    A prompt that is overdue shows a queue before it ends; the wait of the last one that was read
    counts after that, less and less.
    """

    def __init__(self) -> None:
        self._due_ms: list[float] = []
        self._waited_ms = 0.0
        self._ended_ms = 0.0

    def begin(self, due_ms: float) -> None:
        """Takes a prompt that would be read by ``due_ms`` if no other host had sent any."""
        self._due_ms.append(due_ms)

    def end(self, due_ms: float, now_ms: float, *, read: bool) -> None:
        """Ends a prompt given to ``begin``.

        Args:
            read: whether it was read, so that its delay tells the length of the queue.
        """
        self._due_ms.remove(due_ms)
        if read:
            self._waited_ms, self._ended_ms = max(0.0, now_ms - due_ms), now_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns how long a new prompt is expected to wait for those of other hosts."""
        overdue_ms = now_ms - min(self._due_ms, default=now_ms)
        decay = 0.5 ** ((now_ms - self._ended_ms) / HALF_LIFE_MS)
        return max(overdue_ms, self._waited_ms * decay)


class RecentWaits:
    """How long prompts of one host waited lately, at any engine of a service.

    With many hosts and engines, one host rarely knows the queue of the engine that it chooses.
    """

    def __init__(self) -> None:
        self._wait_ms = 0.0
        self._ended_ms = 0.0

    def note(self, waited_ms: float, now_ms: float) -> None:
        """Takes the wait of a prompt that was read."""
        known_ms = self.wait_ms(now_ms)
        self._wait_ms = known_ms + SMOOTHING * (waited_ms - known_ms)
        self._ended_ms = now_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the usual wait, which fades while no prompt is sent."""
        return self._wait_ms * 0.5 ** ((now_ms - self._ended_ms) / RECENT_HALF_LIFE_MS)
