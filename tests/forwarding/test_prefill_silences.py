"""Tests of prefills at engines that are silent, or only seem to be lost."""

from __future__ import annotations

import asyncio
import unittest

from medlarvale.ids import ServerId
from tests.forwarding.fakes import FakeAnswer
from tests.forwarding.stream_case import StreamTestCase, events

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


if __name__ == "__main__":
    unittest.main()
