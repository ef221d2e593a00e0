"""A failure domain that is cut off sends its callers to other domains."""

import unittest

from medlarvale.forwarding.isolation import RECENT_CONTACT_MS, SILENT_MS, IsolationDetector
from medlarvale.ids import ServerId


class OutsideContactTest(unittest.TestCase):
    def test_when_a_host_counts_as_cut_off(self) -> None:
        """Guards against hosts that turn callers away because one server crashed."""
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
                contact = IsolationDetector()
                contact.note_contact(0.0)
                for server in failed:
                    contact.note_failure(ServerId(server))
                self.assertEqual(contact.isolated(after_ms), expected)
                contact.note_contact(after_ms)
                self.assertFalse(contact.isolated(after_ms))

    def test_a_host_without_any_contact_yet_is_not_cut_off(self) -> None:
        self.assertFalse(IsolationDetector().isolated(1e9))
