"""Guards against disjoint majorities while the host list changes."""

from __future__ import annotations

import unittest

from medlarvale.bookings.messages import View, ViewReport
from medlarvale.bookings.views import ViewTracker
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion


def view(version: int, members: str) -> View:
    return View(ListVersion(version), tuple(HostId(name) for name in members))


def identity(name: str, incarnation: int = 1) -> HostIdentity:
    return HostIdentity(HostId(name), Incarnation(incarnation))


def report(active: View | None, *pending: View, **incarnations: int) -> ViewReport:
    known = {HostId(name): Incarnation(number) for name, number in incarnations.items()}
    return ViewReport(active, pending, known)


def joined(name: str, active: View) -> ViewTracker:
    tracker = ViewTracker(identity(name))
    tracker.active = active
    return tracker


FIRST = view(1, "abc")
SECOND = view(2, "cde")
THIRD = view(3, "abc")


class QuorumTest(unittest.TestCase):
    def test_quorum_needs_a_majority_of_every_view(self) -> None:
        tracker = joined("a", FIRST)
        tracker.learn_list(SECOND)
        cases = [("ab", False), ("de", False), ("abd", False), ("abde", True), ("bcd", True)]
        for grantors, expected in cases:
            with self.subTest(grantors=grantors):
                self.assertEqual(tracker.is_quorum(set(grantors)), expected)

    def test_skipped_view_stays_in_the_quorum(self) -> None:
        """A peer may have activated the second view before this host received the third."""
        tracker = joined("a", FIRST)
        tracker.learn_list(THIRD)
        tracker.learn_report(identity("b"), report(FIRST, SECOND))
        self.assertFalse(tracker.is_quorum({HostId("a"), HostId("b")}))

    def test_joining_host_has_no_quorum(self) -> None:
        tracker = ViewTracker(identity("a"))
        tracker.learn_list(FIRST)
        self.assertFalse(tracker.is_quorum(set(FIRST.members)))


class RequesterTest(unittest.TestCase):
    def test_requester_without_the_grantors_views_is_refused(self) -> None:
        grantor = joined("a", FIRST)
        grantor.learn_list(SECOND)
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
                self.assertEqual(grantor.accepts_requester(requester), expected)


class ActivationTest(unittest.TestCase):
    def test_view_is_not_activated_without_a_majority_of_the_active_view(self) -> None:
        tracker = joined("d", FIRST)
        tracker.learn_list(SECOND)
        tracker.learn_report(identity("a"), report(FIRST, SECOND))
        self.assertEqual(tracker.active, FIRST)
        tracker.learn_report(identity("b"), report(FIRST, SECOND))
        self.assertEqual(tracker.active, SECOND)

    def test_confirmation_by_an_earlier_incarnation_does_not_count(self) -> None:
        tracker = joined("d", FIRST)
        tracker.learn_list(SECOND)
        tracker.learn_report(identity("a", 1), report(FIRST, SECOND))
        tracker.learn_report(identity("b"), report(FIRST, SECOND, a=2))
        self.assertEqual(tracker.active, FIRST)

    def test_report_of_an_earlier_incarnation_is_refused(self) -> None:
        tracker = joined("d", FIRST)
        self.assertTrue(tracker.learn_report(identity("a", 2), report(FIRST)))
        self.assertFalse(tracker.learn_report(identity("a", 1), report(FIRST)))


class JoinTest(unittest.TestCase):
    def test_restarted_host_does_not_join_without_a_majority_of_joined_hosts(self) -> None:
        tracker = ViewTracker(identity("a", 2))
        tracker.learn_report(identity("b"), report(FIRST))
        self.assertTrue(tracker.joining)
        tracker.learn_report(identity("c"), report(FIRST))
        self.assertEqual(tracker.active, FIRST)

    def test_cold_start_waits_for_every_listed_host(self) -> None:
        cases = [
            ({"b": report(None, FIRST)}, True),
            ({"b": report(None, FIRST), "c": report(None, FIRST)}, False),
            ({"b": report(None, FIRST), "c": report(None)}, True),
            ({"b": report(None, FIRST), "c": report(FIRST)}, False),
            ({"b": report(None, FIRST), "c": report(None, SECOND)}, True),
        ]
        for reports, joining in cases:
            with self.subTest(reports=reports):
                tracker = ViewTracker(identity("a"))
                tracker.learn_list(FIRST)
                for name, heard in reports.items():
                    tracker.learn_report(identity(name), heard)
                self.assertEqual(tracker.joining, joining)


if __name__ == "__main__":
    unittest.main()
