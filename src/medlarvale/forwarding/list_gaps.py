"""Times of which a host has not seen all changes of the published state, and process pauses."""

from __future__ import annotations

import math
from collections.abc import Callable

from medlarvale.clock import Clock


class ListGaps:
    """The times in which this host, or the one that reads for it, saw no changes.

    Attributes:
        last: begin and end of the last one; None before the first.
        number: number of them since the start.
    """

    def __init__(self) -> None:
        self.last: tuple[float, float] | None = None
        self.number = 0
        self._callbacks: list[Callable[[float, float], None]] = []

    def on_gap(self, callback: Callable[[float, float], None]) -> None:
        """Registers a callback for the begin and end of each."""
        self._callbacks.append(callback)

    def note(self, since_ms: float, until_ms: float) -> None:
        """Records one."""
        self.last = since_ms, until_ms
        self.number += 1
        for callback in self._callbacks:
            callback(since_ms, until_ms)


class PauseDetector:
    """Notices that the process was paused, because a periodic tick is late.

    Args:
        clock: time service.
        limit_ms: time between two ticks without a pause.
    """

    def __init__(self, clock: Clock, limit_ms: float) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._tick_ms = math.inf
        self._paused_ms = -math.inf

    def tick(self) -> None:
        """Is called periodically, from the start on."""
        self._note()
        self._tick_ms = self._clock.now_ms()

    def has_paused_since(self, since_ms: float) -> bool:
        """Returns whether a pause has ended since some time."""
        self._note()
        return self._paused_ms >= since_ms

    def _note(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._tick_ms > self._limit_ms:
            self._paused_ms = now_ms
