"""Tests that failed servers are checked with a connection, not with a caller's request."""

from __future__ import annotations

import asyncio
import random
import unittest

from medlarvale.clock import ManualClock
from medlarvale.forwarding.errors import NotSentError
from medlarvale.forwarding.messages import EngineStage
from medlarvale.forwarding.rechecks import RECHECK_PERIOD_MS, RecheckTask
from medlarvale.forwarding.servers import FIRST_PAUSE_MS, ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, LLM, FakeBackends, make_server

ONE, TWO = ServerId("one"), ServerId("two")


class RecheckTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.backends = FakeBackends()
        self.servers = ServerTable(HERE, random.Random(1))
        for name in ("one", "two"):
            self.servers.upsert(make_server(name, service=APP))
        RecheckTask(self.servers, self.backends, self.clock).start()
        load = self.servers.get(ONE)
        assert load is not None
        self.load = load

    async def run_for(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / RECHECK_PERIOD_MS)):
            self.clock.advance_ms(RECHECK_PERIOD_MS)
            for _ in range(4):
                await asyncio.sleep(0)

    def healthy(self) -> list[ServerId]:
        found = self.servers.candidates(APP, self.clock.now_ms())
        return sorted(load.server.server for load in found)

    async def test_a_failed_server_is_suspect_until_a_connection_succeeds(self) -> None:
        """Guards against a request to a server behind a partition after each of its pauses: each of
        these requests lost 400 ms."""
        self.backends.probe_errors[ONE] = NotSentError("no route")
        self.servers.note_failure(self.load, self.clock.now_ms(), "timed out")
        after_pause = self.servers.candidates(APP, FIRST_PAUSE_MS + 1.0)
        self.assertEqual([load.server.server for load in after_pause], [TWO])
        await self.run_for(5_000.0)
        self.assertEqual(self.healthy(), [TWO])
        checks = self.backends.count("probe")
        self.assertTrue(2 <= checks <= 6, checks)
        del self.backends.probe_errors[ONE]
        await self.run_for(3_200.0)
        self.assertEqual(self.healthy(), [ONE, TWO])

    async def test_the_pause_after_the_next_failure_is_longer(self) -> None:
        """Guards against a server that accepts connections but does not answer, and would get
        requests after each shortest pause."""
        for expected_ms in (FIRST_PAUSE_MS, 2 * FIRST_PAUSE_MS):
            now_ms = self.clock.now_ms()
            self.servers.note_failure(self.load, now_ms, "silent")
            self.assertEqual(self.load.paused_until_ms, now_ms + expected_ms)
            await self.run_for(1_000.0)
            self.assertEqual(self.healthy(), [ONE, TWO])

    async def test_suspect_servers_are_used_if_there_are_no_others(self) -> None:
        for name in (ONE, TWO):
            load = self.servers.get(name)
            assert load is not None
            self.backends.probe_errors[name] = NotSentError("down")
            self.servers.note_failure(load, self.clock.now_ms(), "down")
        await self.run_for(RECHECK_PERIOD_MS)
        self.assertEqual(self.healthy(), [ONE, TWO])

    async def test_a_prompt_is_not_sent_to_a_suspect_engine(self) -> None:
        """Guards against prompts to the only prefill engine behind a partition, although decode
        engines could prefill them."""
        self.servers.upsert(make_server("p", stage=EngineStage.PREFILL))
        load = self.servers.get(ServerId("p"))
        assert load is not None
        self.servers.note_failure(load, self.clock.now_ms(), "timed out")
        found = self.servers.candidates(
            LLM, self.clock.now_ms(), stage=EngineStage.PREFILL, healthy_only=True
        )
        self.assertEqual(found, [])
