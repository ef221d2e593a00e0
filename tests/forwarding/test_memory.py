"""Tests of the decode memory queue under bursts that exceed the memory of the decode engines."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError, OverloadedError
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.memory_request import (
    BLOCK_TOKENS,
    MemoryRequest,
    Reservation,
    in_blocks,
    patience_ms,
)
from medlarvale.forwarding.messages import EngineStage, HoldId, Server, ServerState
from medlarvale.ids import ServerId
from tests.forwarding.fakes import (
    LLM,
    TRAITS,
    FakeBackends,
    learned_meter,
    make_context,
    make_route,
    make_server,
)

# Time that the caller waits for the whole answer.
CALLER_MS = 14_000.0
D1, D2 = ServerId("d1"), ServerId("d2")


def make_memory_request(
    tokens: int,
    output: int = 500,
    *,
    target_ms: float = 900.0,
    end_ms: float = 3_000.0,
    urgent: bool = False,
    preferred: ServerId | None = None,
) -> MemoryRequest:
    now_ms = SystemClock().now_ms()
    return MemoryRequest(
        tokens,
        output,
        now_ms + target_ms,
        now_ms + end_ms,
        now_ms + CALLER_MS,
        preferred=preferred,
        urgent=urgent,
    )


class SizesTest(unittest.TestCase):
    def test_memory_is_reserved_in_whole_blocks(self) -> None:
        for tokens, size in [(1, BLOCK_TOKENS), (BLOCK_TOKENS, BLOCK_TOKENS), (5_001, 5_008)]:
            with self.subTest(tokens):
                self.assertEqual(in_blocks(tokens), size)

    def test_patience_has_a_lower_bound(self) -> None:
        table = [(900.0, 0.0, 3_600.0), (100.0, 0.0, 2_000.0), (100.0, 300.0, 2_400.0)]
        for target_ms, gap_ms, expected in table:
            with self.subTest(target_ms=target_ms, gap_ms=gap_ms):
                route = make_route(target_latency_ms=target_ms, gap_target_ms=gap_ms)
                self.assertEqual(patience_ms(route), expected)


class MemoryQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backends = FakeBackends()
        self.context = make_context(
            self.backends,
            make_server("d1", stage=EngineStage.DECODE),
            make_server("d2", stage=EngineStage.DECODE),
            make_server("p1", stage=EngineStage.PREFILL),
        )
        self.queue = MemoryQueue(self.context, LLM, lambda: TRAITS, learned_meter())

    def set_free_tokens(self, d1: int, d2: int) -> None:
        self.backends.free_tokens = {D1: d1, D2: d2}

    async def finish(self, reservation: Reservation) -> None:
        self.queue.release(reservation, release_hold=True)
        await self.context.background.finish(500.0)

    async def test_requests_are_distributed_over_the_engines(self) -> None:
        reservations = [await self.queue.acquire(make_memory_request(5_000)) for _ in range(4)]
        servers = [reservation.load.server.server for reservation in reservations]
        self.assertEqual(sorted(servers), [D1, D1, D2, D2])

    async def test_burst_is_served_in_time_and_short_requests_first(self) -> None:
        """Guards against requests that can still meet their target being queued behind late ones,
        and against many short answers being queued behind a long one."""
        self.set_free_tokens(8_000, 0)
        first = await self.queue.acquire(make_memory_request(5_000))
        served: list[str] = []

        async def take(name: str, request: MemoryRequest) -> None:
            reservation = await self.queue.acquire(request)
            served.append(name)
            await self.finish(reservation)

        tasks = [
            asyncio.create_task(take(name, request))
            for name, request in [
                ("late, short", make_memory_request(5_000, 50, target_ms=-100.0)),
                ("in time, long", make_memory_request(5_000, 900)),
                ("in time, short", make_memory_request(5_000, 100)),
                ("broken stream", make_memory_request(5_000, 950, target_ms=-900.0, urgent=True)),
            ]
        ]
        await asyncio.sleep(0.02)
        await self.finish(first)
        await asyncio.gather(*tasks)
        self.assertEqual(
            served, ["broken stream", "in time, short", "in time, long", "late, short"]
        )

    async def test_late_requests_leave_memory_for_one_in_time(self) -> None:
        """Guards against late requests of one host using the memory that a request of another host
        needs to meet its target."""
        self.set_free_tokens(6_000, 0)
        late = asyncio.create_task(self.queue.acquire(make_memory_request(5_000, target_ms=-100.0)))
        await asyncio.sleep(0.05)
        self.assertFalse(late.done())
        in_time = await self.queue.acquire(make_memory_request(5_000))
        self.backends.free_tokens[D1] += 2_000
        await self.finish(in_time)
        await self.finish(await late)
        self.assertEqual(self.backends.free_tokens[D1], 8_000)

    async def test_a_silent_engine_does_not_block_the_queue(self) -> None:
        """Guards against sequential waits of 200 ms for each engine behind a partition while other
        engines have free memory."""
        self.backends.hold_delays_s[D1] = 0.3
        started_ms = SystemClock().now_ms()
        reservations = [await self.queue.acquire(make_memory_request(5_000)) for _ in range(3)]
        self.assertLess(SystemClock().now_ms() - started_ms, 150.0)
        self.assertEqual({reservation.load.server.server for reservation in reservations}, {D2})
        await self.context.background.finish(500.0)
        self.assertEqual(self.backends.count("release hold"), self.backends.count("hold") - 3)

    async def test_answers_of_engines_are_used_although_all_come_late(self) -> None:
        """Guards against requests that get no memory while a busy host delays all answers,
        because each reservation is released as late and asked for again."""
        table: list[tuple[str, float, dict[str, Any]]] = [
            ("in time", 0.06, {}),
            ("in time, slower", 0.15, {}),
            ("late", 0.06, {"target_ms": -100.0}),
            ("broken streams", 0.06, {"target_ms": -100.0, "urgent": True}),
        ]
        for name, delay_s, options in table:
            with self.subTest(name):
                self.setUp()
                self.set_free_tokens(20_000, 20_000)
                self.backends.hold_delays_s = {D1: delay_s, D2: delay_s}
                requests = [make_memory_request(1_000, **options) for _ in range(6)]
                reservations = await asyncio.gather(*map(self.queue.acquire, requests))
                for reservation in reservations:
                    await self.finish(reservation)
                self.assertEqual(self.backends.free_tokens, {D1: 20_000, D2: 20_000})

    async def test_a_request_asks_each_engine_once_at_a_time(self) -> None:
        """Guards against reservations that are asked for again and again while an engine is slow to
        answer, which makes it slower."""
        self.backends.hold_delays_s = {D1: 0.3, D2: 0.3}
        await self.queue.acquire(make_memory_request(1_000))
        self.assertEqual((self.backends.count("hold"), len(self.queue)), (2, 0))
        await self.context.background.finish(500.0)
        self.assertEqual(self.backends.held, 1)

    async def test_a_late_answer_brings_no_work_to_an_engine_that_takes_none(self) -> None:
        """Guards against work at an engine that has left, or named a limit, since it was asked."""
        leaving = make_server("d1", stage=EngineStage.DECODE, state=ServerState.DRAINING)
        table: list[tuple[str, Callable[[], None]]] = [
            ("draining", lambda: self.context.servers.upsert(leaving)),
            ("gone", lambda: self.context.servers.remove(D1)),
            (
                "limited",
                lambda: self.context.servers.limits.note(D1, 0.1, self.context.clock.now_ms()),
            ),
        ]
        for name, change in table:
            with self.subTest(name):
                self.setUp()
                self.context.servers.remove(D2)
                self.backends.hold_delays_s = {D1: 0.1}
                waiting = asyncio.create_task(
                    self.queue.acquire(make_memory_request(1_000, end_ms=300.0))
                )
                await asyncio.sleep(0.05)
                change()
                with self.assertRaises(OverloadedError):
                    await waiting
                await self.context.background.finish(500.0)
                self.assertEqual((self.backends.count("hold"), self.backends.held), (1, 0))

    async def test_cached_tokens_are_not_reserved_again(self) -> None:
        """Guards against a reservation for a resumed stream that evicts the stream's own KV
        cache."""
        self.set_free_tokens(5_000, 1_000)
        request = MemoryRequest(6_000, 900, 1e12, 1e12, 1e12, preferred=D2, cached_tokens=5_200)
        reservation = await self.queue.acquire(request)
        self.assertEqual(reservation.load.server.server, D2)
        self.assertEqual(self.backends.free_tokens[D2], 200)

    async def test_requests_that_can_not_be_served_are_refused_at_once(self) -> None:
        """Guards against callers that wait although the queue can't serve them in time."""
        with self.assertRaises(OverloadedError):
            await self.queue.acquire(make_memory_request(TRAITS.memory_tokens + 1))
        self.set_free_tokens(0, 0)
        waiting = [
            asyncio.create_task(self.queue.acquire(make_memory_request(5_000, end_ms=1_500.0)))
            for _ in range(8)
        ]
        await asyncio.sleep(0.02)
        before_ms = SystemClock().now_ms()
        with self.assertRaises(OverloadedError) as raised:
            await self.queue.acquire(make_memory_request(5_000, 900, end_ms=1_500.0))
        self.assertLess(SystemClock().now_ms() - before_ms, 100.0)
        assert raised.exception.retry_after_ms is not None
        self.assertLessEqual(raised.exception.retry_after_ms, 4_500)
        self.assertLess(
            len(self.queue), 8, "the last waiting requests are refused if they can't be served"
        )
        results = await asyncio.gather(*waiting, return_exceptions=True)
        self.assertTrue(all(isinstance(result, OverloadedError) for result in results))
        self.assertEqual(len(self.queue), 0)

    async def test_nothing_is_refused_on_an_estimate_without_measurements(self) -> None:
        """Pattern: a cold start, where a whole burst waits for the first memory. Guards against
        refusals that follow from the hold times of other engines."""
        queue = MemoryQueue(self.context, LLM, lambda: TRAITS, DemandMeter())
        self.set_free_tokens(0, 0)
        waiting = [
            asyncio.create_task(queue.acquire(make_memory_request(5_000, end_ms=1_500.0)))
            for _ in range(20)
        ]
        await asyncio.sleep(0.1)
        self.assertEqual(len(queue), 20)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    async def test_retry_after_is_the_hold_time_within_the_time_that_callers_wait(self) -> None:
        """Guards against a delay that fits the streams of one deployment only: callers that return
        sooner find the same streams, callers that can't wait as long return without regard."""
        for hold_ms, expected_ms in [(300.0, 300), (3_000.0, 3_000), (60_000.0, CALLER_MS / 3.0)]:
            with self.subTest(hold_ms):
                queue = MemoryQueue(self.context, LLM, lambda: TRAITS, learned_meter(hold_ms))
                self.set_free_tokens(0, 0)
                with self.assertRaises(OverloadedError) as raised:
                    await queue.acquire(make_memory_request(5_000, end_ms=50.0))
                assert raised.exception.retry_after_ms is not None
                self.assertAlmostEqual(raised.exception.retry_after_ms, expected_ms, delta=150.0)

    async def test_a_failed_engine_is_paused_while_others_serve(self) -> None:
        self.backends.hold_errors[D1] = BackendError("no answer")
        for _ in range(3):
            reservation = await self.queue.acquire(make_memory_request(1_000))
            self.assertEqual(reservation.load.server.server, D2)
        holds_at_d1 = self.backends.calls.count(("hold", D1))
        self.assertEqual(holds_at_d1, 1, "a paused engine gets no second call at once")

    async def test_an_unexpected_error_does_not_end_the_queue(self) -> None:
        """Guards against requests that wait until their deadline after a fault in one call."""
        acquire_hold, failures = self.backends.acquire_hold, [RuntimeError("bug")]

        async def failing_once(server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
            if failures:
                raise failures.pop()
            return await acquire_hold(server, tokens, ttl_ms)

        self.backends.acquire_hold = failing_once  # type: ignore[method-assign]
        async with asyncio.timeout(1.0):
            await asyncio.gather(
                *(self.queue.acquire(make_memory_request(1_000)) for _ in range(3))
            )

    async def test_memory_is_released_if_the_caller_leaves(self) -> None:
        self.set_free_tokens(5_000, 0)
        first = await self.queue.acquire(make_memory_request(5_000))
        waiting = asyncio.create_task(self.queue.acquire(make_memory_request(5_000)))
        await asyncio.sleep(0.02)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await self.finish(first)
        self.assertEqual(len(self.queue), 0)
        self.assertEqual(self.backends.free_tokens[D1], 5_000)

    async def test_engines_without_reservations_are_limited_by_own_load(self) -> None:
        """Guards against unlimited load on engines that support no reservations or have no
        stages."""
        traits = msgspec.structs.replace(TRAITS, hold_ttl_ms=0.0)
        self.context = make_context(self.backends, make_server("whole"))
        queue = MemoryQueue(self.context, LLM, lambda: traits, learned_meter())
        reservations = [await queue.acquire(make_memory_request(8_000)) for _ in range(2)]
        with self.assertRaises(OverloadedError):
            await queue.acquire(make_memory_request(8_000, end_ms=150.0))
        queue.release(reservations[0], release_hold=False)
        await queue.acquire(make_memory_request(8_000))
        self.assertEqual(self.backends.calls, [])

    async def test_the_cache_holder_is_tried_first(self) -> None:
        for preferred in (D1, D2):
            reservation = await self.queue.acquire(make_memory_request(100, preferred=preferred))
            self.assertEqual(reservation.load.server.server, preferred)
