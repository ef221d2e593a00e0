"""Order of the prefill queue, membership of the decode batch, and the shared link."""

import math
import unittest

from medlarvale.scheduling.messages import WorkClass
from medlarvale.standins import engine_batch
from tests.standins.support import hold_key

LIVE, BATCH = WorkClass.LIVE, WorkClass.BATCH


class PrefillQueueTest(unittest.TestCase):
    def test_live_prompts_run_first_and_in_order(self) -> None:
        """Guards against live prompts that wait for batch work, and against reordered prompts."""
        cases = (
            ("in order", [("a", LIVE), ("b", LIVE)], "a"),
            ("live first", [("a", BATCH), ("b", LIVE), ("c", LIVE)], "b"),
            ("batch alone", [("a", BATCH), ("b", BATCH)], "a"),
        )
        for name, jobs, head in cases:
            with self.subTest(name):
                queue = engine_batch.PrefillQueue()
                for request, priority in jobs:
                    queue.add(engine_batch.PrefillJob(hold_key(request), priority, 10))
                self.assertEqual(queue.ordered()[0].key, hold_key(head))
                self.assertEqual(queue.remaining_tokens(), 10 * len(jobs))

    def test_chunks_are_bounded(self) -> None:
        """Guards against a long prompt that live prompts cannot overtake."""
        for remaining, expected in ((5, 5), (100_000, engine_batch.PREFILL_CHUNK_TOKENS)):
            with self.subTest(remaining=remaining):
                self.assertEqual(
                    engine_batch.chunk_tokens(
                        engine_batch.PrefillJob(hold_key("a"), LIVE, remaining)
                    ),
                    expected,
                )


class DecodeBatchTest(unittest.TestCase):
    def test_requests_take_turns_behind_live_ones(self) -> None:
        """Guards against starvation, batch work before live work, and steps that take no time."""
        batch = engine_batch.DecodeBatch(limit=2)
        for request, priority in (("a", BATCH), ("b", BATCH), ("l", LIVE)):
            batch.join(hold_key(request), priority)
        steps = [batch.next_step() for _ in range(2)]
        self.assertEqual(steps, [[hold_key("l"), hold_key("a")], [hold_key("l"), hold_key("b")]])
        self.assertEqual(
            [engine_batch.StepModel(20.0, 0.5).step_ms(n) for n in (1, 20)], [20.5, 30.0]
        )
        batch.leave(hold_key("l"))
        self.assertEqual(set(batch.next_step()), {hold_key("a"), hold_key("b")})


class SharedLinkTest(unittest.TestCase):
    def test_transfers_share_the_rate(self) -> None:
        """Guards against concurrent transfers that each get the whole rate."""
        link = engine_batch.SharedLink(rate_bytes_per_s=1_000_000)
        long = link.start(200_000, 0.0)
        short = link.start(50_000, 50.0)
        # The long transfer runs alone for 50 ms. Then both get half the rate, and the short
        # one ends after another 100 ms.
        link.advance(149.0)
        self.assertGreater(link.remaining_bytes(short), 0)
        link.advance(150.5)
        self.assertEqual(link.remaining_bytes(short), 0)
        self.assertAlmostEqual(link.finish_ms(long), 99.5, delta=0.1)
        link.advance(251.0)
        self.assertEqual(link.remaining_bytes(long), 0)

    def test_stalled_and_slow_links(self) -> None:
        """Guards against bytes that are transferred during a stall."""
        for factor, remaining in ((1.0, 0.0), (2.0, 50_000.0), (math.inf, 100_000.0)):
            with self.subTest(factor=factor):
                link = engine_batch.SharedLink(rate_bytes_per_s=1_000_000)
                transfer = link.start(100_000, 0.0)
                link.advance(100.0, factor)
                self.assertAlmostEqual(link.remaining_bytes(transfer), remaining, delta=1.0)
