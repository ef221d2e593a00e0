"""Tests of the estimated queue of a shared prefill engine while it grows and after it is empty."""

from __future__ import annotations

import unittest

from medlarvale.forwarding.backlog import (
    HALF_LIFE_MS,
    RECENT_HALF_LIFE_MS,
    PrefillBacklog,
    RecentWaits,
)


class PrefillBacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backlog = PrefillBacklog()

    def test_an_overdue_prompt_indicates_a_queue(self) -> None:
        """Guards against detecting a burst only after its first prefill: four hosts sent one engine
        prompts for 1.4 s of prefill while none of them knew of the others' prompts."""
        self.backlog.begin(100.0)
        self.assertEqual(self.backlog.wait_ms(100.0), 0.0)
        self.assertEqual(self.backlog.wait_ms(700.0), 600.0)

    def test_the_last_wait_decays(self) -> None:
        self.backlog.begin(100.0)
        self.backlog.end(100.0, 500.0, prefilled=True)
        self.assertEqual(self.backlog.wait_ms(500.0), 400.0)
        self.assertAlmostEqual(self.backlog.wait_ms(500.0 + HALF_LIFE_MS), 200.0)

    def test_a_failed_prompt_does_not_count_as_a_queue(self) -> None:
        """Guards against avoiding an engine for a queue because a call to it timed out."""
        self.backlog.begin(100.0)
        self.backlog.end(100.0, 900.0, prefilled=False)
        self.assertEqual(self.backlog.wait_ms(900.0), 0.0)


class RecentWaitsTest(unittest.TestCase):
    def test_waits_are_smoothed_and_decay(self) -> None:
        """Guards against a host that stops using prefill engines for good after a burst."""
        waits = RecentWaits()
        self.assertEqual(waits.wait_ms(0.0), 0.0)
        for number in range(8):
            waits.note(400.0, number * 10.0)
        self.assertGreater(waits.wait_ms(70.0), 380.0)
        self.assertLess(waits.wait_ms(70.0 + 4 * RECENT_HALF_LIFE_MS), 30.0)
