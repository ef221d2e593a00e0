"""Estimates how long a decode slot is held, and from that how long a request waits for one."""

from __future__ import annotations

# About the last 14 requests, fewer than one engine holds, have half of the total weight.
RESIDENCE_GAIN = 0.05


class WaitEstimate:
    """Moving average of the time for which a request holds its decode slot."""

    def __init__(self) -> None:
        self._residence_ms: float | None = None

    def record_residence(self, residence_ms: float) -> None:
        """Records how long a request held its slot, from placement to the end of the answer."""
        if self._residence_ms is None:
            self._residence_ms = residence_ms
        else:
            self._residence_ms += RESIDENCE_GAIN * (residence_ms - self._residence_ms)

    def slot_wait_ms(self, slots_needed: float, held: int) -> float:
        """Returns the expected time until enough held slots are released, by Little's law.

        Args:
            slots_needed: number of slots that have to be released; 0 or less means no wait.
            held: number of slots in use.
        """
        if slots_needed <= 0 or not held or self._residence_ms is None:
            return 0.0
        return slots_needed * self._residence_ms / held
