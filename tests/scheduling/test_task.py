"""Tests of the scheduling task over in-memory transports and probes."""

import asyncio
import random
import unittest

from structlog.testing import capture_logs

from medlarvale.clock import ManualClock
from medlarvale.ids import FailureDomain, HostId, PoolName, ServerId
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from medlarvale.scheduling.errors import PlacementRefusedError
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import SCHEDULING_MESSAGES
from medlarvale.scheduling.probe import MemoryEngine, MemoryEngineProbe
from medlarvale.scheduling.reports import LoadReport
from medlarvale.scheduling.task import SchedulingTask
from medlarvale.settings.schema import PoolRole
from tests.scheduling.builders import SERVICE, engine_request, owner, release, reserve


class SchedulingTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.limits = GroupLimits(slots_per_engine=1)
        self.network = MemoryNetwork(MessageCodec(SCHEDULING_MESSAGES))
        self.probe = MemoryEngineProbe()
        self.directory = ServerDirectory()
        self.hosts = {name: owner(name) for name in ("host-a", "host-b", "host-c")}
        self.live = list(self.hosts.values())
        roles = {"p0": PoolRole.PREFILL, "d0": PoolRole.DECODE}
        self.directory.replace(
            BackendServer(
                ServerId(name), "", SERVICE, PoolName("pool"), role, FailureDomain("domain")
            )
            for name, role in roles.items()
        )
        for name, role in roles.items():
            report = LoadReport(role.value, 1, 0, 256, 0)
            self.probe.engines[ServerId(name)] = MemoryEngine(report)
        self.tasks = {name: self.make_task(name) for name in self.hosts}
        for task in self.tasks.values():
            task.start()
            self.addAsyncCleanup(task.close)
        (self.scheduler_host,) = [
            name for name, task in self.tasks.items() if task.scheduled_services()
        ]
        self.other_host = next(name for name in self.hosts if name != self.scheduler_host)
        await self.advance(0)

    def make_task(self, name: str) -> SchedulingTask:
        return SchedulingTask(
            identity=self.hosts[name],
            transport=MemoryTransport(self.hosts[name], self.network),
            probe=self.probe,
            directory=self.directory,
            clock=self.clock,
            live_hosts=lambda: [host.host for host in self.live],
            live_owners=lambda: self.live,
            limits_of=lambda service: self.limits,
            generator=random.Random(1),
        )

    async def advance(self, duration_ms: int) -> None:
        """Moves the clock in small steps and lets the tasks run after each."""
        for step in range(duration_ms // 5 + 1):
            if step:
                self.clock.advance_ms(5)
            for _ in range(20):
                await asyncio.sleep(0)

    async def test_queued_request_is_placed_when_the_slot_frees(self) -> None:
        """Guards against waits beyond a poll, for the scheduler's own host and for others."""
        for name in (self.scheduler_host, self.other_host):
            with self.subTest("scheduler" if name == self.scheduler_host else "other host"):
                first = reserve(f"first-{name}", host=self.hosts[name])
                second = reserve(f"second-{name}", host=self.hosts[name])
                self.assertEqual((await self.tasks[name].reserve(first)).decode, "d0")
                waiting = asyncio.create_task(self.tasks[name].reserve(second))
                await self.advance(700)
                self.assertFalse(waiting.done())
                self.tasks[name].release(release(first))
                await self.advance(50)
                self.assertEqual((await waiting).decode, "d0")
                self.tasks[name].release(release(second))
                await self.advance(50)

    async def test_cancelled_wait_leaves_nothing_at_the_scheduler(self) -> None:
        """Guards against slots held for callers that left while their request was queued."""
        first = reserve("first", host=self.hosts[self.other_host])
        await self.tasks[self.other_host].reserve(first)
        second = reserve("second", host=self.hosts[self.other_host])
        waiting = asyncio.create_task(self.tasks[self.other_host].reserve(second))
        await self.advance(20)
        waiting.cancel()
        await self.advance(20)
        self.assertEqual(len(self.tasks[self.scheduler_host].group(SERVICE).scheduler.waiting), 0)

    async def test_deadline_raises_not_run(self) -> None:
        """Guards against a wait beyond the deadline."""
        task = self.tasks[self.other_host]
        await task.reserve(reserve("first", host=self.hosts[self.other_host]))
        late = reserve("late", host=self.hosts[self.other_host], deadline_ms=600)
        waiting = asyncio.create_task(task.reserve(late))
        await self.advance(700)
        with self.assertRaises(PlacementRefusedError):
            await waiting

    async def test_unreachable_scheduler_means_placement_in_fallback(self) -> None:
        """Guards against an outage of one host that blocks the requests of others."""
        self.network.cut(HostId(self.scheduler_host), HostId(self.other_host))
        request = reserve("r1", host=self.hosts[self.other_host])
        self.assertEqual((await self.tasks[self.other_host].reserve(request)).decode, "d0")
        with self.assertRaises(PlacementRefusedError):
            await self.tasks[self.other_host].reserve(
                reserve("r2", host=self.hosts[self.other_host])
            )

    async def test_dead_owner_loses_its_reservation(self) -> None:
        """Guards against reservations that end too early or outlast their host."""
        await self.tasks[self.other_host].reserve(reserve("r1", host=self.hosts[self.other_host]))
        slots = self.tasks[self.scheduler_host].group(SERVICE).scheduler.engines.slots
        await self.advance(12_000)
        self.assertEqual(slots.held_slots, 1)
        await self.tasks[self.other_host].close()
        self.live.remove(self.hosts[self.other_host])
        # The bound is 2,000 ms after the last heartbeat; for 1,000 of them the host counts as live.
        await self.advance(1_005)
        self.assertEqual(slots.held_slots, 0)

    async def test_lost_release_holds_no_slot_for_long(self) -> None:
        """Guards against slots held for requests that their live owner has ended."""
        for name in (self.scheduler_host, self.other_host):
            with self.subTest("scheduler" if name == self.scheduler_host else "other host"):
                request = reserve(f"of-{name}", host=self.hosts[name])
                await self.tasks[name].reserve(request)
                # Does what a release does at the owner, but sends no message.
                self.tasks[name]._owned.remove(request.request_id)
                await self.advance(2_300)
                slots = self.tasks[self.scheduler_host].group(SERVICE).scheduler.engines.slots
                self.assertEqual(slots.held_slots, 0)

    async def test_reservation_of_a_request_placed_in_fallback_ends(self) -> None:
        """Guards against slots that the scheduler holds for a request placed in fallback."""
        request = reserve("r1", host=self.hosts[self.other_host])
        await self.tasks[self.other_host].reserve(request)
        self.tasks[self.other_host]._place_in_fallback(request)
        await self.advance(2_300)
        slots = self.tasks[self.scheduler_host].group(SERVICE).scheduler.engines.slots
        self.assertEqual(slots.held_slots, 0)

    async def test_next_scheduler_counts_requests_on_engines(self) -> None:
        """Guards against a new scheduler that assumes empty engines."""
        dead = self.hosts[self.scheduler_host]
        self.probe.engines[ServerId("d0")].requests = [engine_request("old", host=dead)]
        await self.tasks[self.scheduler_host].close()
        self.live.remove(dead)
        await self.advance(600)
        (successor,) = [
            name
            for name in self.hosts
            if name != self.scheduler_host and self.tasks[name].scheduled_services()
        ]
        engines = self.tasks[successor].group(SERVICE).scheduler.engines
        self.assertEqual(list(engines.decode[ServerId("d0")].foreign), ["old"])

    async def test_new_settings_take_effect_and_keep_queued_requests(self) -> None:
        """Guards against limits that change only after a restart."""
        task = self.tasks[self.other_host]
        first = reserve("first", host=self.hosts[self.other_host])
        await task.reserve(first)
        self.probe.engines[ServerId("d0")].requests = [engine_request("first")]
        waiting = asyncio.create_task(
            task.reserve(reserve("second", host=self.hosts[self.other_host]))
        )
        await self.advance(50)
        self.limits = GroupLimits(slots_per_engine=1, batch_share=0.5)
        await self.advance(600)
        self.assertEqual(
            self.tasks[self.scheduler_host].group(SERVICE).scheduler.limits, self.limits
        )
        self.assertFalse(waiting.done())
        task.release(release(first))
        await self.advance(400)
        self.assertEqual((await waiting).decode, "d0")

    async def fail_attempt(self, name: str) -> None:
        """Runs an attempt that fails on the decode engine."""
        request = reserve(name, host=self.hosts[self.other_host])
        await self.tasks[self.other_host].reserve(request)
        self.tasks[self.other_host].release(release(request, failed="d0"))
        await self.advance(5)

    async def test_ejection_and_readmission_are_logged_once(self) -> None:
        """Guards against ejections that are not logged, and against a log line for each request."""

        def logged_events() -> list[tuple[int, str | None]]:
            found = [(line["event_number"], line.get("reason")) for line in logged]
            logged.clear()
            return found

        with capture_logs() as logged:
            await self.fail_attempt("first")
            self.assertEqual(logged_events(), [])
            await self.fail_attempt("second")
            self.assertEqual(logged_events(), [(6001, "attempts failed")])
            late = reserve("second", host=self.hosts[self.other_host])
            self.tasks[self.other_host].release(release(late, failed="d0"))
            await self.advance(1_800)
            self.assertEqual(logged_events(), [])
            await self.advance(300)
            self.assertEqual(logged_events(), [(6002, None)])
            await self.advance(6_000)
            self.assertEqual(logged_events(), [])
            del self.probe.engines[ServerId("d0")]
            await self.advance(1_500)
            self.assertEqual(logged_events(), [(6001, "probe unanswered")])

    async def test_leaving_engine_is_marked(self) -> None:
        """Guards against new work for a leaving engine after the next poll."""
        report = LoadReport("decode", 1, 0, 256, 0, leaving=True)
        self.probe.engines[ServerId("d0")].load = report
        await self.advance(505)
        self.assertFalse(self.directory.accepts_work(ServerId("d0")))

    async def test_sweep_cancels_requests_that_no_owner_serves(self) -> None:
        """Guards against memory held for lost requests, and against cancelling served requests."""
        served = reserve("served", host=self.hosts[self.other_host])
        await self.tasks[self.other_host].reserve(served)
        self.probe.engines[ServerId("d0")].requests = [
            engine_request("served", host=self.hosts[self.other_host], idle_ms=1_500.0),
            engine_request("dropped", host=self.hosts[self.other_host], idle_ms=1_500.0),
            engine_request("dead owner", host=owner("gone"), idle_ms=1_500.0),
            engine_request("read by a silent owner", host=owner("gone"), idle_ms=200.0),
        ]
        await self.advance(505)
        cancelled = {request for _, request, _ in self.probe.cancelled}
        self.assertEqual(cancelled, {"dropped", "dead owner"})
