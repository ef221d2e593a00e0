"""Guards against work for leaving servers and against servers that are avoided forever."""

from __future__ import annotations

import unittest

from medlarvale.clock import ManualClock
from medlarvale.ids import FailureDomain, PoolName, ServerId, ServiceName
from medlarvale.membership.servers import (
    LEAVING_REPORT_MAX_AGE_MS,
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

    def test_each_source_stops_new_work(self) -> None:
        cases = [
            ("list", lambda: self.directory.replace([server(ServerState.LEAVING)])),
            ("report", lambda: self.directory.mark_leaving(SERVER, True)),
            ("peer", lambda: self.directory.mark_leaving_by_peer([SERVER])),
            ("not listed", lambda: self.directory.replace([])),
        ]
        for name, leave in cases:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.directory.of_service("chat", PoolRole.DECODE), [server()])
                leave()
                self.assertFalse(self.directory.accepts_work(SERVER))
                self.assertEqual(self.directory.of_service("chat", PoolRole.DECODE), [])

    def test_own_report_clears_marks_and_outdated_reports_are_not_shared(self) -> None:
        self.directory.mark_leaving_by_peer([SERVER])
        self.assertEqual(self.directory.self_reported_leaving(), [])
        self.directory.mark_leaving(SERVER, True)
        self.assertEqual(self.directory.self_reported_leaving(), [SERVER])
        self.clock.advance_ms(LEAVING_REPORT_MAX_AGE_MS + 1)
        self.assertEqual(self.directory.self_reported_leaving(), [])
        self.assertFalse(self.directory.accepts_work(SERVER))
        self.directory.mark_leaving(SERVER, False)
        self.assertTrue(self.directory.accepts_work(SERVER))

    def test_marks_do_not_outlast_the_listing(self) -> None:
        self.directory.mark_leaving_by_peer([SERVER])
        self.directory.mark_leaving(SERVER, True)
        self.directory.replace([])
        self.directory.replace([server()])
        self.assertTrue(self.directory.accepts_work(SERVER))
