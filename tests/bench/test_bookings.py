"""Tests that the bookings experiment detects failures and counts the verdicts of callers."""

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
    def test_actions_run_in_order_of_time(self) -> None:
        """Guards against actions that run early, late or in a different order in each run."""
        events, seen = EventQueue(), []
        for name, time_ms in (("late", 5.0), ("first", 1.0), ("second", 1.0), ("never", 9.0)):
            events.at(time_ms, lambda name=name: seen.append((name, events.now_ms)))
        events.run_until(9.0)
        self.assertEqual(seen, [("first", 1.0), ("second", 1.0), ("late", 5.0)])
        self.assertEqual(events.now_ms, 9.0)

    def test_timeout_does_not_override_an_answer(self) -> None:
        """Guards against a timeout that replaces the verdict of an earlier reply."""
        seen: list[Verdict] = []
        once = OneShotReply(seen.append)
        once(Verdict(VerdictKind.ANSWERED))
        once(Verdict(VerdictKind.UNKNOWN))
        self.assertEqual([verdict.kind for verdict in seen], [VerdictKind.ANSWERED])


class BookingRunTest(unittest.TestCase):
    def test_loss_of_an_owner_affects_bookings(self) -> None:
        """Guards against an experiment that passes because its fault has no effect."""
        outcome = BookingRun(Fault.LOSS, Policy.KEY_TIME, SEED).execute()
        self.assertGreater(outcome.refused_or_unknown, 0)
        self.assertGreater(outcome.new_holder_ms, 500.0)
        self.assertGreater(outcome.bookings, 5_900)
        self.assertEqual(outcome.run_twice, 0)

    def test_planned_stop_refuses_nothing(self) -> None:
        """Guards against a hand-over that loses records of keys."""
        outcome = BookingRun(Fault.STOP, Policy.KEY_TIME, SEED).execute()
        self.assertEqual(outcome.refused_or_unknown, 0)
        self.assertEqual(outcome.run_twice, 0)

    def test_replacement_affects_no_more_bookings_than_the_loss(self) -> None:
        """Guards against renewals that fail because of the boot floor of a starting host."""
        lost = BookingRun(Fault.LOSS, Policy.KEY_TIME, SEED).execute()
        replaced = BookingRun(Fault.REPLACE, Policy.KEY_TIME, SEED).execute()
        self.assertEqual(replaced.refused_or_unknown, lost.refused_or_unknown)

    def test_runs_with_equal_seeds_are_equal(self) -> None:
        """Guards against figures that are not reproducible."""
        runs = [BookingRun(Fault.PAUSE, Policy.KEY_TIME, SEED).execute() for _ in range(2)]
        self.assertEqual(runs[0], runs[1])


class BoundKeysRunTest(unittest.TestCase):
    def test_longer_hold_times_affect_more_bookings(self) -> None:
        """Guards against a baseline that ignores the time between issue and use of a key."""
        short, long = (
            BoundKeysRun(Fault.LOSS, SEED, hold_ms).execute() for hold_ms in (1_000.0, 30_000.0)
        )
        self.assertGreater(long.refused_or_unknown, 5 * short.refused_or_unknown)
        self.assertEqual(BoundKeysRun(Fault.STOP, SEED, 30_000.0).execute().refused_or_unknown, 0)


if __name__ == "__main__":
    unittest.main()
