"""Guards against lease intervals that overlap or are lost without need."""

from __future__ import annotations

import unittest

from medlarvale.bookings.lease import CLOCK_BOUND_MS, LEASE_MS, Coverage, LeaseState
from medlarvale.bookings.messages import LeaseReply, LeaseRequest, View
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion, ShardId

START_MS = 1_750_000_000_000
FLOOR_MS = START_MS + LEASE_MS + 2 * CLOCK_BOUND_MS
SHARD = ShardId(7)
VIEW = View(ListVersion(1), (HostId("a"), HostId("b"), HostId("c")))


def host(name: str, started_ms: int = START_MS) -> LeaseState:
    identity = HostIdentity(HostId(name), Incarnation(started_ms << 16))
    state = LeaseState(identity, started_ms)
    state.views.active = VIEW
    return state


def run_round(holder: LeaseState, grantors: list[LeaseState], wall_ms: int) -> None:
    """Runs one lease round of a holder with some grantors."""
    request = holder.start_round([SHARD], wall_ms)
    for grantor in grantors:
        reply = grantor.handle_request(holder.identity, request, wall_ms)
        holder.handle_reply(grantor.identity, reply)


class PromiseTest(unittest.TestCase):
    def test_first_grant_starts_above_the_boot_floor(self) -> None:
        """Guards against grants of key times that an earlier incarnation may have promised."""
        grantor, holder = host("a"), host("b")
        request = holder.start_round([SHARD], START_MS)
        reply = grantor.handle_request(holder.identity, request, START_MS)
        self.assertEqual([grant.above_ms for grant in reply.grants], [FLOOR_MS])

    def test_second_holder_starts_above_the_first(self) -> None:
        first, second, grantor = host("a"), host("b"), host("c")
        wall_ms = FLOOR_MS + 100
        run_round(first, [grantor], wall_ms)
        run_round(second, [grantor], wall_ms + 500)
        self.assertIsNone(second.interval(SHARD), "the first lease is still valid")
        run_round(second, [grantor], wall_ms + LEASE_MS + 1)
        held = second.interval(SHARD)
        assert held is not None
        self.assertEqual(held[0], wall_ms + LEASE_MS)

    def test_request_from_a_clock_far_ahead_is_refused(self) -> None:
        grantor, holder = host("a"), host("b")
        for ahead_ms, grants in [(CLOCK_BOUND_MS, 1), (CLOCK_BOUND_MS + 1, 0)]:
            with self.subTest(ahead_ms=ahead_ms):
                request = holder.start_round([SHARD], START_MS + ahead_ms)
                reply = grantor.handle_request(holder.identity, request, START_MS)
                self.assertEqual(len(reply.grants), grants)

    def test_replies_count_until_the_key_times_have_passed(self) -> None:
        """Guards against leases that can't be renewed while all replies take longer than the time
        between two rounds, and against replies that count afterwards or for another host list."""
        other = View(ListVersion(2), (HostId("a"), HostId("b"), HostId("d")))
        table = [
            ("next round", 250, None, True),
            ("within the lease", LEASE_MS - 1, None, True),
            ("after the lease", LEASE_MS, None, False),
            ("another list", 250, other, False),
        ]
        for name, late_ms, view, counts in table:
            with self.subTest(name):
                grantor, holder = host("a"), host("b")
                wall_ms = FLOOR_MS + 100
                request: LeaseRequest = holder.start_round([SHARD], wall_ms)
                late: LeaseReply = grantor.handle_request(holder.identity, request, wall_ms)
                for at_ms in range(250, late_ms, 250):
                    holder.start_round([SHARD], wall_ms + at_ms)
                if view is not None:
                    holder.views.active = view
                holder.start_round([SHARD], wall_ms + late_ms)
                holder.handle_reply(grantor.identity, late)
                expected = (FLOOR_MS, wall_ms + LEASE_MS) if counts else None
                self.assertEqual(holder.interval(SHARD), expected)

    def test_a_late_reply_does_not_restore_a_released_lease(self) -> None:
        """Guards against two holders of the same key times."""
        grantor, holder = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        run_round(holder, [grantor], wall_ms)
        request = holder.start_round([SHARD], wall_ms + 250)
        late = grantor.handle_request(holder.identity, request, wall_ms + 250)
        holder.release_lease(SHARD)
        holder.start_round([], wall_ms + 500)
        holder.handle_reply(grantor.identity, late)
        self.assertIsNone(holder.interval(SHARD))


class HolderTest(unittest.TestCase):
    def test_restarted_grantor_does_not_move_the_start(self) -> None:
        holder, grantor = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        run_round(holder, [grantor], wall_ms)
        before = holder.interval(SHARD)
        assert before is not None
        restarted = host("c", wall_ms + 100)
        for number, moment_ms in enumerate(range(wall_ms + 250, wall_ms + 2_000, 250)):
            run_round(holder, [grantor if number % 2 else restarted], moment_ms)
        after = holder.interval(SHARD)
        assert after is not None
        self.assertEqual(after[0], before[0])

    def test_released_interval_is_not_claimed_again(self) -> None:
        """A grantor that missed the release still regards the previous holder as the holder."""
        hosts = [host(name) for name in "abcde"]
        for state in hosts:
            state.views.active = View(ListVersion(1), tuple(HostId(name) for name in "abcde"))
        holder, grantors = hosts[0], hosts[1:4]
        wall_ms = FLOOR_MS + 100
        run_round(holder, grantors, wall_ms)
        released = holder.release_lease(SHARD)
        assert released is not None
        run_round(holder, grantors, wall_ms + 250)
        again = holder.interval(SHARD)
        assert again is not None
        self.assertGreaterEqual(again[0], released[1])

    def test_coverage_bounds(self) -> None:
        """Guards against keys that run outside the held interval or after the lease."""
        holder, grantor = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        run_round(holder, [grantor], wall_ms)
        until_ms = wall_ms + LEASE_MS
        cases = [
            (FLOOR_MS, wall_ms, Coverage.TOO_OLD),
            (FLOOR_MS + 1, wall_ms, Coverage.COVERED),
            (until_ms, until_ms, Coverage.COVERED),
            (until_ms + 1, until_ms, Coverage.NOT_YET),
            (until_ms, until_ms + 1, Coverage.NOT_HELD),
        ]
        for issued_ms, now_ms, expected in cases:
            with self.subTest(issued_ms=issued_ms - wall_ms, now_ms=now_ms - wall_ms):
                self.assertIs(holder.coverage(SHARD, issued_ms, now_ms), expected)


if __name__ == "__main__":
    unittest.main()
