"""Tests of prefills at engines that are silent, or only seem to be lost."""

from __future__ import annotations

import asyncio
import unittest

from medlarvale.forwarding.errors import NotSentError
from medlarvale.forwarding.messages import EngineStage
from medlarvale.ids import ServerId
from tests.forwarding.fakes import FakeAnswer, make_server
from tests.forwarding.stream_case import PATIENCE_S, StreamTestCase, events

P1 = ServerId("p1")


class PrefillTest(StreamTestCase):
    async def test_a_prefill_goes_on_after_a_failure_of_another_request(self) -> None:
        """Guards against prefills that are all ended because one answer of their engine was lost,
        although the engine goes on."""
        self.build("p1", "d1")
        self.backends.prefill_script = lambda server: 0.8
        self.answer_in_turn(FakeAnswer([events(1, 2)]))
        running = self.start()
        await asyncio.sleep(0.1)
        load = self.context.servers.get(P1)
        assert load is not None
        self.context.servers.note_failure(load, self.context.clock.now_ms(), "garbled answer")
        await running
        self.assertEqual(self.backends.count("prefill"), 1)
        source = self.backends.dispatches[0][1].source
        self.assertIsNotNone(source, "the prefill that had been run was not used")

    async def test_a_prefill_on_a_dead_connection_leaves_time_for_another(self) -> None:
        """Guards against a stream that waits for a connection which went silent for good, although
        its engine accepts new ones, or was listed anew, until its caller leaves."""
        for name in ("connection", "removed", "restarted"):
            with self.subTest(name):
                self.build("p1", "d1")
                self.backends.prefill_script = lambda server: 30.0
                self.answer_in_turn(FakeAnswer([events(1, 2)]))
                running = self.start(timeout_ms=14_000.0)
                await asyncio.sleep(0.1)
                if name != "connection":
                    self.backends.probe_errors[P1] = NotSentError("no power")
                if name == "removed":
                    self.context.servers.remove(P1)
                if name == "restarted":
                    self.context.servers.upsert(
                        make_server("p1", stage=EngineStage.PREFILL, born_ms=2)
                    )
                done, _ = await asyncio.wait({running}, timeout=PATIENCE_S)
                running.cancel()
                self.assertTrue(done, "no event within the callers' patience")


if __name__ == "__main__":
    unittest.main()
