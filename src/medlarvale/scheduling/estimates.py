"""How long a decode slot is held, and so how long a queued request waits for one."""

from __future__ import annotations

# Half of the weight is on about the last 14 requests, less than one engine holds.
RESIDENCE_GAIN = 0.05


class WaitEstimate:
    """Average time that a request holds its decode slot."""

    def __init__(self) -> None:
        self._residence_ms: float | None = None

    def record_residence(self, residence_ms: float) -> None:
        """Counts a request that held its slot from placement to the end of the answer."""
        if self._residence_ms is None:
            self._residence_ms = residence_ms
        else:
            self._residence_ms += RESIDENCE_GAIN * (residence_ms - self._residence_ms)

    def slot_wait_ms(self, slots_needed: float, held: int) -> float:
        """Returns the time until so many of the held slots are free, by Little's law.

        Args:
            slots_needed: slots that have to be released; at or below 0 means no wait.
            held: slots in use.
        """
        if slots_needed <= 0 or not held or self._residence_ms is None:
            return 0.0
        return slots_needed * self._residence_ms / held
