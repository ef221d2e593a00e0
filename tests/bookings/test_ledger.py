"""Guards against verdicts that change, get lost or belong to keys that other hosts may run."""

from __future__ import annotations

import unittest
import uuid

from medlarvale.bookings.errors import KeyMalformedError
from medlarvale.bookings.keys import issued_at_ms, scope_key, shard_of
from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import HandOver, Verdict, VerdictKind, View
from medlarvale.ids import (
    BookingKey,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
    ServiceName,
    WorkspaceId,
)

START_MS = 1_750_000_000_000
SETTLED_MS = START_MS + 2_500
MAX_AGE_MS = 60_000
ANSWERED = Verdict(VerdictKind.ANSWERED)


def timed_key(issued_ms: int, serial: int = 1) -> BookingKey:
    value = (issued_ms << 80) | (7 << 76) | (2 << 62) | serial
    return BookingKey(f"w/s/{uuid.UUID(int=value)}")


def sole_host(name: str = "a") -> tuple[LeaseState, Ledger]:
    """Returns a host that is the only member of its view and may hold shards from SETTLED_MS."""
    leases = LeaseState(HostIdentity(HostId(name), Incarnation(1)), START_MS)
    leases.learn_list(View(ListVersion(1), (HostId(name),)))
    return leases, Ledger(leases, lambda: MAX_AGE_MS)


def renew(leases: LeaseState, key: BookingKey, wall_ms: int) -> None:
    leases.start_round([shard_of(key)], wall_ms)


class AcceptTest(unittest.TestCase):
    def test_decision_by_time_of_issue(self) -> None:
        """Guards against calls that run under keys outside the lease or the retention time."""
        cases = [
            (SETTLED_MS, VerdictKind.RUNNING, True, False),
            (SETTLED_MS - 1_000, VerdictKind.RUNNING, False, True),
            (SETTLED_MS - MAX_AGE_MS - 1, VerdictKind.KEY_EXPIRED, False, False),
            (SETTLED_MS + 501, VerdictKind.KEY_FROM_FUTURE, False, False),
        ]
        for issued_ms, kind, dispatch, lookup in cases:
            with self.subTest(issued_ms=issued_ms - SETTLED_MS):
                leases, ledger = sole_host()
                key = timed_key(issued_ms)
                renew(leases, key, SETTLED_MS)
                accepted = ledger.accept(key, 1, SETTLED_MS)
                self.assertEqual(
                    (accepted.verdict.kind, accepted.dispatch, accepted.lookup),
                    (kind, dispatch, lookup),
                )

    def test_key_without_time_needs_a_lease_over_the_whole_retention_time(self) -> None:
        key = BookingKey("w/s/order-17")
        for wall_ms, dispatch in [(SETTLED_MS, False), (SETTLED_MS + MAX_AGE_MS, True)]:
            with self.subTest(wall_ms=wall_ms - SETTLED_MS):
                leases, ledger = sole_host()
                for moment_ms in range(SETTLED_MS, wall_ms + 1, 500):
                    renew(leases, key, moment_ms)
                self.assertEqual(ledger.accept(key, 1, wall_ms).dispatch, dispatch)

    def test_expired_lease_runs_nothing(self) -> None:
        leases, ledger = sole_host()
        key = timed_key(SETTLED_MS)
        renew(leases, key, SETTLED_MS)
        accepted = ledger.accept(key, 1, SETTLED_MS + 1_001)
        self.assertEqual(accepted.verdict.kind, VerdictKind.NOT_OWNER)

    def test_repeat_gets_the_recorded_verdict(self) -> None:
        """Guards against a second dispatch and against a verdict that changes."""
        leases, ledger = sole_host()
        key = timed_key(SETTLED_MS)
        renew(leases, key, SETTLED_MS)
        self.assertTrue(ledger.accept(key, 1, SETTLED_MS).dispatch)
        self.assertEqual(ledger.accept(key, 1, SETTLED_MS).verdict.kind, VerdictKind.RUNNING)
        self.assertTrue(ledger.record_verdict(key, Verdict(VerdictKind.NOT_RUN)))
        self.assertFalse(ledger.record_verdict(key, ANSWERED), "a verdict must not change")
        self.assertEqual(ledger.accept(key, 1, SETTLED_MS).verdict.kind, VerdictKind.NOT_RUN)
        self.assertEqual(ledger.accept(key, 2, SETTLED_MS).verdict.kind, VerdictKind.KEY_REUSED)


