"""Tests of the faults that the fleet status lists first, and of the wall page."""

import re
import unittest

import msgspec

from medlarvale.ids import ConfigVersion, HostId
from medlarvale.operators.accounting import Dimension, Figures, Window
from medlarvale.operators.commands import describe_faults, describe_fleet
from medlarvale.operators.fleet import (
    CACHE_MS,
    STATUS_TIMEOUT_MS,
    UnreachableNode,
    merge_statuses,
)
from medlarvale.operators.status import LeaseStatus, NodeStatus, PeerStatus, RejectedConfig
from medlarvale.operators.wall import load_page

WALL_LIMIT_MS = 2_000


def node(name: str, version: int = 2, **fields: object) -> NodeStatus:
    fields = {"state": "live", "lease": LeaseStatus(64), **fields}
    return NodeStatus(HostId(name), 1, config_version=ConfigVersion(version), **fields)


class FaultsTest(unittest.TestCase):
    def test_each_fault_is_listed(self) -> None:
        """Guards against faults that operators overlook among hundreds of status lines."""
        refused = RejectedConfig(ConfigVersion(3), ["values.x: expected 1"])
        old = RejectedConfig(ConfigVersion(1), ["values.y: expected 2"])
        cases = [
            ([node("a"), node("b", rejected_config=old)], []),
            ([node("a", 1), node("b")], ["configuration 1 instead of 2 at a"]),
            (
                [node("a", rejected_config=refused)],
                ["configuration 3 was rejected by a", "  values.x: expected 1"],
            ),
            (
                [node("a", reaches_config=False), node("b")],
                ["configuration service does not answer a"],
            ),
            (
                [node("a", peers=[PeerStatus(HostId("b"), "suspect")]), node("b")],
                ["heartbeats of host b do not reach a"],
            ),
            (
                [node("a", lease=LeaseStatus(31)), node("b", lease=LeaseStatus(32))],
                ["booking shards held by reached nodes: 63 of 64"],
            ),
            (
                [node("a"), node("b", counts={"files_refused": 1})],
                ["changed key or certificate file could not be loaded by b, see event 1103"],
            ),
            ([node("a", counts={"quarantined_requests": 1})], ["quarantined requests 1"]),
        ]
        for nodes, faults in cases:
            with self.subTest(faults):
                fleet = merge_statuses(HostId("a"), nodes, [])
                self.assertEqual(describe_faults(fleet), faults)

    def test_degraded_service_is_listed_with_its_causes(self) -> None:
        """Guards against an unreported loss of all servers of a pool: every node is live then, and
        no pool is full."""
        poor = Figures(Dimension.SERVICE, "s", Window.ONE_MINUTE.label, reasons={"overloaded": 9})
        fleet = merge_statuses(HostId("a"), [node("a")], [])
        fleet.figures = [msgspec.structs.replace(poor, requests=10, good=1)]
        self.assertEqual(
            describe_faults(fleet), ["service s: 1 of 10 within targets, 9 x overloaded"]
        )

    def test_unreachable_node_is_listed_first(self) -> None:
        """Guards against totals that are read without noticing that a node is missing."""
        fleet = merge_statuses(HostId("a"), [node("a")], [UnreachableNode(HostId("b"), "timeout")])
        lines = describe_fleet(fleet)
        self.assertEqual(lines[0], "1 of 2 nodes reached, queried by a")
        self.assertEqual(lines[1], "ATTENTION unreachable b: timeout")


class WallTest(unittest.TestCase):
    def test_events_show_within_two_seconds(self) -> None:
        """Guards against a late wall page: the age of the cached status, the refresh period of the
        page and the timeout for a silent node add up."""
        refresh = re.search(r"REFRESH_MS = (\d+);", load_page())
        assert refresh is not None
        self.assertLess(CACHE_MS + int(refresh.group(1)) + STATUS_TIMEOUT_MS, WALL_LIMIT_MS)

    def test_page_contains_no_fixed_latency_target(self) -> None:
        """Guards against latencies judged by old targets after the settings tree changed them."""
        page = load_page()
        for target in ("ttft", "tbt"):
            self.assertIsNone(re.search(rf"{target}_p95_ms > \d", page))
            self.assertIn(f'strictest(fleet, "{target}_target_ms")', page)
