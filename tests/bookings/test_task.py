"""Guards against at-most-once calls that run twice or get lost across hosts, in memory."""

from __future__ import annotations

import asyncio
import unittest
import uuid

import msgspec

from medlarvale.bookings.errors import BookingNotRunError, BookingUnknownError
from medlarvale.bookings.keys import SHARD_COUNT, scope_key, shard_of
from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import BOOKING_MESSAGES, LeaseRequest
from medlarvale.bookings.task import BookingTask
from medlarvale.clock import ManualClock
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import (
    BookingKey,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
    ServiceName,
    WorkspaceId,
)
from medlarvale.membership.messages import EntryHost, HostList
from medlarvale.peers.errors import PeerTimeoutError
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from medlarvale.plain.messages import PlainAnswer, PlainCall

NAMES = [HostId("a"), HostId("b"), HostId("c")]


class CountingDispatcher:
    """Fake backend server that counts the calls it ran; ``hold`` delays the answers."""

    def __init__(self) -> None:
        self.runs: dict[bytes, int] = {}
        self.error: MedlarvaleError | None = None
        self.hold: asyncio.Event | None = None

    async def dispatch_once(self, call: PlainCall) -> PlainAnswer:
        if self.error is not None:
            raise self.error
        self.runs[call.body] = self.runs.get(call.body, 0) + 1
        if self.hold is not None:
            await self.hold.wait()
        return PlainAnswer(201, [], b"answer to " + call.body)

    async def dispatch_idempotent(self, call: PlainCall) -> PlainAnswer:
        raise AssertionError("a booking must be dispatched at most once")


class NotRunError(MedlarvaleError):
    outcome = Outcome.NOT_RUN


def call(body: bytes, deadline_ms: int = 3_000) -> PlainCall:
    return PlainCall(ServiceName("s"), WorkspaceId("w"), "POST", "/bookings", [], body, deadline_ms)


class SlowTransport(MemoryTransport):
    """Delays the replies to lease requests by ``delay_ms``."""

    def __init__(self, identity: HostIdentity, network: MemoryNetwork, clock: ManualClock) -> None:
        super().__init__(identity, network)
        self._clock = clock
        self.delay_ms = 0

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        reply = await super().request(peer, message, timeout_ms)
        if isinstance(message, LeaseRequest):
            await self._clock.sleep_ms(min(self.delay_ms, timeout_ms))
            if self.delay_ms > timeout_ms:
                raise PeerTimeoutError(f"host {peer} did not answer within {timeout_ms} ms")
        return reply


class BookingTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(MessageCodec(BOOKING_MESSAGES))
        self.live = list(NAMES)
        self.dispatcher = CountingDispatcher()
        self.tasks: dict[HostId, BookingTask] = {}
        self.transports: dict[HostId, SlowTransport] = {}
        for name in NAMES:
            self.start_host(name, 1)
        await self.run_for(4_000)

    async def asyncTearDown(self) -> None:
        for task in self.tasks.values():
            await task.close()

    def start_host(self, name: HostId, incarnation: int) -> None:
        started_ms = self.clock.wall_ms()
        identity = HostIdentity(name, Incarnation((started_ms << 16) | incarnation))
        transport = SlowTransport(identity, self.network, self.clock)
        self.transports[name] = transport
        leases = LeaseState(identity, self.clock.wall_ms())
        task = BookingTask(
            leases,
            Ledger(leases, lambda: 600_000),
            self.dispatcher,
            transport,
            self.clock,
            lambda: self.live,
        )
        hosts = [EntryHost(host, "", FailureDomain("d")) for host in NAMES]
        task.learn_list(HostList(ListVersion(1), hosts, []))
        task.start()
        self.tasks[name] = task

    async def run_for(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 25):
            self.clock.advance_ms(25)
            for _ in range(12):
                await asyncio.sleep(0)

    async def finish(self, future: asyncio.Future[PlainAnswer]) -> PlainAnswer:
        for _ in range(200):
            if future.done():
                break
            await self.run_for(25)
        return await future

    async def submit(self, name: HostId, key: BookingKey, body: bytes) -> PlainAnswer:
        return await self.finish(asyncio.ensure_future(self.tasks[name].submit(key, call(body))))

    def owner(self, key: BookingKey) -> HostId:
        for name, task in self.tasks.items():
            if shard_of(key) in task.leases.held_shards(self.clock.wall_ms()):
                return name
        raise AssertionError("no owner")

    def key(self, serial: int, owned_by: HostId | None = None) -> BookingKey:
        while True:
            value = (self.clock.wall_ms() << 80) | (7 << 76) | (2 << 62) | serial
            key = scope_key(WorkspaceId("w"), ServiceName("s"), str(uuid.UUID(int=value)))
            if owned_by is None or self.owner(key) == owned_by:
                return key
            serial += 1_000

    async def crash(self, name: HostId) -> None:
        await self.tasks.pop(name).close()
        del self.network.transports[name]
        self.live = [host for host in self.live if host != name]

    async def test_repeat_through_each_host_runs_once(self) -> None:
        key = self.key(1)
        for name in NAMES:
            with self.subTest(entry=name):
                answer = await self.submit(name, key, b"one")
                self.assertEqual(answer.body, b"answer to one")
        self.assertEqual(self.dispatcher.runs, {b"one": 1})

    async def test_each_shard_has_one_holder(self) -> None:
        held = [task.leases.held_shards(self.clock.wall_ms()) for task in self.tasks.values()]
        self.assertEqual(sorted(sum(held, [])), list(range(SHARD_COUNT)))

    async def test_crash_of_the_owner_does_not_repeat_its_call(self) -> None:
        key = self.key(1)
        owner = self.owner(key)
        entry = next(name for name in NAMES if name != owner)
        await self.submit(entry, key, b"one")
        await self.crash(owner)
        with self.assertRaises(BookingUnknownError):
            await self.submit(entry, key, b"one")
        self.assertEqual(self.dispatcher.runs, {b"one": 1})
        fresh = self.key(2)
        self.assertEqual((await self.submit(entry, fresh, b"two")).status, 201)

    async def test_not_run_is_final(self) -> None:
        key = self.key(1)
        self.dispatcher.error = NotRunError("connection refused")
        with self.assertRaises(BookingNotRunError):
            await self.submit(NAMES[0], key, b"one")
        self.dispatcher.error = None
        with self.assertRaises(BookingNotRunError):
            await self.submit(NAMES[1], key, b"one")
        self.assertEqual(self.dispatcher.runs, {})

    async def test_restarted_grantor_does_not_end_other_leases(self) -> None:
        """A restarted host grants only later key times; the other hosts keep their intervals."""
        await self.crash(NAMES[0])
        await self.run_for(2_500)
        self.start_host(NAMES[0], 2)
        self.live = list(NAMES)
        for serial in range(40):
            await self.run_for(100)
            entry = NAMES[1 + serial % 2]
            answer = await self.submit(entry, self.key(serial), b"%d" % serial)
            self.assertEqual(answer.status, 201)

    async def test_partitioned_host_runs_no_booking(self) -> None:
        for name in NAMES[1:]:
            self.network.cut(NAMES[0], name)
        await self.run_for(1_500)
        with self.assertRaises(MedlarvaleError) as caught:
            await self.submit(NAMES[0], self.key(5), b"five")
        self.assertEqual(caught.exception.outcome, Outcome.UNKNOWN)
        self.live = NAMES[1:]
        self.assertEqual((await self.submit(NAMES[1], self.key(6), b"six")).status, 201)
        self.assertNotIn(b"five", self.dispatcher.runs)

    async def test_drain_keeps_answers_and_running_calls(self) -> None:
        leaving = NAMES[0]
        done, running = self.key(1, leaving), self.key(2, leaving)
        await self.submit(NAMES[1], done, b"done")
        self.dispatcher.hold = asyncio.Event()
        pending = asyncio.ensure_future(self.tasks[NAMES[1]].submit(running, call(b"slow", 9_000)))
        await self.run_for(100)
        self.live = NAMES[1:]
        drained = asyncio.ensure_future(self.tasks[leaving].drain(20_000))
        await self.run_for(1_000)
        self.assertFalse(drained.done(), "the drain must wait for a running call")
        fresh = self.key(3)
        self.dispatcher.hold.set()
        self.dispatcher.hold = None
        self.assertEqual((await self.finish(pending)).body, b"answer to slow")
        await self.run_for(500)
        self.assertTrue(await drained)
        await self.crash(leaving)
        for key, body in [(done, b"done"), (running, b"slow"), (fresh, b"fresh")]:
            with self.subTest(body=body):
                answer = await self.submit(NAMES[2], key, body)
                self.assertEqual(answer.body, b"answer to " + body)
        self.assertEqual(self.dispatcher.runs, {b"done": 1, b"slow": 1, b"fresh": 1})

    async def test_drain_of_all_hosts_ends_before_the_deadline(self) -> None:
        """Guards against hosts without a successor that wait for their whole drain deadline."""
        self.live = []
        drained = [asyncio.ensure_future(task.drain(60_000)) for task in self.tasks.values()]
        await self.run_for(4_000)
        self.assertFalse(any(future.done() for future in drained), "a successor may still start")
        await self.run_for(2_000)
        self.assertTrue(all(future.done() for future in drained))

    async def test_key_issued_before_a_handover_runs_after_it(self) -> None:
        leaving = NAMES[0]
        key = self.key(1, leaving)
        self.live = NAMES[1:]
        await self.run_for(2_000)
        self.assertEqual((await self.submit(NAMES[2], key, b"early")).status, 201)

    def delay_replies(self, delay_ms: int) -> None:
        for transport in self.transports.values():
            transport.delay_ms = delay_ms

    async def test_leases_are_renewed_although_all_replies_are_slow(self) -> None:
        """Guards against bookings that are refused, and whose outcome becomes unknown, while busy
        hosts take longer to reply than the time between two rounds."""
        for delay_ms in (200, 300, 600):
            with self.subTest(delay_ms=delay_ms):
                self.delay_replies(delay_ms)
                for _ in range(30):
                    await self.run_for(100)
                    wall_ms = self.clock.wall_ms()
                    held = sum(
                        len(task.leases.held_shards(wall_ms)) for task in self.tasks.values()
                    )
                    self.assertEqual(held, SHARD_COUNT)

    async def test_a_handover_leaves_no_key_times_out(self) -> None:
        """Guards against bookings with outcome unknown, because a shard is handed over while grants
        that its holder has not received yet reach beyond the interval that is handed over."""
        leaving = NAMES[0]
        owned = [shard_of(self.key(number, leaving)) for number in range(20)]
        self.delay_replies(300)
        await self.run_for(2_000)
        self.live = NAMES[1:]
        pending = []
        for number in range(60):
            serial = 1_000 * number
            while shard_of(self.key(serial)) not in owned:
                serial += 1
            submitted = self.tasks[NAMES[1]].submit(self.key(serial), call(b"%d" % number))
            pending.append(asyncio.ensure_future(submitted))
            await self.run_for(50)
        await self.run_for(3_000)
        answers = await asyncio.gather(*pending, return_exceptions=True)
        self.assertEqual([error for error in answers if isinstance(error, Exception)], [])

    async def test_restarted_host_does_not_run_keys_of_its_earlier_incarnation(self) -> None:
        key = self.key(1)
        owner = self.owner(key)
        entry = next(name for name in NAMES if name != owner)
        await self.submit(entry, key, b"one")
        await self.crash(owner)
        self.start_host(owner, 2)
        self.live = list(NAMES)
        await self.run_for(4_000)
        with self.assertRaises(BookingUnknownError):
            await self.submit(owner, key, b"one")
        self.assertEqual((await self.submit(entry, self.key(9, owner), b"nine")).status, 201)
        self.assertEqual(self.dispatcher.runs, {b"one": 1, b"nine": 1})


if __name__ == "__main__":
    unittest.main()
