"""Cancels attempts at engines in the background after their request has ended."""

from __future__ import annotations

import asyncio

from medlarvale.clock import Clock
from medlarvale.completions.engine_client import CallContext, CancelCall, EngineClient
from medlarvale.completions.errors import EngineFaultError, EngineStalledError
from medlarvale.completions.watchdog import deadline
from medlarvale.membership.servers import BackendServer

CANCEL_TRIES = 3
CANCEL_TIMEOUT_MS = 300
CANCEL_RETRY_DELAY_MS = 50


class EngineCleanup:
    """Cancels attempts in separate tasks, which continue after the task of the request ends.

    A cancellation that failed three times is not retried. The engine then frees the memory
    itself, because the connection is closed and its reservations expire, or the placement
    scheduler's sweep cancels the attempt.
    """

    def __init__(self, engines: EngineClient, clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self, engine: BackendServer, context: CallContext) -> None:
        """Starts to cancel an attempt at one engine."""
        task = asyncio.create_task(self._cancel(engine, context))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Waits for pending cancellations."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _cancel(self, engine: BackendServer, context: CallContext) -> None:
        call = CancelCall(context.request_id, context.attempt)
        for _ in range(CANCEL_TRIES):
            try:
                async with deadline(
                    self._clock, CANCEL_TIMEOUT_MS, lambda: EngineStalledError(engine.server)
                ):
                    await self._engines.cancel(engine, context, call)
                return
            except EngineFaultError:
                await self._clock.sleep_ms(CANCEL_RETRY_DELAY_MS)
