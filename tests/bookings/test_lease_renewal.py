"""Tests of leases whose grantors have just restarted."""

from __future__ import annotations

import unittest

from medlarvale.bookings.lease import LEASE_MS, LeaseState
from medlarvale.bookings.messages import LeaseReply, View
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion, ShardId

START_MS = 1_750_000_000_000
SHARD = ShardId(0)


def new_hosts(count: int) -> list[LeaseState]:
    """Returns hosts that have all activated the same view long after their start."""
    identities = [HostIdentity(HostId(f"host{n}"), Incarnation(n + 1)) for n in range(count)]
    hosts = [LeaseState(identity, START_MS - 60_000) for identity in identities]
    view = View(ListVersion(1), tuple(identity.host for identity in identities))
    for host in hosts:
        host.learn_list(view)
    for _ in range(2):
        for host in hosts:
            for other in hosts:
                other.views.learn_report(host.identity, host.views.report())
    return hosts


def collect_replies(
    holder: LeaseState, grantors: list[LeaseState], wall_ms: int
) -> list[tuple[HostIdentity, LeaseReply]]:
    """Starts a round of the holder and returns the grantors with their replies, in order."""
    request = holder.start_round([SHARD], wall_ms)
    return [
        (grantor.identity, grantor.handle_request(holder.identity, request, wall_ms))
        for grantor in grantors
    ]


def deliver(holder: LeaseState, replies: list[tuple[HostIdentity, LeaseReply]]) -> None:
    for grantor, reply in replies:
        holder.handle_reply(grantor, reply)


class RenewalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = new_hosts(5)
        self.holder = self.hosts[0]
        deliver(self.holder, collect_replies(self.holder, self.hosts[1:], START_MS))
        self.before = self.holder.interval(SHARD)

    def restart(self, number: int, wall_ms: int) -> LeaseState:
        """Replaces a host by a new incarnation of it that has joined."""
        old = self.hosts[number].identity
        fresh = LeaseState(HostIdentity(old.host, Incarnation(100 + number)), wall_ms)
        for host in self.hosts:
            if host.identity.host != old.host:
                fresh.views.learn_report(host.identity, host.views.report())
        self.hosts[number] = fresh
        return fresh

    def test_renewal_does_not_need_a_restarted_grantor(self) -> None:
        """Guards against a lost renewal when a grantor with a boot floor answers first."""
        now_ms = START_MS + 250
        fresh = self.restart(1, now_ms)
        self.assertFalse(fresh.views.joining)
        deliver(self.holder, collect_replies(self.holder, [fresh, *self.hosts[2:]], now_ms))
        assert self.before is not None
        self.assertEqual(
            self.holder.interval(SHARD),
            (self.before[0], now_ms + LEASE_MS),
            "the interval is not renewed without a gap",
        )

    def test_live_interval_is_not_replaced_by_one_with_a_gap(self) -> None:
        """Guards against a quorum that grants only late key times.

        The outcome of calls with earlier keys would become unknown.
        """
        # Their boot floor is after the interval held and before the requested one.
        fresh = [self.restart(number, START_MS - 900) for number in (1, 2)]
        now_ms = START_MS + 750
        replies = collect_replies(self.holder, [*fresh, *self.hosts[3:]], now_ms)
        deliver(self.holder, replies[:2])
        self.assertEqual(self.holder.interval(SHARD), self.before)
        deliver(self.holder, replies[2:])
        assert self.before is not None
        self.assertEqual(self.holder.interval(SHARD), (self.before[0], now_ms + LEASE_MS))

    def test_restarted_majority_never_continues_the_interval(self) -> None:
        """Guards against a quorum of grantors that have all lost their promises."""
        now_ms = START_MS + 250
        fresh = [self.restart(number, now_ms) for number in (1, 2, 3, 4)]
        deliver(self.holder, collect_replies(self.holder, fresh, now_ms))
        self.assertEqual(self.holder.interval(SHARD), self.before)


if __name__ == "__main__":
    unittest.main()
