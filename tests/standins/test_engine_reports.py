"""Load reports with lag, and cache events with lag and gaps."""

import unittest

import msgspec

from medlarvale.clock import ManualClock
from medlarvale.standins.engine_memory import PrefixChange
from medlarvale.standins.engine_messages import LoadReport
from medlarvale.standins.engine_reports import CacheEventLog, LaggedLoad

LOAD = LoadReport("decode", "slidsk", 20, 0, 256, 0, 0.0, False, 1)


class LaggedLoadTest(unittest.TestCase):
    def test_reports_are_read_with_lag(self) -> None:
        """Guards against reports without lag, which would hide defects of the router."""
        clock = ManualClock()
        load = LaggedLoad(lag_ms=200)
        for used in range(5):
            load.record(clock.now_ms(), msgspec.structs.replace(LOAD, slots_used=used))
            clock.advance_ms(100)
        reports = [load.read(clock.now_ms() + later_ms) for later_ms in (0, 100, 200)]
        self.assertEqual([report and report.slots_used for report in reports], [3, 4, 4])


class CacheEventLogTest(unittest.TestCase):
    def test_events_have_lag_and_gaps(self) -> None:
        """Guards against events without lag or gaps, and against reused numbers."""
        log = CacheEventLog(lag_ms=300, gap_every=3)
        log.append([PrefixChange("stored", number * 10) for number in range(1, 6)], 0.0)
        cases = (
            ("too early", 1, 299.0, [], 1),
            ("with a gap", 1, 300.0, [1, 2, 4, 5], 6),
            ("from a number", 4, 300.0, [4, 5], 6),
            ("nothing new", 6, 300.0, [], 6),
        )
        for name, start, now_ms, numbers, next_number in cases:
            with self.subTest(name):
                read = log.read(start, now_ms)
                self.assertEqual(
                    ([event.n for event in read.events], read.next), (numbers, next_number)
                )
                self.assertTrue(all(event.prefix_hash == event.n * 10 for event in read.events))
