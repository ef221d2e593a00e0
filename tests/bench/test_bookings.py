"""Tests that the bookings experiment can fail, and counts what callers were told."""

from __future__ import annotations

import unittest

from bench.bookings_hosts import EventQueue, OneShotReply
from bench.bookings_run import (
    BookingRun,
    BoundKeysRun,
    Fault,
    Policy,
)
from medlarvale.bookings.messages import Verdict, VerdictKind

SEED = 7


class EventQueueTest(unittest.TestCase):
    def test_order(self) -> None:
        """Guards against events that run early, late or in another order each time."""
        events, seen = EventQueue(), []
        for name, time_ms in (("late", 5.0), ("first", 1.0), ("second", 1.0), ("never", 9.0)):
            events.at(time_ms, lambda name=name: seen.append((name, events.now_ms)))
        events.run_until(9.0)
        self.assertEqual(seen, [("first", 1.0), ("second", 1.0), ("late", 5.0)])
        self.assertEqual(events.now_ms, 9.0)

    def test_once(self) -> None:
        """Guards against a time-out that overrides an answer."""
        seen: list[Verdict] = []
        once = OneShotReply(seen.append)
        once(Verdict(VerdictKind.ANSWERED))
        once(Verdict(VerdictKind.UNKNOWN))
        self.assertEqual([verdict.kind for verdict in seen], [VerdictKind.ANSWERED])


class BookingRunTest(unittest.TestCase):
    def test_loss_shows(self) -> None:
        """Guards against an experiment that passes because its fault has no effect."""
        outcome = BookingRun(Fault.LOSS, Policy.KEY_TIME, SEED).execute()
        self.assertGreater(outcome.refused_or_unknown, 0)
        self.assertGreater(outcome.new_holder_ms, 500.0)
        self.assertGreater(outcome.bookings, 5_900)
        self.assertEqual(outcome.run_twice, 0)

    def test_planned_stop_refuses_nothing(self) -> None:
        """Guards against a hand-over that loses keys."""
        outcome = BookingRun(Fault.STOP, Policy.KEY_TIME, SEED).execute()
        self.assertEqual(outcome.refused_or_unknown, 0)
        self.assertEqual(outcome.run_twice, 0)

    def test_replacement_costs_no_more_than_the_loss(self) -> None:
        """Guards against renewals that a starting host's boot floor breaks."""
        lost = BookingRun(Fault.LOSS, Policy.KEY_TIME, SEED).execute()
        replaced = BookingRun(Fault.REPLACE, Policy.KEY_TIME, SEED).execute()
        self.assertEqual(replaced.refused_or_unknown, lost.refused_or_unknown)

    def test_same_seed_same_figures(self) -> None:
        """Guards against figures that can't be repeated."""
        runs = [BookingRun(Fault.PAUSE, Policy.KEY_TIME, SEED).execute() for _ in range(2)]
        self.assertEqual(runs[0], runs[1])


class BoundKeysRunTest(unittest.TestCase):
    def test_longer_held_keys_lose_more(self) -> None:
        """Guards against a baseline that ignores how long keys are held."""
        short, long = (
            BoundKeysRun(Fault.LOSS, SEED, hold_ms).execute() for hold_ms in (1_000.0, 30_000.0)
        )
        self.assertGreater(long.refused_or_unknown, 5 * short.refused_or_unknown)
        self.assertEqual(BoundKeysRun(Fault.STOP, SEED, 30_000.0).execute().refused_or_unknown, 0)


if __name__ == "__main__":
    unittest.main()
