"""Guards against intervals of key times that overlap, or that are lost without need."""

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


def ask(holder: LeaseState, granters: list[LeaseState], wall_ms: int) -> None:
    """Runs one round of a holder with some granters."""
    request = holder.start_round([SHARD], wall_ms)
    for granter in granters:
        reply = granter.handle_request(holder.identity, request, wall_ms)
        holder.handle_reply(granter.identity, reply)


class PromiseTest(unittest.TestCase):
    def test_first_grant_starts_above_the_boot_floor(self) -> None:
        """An earlier life may have promised key times up to the floor."""
        granter, holder = host("a"), host("b")
        request = holder.start_round([SHARD], START_MS)
        reply = granter.handle_request(holder.identity, request, START_MS)
        self.assertEqual([grant.above_ms for grant in reply.grants], [FLOOR_MS])

    def test_second_holder_starts_above_the_first(self) -> None:
        first, second, granter = host("a"), host("b"), host("c")
        wall_ms = FLOOR_MS + 100
        ask(first, [granter], wall_ms)
        ask(second, [granter], wall_ms + 500)
        self.assertIsNone(second.interval(SHARD), "the first lease still runs")
        ask(second, [granter], wall_ms + LEASE_MS + 1)
        held = second.interval(SHARD)
        assert held is not None
        self.assertEqual(held[0], wall_ms + LEASE_MS)

    def test_request_from_a_clock_far_ahead_is_refused(self) -> None:
        granter, holder = host("a"), host("b")
        for ahead_ms, grants in [(CLOCK_BOUND_MS, 1), (CLOCK_BOUND_MS + 1, 0)]:
            with self.subTest(ahead_ms=ahead_ms):
                request = holder.start_round([SHARD], START_MS + ahead_ms)
                reply = granter.handle_request(holder.identity, request, START_MS)
                self.assertEqual(len(reply.grants), grants)

    def test_reply_to_an_earlier_round_does_not_count(self) -> None:
        granter, holder = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        request: LeaseRequest = holder.start_round([SHARD], wall_ms)
        late: LeaseReply = granter.handle_request(holder.identity, request, wall_ms)
        holder.start_round([SHARD], wall_ms + 250)
        holder.handle_reply(granter.identity, late)
        self.assertIsNone(holder.interval(SHARD))


class HolderTest(unittest.TestCase):
    def test_restarted_granter_does_not_move_the_start(self) -> None:
        holder, granter = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        ask(holder, [granter], wall_ms)
        before = holder.interval(SHARD)
        assert before is not None
        restarted = host("c", wall_ms + 100)
        for number, moment_ms in enumerate(range(wall_ms + 250, wall_ms + 2_000, 250)):
            ask(holder, [granter if number % 2 else restarted], moment_ms)
        after = holder.interval(SHARD)
        assert after is not None
        self.assertEqual(after[0], before[0])

    def test_interval_given_up_is_not_claimed_again(self) -> None:
        """A granter that missed the release takes the giver for the holder still."""
        hosts = [host(name) for name in "abcde"]
        for state in hosts:
            state.views.active = View(ListVersion(1), tuple(HostId(name) for name in "abcde"))
        holder, granters = hosts[0], hosts[1:4]
        wall_ms = FLOOR_MS + 100
        ask(holder, granters, wall_ms)
        given = holder.release_lease(SHARD)
        assert given is not None
        ask(holder, granters, wall_ms + 250)
        again = holder.interval(SHARD)
        assert again is not None
        self.assertGreaterEqual(again[0], given[1])

    def test_coverage(self) -> None:
        holder, granter = host("a"), host("b")
        wall_ms = FLOOR_MS + 100
        ask(holder, [granter], wall_ms)
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
