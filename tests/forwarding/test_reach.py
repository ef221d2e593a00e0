"""Tests of what a host takes for a partition from the servers of a service."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Iterable

from medlarvale.clock import ManualClock
from medlarvale.forwarding.errors import NotSentError
from medlarvale.forwarding.messages import EngineStage
from medlarvale.forwarding.reach import MIN_FAILED_SERVERS, ReachDetector
from medlarvale.forwarding.rechecks import RecheckTask
from medlarvale.forwarding.servers import ServerLoad, ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, LLM, FakeBackends, make_server

# A host that is cut off must serve again within the users' stable window of 3 s.
KNOWN_WITHIN_MS = 1_500.0
BACK_WITHIN_MS = 1_000.0
STEP_MS = 10.0


class ReachTest(unittest.IsolatedAsyncioTestCase):
    def build(self, apps: int, engines: int = 0) -> None:
        self.clock = ManualClock()
        self.backends = FakeBackends()
        self.servers = ServerTable(HERE, random.Random(1))
        for number in range(apps):
            self.servers.upsert(make_server(f"s{number}", service=APP))
        for number in range(engines):
            self.servers.upsert(make_server(f"d{number}", stage=EngineStage.DECODE))
        self.reach = ReachDetector(self.servers, self.clock, random.Random(2))
        self.reach.start()
        RecheckTask(self.servers, self.backends, self.clock).start()

    def load(self, name: str) -> ServerLoad:
        load = self.servers.get(ServerId(name))
        assert load is not None
        return load

    def cut(self, names: Iterable[str]) -> None:
        for name in names:
            self.backends.probe_errors[ServerId(name)] = NotSentError("no route")

    def fail(self, name: str) -> None:
        self.servers.note_failure(self.load(name), self.clock.now_ms(), "no route")

    async def run_for(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / STEP_MS)):
            self.clock.advance_ms(STEP_MS)
            for _ in range(4):
                await asyncio.sleep(0)

    async def test_a_partition_is_told_from_failed_servers(self) -> None:
        """Guards against hosts that leave the work to their peers because servers are down, and
        against hosts that go on trying servers that they can't reach (RECOVER)."""
        table = [
            ("one of three servers is down", 3, ["s0"], ["s0"], False),
            ("two of three servers are down", 3, ["s0", "s1"], ["s0", "s1"], False),
            ("cut off from all three", 3, ["s0", "s1", "s2"], ["s0"], True),
            ("cut off from the only server", 1, ["s0"], ["s0"], True),
            ("three of sixty servers are down", 60, ["s0", "s1", "s2"], ["s0", "s1", "s2"], False),
            ("cut off from sixty servers", 60, [f"s{n}" for n in range(60)], ["s0"], True),
        ]
        for name, count, unreachable, failing, expected in table:
            with self.subTest(name):
                self.build(count)
                await self.run_for(1_000.0)
                self.cut(unreachable)
                for server in failing:
                    self.fail(server)
                await self.run_for(KNOWN_WITHIN_MS)
                self.assertEqual(self.reach.is_cut_off(APP), expected)
                self.assertFalse(self.reach.is_cut_off(LLM))

    async def test_down_servers_of_a_quiet_service_are_no_partition(self) -> None:
        """Guards against relays that go on for as long as some servers of a service are down,
        because a host that gets few requests has not heard of the others lately."""
        self.build(60)
        down = [f"s{n}" for n in range(MIN_FAILED_SERVERS)]
        self.cut(down)
        for server in down:
            self.fail(server)
        await self.run_for(10_000.0)
        self.assertEqual(self.backends.count("send"), 0)
        self.assertFalse(self.reach.is_cut_off(APP), "54 of 60 servers accept connections")

    async def test_a_partition_from_all_services_is_known_by_one_failure(self) -> None:
        """Guards against requests of each service that are lost before the host knows."""
        self.build(3, 5)
        self.cut([f"s{n}" for n in range(3)] + [f"d{n}" for n in range(5)])
        self.fail("s1")
        await self.run_for(KNOWN_WITHIN_MS)
        self.assertEqual(self.reach.unreached, {APP, LLM})

    async def test_servers_that_are_lost_one_after_the_other(self) -> None:
        """Guards against a partition that is not seen because a server was reached after the first
        one had failed."""
        self.build(2)
        self.cut(["s0"])
        self.fail("s0")
        await self.run_for(300.0)
        self.servers.note_success(self.load("s1"), self.clock.now_ms())
        self.cut(["s1"])
        await self.run_for(50.0)
        self.fail("s1")
        await self.run_for(KNOWN_WITHIN_MS)
        self.assertTrue(self.reach.is_cut_off(APP))

    async def test_the_end_of_a_partition_is_noticed(self) -> None:
        """Guards against relays that go on for seconds after the servers can be reached, because
        each of them is paused for longer after each failure."""
        self.build(3)
        self.cut(["s0", "s1", "s2"])
        self.fail("s0")
        await self.run_for(12_000.0)
        self.assertTrue(self.reach.is_cut_off(APP))
        self.backends.probe_errors.clear()
        await self.run_for(BACK_WITHIN_MS)
        self.assertFalse(self.reach.is_cut_off(APP))
        now_ms = self.clock.now_ms()
        healthy = self.servers.candidates(APP, now_ms, healthy_only=True)
        self.assertEqual(len(healthy), 3, "one server would get all the work")

    async def test_checks_cost_few_connections(self) -> None:
        """Guards against a storm of connections while servers can't be reached."""
        self.build(60)
        self.cut([f"s{n}" for n in range(60)])
        self.fail("s0")
        await self.run_for(10_000.0)
        # One check in 0.4 s, and the paused servers' own: at most six at 3 s each, once known.
        checks = self.backends.count("probe")
        self.assertLess(checks, 100, f"{checks} checks")


if __name__ == "__main__":
    unittest.main()
