"""Timeout that does not count the time for which this process could not run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Number of steps in which the time is counted.
STEPS = 4


@asynccontextmanager
async def running_timeout(limit_ms: float) -> AsyncIterator[None]:
    """Ends a block once the event loop has run for a time.

    A loop that was held up reads late what has arrived in time. A step that takes more than twice
    as long as it should is not counted, so that the loop can still read it.

    Args:
        limit_ms: time of the running loop.

    Raises:
        TimeoutError: if the block has not ended in time.
    """
    loop = asyncio.get_running_loop()
    step_s = limit_ms / 1000.0 / STEPS
    counted, timer = 0, None

    def count(due_s: float) -> None:
        nonlocal counted, timer
        now_s = loop.time()
        counted += now_s - due_s <= step_s
        if counted >= STEPS:
            timeout.reschedule(now_s)
        else:
            timer = loop.call_at(now_s + step_s, count, now_s + step_s)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(step_s, count, loop.time() + step_s)
        try:
            yield
        finally:
            timer.cancel()
