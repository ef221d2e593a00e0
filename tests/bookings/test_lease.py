"""Guards against leases that a restarted granter takes from their holders."""

from __future__ import annotations

import unittest

from medlarvale.bookings.lease import Coverage, LeaseState
from medlarvale.bookings.messages import Grant, LeaseReply, View, ViewReport
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion, ShardId

START_MS = 1_750_000_000_000
BOOT_FLOOR_MS = START_MS + 2_000
SHARD = ShardId(7)
VIEW = View(ListVersion(1), tuple(HostId(name) for name in "abcd"))


class RestartedGranterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.incarnations = {HostId(name): Incarnation(1) for name in "abcd"}
        self.leases = LeaseState(HostIdentity(HostId("a"), Incarnation(1)), START_MS)
        self.leases.learn_list(VIEW)
        for name in "bcd":
            self.answer(name, 0, None)
        self.now_ms = START_MS + 2_500
        self.renew([("b", BOOT_FLOOR_MS), ("c", BOOT_FLOOR_MS)])
        self.assertEqual(self.leases.held_shards(self.now_ms), [SHARD])

    def answer(self, name: str, round_number: int, above_ms: int | None) -> None:
        """Passes on a reply of a granter."""
        incarnation = Incarnation(1)
        self.incarnations[HostId(name)] = incarnation
        active = VIEW if above_ms is not None else None
        grants = [Grant(SHARD, above_ms)] if above_ms is not None else []
        report = ViewReport(active, () if active else (VIEW,), dict(self.incarnations))
        granter = HostIdentity(HostId(name), incarnation)
        self.leases.handle_reply(granter, LeaseReply(round_number, report, grants))

    def renew(self, replies: list[tuple[str, int]]) -> None:
        request = self.leases.start_round([SHARD], self.now_ms)
        for name, above_ms in replies:
            self.answer(name, request.round_number, above_ms)

    def test_its_boot_floor_does_not_replace_a_lease_that_others_extend(self) -> None:
        issued_ms = self.now_ms
        held = self.leases.interval(SHARD)
        assert held is not None
        self.now_ms += 250
        floor_ms = self.now_ms + 900
        # The restarted granter answers before the third one that extends.
        self.renew([("d", floor_ms), ("b", BOOT_FLOOR_MS)])
        self.assertEqual(self.leases.interval(SHARD), held)
        self.answer("c", 3, BOOT_FLOOR_MS)
        self.assertEqual(
            self.leases.coverage(SHARD, issued_ms, self.now_ms),
            Coverage.COVERED,
        )
        interval = self.leases.interval(SHARD)
        assert interval is not None
        self.assertEqual(interval[0], held[0])

    def test_its_grant_counts_once_the_lease_has_ended(self) -> None:
        held = self.leases.interval(SHARD)
        assert held is not None
        self.now_ms = held[1] + 1
        floor_ms = self.now_ms + 500
        self.renew([("d", floor_ms), ("b", BOOT_FLOOR_MS)])
        self.assertEqual(self.leases.interval(SHARD), (floor_ms, self.now_ms + 1_000))
