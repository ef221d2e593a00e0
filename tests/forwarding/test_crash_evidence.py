"""Tests of what is blamed for the servers lost while requests ran."""

from __future__ import annotations

import unittest

from medlarvale.forwarding.crash_evidence import CLEAN_WINDOW_MS, CleanRun, CrashEvidence
from medlarvale.forwarding.messages import RequestIdentity
from medlarvale.ids import RequestId, ServerId
from medlarvale.quarantine.messages import LossEvent
from medlarvale.quarantine.suspects import (
    MAX_SUSPECTS,
    RETENTION_PER_QUARANTINE,
    QuarantineLimits,
)

NOW_MS = 1_750_000_000_000
DAY_MS = 24 * 3_600_000
# The users' rule allows three retries after the third crash, without a limit of time.
RETRIES_OF_THE_RULE = 3


def identity(*fingerprints: int) -> RequestIdentity:
    return RequestIdentity(RequestId("q"), fingerprints)


class CrashEvidenceTest(unittest.TestCase):
    def test_only_what_explains_the_losses_is_refused(self) -> None:
        """Guards against refusals of sound requests that have something in common with those that
        crash servers, and against requests that go on crashing them."""
        # Losses as (server, fingerprints of a request that was running), then requests as
        # (fingerprints, whether it is refused). Whole requests are even, parts are odd.
        table: list[tuple[str, list[tuple[str, list[int]]], list[tuple[list[int], bool]]]] = [
            (
                "a common part and the crashing one",
                [("a", [10, 1, 3]), ("b", [12, 1, 3]), ("c", [14, 1, 3])],
                [([20, 1, 3], True), ([20, 1], False), ([20, 3], False), ([20, 5], False)],
            ),
            (
                "the crashing part also with another one",
                [("a", [10, 1, 3]), ("b", [12, 1, 3]), ("c", [14, 1, 3]), ("d", [16, 3])],
                [([20, 3], True), ([20, 1], False), ([20, 3, 5], True)],
            ),
            (
                "one request, sent again",
                [("a", [10, 1]), ("b", [10, 1]), ("c", [10, 1])],
                [([10, 1], True), ([20, 1], False)],
            ),
            (
                "two requests with a part in common, sent again",
                [(name, [10, 1]) for name in "abc"] + [(name, [12, 1]) for name in "def"],
                [([10, 1], True), ([20, 1], True), ([20, 3], False)],
            ),
            (
                "two losses",
                [("a", [10, 1]), ("b", [12, 1])],
                [([20, 1], False)],
            ),
            (
                "the same server three times",
                [("a", [10, 1]), ("a", [12, 1]), ("a", [14, 1])],
                [([20, 1], False)],
            ),
            (
                "two crashing parts",
                [(name, [10 + 2 * at, 1, 3]) for at, name in enumerate("abc")]
                + [(name, [20 + 2 * at, 1, 5]) for at, name in enumerate("defg")],
                [([30, 1, 3], True), ([30, 1, 5], True), ([30, 1], False), ([30, 3], False)],
            ),
        ]
        for name, losses, requests in table:
            evidence = CrashEvidence()
            for server, fingerprints in losses:
                event = LossEvent(ServerId(server), 1, 0)
                evidence.record_loss(identity(*fingerprints), event, NOW_MS)
            for fingerprints, refused in requests:
                with self.subTest(name, request=fingerprints):
                    left_ms = evidence.quarantine_left_ms(identity(*fingerprints), NOW_MS)
                    self.assertEqual(left_ms > 0, refused)

    def test_clean_runs_clear_losses(self) -> None:
        """Guards against the blame of a part that most requests have, and against a part that stays
        cleared although it crashes servers later."""
        window_s = CLEAN_WINDOW_MS // 1000
        table = [
            ("before the losses", -1, [0, 1, 2], False),
            ("after the losses", 3, [0, 1, 2], False),
            ("between the losses", 1, [0, 0, 2], False),
            ("long before the losses", -2 * window_s, [0, 1, 2], True),
            ("before the last losses", 0, [-2, window_s + 1, window_s + 2, window_s + 3], True),
        ]
        for name, clean_s, losses_s, refused in table:
            with self.subTest(name):
                evidence, other = CrashEvidence(), CrashEvidence()
                events = sorted([(at_s, "loss") for at_s in losses_s] + [(clean_s, "run")])
                for number, (at_s, kind) in enumerate(events):
                    at_ms = NOW_MS + 1000 * at_s
                    if kind == "run":
                        evidence.record_clean_run(identity(10, 1), at_ms)
                    else:
                        event = LossEvent(ServerId(f"s{number}"), 1, 0)
                        evidence.record_loss(identity(100 + 2 * number, 1), event, at_ms)
                        other.merge([evidence.evidence_of(1)])
                other.merge([evidence.evidence_of(1)])
                now_ms = NOW_MS + 1000 * events[-1][0]
                for known in (evidence, other):
                    left_ms = known.quarantine_left_ms(identity(98, 1), now_ms)
                    self.assertEqual(left_ms > 0, refused)

    def test_a_host_corrects_peers_that_know_no_clean_run(self) -> None:
        """Guards against a new host that refuses what ran clean before it started."""
        old, new = CrashEvidence(), CrashEvidence()
        old.record_clean_run(identity(10, 1), NOW_MS)
        for name in "abc":
            new.record_loss(identity(14, 1), LossEvent(ServerId(name), 1, 0), NOW_MS)
        self.assertEqual(old.merge([new.evidence_of(1)]), [1])
        new.merge([old.evidence_of(1)])
        for known in (old, new):
            self.assertEqual(known.quarantine_left_ms(identity(12, 1), NOW_MS), 0)

    def test_refusals_last_longer_with_each_loss(self) -> None:
        """Guards against ten minutes of refusals of a sound part, because servers that were lost
        together for another reason all ran it before it had run clean anywhere."""
        evidence = CrashEvidence()
        lasted_s = []
        for number, name in enumerate("abcdefgh"):
            evidence.record_loss(
                identity(10 + 2 * number, 1), LossEvent(ServerId(name), 1, 0), NOW_MS
            )
            lasted_s.append(evidence.quarantine_left_ms(identity(98, 1), NOW_MS) // 1000)
        self.assertEqual(lasted_s, [0, 0, 60, 120, 240, 480, 600, 600])

    def test_a_request_that_goes_on_crashing_servers_is_refused_for_good(self) -> None:
        """Guards against a request that crashes one more server each time that its refusal has
        ended, all day (review/5)."""
        evidence, now_ms, sends = CrashEvidence(CleanRun.COMPLETED), NOW_MS, 0
        end_ms = NOW_MS + DAY_MS
        while now_ms < end_ms:
            evidence.expire(now_ms)
            left_ms = evidence.quarantine_left_ms(identity(10, 1), now_ms)
            if left_ms:
                now_ms += min(left_ms, 60_000)
                continue
            sends += 1
            evidence.record_loss(identity(10), LossEvent(ServerId(f"s{sends}"), 1, 0), now_ms)
            now_ms += 10_000
        self.assertGreater(sends, QuarantineLimits().crash_limit, "refused without a second trial")
        self.assertLessEqual(sends, QuarantineLimits().crash_limit + RETRIES_OF_THE_RULE)
        evidence.record_clean_run(identity(10), now_ms)
        self.assertEqual(evidence.quarantine_left_ms(identity(10), now_ms), 0)

    def test_evidence_that_was_evicted_refuses_nothing(self) -> None:
        """Guards against a host that fails every check, because what it refused was evicted from a
        full table."""
        evidence = CrashEvidence(CleanRun.COMPLETED)
        for name in "abc":
            evidence.record_loss(identity(10), LossEvent(ServerId(name), 1, 0), NOW_MS)
        for number in range(MAX_SUSPECTS):
            other = identity(1_000 + 2 * number)
            for name in "defg":
                evidence.record_loss(other, LossEvent(ServerId(name), 1, 0), NOW_MS + 1)
        self.assertEqual(evidence.loss_count(10), 0)
        evidence.expire(NOW_MS + 2)
        self.assertEqual(evidence.quarantine_left_ms(identity(10), NOW_MS + 2), 0)

    def test_old_evidence_expires(self) -> None:
        evidence = CrashEvidence()
        for name in "abc":
            evidence.record_loss(identity(10, 1), LossEvent(ServerId(name), 1, 0), NOW_MS)
        left_ms = evidence.quarantine_left_ms(identity(10, 1), NOW_MS)
        self.assertEqual(evidence.quarantine_left_ms(identity(10, 1), NOW_MS + left_ms), 0)
        evidence.expire(NOW_MS + RETENTION_PER_QUARANTINE * QuarantineLimits().quarantine_ms)
        self.assertEqual(evidence.loss_count(1), 0)


if __name__ == "__main__":
    unittest.main()