class RetentionTest(unittest.TestCase):
    def test_key_is_refused_before_its_record_is_removed(self) -> None:
        leases, ledger = sole_host()
        key = timed_key(SETTLED_MS + 500)
        renew(leases, key, SETTLED_MS)
        self.assertTrue(ledger.accept(key, 1, SETTLED_MS).dispatch)
        ledger.record_verdict(key, ANSWERED)
        for age_ms in range(0, MAX_AGE_MS + 3_000, 250):
            wall_ms = SETTLED_MS + age_ms
            renew(leases, key, wall_ms)
            ledger.expire(wall_ms)
            kind = ledger.accept(key, 1, wall_ms).verdict.kind
            kept = age_ms <= MAX_AGE_MS
            expected = {VerdictKind.ANSWERED} if kept else {VerdictKind.KEY_EXPIRED, kind.ANSWERED}
            self.assertIn(kind, expected, f"after {age_ms} ms")
        self.assertEqual(len(ledger), 0)

    def test_longer_age_does_not_admit_keys_of_removed_records(self) -> None:
        leases, _ = sole_host()
        age_ms = MAX_AGE_MS
        ledger = Ledger(leases, lambda: age_ms)
        key = timed_key(SETTLED_MS)
        renew(leases, key, SETTLED_MS)
        self.assertTrue(ledger.accept(key, 1, SETTLED_MS).dispatch)
        ledger.record_verdict(key, ANSWERED)
        later_ms = SETTLED_MS + MAX_AGE_MS + 2_000
        for moment_ms in range(SETTLED_MS, later_ms + 1, 500):
            renew(leases, key, moment_ms)
        self.assertEqual(ledger.expire(later_ms), 1)
        age_ms = 10 * MAX_AGE_MS
        accepted = ledger.accept(key, 1, later_ms)
        self.assertEqual(accepted.verdict.kind, VerdictKind.KEY_EXPIRED)


class HandOverTest(unittest.TestCase):
    def test_receiver_answers_for_keys_of_the_previous_holder(self) -> None:
        leases, ledger = sole_host("a")
        next_leases, next_ledger = sole_host("b")
        done, running = timed_key(SETTLED_MS, 1), timed_key(SETTLED_MS, 1 + (64 << 8))
        keys = [done]
        serial = 1
        while shard_of(running) != shard_of(done) or running == done:
            serial += 1
            running = timed_key(SETTLED_MS, serial)
        keys.append(running)
        renew(leases, done, SETTLED_MS)
        for key in keys:
            self.assertTrue(ledger.accept(key, 1, SETTLED_MS).dispatch)
        ledger.record_verdict(done, ANSWERED)
        shard = shard_of(done)
        interval = leases.release_lease(shard)
        assert interval is not None
        offer = HandOver(shard, *interval, ledger.hand_over(shard, HostId("a")))
        self.assertTrue(next_leases.take_over(leases.identity, offer))
        next_ledger.take_over(offer.records)
        self.assertEqual(next_ledger.accept(done, 1, SETTLED_MS).verdict, ANSWERED)
        self.assertEqual(next_ledger.accept(running, 1, SETTLED_MS).running_at, HostId("a"))
        fresh = ledger.accept(timed_key(SETTLED_MS, 1), 1, SETTLED_MS)
        self.assertFalse(fresh.dispatch, "the previous holder must not run keys any more")
        self.assertFalse(
            next_leases.take_over(leases.identity, offer), "the same offer was accepted twice"
        )


class KeyTest(unittest.TestCase):
    def test_malformed_keys_are_rejected(self) -> None:
        for text in ["", " ", "a b", "é", "x" * 256, "line\n"]:
            with self.subTest(text=text), self.assertRaises(KeyMalformedError):
                scope_key(WorkspaceId("w"), ServiceName("s"), text)

    def test_time_of_issue_is_read_from_uuid7_keys_only(self) -> None:
        for text, expected in [
            (str(timed_key(START_MS)).rsplit("/", 1)[-1], START_MS),
            (str(uuid.uuid4()), None),
            ("order-17", None),
        ]:
            with self.subTest(text=text):
                key = scope_key(WorkspaceId("w"), ServiceName("s"), text)
                self.assertEqual(issued_at_ms(key), expected)


if __name__ == "__main__":
    unittest.main()
