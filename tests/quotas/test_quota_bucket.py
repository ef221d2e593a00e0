"""Tests of the token bucket, and of who grants which share of a quota."""

from __future__ import annotations

import random
import unittest

from bench.quota_fleet import QuotaFleet
from medlarvale.forwarding.messages import Quota
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.quotas.bucket import TokenBucket
from medlarvale.quotas.ownership import ASSUMED_HOSTS

QUOTA = Quota(1_000.0, 1_000.0)
W = WorkspaceId("w")


class BucketTest(unittest.TestCase):
    def test_start(self) -> None:
        """Guards against a new owner that adds a whole burst to that of the one before, and against
        one that refuses the first request of a workspace with a small burst."""
        table = [(0.0, 1.0, 500.0), (100.0, 1.0, 500.0), (800.0, 1.0, 800.0), (5_000.0, 0.5, 500.0)]
        for first, scale, level in table:
            with self.subTest(first=first, scale=scale):
                self.assertEqual(TokenBucket(QUOTA, 0.0, scale, first).level, level)
        small = TokenBucket(Quota(1_000.0, 50.0), 0.0, 1.0, 200.0)
        self.assertTrue(small.take(200.0, 0.0))

    def test_a_new_owner_is_not_refilled_at_first(self) -> None:
        """Guards against two owners that both grant the whole rate during a change."""
        bucket = TokenBucket(QUOTA, 0.0, 1.0, fresh_ms=1_100.0)
        bucket.refill(QUOTA, 1_100.0, 1.0)
        self.assertEqual(bucket.level, 500.0)
        bucket.refill(QUOTA, 1_200.0, 1.0)
        self.assertEqual(bucket.level, 600.0)

    def test_sizes_get_their_turn_under_load(self) -> None:
        """Guards against large requests that starve, because small ones use up each refill."""
        bucket, rng = TokenBucket(QUOTA, 0.0, 1.0), random.Random(1)
        asked = {20.0: 0, 240.0: 0}
        granted = dict(asked)
        for now_ms in range(60_000):
            bucket.refill(QUOTA, float(now_ms), 1.0)
            amount = rng.choice([20.0, 240.0])
            asked[amount] += 1
            granted[amount] += bucket.take(amount, float(now_ms))
        shares = {amount: granted[amount] / asked[amount] for amount in asked}
        self.assertGreaterEqual(shares[240.0], shares[20.0] / 2.0)
        total = sum(amount * number for amount, number in granted.items())
        self.assertLessEqual(total, 60_000.0 + 1_000.0 * 1.25)

    def test_advances_leave_half_of_the_burst(self) -> None:
        """Guards against advances that lie unused while requests elsewhere are refused."""
        bucket = TokenBucket(QUOTA, 0.0, 1.0, 800.0)
        self.assertEqual([bucket.take_advance(200.0), bucket.take_advance(200.0)], [200.0, 100.0])
        self.assertEqual(bucket.take_advance(200.0), 0.0)

    def test_returned_amounts_do_not_exceed_the_burst(self) -> None:
        """Guards against credits that add up to more than a burst."""
        bucket = TokenBucket(QUOTA, 0.0, 1.0)
        bucket.credit(5_000.0)
        self.assertEqual(bucket.level, 1_000.0)

    def test_retry_times_are_staggered(self) -> None:
        """Guards against callers that are all told the same time and then refused again."""
        bucket = TokenBucket(QUOTA, 0.0, 1.0)
        while bucket.take(100.0, 0.0):
            pass
        times = [bucket.promise_ms(100.0, 0.0) for _ in range(4)]
        steps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
        self.assertEqual(steps, [100.0] * 3)


class ScaleTest(unittest.IsolatedAsyncioTestCase):
    async def test_shares(self) -> None:
        """Guards against sides of a partition that each grant the whole quota, also after the
        hosts of the other side are forgotten, and against hosts that grant before they know
        their peers."""
        fleet = QuotaFleet(4, {W: QUOTA})
        first = fleet.hosts[HostId("h000")].quotas.owners
        self.assertFalse(first.grants)
        self.assertEqual(first.equal_share(), 1.0 / ASSUMED_HOSTS)
        await fleet.run(5_000.0)
        self.assertEqual((first.scale(), first.equal_share()), (1.0, 0.25))
        fleet.cut([[0, 1]])
        await fleet.run(1_700.0)
        self.assertEqual(first.scale(), 0.5 * 1.125)
        await fleet.run(60_000.0)
        self.assertEqual(first.scale(), 0.5 * 1.125)
        fleet.cut([])
        await fleet.run(2_000.0)
        self.assertEqual(first.scale(), 1.0)
        await fleet.close()

    async def test_a_host_that_is_alone_grants_all(self) -> None:
        """Guards against a deployment of one host that gets a part of its quota."""
        fleet = QuotaFleet(1, {W: QUOTA})
        self.assertTrue(fleet.hosts[HostId("h000")].quotas.owners.grants)
        self.assertEqual(fleet.hosts[HostId("h000")].quotas.owners.scale(), 1.0)
        await fleet.close()
