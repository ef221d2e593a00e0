"""Tests of the evidence that one host keeps."""

import itertools
import unittest

from medlarvale.ids import ServerId, ServiceName, WorkspaceId
from medlarvale.quarantine.messages import Evidence, Loss, LossEvent
from medlarvale.quarantine.suspects import (
    QuarantineLimits,
    RunningCopies,
    SuspectTable,
    fingerprint_of,
)

SERVER = ServerId("e1")


def loss(number: int, lost_at_ms: int = 1_000) -> Loss:
    return Loss(lost_at_ms, LossEvent(SERVER, number, 0))


class FingerprintTest(unittest.TestCase):
    def test_workspace_service_and_body_are_distinguished(self) -> None:
        # Equal request bodies of two workspaces must not share a quarantine.
        cases = [("w1", "s", b"x"), ("w2", "s", b"x"), ("w1", "t", b"x"), ("w1", "s", b"y")]
        found = {fingerprint_of(WorkspaceId(w), ServiceName(s), body) for w, s, body in cases}
        self.assertEqual(len(found), len(cases))


class SuspectTableTest(unittest.TestCase):
    def test_merge_is_idempotent_and_independent_of_order(self) -> None:
        # Summing counters would refuse a request after one loss that is reported three times.
        parts = [
            Evidence(7, (loss(1), loss(2, 2_000))),
            Evidence(7, (loss(1, 1_100),)),
            Evidence(7, (loss(3, 3_000),)),
            Evidence(7, (), 2_000),
        ]
        results = set()
        for order in itertools.permutations([*parts, parts[0], parts[3]]):
            suspects = SuspectTable(QuarantineLimits())
            for part in order:
                suspects.merge(part)
            results.add(suspects.evidence_of(7))
            self.assertEqual(suspects.crash_count(7, 3_000), 1)
        self.assertEqual(len(results), 1)

    def test_quarantine_and_expiry(self) -> None:
        limits = QuarantineLimits(crash_limit=3, quarantine_ms=100)
        cases = [
            # losses, time of a complete answer, now, expected count, expected quarantine left
            ([10], None, 20, 1, 0),
            ([10, 20], None, 20, 2, 0),
            ([10, 20, 30], None, 30, 3, 100),
            ([10, 20, 30], None, 130, 3, 0),
            ([10, 20, 30], None, 230, 0, 0),
            ([10, 20, 30], 40, 50, 0, 0),
            ([10, 20, 30, 140], None, 140, 4, 100),
        ]
        for losses, clean_end, wall_ms, count, left_ms in cases:
            with self.subTest(losses=losses, clean_end=clean_end, wall_ms=wall_ms):
                suspects = SuspectTable(limits)
                for number, lost_at_ms in enumerate(losses):
                    suspects.record_loss(7, loss(number, lost_at_ms))
                if clean_end is not None:
                    self.assertTrue(suspects.record_clean_end(7, clean_end))
                self.assertEqual(suspects.crash_count(7, wall_ms), count)
                self.assertEqual(suspects.quarantine_left_ms(7, wall_ms), left_ms)
                retention_ms = 2 * limits.quarantine_ms
                newest_ms = max(*losses, clean_end or 0, 0)
                for after_ms, expected in ((-1, 1), (0, 0)):
                    suspects.expire(newest_ms + retention_ms + after_ms)
                    self.assertEqual(len(suspects), expected)

    def test_memory_is_bounded(self) -> None:
        # A flood of evidence must neither grow the table nor evict quarantined requests.
        suspects = SuspectTable(QuarantineLimits(), capacity=50)
        for number in range(3):
            suspects.record_loss(0, loss(number))
        for fingerprint in range(1, 500):
            suspects.record_loss(fingerprint, loss(0, 2_000))
            suspects.record_loss(0, loss(fingerprint + 3))
        self.assertLessEqual(len(suspects), 50)
        self.assertGreater(suspects.quarantine_left_ms(0, 2_000), 0)
        self.assertLessEqual(len(suspects.evidence_of(0).losses), 16)


class RunningCopiesTest(unittest.TestCase):
    def test_second_loss_before_the_new_epoch_is_reported_counts(self) -> None:
        # By the outdated epoch alone the second loss would look like a repeat of the first.
        running = RunningCopies()
        events = []
        for _ in range(2):
            running.start(7, SERVER, 5)
            event = running.finish(7, SERVER)
            assert event is not None
            self.assertTrue(running.record_server_loss(event))
            self.assertFalse(running.record_server_loss(event))
            events.append(event)
        self.assertEqual(len(set(events)), 2)
        self.assertIsNone(running.finish(7, SERVER))
