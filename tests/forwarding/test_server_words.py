"""Tests of hosts whose servers say themselves that they are leaving."""

from __future__ import annotations

import random
import unittest

from medlarvale.forwarding.messages import EngineStage, ServerState
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, LLM, make_server
from tests.forwarding.test_host import HostTestCase

# A server of two is missed by all of them in 1 of 10^9 runs.
REQUESTS = 30


class LeavingServerTest(HostTestCase):
    async def test_a_server_that_says_so_gets_no_more_requests(self) -> None:
        """Guards against requests to a server whose answers say that it is leaving, while its entry
        says that it is ready or the store is away."""
        for is_store_down in (False, True):
            for path, name in (("/book/1", "s1"), ("/chat/1", "d1")):
                with self.subTest(path, is_store_down=is_store_down):
                    await self.asyncSetUp()
                    await self.platform.release("d2", "llm", "decode", "v1")
                    await self.configure()
                    leaving = self.servers[name]
                    self.addAsyncCleanup(self.platform.store.set_down, False)
                    if is_store_down:
                        await self.platform.store.set_down(True)
                        await self.wait_until(lambda: not self.host.follower.reachable)
                    leaving.says_leaving = True
                    for number in range(REQUESTS):
                        await self.status(path, f"q{number}")
                        load = self.host.servers.get(ServerId(name))
                        assert load is not None
                        # An engine says so in the answer to a reservation, before any request.
                        if leaving.arrived or load.server.state is ServerState.DRAINING:
                            break
                    arrived = len(leaving.arrived)
                    for further in range(REQUESTS):
                        self.assertEqual(await self.status(path, f"r{further}"), 200)
                    self.assertEqual(len(leaving.arrived), arrived)


class LeavingIncarnationTest(unittest.TestCase):
    def test_what_a_server_said_holds_for_its_incarnation(self) -> None:
        """Guards against a server that gets work again with its next heartbeat, and against one
        that never does after a restart."""
        table = ServerTable(HERE, random.Random(1))

        def ready(born_ms: int) -> bool:
            table.upsert(make_server("s", service=APP, born_ms=born_ms))
            return bool(table.candidates(APP, 0.0))

        self.assertTrue(ready(5))
        table.note_leaving(make_server("s", service=APP, born_ms=5))
        self.assertEqual(table.candidates(APP, 0.0), [])
        self.assertFalse(ready(5), "a heartbeat")
        table.remove(ServerId("s"))
        self.assertFalse(ready(5), "listed again")
        self.assertTrue(ready(6), "started again")
        table.note_leaving(make_server("s", service=APP, born_ms=5))
        self.assertTrue(table.candidates(APP, 0.0), "a late answer of the one before")

    def test_a_leaving_engine_counts_as_one_in_all_choices(self) -> None:
        """Guards against streams that begin, or are taken up, at an engine that is leaving."""
        table = ServerTable(HERE, random.Random(1))
        engine = make_server("d1", stage=EngineStage.DECODE)
        table.upsert(engine)
        load = table.get(ServerId("d1"))
        assert load is not None
        table.note_leaving(engine)
        self.assertEqual(load.server.state, ServerState.DRAINING)
        self.assertFalse(table.takes_work(load))
        self.assertEqual(table.stream_engines(), [])
        self.assertEqual(table.decode_engines(LLM), [])


if __name__ == "__main__":
    unittest.main()
