"""Time limits for blocks of code, measured with the timer service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any

from medlarvale.clock import Clock, Subscription

PROGRESS_CHECKS = 8

# Event loop timers may fire this much too early.
TIMER_TOLERANCE_MS = 1.0


class Watchdog:
    """Cancels the enclosed block if ``progress`` is not called for ``limit_ms``.

    Progress is checked several times per limit, so that reporting it costs one assignment instead
    of a new timer; the block may therefore exceed the limit by one check period. With one check
    the watchdog is a deadline, which is exact for a block that reports no progress. Cancellations
    are counted as in ``asyncio.timeout``, so watchdogs can be nested, and a cancellation from
    outside is never mistaken for an expiry.

    Args:
        make_error: builds the exception that the block raises on expiry.
    """

    def __init__(
        self,
        clock: Clock,
        limit_ms: float,
        make_error: Callable[[], Exception],
        checks: int = PROGRESS_CHECKS,
    ) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._make_error = make_error
        self._checks = checks
        self._last_progress_ms = 0.0
        self._expired = False
        self._cancelling = 0
        self._task: asyncio.Task[Any] | None = None
        self._subscription: Subscription | None = None

    async def __aenter__(self) -> Watchdog:
        self._task = asyncio.current_task()
        assert self._task is not None
        self._cancelling = self._task.cancelling()
        self.progress()
        self._subscription = self._clock.every_ms(self._limit_ms / self._checks, self._check)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._subscription is not None and self._task is not None
        self._subscription.cancel()
        # A cancelled timer stays in the event loop until due and must not keep the task alive.
        task, self._task = self._task, None
        if self._expired and task.uncancel() <= self._cancelling and kind is asyncio.CancelledError:
            raise self._make_error() from error

    def progress(self) -> None:
        """Restarts the time limit."""
        self._last_progress_ms = self._clock.now_ms()

    def _check(self) -> None:
        if self._expired or self._task is None:
            return
        if self._clock.now_ms() - self._last_progress_ms >= self._limit_ms - TIMER_TOLERANCE_MS:
            self._expired = True
            self._task.cancel()


class RelayWatchdog(Watchdog):
    """Watchdog of a relay, which waits alternately for its source and its destination.

    Each has its own limit and error. Both share one timer, and a switch costs three assignments.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        source_limit_ms: float,
        make_source_error: Callable[[], Exception],
        destination_limit_ms: float,
        make_destination_error: Callable[[], Exception],
    ) -> None:
        super().__init__(clock, source_limit_ms, make_source_error)
        self._source_limit_ms = source_limit_ms
        self._make_source_error = make_source_error
        self._destination_limit_ms = destination_limit_ms
        self._make_destination_error = make_destination_error

    def wait_for_source(self, now_ms: float) -> None:
        """Starts the time limit of the source."""
        self._last_progress_ms = now_ms
        self._limit_ms = self._source_limit_ms
        self._make_error = self._make_source_error

    def wait_for_destination(self, now_ms: float) -> None:
        """Starts the time limit of the destination."""
        self._last_progress_ms = now_ms
        self._limit_ms = self._destination_limit_ms
        self._make_error = self._make_destination_error


def deadline(clock: Clock, limit_ms: float, make_error: Callable[[], Exception]) -> Watchdog:
    """Returns a watchdog that cancels its block ``limit_ms`` after its start."""
    return Watchdog(clock, limit_ms, make_error, checks=1)
