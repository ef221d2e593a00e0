"""Tests of the sweep: which requests it cancels, and how soon after the loss of their owner."""

import itertools
import unittest

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.scheduling.sweep import classify_requests, find_disowned
from tests.scheduling.builders import engine_request, owner

# Specified bound, independent of the code: an engine holds a request of a gone owner this long.
BOUND_MS = 3_000
POLL_MS = 500
# A heartbeat is sent every 250 ms, and a host is considered dead after 1,000 ms without one.
DETECTION_MS = 1_250
STEP_MS = 50
# An idle time that is surely above the limit, and one that is surely below.
IDLE_MS, READING_MS = float(BOUND_MS), 0.0


class ClassifyRequestsTest(unittest.TestCase):
    def test_idle_requests_are_cancelled_or_queried_by_their_owner(self) -> None:
        """Guards against memory held for a dead owner, and against cancelling served requests."""
        live = {owner("host-a", 2), owner("host-b")}
        table = [
            ("dead host", "host-c/1", IDLE_MS, "cancel"),
            ("earlier incarnation", "host-a/1", IDLE_MS, "cancel"),
            ("malformed owner", "host-a", IDLE_MS, "cancel"),
            ("live owner", "host-a/2", IDLE_MS, "query"),
            ("read for a dead host", "host-c/1", READING_MS, "keep"),
            ("read for an earlier incarnation", "host-a/1", READING_MS, "keep"),
            ("read for a malformed owner", "host-a", READING_MS, "keep"),
            ("read for a live owner", "host-a/2", READING_MS, "keep"),
        ]
        for name, host, idle_ms, action in table:
            with self.subTest(name):
                request = engine_request("r1", host, idle_ms=idle_ms)
                findings = classify_requests([request], live)
                self.assertEqual(findings.cancel, [request] if action == "cancel" else [])
                queried = {owner("host-a", 2): [request]} if action == "query" else {}
                self.assertEqual(findings.query, queried)

    def test_requests_of_several_owners_are_classified_separately(self) -> None:
        """Guards against a dead owner that hides the requests of others in the same list."""
        hosts = ["host-a/1", "host-b/1", "host-c/1", "host-a/1"]
        requests = [engine_request(f"r{n}", host, 1, IDLE_MS) for n, host in enumerate(hosts)]
        findings = classify_requests(requests, {owner("host-a"), owner("host-c")})
        self.assertEqual(findings.cancel, [requests[1]])
        expected = {owner("host-a"): [requests[0], requests[3]], owner("host-c"): [requests[2]]}
        self.assertEqual(findings.query, expected)

    def test_request_of_a_dead_owner_is_cancelled_in_time(self) -> None:
        """Guards against memory held for a dead owner, even if two polls in a row are lost.

        The owner dies at various times relative to the polls and stops reading at once. It does
        not answer the queries that it gets until its death is detected.
        """
        died_times_ms = range(0, 2 * POLL_MS, STEP_MS)
        for died_ms, lost_polls in itertools.product(died_times_ms, range(3)):
            with self.subTest(died_ms=died_ms, lost_polls=lost_polls):
                detected_ms = died_ms + DETECTION_MS
                polls = range(0, died_ms + BOUND_MS + 1, POLL_MS)
                lost = [at_ms for at_ms in polls if at_ms >= detected_ms][:lost_polls]
                cancelled = False
                for now_ms in polls:
                    if now_ms in lost:
                        continue
                    idle_ms = float(max(0, now_ms - died_ms))
                    live = {owner()} if now_ms < detected_ms else set()
                    request = engine_request("r1", owner(), idle_ms=idle_ms)
                    cancelled = classify_requests([request], live).cancel == [request]
                self.assertTrue(cancelled, "memory is held for a gone owner")

    def test_dropped_request_of_a_live_owner_is_queried_in_time(self) -> None:
        """Guards against memory held for a request that its live owner has dropped."""
        dropped_times_ms = range(0, 2 * POLL_MS, STEP_MS)
        for dropped_ms, lost_polls in itertools.product(dropped_times_ms, range(3)):
            with self.subTest(dropped_ms=dropped_ms, lost_polls=lost_polls):
                polls = range(0, dropped_ms + BOUND_MS + 1, POLL_MS)
                # Two lost polls in a row delay the sweep most if the later ones are lost.
                received = polls[: len(polls) - lost_polls]
                request = engine_request("r1", owner(), 1, float(received[-1] - dropped_ms))
                findings = classify_requests([request], {owner()})
                self.assertEqual(findings.query, {owner(): [request]})


class FindDisownedTest(unittest.TestCase):
    def test_unknown_requests_and_old_attempts_are_disowned(self) -> None:
        """Guards against memory held for an attempt that its owner has restarted or ended."""
        table = [
            ("served", 1, 1, False),
            ("restart served", 2, 2, False),
            ("restarted once", 1, 2, True),
            ("restarted twice", 1, 3, True),
            ("second attempt restarted", 2, 3, True),
            ("ended", 1, None, True),
        ]
        for name, attempt, newest, disowned in table:
            with self.subTest(name):
                request = engine_request("r1", attempt=attempt, idle_ms=IDLE_MS)
                known = {RequestId("other"): AttemptNumber(1)}
                if newest is not None:
                    known[request.request_id] = AttemptNumber(newest)
                self.assertEqual(find_disowned([request], known), [request] if disowned else [])

    def test_only_disowned_requests_are_returned(self) -> None:
        """Guards against cancelling a request because another one in the query has ended."""
        queried = [engine_request(name) for name in ("served", "restarted", "ended")]
        known = {
            RequestId("served"): AttemptNumber(1),
            RequestId("restarted"): AttemptNumber(2),
        }
        self.assertEqual(find_disowned(queried, known), queried[1:])
