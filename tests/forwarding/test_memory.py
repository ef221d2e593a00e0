"""Load of the bursts: more requests than the decode engines' memory holds at once."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError, OverloadedError
from medlarvale.forwarding.memory import (
    BLOCK_TOKENS,
    MemoryQueue,
    MemoryRequest,
    Reservation,
    expected_output,
    patience_ms,
    reserved_tokens,
)
from medlarvale.forwarding.messages import EngineStage, TokenCounts
from medlarvale.ids import ServerId
from tests.forwarding.fakes import LLM, TRAITS, FakeBackends, make_context, make_server

D1, D2 = ServerId("d1"), ServerId("d2")


def need(
    tokens: int,
    output: int = 500,
    *,
    aim_ms: float = 900.0,
    end_ms: float = 3_000.0,
    urgent: bool = False,
    preferred: ServerId | None = None,
) -> MemoryRequest:
    now_ms = SystemClock().now_ms()
    return MemoryRequest(
        tokens, output, now_ms + aim_ms, now_ms + end_ms, preferred=preferred, urgent=urgent
    )


class SizesTest(unittest.TestCase):
    def test_expected_sizes(self) -> None:
        table = [
            (TokenCounts(5_000, 1_000), 1_000),
            (TokenCounts(5_000, 1_000, 400), 500),
            (TokenCounts(5_000, 1_000, 5_000), 1_000),
            (TokenCounts(5_000, 1_000, 1), 64),
            (TokenCounts(5_000, 30, 1), 30),
        ]
        for tokens, output in table:
            with self.subTest(tokens):
                self.assertEqual(expected_output(tokens), output)
                size = reserved_tokens(tokens)
                self.assertEqual(size % BLOCK_TOKENS, 0)
                self.assertTrue(0 <= size - 5_000 - output < BLOCK_TOKENS)

    def test_patience_has_a_floor(self) -> None:
        for target_ms, expected in [(900.0, 3_600.0), (100.0, 2_000.0)]:
            self.assertEqual(patience_ms(target_ms), expected)


class MemoryQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backends = FakeBackends()
        self.context = make_context(
            self.backends,
            make_server("d1", stage=EngineStage.DECODE),
            make_server("d2", stage=EngineStage.DECODE),
            make_server("p1", stage=EngineStage.PREFILL),
        )
        self.queue = MemoryQueue(self.context, LLM, lambda: TRAITS, DemandMeter())

    def free(self, d1: int, d2: int) -> None:
        self.backends.free_tokens = {D1: d1, D2: d2}

    async def finish(self, reservation: Reservation) -> None:
        self.queue.release(reservation, release_hold=True)
        await self.context.background.finish(500.0)

    async def test_requests_spread_over_the_engines(self) -> None:
        taken = [await self.queue.acquire(need(5_000)) for _ in range(4)]
        servers = [reservation.load.server.server for reservation in taken]
        self.assertEqual(sorted(servers), [D1, D1, D2, D2])

    async def test_order_of_a_burst(self) -> None:
        """Guards against requests that can still be in time behind those that can't any more, and
        against many short answers behind one long one."""
        self.free(8_000, 0)
        first = await self.queue.acquire(need(5_000))
        served: list[str] = []

        async def take(name: str, request: MemoryRequest) -> None:
            reservation = await self.queue.acquire(request)
            served.append(name)
            await self.finish(reservation)

        tasks = [
            asyncio.create_task(take(name, request))
            for name, request in [
                ("late, short", need(5_000, 50, aim_ms=-100.0)),
                ("in time, long", need(5_000, 900)),
                ("in time, short", need(5_000, 100)),
                ("broken stream", need(5_000, 950, aim_ms=-900.0, urgent=True)),
            ]
        ]
        await asyncio.sleep(0.02)
        await self.finish(first)
        await asyncio.gather(*tasks)
        self.assertEqual(
            served, ["broken stream", "in time, short", "in time, long", "late, short"]
        )

    async def test_late_requests_leave_room_for_one_in_time(self) -> None:
        """Guards against late requests of one host that take the memory for which a request in
        time waits at another host."""
        self.free(6_000, 0)
        late = asyncio.create_task(self.queue.acquire(need(5_000, aim_ms=-100.0)))
        await asyncio.sleep(0.05)
        self.assertFalse(late.done())
        in_time = await self.queue.acquire(need(5_000))
        self.backends.free_tokens[D1] += 2_000
        await self.finish(in_time)
        await self.finish(await late)
        self.assertEqual(self.backends.free_tokens[D1], 8_000)

    async def test_a_silent_engine_does_not_block_the_queue(self) -> None:
        """Guards against requests that wait 200 ms for each engine behind a partition, one after
        the other, while other engines have room."""
        self.backends.hold_delays_s[D1] = 0.3
        started_ms = SystemClock().now_ms()
        taken = [await self.queue.acquire(need(5_000)) for _ in range(3)]
        self.assertLess(SystemClock().now_ms() - started_ms, 150.0)
        self.assertEqual({reservation.load.server.server for reservation in taken}, {D2})
        await self.context.background.finish(500.0)
        self.assertEqual(self.backends.count("drop hold"), self.backends.count("hold") - 3)

    async def test_kept_tokens_are_not_reserved_again(self) -> None:
        """Guards against reservations for streams that come back which push their own KV cache out
        of the engine."""
        self.free(5_000, 1_000)
        request = MemoryRequest(6_000, 900, 1e12, 1e12, preferred=D2, kept_tokens=5_200)
        reservation = await self.queue.acquire(request)
        self.assertEqual(reservation.load.server.server, D2)
        self.assertEqual(self.backends.free_tokens[D2], 200)

    async def test_what_can_not_be_served_is_refused_at_once(self) -> None:
        """Guards against callers that are held although it is known that they can't be served."""
        with self.assertRaises(OverloadedError):
            await self.queue.acquire(need(TRAITS.memory_tokens + 1))
        self.free(0, 0)
        waiting = [
            asyncio.create_task(self.queue.acquire(need(5_000, end_ms=1_500.0))) for _ in range(8)
        ]
        await asyncio.sleep(0.02)
        before_ms = SystemClock().now_ms()
        with self.assertRaises(OverloadedError) as raised:
            await self.queue.acquire(need(5_000, 900, end_ms=1_500.0))
        self.assertLess(SystemClock().now_ms() - before_ms, 100.0)
        assert raised.exception.retry_after_ms is not None
        self.assertLessEqual(raised.exception.retry_after_ms, 4_500)
        self.assertLess(len(self.queue), 8, "the end of a queue that can't be served is refused")
        results = await asyncio.gather(*waiting, return_exceptions=True)
        self.assertTrue(all(isinstance(result, OverloadedError) for result in results))
        self.assertEqual(len(self.queue), 0)

    async def test_a_silent_engine_does_not_hold_up_the_others(self) -> None:
        self.backends.hold_errors[D1] = BackendError("silent")
        for _ in range(3):
            reservation = await self.queue.acquire(need(1_000))
            self.assertEqual(reservation.load.server.server, D2)
        holds_at_d1 = self.backends.calls.count(("hold", D1))
        self.assertEqual(holds_at_d1, 1, "a paused engine is not asked again at once")

    async def test_a_caller_that_leaves_gives_its_memory_back(self) -> None:
        self.free(5_000, 0)
        first = await self.queue.acquire(need(5_000))
        waiting = asyncio.create_task(self.queue.acquire(need(5_000)))
        await asyncio.sleep(0.02)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await self.finish(first)
        self.assertEqual(len(self.queue), 0)
        self.assertEqual(self.backends.free_tokens[D1], 5_000)

    async def test_engines_without_reservations_are_filled_by_own_count(self) -> None:
        """Guards against deployments whose engines take no reservations, or have no stages."""
        traits = msgspec.structs.replace(TRAITS, hold_ttl_ms=0.0)
        self.context = make_context(self.backends, make_server("whole"))
        queue = MemoryQueue(self.context, LLM, lambda: traits, DemandMeter())
        taken = [await queue.acquire(need(8_000)) for _ in range(2)]
        with self.assertRaises(OverloadedError):
            await queue.acquire(need(8_000, end_ms=150.0))
        queue.release(taken[0], release_hold=False)
        await queue.acquire(need(8_000))
        self.assertEqual(self.backends.calls, [])

    async def test_the_engine_that_keeps_the_memory_is_asked_first(self) -> None:
        for preferred in (D1, D2):
            reservation = await self.queue.acquire(need(100, preferred=preferred))
            self.assertEqual(reservation.load.server.server, preferred)
