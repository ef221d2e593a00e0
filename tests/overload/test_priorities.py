"""Tests of the priorities that streams have by the configuration."""

from __future__ import annotations

import unittest

import msgspec

from medlarvale.forwarding.messages import RequestLimits, RouteTable, Workspace
from medlarvale.ids import ConfigVersion, WorkspaceId
from medlarvale.overload.priorities import ConfiguredPriorities
from tests.forwarding.fakes import LLM, make_route


def make_table(
    routes: tuple[tuple[int, bool], ...], workspaces: tuple[int | None, ...] | None
) -> RouteTable:
    return RouteTable(
        ConfigVersion(1),
        tuple(
            msgspec.structs.replace(make_route(), priority=priority, public=public)
            for priority, public in routes
        ),
        {},
        RequestLimits(1, 1, 1.0, 1.0),
        (
            None
            if workspaces is None
            else tuple(
                Workspace(WorkspaceId(f"w{number}"), (), priority)
                for number, priority in enumerate(workspaces)
            )
        ),
    )


class ConfiguredPrioritiesTest(unittest.TestCase):
    def test_priorities_come_from_workspaces_and_routes(self) -> None:
        """Guards against engines that are told priorities although all streams have the same, and
        against streams of different workspaces that are all treated alike."""
        private, public = False, True
        table: list[tuple[RouteTable | None, set[int], bool]] = [
            (None, set(), False),
            (make_table(((3, private),), None), {3}, False),
            (make_table(((3, private),), ()), {3}, False),
            (make_table(((3, private), (5, private)), ()), {3, 5}, True),
            (make_table(((3, private),), (None, None)), {3}, True),
            (make_table(((3, private),), (None, 1)), {1, 3}, True),
            (make_table(((3, private), (5, private)), (2, 2)), {2}, True),
            (make_table(((3, public),), (1, 2)), {3}, True),
        ]
        for configured, priorities, distinguishes in table:
            with self.subTest(configured):
                known = ConfiguredPriorities(lambda configured=configured: configured)
                self.assertEqual(known.of(LLM), priorities)
                self.assertEqual(known.distinguishes(LLM), distinguishes)
