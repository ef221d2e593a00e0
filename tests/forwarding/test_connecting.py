"""Tests of requests whose time ends while a connection to a server is being established."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from medlarvale.forwarding.errors import NotSentError
from medlarvale.forwarding.messages import Dispatch
from medlarvale.ids import ServiceName
from medlarvale.platform.backends import HttpBackends
from medlarvale.platform.connections import BackendConnection, new_session
from medlarvale.platform.standin import LOOPBACK
from tests.forwarding.fakes import make_request, make_server
from tests.forwarding.test_host import HostTestCase

# Below the limit of a connection attempt.
ROUTE_TIMEOUT_MS = 300
CALL_MS = 100.0
# One connection fills the queue of a listener that accepts none.
QUEUED = 2


class ConnectingTest(HostTestCase):
    def unanswered_address(self) -> str:
        """Returns an address at which connection attempts hang."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind((LOOPBACK.host, 0))
        listener.listen(0)
        for _ in range(QUEUED):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex(listener.getsockname())
            self.addCleanup(queued.close)
        return f"{LOOPBACK.host}:{listener.getsockname()[1]}"

    async def test_a_request_that_was_not_sent_is_refused_as_not_run(self) -> None:
        """Guards against a booking that ends with "may have run", after which its caller must not
        repeat it, although no server was ever connected."""
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        for name in ("s1", "s2"):
            self.servers[name].address = self.unanswered_address()
            await self.platform.publish(self.servers[name])
        await self.configure()
        table = [("unsafe", "/book/1"), ("safe", "/look/1")]
        for kind, path in table:
            with self.subTest(kind):
                async with self.call(path, kind) as response:
                    self.assertEqual(response.status, 503)
                    self.assertIn("Retry-After", response.headers)

    async def test_a_call_whose_time_ends_before_it_has_a_connection_was_not_sent(self) -> None:
        """Guards against a server that counts as failed, or as crashed, by a request that it has
        not received."""
        session, calls = new_session(), new_session(BackendConnection)
        self.addAsyncCleanup(session.close)
        self.addAsyncCleanup(calls.close)
        backends = HttpBackends(session, calls)
        address = self.unanswered_address()
        server = msgspec.structs.replace(make_server("s1"), address=address)
        request = make_request()
        table: list[tuple[str, Callable[[], Awaitable[object]]]] = [
            ("request", lambda: backends.send(server, request, Dispatch(CALL_MS))),
            ("prefill", lambda: backends.prefill(server, request, CALL_MS)),
        ]
        for name, call in table:
            with self.subTest(name):
                with self.assertRaises(NotSentError):
                    await call()
                self.assertEqual(request.possible_runs, 0)

    async def test_a_request_that_was_sent_may_have_run(self) -> None:
        """Guards against "not run" for a booking that a server has received."""
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        for name in ("s1", "s2"):
            self.servers[name].delay_s = 1.0
        await self.configure()
        self.assertEqual(await self.status("/book/1"), 504)
        self.assertEqual(sum(self.platform.runs().values()), 1)

    async def test_a_slow_server_is_not_taken_for_a_failed_one(self) -> None:
        """Guards against servers that get no more work, and hosts that take themselves for cut off,
        because calls took longer than their routes allow."""
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        for name in ("s1", "s2"):
            self.servers[name].delay_s = 1.0
        await self.configure()
        statuses = [await self.status(path, path) for path in ("/book/1", "/book/2", "/look/1")]
        self.assertEqual(statuses, [504] * 3)
        loads = self.host.servers.of_service(ServiceName("app"))
        self.assertEqual([load.suspect for load in loads], [False, False])


if __name__ == "__main__":
    unittest.main()
