"""Tests of how one host obtains quota, over links that tests can cut."""

from __future__ import annotations

import asyncio
import unittest

from bench.quota_fleet import LEFT_MS, QuotaFleet
from medlarvale.forwarding.messages import Quota
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.quotas.errors import QuotaExceededError
from medlarvale.quotas.holdings import Holding

W = WorkspaceId("w")
QUOTA = Quota(100.0, 100.0)
# All hosts know each other and grant by then.
JOINED_MS = 5_000.0


class HoldingTest(unittest.TestCase):
    def test_an_advance_can_be_used_until_it_lapses(self) -> None:
        """Guards against quota used after a pause in which the clean-up did not run."""
        holding = Holding(0.0)
        holding.add(10.0, 1_000.0, HostId("owner"))
        self.assertTrue(holding.use(4.0, 999.0))
        self.assertFalse(holding.use(4.0, 1_000.0))
        self.assertEqual(holding.take_lapsed(1_000.0), {HostId("owner"): 6.0})


class QuotaTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = QuotaFleet(3, {W: QUOTA})
        await self.fleet.run(JOINED_MS)
        ranked = self.fleet.hosts[HostId("h000")].quotas.owners.ranking(W)
        self.owner, self.second, self.last = (int(name[1:]) for name in ranked)

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    def ran(self) -> int:
        return len(self.fleet.usage[W].runs)

    def ask(self, number: int, times: int, amount: float = 1.0) -> None:
        for _ in range(times):
            self.fleet.ask(number, W, amount)

    async def fill_bucket(self) -> None:
        """Lets the owner use the bucket once and fill it, since a new one starts half empty."""
        self.ask(self.owner, 1)
        await self.fleet.run(3_000.0)
        self.fleet.usage[W].runs.clear()

    async def test_requests_that_wait_together_share_a_message(self) -> None:
        """Guards against a message for each request of a burst."""
        self.ask(self.last, 20)
        await self.fleet.run(50.0)
        self.assertEqual((self.ran(), self.fleet.messages), (20, 2))

    async def test_an_advance_serves_the_next_requests_without_a_message(self) -> None:
        """Guards against a wait and a message for each request of a steady demand."""
        await self.fill_bucket()
        for _ in range(40):
            self.ask(self.last, 1)
            await self.fleet.run(25.0)
        self.assertEqual(self.ran(), 40)
        self.assertLessEqual(self.fleet.messages, 30)

    async def test_an_advance_lapses_after_a_second(self) -> None:
        """Guards against quota that is kept and used in a later window beyond the limit."""
        host = self.fleet.hosts[HostId(f"h{self.last:03}")].quotas
        await self.fill_bucket()
        for _ in range(2):
            self.ask(self.last, 5)
            await self.fleet.run(50.0)
        holding = host._holdings[W]
        self.assertGreater(holding.amount, 1.0, "no advance was granted")
        self.assertTrue(holding.use(0.1, self.fleet.clock.now_ms()))
        self.fleet.clock.advance_ms(1_000.0)
        self.assertFalse(holding.use(0.1, self.fleet.clock.now_ms()))

    async def test_the_next_host_decides_if_the_owner_is_silent(self) -> None:
        """Guards against callers that wait long, or are refused, because one host is frozen."""
        self.fleet.freeze(self.owner, frozen=True)
        self.ask(self.last, 1)
        await self.fleet.run(90.0)
        self.assertEqual(self.ran(), 0)
        await self.fleet.run(25.0)
        self.assertEqual(self.ran(), 1)
        self.ask(self.last, 1)
        await self.fleet.run(130.0)
        self.assertEqual(self.ran(), 2)
        self.ask(self.last, 1)
        await self.fleet.run(40.0)
        self.assertEqual(self.ran(), 3, "the silent owner was not skipped")

    async def test_the_share_of_the_host_decides_if_nobody_replies(self) -> None:
        """Guards against a cut-off host that refuses all requests, or grants the whole quota."""
        self.fleet.cut([[self.last]])
        self.ask(self.last, 100)
        await self.fleet.run(190.0)
        self.assertEqual(self.ran(), 0)
        await self.fleet.run(30.0)
        # Half of a third of the burst, and what accrues.
        self.assertIn(self.ran(), range(16, 20))

    async def test_a_caller_that_leaves_costs_nothing(self) -> None:
        """Guards against waits that go on, and grants that are lost, after a caller has left."""
        host = self.fleet.hosts[HostId(f"h{self.last:03}")].quotas
        task = asyncio.create_task(host.take(W, 40.0, LEFT_MS))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await self.fleet.run(30.0)
        self.assertTrue(task.cancelled())
        self.assertEqual(self.fleet.messages, 2, "the request had been sent")
        self.assertEqual(host._holdings[W].amount, 40.0)
        queued = asyncio.create_task(host.take(W, 50.0, LEFT_MS))
        other = asyncio.create_task(host.take(W, 40.0, LEFT_MS))
        await asyncio.sleep(0)
        queued.cancel()
        await self.fleet.run(30.0)
        self.assertTrue(other.done())
        self.assertEqual(host._holdings[W].amount, 0.0)

    async def test_hosts_of_an_earlier_build_get_no_messages(self) -> None:
        """Guards against messages that an earlier build can't decode."""
        owner = self.fleet.hosts[HostId(f"h{self.owner:03}")]
        owner.handlers.clear()
        owner.quotas.owners.__class__ = type(
            "EarlierBuild", (type(owner.quotas.owners),), {"grants": False}
        )
        await self.fleet.run(1_500.0)
        self.ask(self.last, 5)
        await self.fleet.run(20.0)
        self.assertEqual(self.ran(), 5)

    async def test_refused_callers_return_one_after_another(self) -> None:
        """Guards against refused callers that all return at once, or wait longer than they can."""
        self.ask(self.last, 120)
        await self.fleet.run(50.0)
        waits = [error.retry_after_ms for _, _, error in self.fleet.refusals]
        self.assertGreater(len(waits), 20)
        self.assertGreater(len(set(waits)), len(waits) // 2)
        self.assertTrue(all(wait is not None and 0 < wait <= LEFT_MS / 3 for wait in waits))

    async def test_no_quota_no_message(self) -> None:
        """Guards against a cost for workspaces without a limit."""
        host = self.fleet.hosts[HostId(f"h{self.last:03}")].quotas
        self.assertIsNone(await host.take(WorkspaceId("free"), 5.0, LEFT_MS))
        self.assertEqual(self.fleet.messages, 0)

    async def test_a_lowered_limit_caps_the_bucket_at_once(self) -> None:
        """Guards against a burst of the old limit after it was lowered."""
        await self.fleet.run(1_000.0)
        self.fleet.quotas[W] = Quota(1.0, 4.0)
        host = self.fleet.hosts[HostId(f"h{self.owner:03}")].quotas
        granted = 0
        for _ in range(50):
            try:
                await host.take(W, 1.0, LEFT_MS)
                granted += 1
            except QuotaExceededError:
                pass
        self.assertLessEqual(granted, 5)
