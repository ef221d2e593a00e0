"""Tests that a stream whose host was lost resumes on the engine that holds its KV cache."""

from __future__ import annotations

import random
import unittest

from medlarvale.clock import ManualClock
from medlarvale.forwarding.cache_holders import LIST_AGE_MS, CacheHolderFinder
from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.messages import EngineStage, PromptPartId
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import HERE, LLM, FakeBackends, make_server

PART, OTHER = PromptPartId("a1"), PromptPartId("b2")
ONE, TWO = ServerId("one"), ServerId("two")


class CacheHolderFinderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.backends = FakeBackends()
        servers = ServerTable(HERE, random.Random(1))
        for name in ("one", "two"):
            servers.upsert(make_server(name, stage=EngineStage.DECODE))
        self.finder = CacheHolderFinder(self.backends, servers)

    async def find(self, part: PromptPartId = PART) -> tuple[int, ServerId | None]:
        return await self.finder.find(LLM, part, self.clock.now_ms())

    async def test_the_engine_with_the_most_cached_tokens_is_found(self) -> None:
        self.backends.cached = {ONE: {PART: 900, OTHER: 5_000}, TWO: {PART: 4_000}}
        self.assertEqual(await self.find(), (4_000, TWO))
        self.assertEqual(await self.find(OTHER), (5_000, ONE))
        self.assertEqual(await self.find(PromptPartId("c3")), (0, None))

    async def test_one_list_serves_many_requests(self) -> None:
        """Guards against one list query per engine for each of many streams that resume at once: a
        list query delays the engine's work."""
        for _ in range(5):
            await self.find()
        self.assertEqual(self.backends.count("cached parts"), 2)
        self.clock.advance_ms(LIST_AGE_MS + 1.0)
        await self.find()
        self.assertEqual(self.backends.count("cached parts"), 4)

    async def test_an_engine_that_does_not_answer_is_not_a_cache_holder(self) -> None:
        self.backends.cached = {ONE: BackendError("silent"), TWO: {PART: 100}}
        self.assertEqual(await self.find(), (100, TWO))
