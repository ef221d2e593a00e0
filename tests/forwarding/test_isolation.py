"""Tests of the detection of an isolated failure domain."""

import unittest

from medlarvale.forwarding.isolation import RECENT_CONTACT_MS, SILENT_MS, IsolationDetector
from medlarvale.ids import ServerId


class IsolationDetectorTest(unittest.TestCase):
    def test_conditions_for_isolation(self) -> None:
        """Guards against hosts that refuse callers because a single server crashed."""
        later = RECENT_CONTACT_MS + 1
        table: list[tuple[str, list[str], float, bool]] = [
            ("one server fails", ["s1"], later, False),
            ("the same server fails again", ["s1", "s1"], later, False),
            ("two servers fail", ["s1", "s2"], later, True),
            ("two servers fail, just after a contact", ["s1", "s2"], RECENT_CONTACT_MS / 2, False),
            ("silence", [], SILENT_MS + 1, True),
            ("short silence", [], SILENT_MS - 1, False),
        ]
        for name, failed, after_ms, expected in table:
            with self.subTest(name):
                detector = IsolationDetector()
                detector.note_contact(0.0)
                for server in failed:
                    detector.note_failure(ServerId(server))
                self.assertEqual(detector.is_isolated(after_ms), expected)
                detector.note_contact(after_ms)
                self.assertFalse(detector.is_isolated(after_ms))

    def test_a_host_is_not_isolated_before_its_first_contact(self) -> None:
        self.assertFalse(IsolationDetector().is_isolated(1e9))
