"""A request that has waited for long, and a more urgent one behind it."""

from __future__ import annotations

import asyncio
import unittest

from medlarvale.clock import SystemClock
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.memory_request import MemoryRequest
from medlarvale.forwarding.messages import EngineStage
from medlarvale.ids import ServerId
from medlarvale.overload.priorities import ConfiguredPriorities
from tests.forwarding.fakes import (
    LLM,
    TRAITS,
    FakeBackends,
    learned_meter,
    make_context,
    make_server,
)
from tests.overload.test_priorities import make_table

TARGET_MS = 4_000.0


class AgedRequestTest(unittest.IsolatedAsyncioTestCase):
    def _request(self, priority: int, target_ms: float, end_ms: float) -> MemoryRequest:
        now_ms = SystemClock().now_ms()
        return MemoryRequest(
            2_000, 500, now_ms + target_ms, now_ms + end_ms, now_ms + 14_000.0, priority=priority
        )

    async def test_an_aged_request_that_does_not_fit_holds_up_no_more_urgent_one(self) -> None:
        """Guards against a late urgent stream that waits for a less urgent one, which needs more
        free memory than it."""
        backends = FakeBackends()
        context = make_context(backends, make_server("d1", stage=EngineStage.DECODE))
        table = make_table(((0, False), (1, False), (3, False)), ())
        context.priorities = ConfiguredPriorities(lambda: table)
        queue = MemoryQueue(context, LLM, lambda: TRAITS, learned_meter())
        # Enough for the late urgent request with its reserve, not for the less urgent one.
        backends.free_tokens = {ServerId("d1"): 5_000}
        queue.rules.note_engine_refusal(SystemClock().now_ms())
        low = self._request(3, TARGET_MS, 6_000.0)
        waiting = asyncio.create_task(queue.acquire(low))
        await asyncio.sleep(0.55 * TARGET_MS / 1000.0)
        self.assertFalse(waiting.done())
        await queue.acquire(self._request(0, -100.0, 2_500.0))
        self.assertFalse(queue.rules.is_late(low, SystemClock().now_ms()))
        waiting.cancel()
