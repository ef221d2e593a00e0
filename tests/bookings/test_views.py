"""Guards against two majorities that do not meet while the host list changes."""

from __future__ import annotations

import unittest

from medlarvale.bookings.messages import View, ViewReport
from medlarvale.bookings.views import ViewTracker
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion


def view(version: int, members: str) -> View:
    return View(ListVersion(version), tuple(HostId(name) for name in members))


def life(name: str, incarnation: int = 1) -> HostIdentity:
    return HostIdentity(HostId(name), Incarnation(incarnation))


def report(active: View | None, *pending: View, **incarnations: int) -> ViewReport:
    known = {HostId(name): Incarnation(number) for name, number in incarnations.items()}
    return ViewReport(active, pending, known)


def joined(name: str, active: View) -> ViewTracker:
    tracker = ViewTracker(life(name))
    tracker.active = active
    return tracker


FIRST = view(1, "abc")
SECOND = view(2, "cde")
THIRD = view(3, "abc")


class QuorumTest(unittest.TestCase):
    def test_every_view_needs_its_majority(self) -> None:
        tracker = joined("a", FIRST)
        tracker.learn_list(SECOND)
        cases = [("ab", False), ("de", False), ("abd", False), ("abde", True), ("bcd", True)]
        for granters, expected in cases:
            with self.subTest(granters=granters):
                self.assertEqual(tracker.is_quorum(set(granters)), expected)

    def test_skipped_view_stays_in_the_quorum(self) -> None:
        """A peer may have activated the second view before this host heard of the third."""
        tracker = joined("a", FIRST)
        tracker.learn_list(THIRD)
        tracker.learn_report(life("b"), report(FIRST, SECOND))
        self.assertFalse(tracker.is_quorum({HostId("a"), HostId("b")}))

    def test_joining_host_has_no_quorum(self) -> None:
        tracker = ViewTracker(life("a"))
        tracker.learn_list(FIRST)
        self.assertFalse(tracker.is_quorum(set(FIRST.members)))


class RequesterTest(unittest.TestCase):
    def test_requester_has_to_know_the_granters_views(self) -> None:
        granter = joined("a", FIRST)
        granter.learn_list(SECOND)
        cases = [
            (report(FIRST), False),
            (report(FIRST, SECOND), True),
            (report(FIRST, THIRD), False),
            (report(FIRST, SECOND, THIRD), True),
            (report(SECOND), True),
            (report(None, SECOND), False),
        ]
        for requester, expected in cases:
            with self.subTest(requester=requester):
                self.assertEqual(granter.accepts_requester(requester), expected)


class ActivationTest(unittest.TestCase):
    def test_needs_confirmations_by_a_majority_of_the_active_view(self) -> None:
        tracker = joined("d", FIRST)
        tracker.learn_list(SECOND)
        tracker.learn_report(life("a"), report(FIRST, SECOND))
        self.assertEqual(tracker.active, FIRST)
        tracker.learn_report(life("b"), report(FIRST, SECOND))
        self.assertEqual(tracker.active, SECOND)

    def test_confirmation_of_a_forgotten_life_does_not_count(self) -> None:
        tracker = joined("d", FIRST)
        tracker.learn_list(SECOND)
        tracker.learn_report(life("a", 1), report(FIRST, SECOND))
        tracker.learn_report(life("b"), report(FIRST, SECOND, a=2))
        self.assertEqual(tracker.active, FIRST)

    def test_report_of_an_older_life_is_refused(self) -> None:
        tracker = joined("d", FIRST)
        self.assertTrue(tracker.learn_report(life("a", 2), report(FIRST)))
        self.assertFalse(tracker.learn_report(life("a", 1), report(FIRST)))


class JoinTest(unittest.TestCase):
    def test_restarted_host_needs_a_majority_of_settled_hosts(self) -> None:
        tracker = ViewTracker(life("a", 2))
        tracker.learn_report(life("b"), report(FIRST))
        self.assertTrue(tracker.joining)
        tracker.learn_report(life("c"), report(FIRST))
        self.assertEqual(tracker.active, FIRST)

    def test_cold_start_needs_every_listed_host(self) -> None:
        cases = [
            ({"b": report(None, FIRST)}, True),
            ({"b": report(None, FIRST), "c": report(None, FIRST)}, False),
            ({"b": report(None, FIRST), "c": report(None)}, True),
            ({"b": report(None, FIRST), "c": report(FIRST)}, False),
            ({"b": report(None, FIRST), "c": report(None, SECOND)}, True),
        ]
        for reports, joining in cases:
            with self.subTest(reports=reports):
                tracker = ViewTracker(life("a"))
                tracker.learn_list(FIRST)
                for name, heard in reports.items():
                    tracker.learn_report(life(name), heard)
                self.assertEqual(tracker.joining, joining)


if __name__ == "__main__":
    unittest.main()
