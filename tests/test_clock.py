"""Tests of the time source of the running process."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from medlarvale.clock import SystemClock
from medlarvale.forwarding.fleet import FleetView
from tests.forwarding.test_fleet import identity


@unittest.skipUnless(hasattr(time, "CLOCK_BOOTTIME"), "only Linux counts suspensions in a clock")
class SystemClockTest(unittest.TestCase):
    def test_the_time_of_a_suspension_counts(self) -> None:
        """Guards against a host that takes what it knew before a suspension of its machine for the
        present: peers that have taken over, engines that have joined, streams that are older."""
        suspended_s = 5.0
        read = time.clock_gettime

        def after_resume(clock: int) -> float:
            return read(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

        clock, view = SystemClock(), FleetView(identity("b"), "b:1", [])
        before_ms = clock.now_ms()
        view.tick(before_ms)
        with mock.patch("time.clock_gettime", after_resume):
            resumed_ms = clock.now_ms()
            view.tick(resumed_ms)
        self.assertGreaterEqual(resumed_ms - before_ms, 1000.0 * suspended_s)
        self.assertEqual(view.unpaused_ms(resumed_ms), 0.0)


if __name__ == "__main__":
    unittest.main()
