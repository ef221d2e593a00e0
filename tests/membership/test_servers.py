"""Guards against work for servers that leave, and against servers that are avoided for ever."""

from __future__ import annotations

import unittest

from medlarvale.clock import ManualClock
from medlarvale.ids import FailureDomain, PoolName, ServerId, ServiceName
from medlarvale.membership.servers import (
    TELL_LEAVING_MS,
    BackendServer,
    ServerDirectory,
    ServerState,
)
from medlarvale.settings.schema import PoolRole

SERVER = ServerId("s")


def server(state: ServerState = ServerState.LIVE, role: PoolRole = PoolRole.DECODE):
    names = ServiceName("chat"), PoolName("p"), role, FailureDomain("d")
    return BackendServer(SERVER, "http://s", *names, state)


class ServerDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = ServerDirectory(self.clock)
        self.directory.replace([server()])

    def test_each_source_stops_work(self) -> None:
        cases = [
            ("list", lambda: self.directory.replace([server(ServerState.LEAVING)])),
            ("report", lambda: self.directory.mark_leaving(SERVER, True)),
            ("peer", lambda: self.directory.mark_told_leaving([SERVER])),
            ("not listed", lambda: self.directory.replace([])),
        ]
        for name, leave in cases:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.directory.of_service("chat", PoolRole.DECODE), [server()])
                leave()
                self.assertFalse(self.directory.accepts_work(SERVER))
                self.assertEqual(self.directory.of_service("chat", PoolRole.DECODE), [])

    def test_own_report_clears_marks_and_only_fresh_ones_are_told(self) -> None:
        self.directory.mark_told_leaving([SERVER])
        self.assertEqual(self.directory.self_reported_leaving(), [])
        self.directory.mark_leaving(SERVER, True)
        self.assertEqual(self.directory.self_reported_leaving(), [SERVER])
        self.clock.advance_ms(TELL_LEAVING_MS + 1)
        self.assertEqual(self.directory.self_reported_leaving(), [])
        self.assertFalse(self.directory.accepts_work(SERVER))
        self.directory.mark_leaving(SERVER, False)
        self.assertTrue(self.directory.accepts_work(SERVER))

    def test_marks_end_with_the_listing(self) -> None:
        self.directory.mark_told_leaving([SERVER])
        self.directory.mark_leaving(SERVER, True)
        self.directory.replace([])
        self.directory.replace([server()])
        self.assertTrue(self.directory.accepts_work(SERVER))
