"""Tests of the status merged over all nodes."""

import unittest

from medlarvale.clock import ManualClock
from medlarvale.ids import FailureDomain, HostId, HostIdentity, Incarnation, PoolName, ServiceName
from medlarvale.operators.accounting import Dimension
from medlarvale.operators.fleet import FLEET_MESSAGES, FleetTask
from medlarvale.operators.status import FiguresPart, NodeStatus, PoolStatus, collect_status
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from tests.operators.reports_data import new_accounting, report


class FixedPools:
    """Status part that reports one pool with a fixed load."""

    def __init__(self, used: int) -> None:
        self.used = used

    def add_to(self, status: NodeStatus) -> None:
        names = (ServiceName("redacteur"), PoolName("decode"), FailureDomain("armor"))
        status.pools = [PoolStatus(*names, 1, 20, self.used)]


class FleetTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.network = MemoryNetwork(MessageCodec(FLEET_MESSAGES))
        self.clock = ManualClock()
        self.tasks = [self.new_task(number) for number in range(3)]

    def new_task(self, number: int) -> FleetTask:
        identity = HostIdentity(HostId(f"h{number}"), Incarnation(1))
        accounting = new_accounting(self.clock)
        accounting.request_finished(report(ttft_ms=100.0 * (number + 1)))
        parts = [FiguresPart(accounting), FixedPools(17 + number)]
        transport = MemoryTransport(identity, self.network)
        listed = [HostId(f"h{n}") for n in range(4)]
        task = FleetTask(
            *(identity, transport, self.clock),
            lambda: listed,
            lambda: collect_status(identity, parts),
        )
        task.start()
        return task

    async def test_merges_figures_and_lists_unreachable_nodes(self) -> None:
        """Guards against sums that lack a node without notice and look like a drop in load."""
        self.network.cut(HostId("h0"), HostId("h2"))
        fleet = await self.tasks[0].fleet_status()
        self.assertEqual([node.host for node in fleet.nodes], ["h0", "h1"])
        self.assertEqual([node.host for node in fleet.unreachable], ["h2", "h3"])
        found = [f for f in fleet.figures if (f.dimension, f.window) == (Dimension.ALL, "1m")]
        self.assertEqual([f.requests for f in found], [2])
        self.assertAlmostEqual(found[0].ttft_p95_ms, 200, delta=2)
        self.assertEqual([(p.slots_used, p.nearly_full) for p in fleet.pools], [(18, True)])

    async def test_status_is_cached_for_a_short_time(self) -> None:
        """Guards against one round of status requests for each wall page."""
        first = await self.tasks[0].fleet_status()
        self.assertIs(await self.tasks[0].fleet_status(), first)
        self.clock.advance_ms(900)
        self.assertIsNot(await self.tasks[0].fleet_status(), first)
