"""Timer service, the only source of time, with a manually advanced clock for tests."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

TimerCallback = Callable[[], None]


class Subscription:
    """A periodic timer; ``cancel`` ends it."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        """Ends the timer; the callback is not called again."""
        self.cancelled = True


class Clock(Protocol):
    """Time source and timers for all components."""

    def now_ms(self) -> float:
        """Returns monotonic time in ms."""

    def wall_ms(self) -> int:
        """Returns the wall-clock time in ms since the Unix epoch."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits for ``duration_ms``."""

    def every_ms(self, period_ms: float, callback: TimerCallback) -> Subscription:
        """Calls ``callback`` once each period until the subscription is cancelled."""


# Unlike the usual monotonic clock, this one counts the time for which the machine was suspended.
STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """Clock of the running process and its event loop."""

    def now_ms(self) -> float:
        """Returns monotonic time in ms, with the time for which the machine was suspended."""
        return time.clock_gettime(STEADY_CLOCK) * 1000.0

    def wall_ms(self) -> int:
        """Returns the wall-clock time in ms since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits for ``duration_ms``."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)

    def every_ms(self, period_ms: float, callback: TimerCallback) -> Subscription:
        """Calls ``callback`` once each period until the subscription is cancelled."""
        loop = asyncio.get_running_loop()
        subscription = Subscription()

        def fire() -> None:
            if subscription.cancelled:
                return
            loop.call_later(period_ms / 1000.0, fire)
            callback()

        loop.call_later(period_ms / 1000.0, fire)
        return subscription


class ManualClock:
    """Clock that advances only by calls of ``advance_ms``.

    Args:
        wall_start_ms: wall-clock time at monotonic time zero.
    """

    def __init__(self, wall_start_ms: int = 1_750_000_000_000) -> None:
        self._now_ms = 0.0
        self.wall_start_ms = wall_start_ms
        self._order = itertools.count()
        self._timers: list[tuple[float, int, TimerCallback]] = []

    def now_ms(self) -> float:
        """Returns the time advanced so far in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the start of the wall clock plus the time advanced so far, in ms."""
        return self.wall_start_ms + int(self._now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits until ``advance_ms`` has advanced the clock by ``duration_ms``."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not future.done():
                future.set_result(None)

        self._schedule(duration_ms, wake)
        await future

    def every_ms(self, period_ms: float, callback: TimerCallback) -> Subscription:
        """Calls ``callback`` once each period of the advanced time."""
        subscription = Subscription()

        def fire() -> None:
            if subscription.cancelled:
                return
            self._schedule(period_ms, fire)
            callback()

        self._schedule(period_ms, fire)
        return subscription

    def advance_ms(self, duration_ms: float) -> None:
        """Advances the clock and fires each timer that becomes due, in order of its due time."""
        end_ms = self._now_ms + duration_ms
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._timers)
            self._now_ms = max(self._now_ms, due_ms)
            callback()
        self._now_ms = end_ms

    def _schedule(self, delay_ms: float, callback: TimerCallback) -> None:
        heapq.heappush(self._timers, (self._now_ms + delay_ms, next(self._order), callback))
