"""Tests that one host of a failure domain reads the store for its neighbours.

Load pattern: hundreds of hosts watch a store in which some server changes all the time.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.forwarding import domain_reader
from medlarvale.forwarding.domain_reader import MIN_DOMAIN_HOSTS, DomainReaderTask
from medlarvale.forwarding.fleet import HELLO_PERIOD_MS, FleetView
from medlarvale.forwarding.fleet_messages import FLEET_MESSAGES
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import (
    PublishedState,
    RouteTable,
    Server,
    ServerState,
    StateChanges,
    StoreRevision,
)
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import ConfigVersion, FailureDomain, HostId, ServerId
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from tests.forwarding.fakes import APP, HERE, make_route, make_server, make_table
from tests.forwarding.test_fleet import hello, identity

NAMES = "abcdef"
WATCH_S = 0.05


class FakeStore:
    """Store that counts the calls and serves changes in order."""

    def __init__(self) -> None:
        self.revision = 10
        self.table = make_table(make_route(), version=1)
        self.servers: dict[str, Server] = {"s1": make_server("s1", service=APP)}
        self.log: list[tuple[int, RouteTable | Server | ServerId]] = []

    def put(self, server: Server) -> None:
        self.revision += 1
        self.servers[server.server] = server
        self.log.append((self.revision, server))

    def remove(self, name: str) -> None:
        self.revision += 1
        del self.servers[name]
        self.log.append((self.revision, ServerId(name)))

    def publish(self, version: int) -> None:
        self.revision += 1
        self.table = make_table(make_route(), version=version)
        self.log.append((self.revision, self.table))


class FakeSource:
    """One host's calls to the store."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.calls = 0
        self.answers = asyncio.Event()
        self.answers.set()

    async def read(self) -> PublishedState:
        self.calls += 1
        store = self.store
        return PublishedState(
            store.table, tuple(store.servers.values()), StoreRevision(store.revision)
        )

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        self.calls += 1
        await asyncio.sleep(WATCH_S)
        await self.answers.wait()
        items = tuple(item for revision, item in self.store.log if revision > after)
        return StateChanges(items, StoreRevision(self.store.revision))


class Host:
    """The components of one host that handle published state."""

    def __init__(self, name: str, store: FakeStore, network: MemoryNetwork) -> None:
        clock = SystemClock()
        self.name = HostId(name)
        self.servers = ServerTable(HERE, random.Random(1))
        self.source = FakeSource(store)
        self.follower = StateFollower(self.source, self.servers, clock, lambda: None)
        self.view = FleetView(identity(name), f"{name}:1", [])
        self.task = DomainReaderTask(
            self.view,
            HERE,
            MemoryTransport(identity(name), network),
            self.follower,
            self.servers,
            clock,
        )

    def hear(self, *names: str, domain: str = HERE, store_reachable: bool = True) -> None:
        for name in names:
            heard = msgspec.structs.replace(
                hello(name),
                failure_domain=FailureDomain(domain),
                store_reachable=store_reachable,
            )
            self.view.record_hello(identity(name), heard, SystemClock().now_ms())

    def state_of(self, server: str) -> ServerState | None:
        load = self.servers.get(ServerId(server))
        return load.server.state if load is not None else None


class ReaderChoiceTest(unittest.TestCase):
    def test_the_first_live_host_of_the_failure_domain_reads(self) -> None:
        table: list[tuple[str, str, list[str], str, bool, str | None]] = [
            ("first by name", "c", ["a", "b", "d"], HERE, True, "a"),
            ("this host is the first", "a", ["b", "c", "d"], HERE, True, None),
            ("a small failure domain", "c", ["a", "b"], HERE, True, None),
            ("hosts of another failure domain", "c", ["a", "b", "d"], "z", True, None),
            ("hosts that can't read the store", "c", ["a", "b", "d"], HERE, False, None),
        ]
        for name, own, heard, domain, reachable, expected in table:
            with self.subTest(name):
                network = MemoryNetwork(MessageCodec(FLEET_MESSAGES))
                host = Host(own, FakeStore(), network)
                host.follower.accept(make_table(make_route(), version=1))
                host.hear(*heard, domain=domain, store_reachable=reachable)
                chosen = host.task.choose_reader(SystemClock().now_ms())
                self.assertEqual(chosen, expected)

    def test_a_host_without_a_configuration_reads_itself(self) -> None:
        network = MemoryNetwork(MessageCodec(FLEET_MESSAGES))
        host = Host("c", FakeStore(), network)
        host.hear("a", "b", "d")
        self.assertIsNone(host.task.choose_reader(SystemClock().now_ms()))


class NeighboursTestCase(unittest.IsolatedAsyncioTestCase):
    """The hosts of a failure domain, which exchange hellos until the end of the test."""

    hosts: list[Host]
    hearing: asyncio.Task[None]

    async def asyncTearDown(self) -> None:
        self.hearing.cancel()
        for host in self.hosts:
            await host.task.close()
            await host.follower.close()

    async def eventually(self, condition, timeout_s: float = 5.0) -> None:  # type: ignore[no-untyped-def]
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - the condition has no event
                await asyncio.sleep(0.01)


class DomainReaderTest(NeighboursTestCase):
    async def asyncSetUp(self) -> None:
        self.assertGreaterEqual(len(NAMES), MIN_DOMAIN_HOSTS)
        self.network = MemoryNetwork(MessageCodec(FLEET_MESSAGES))
        self.store = FakeStore()
        self.hosts = [Host(name, self.store, self.network) for name in NAMES]
        for host in self.hosts:
            host.follower.start()
        self.hearing = asyncio.create_task(self.exchange_hellos())
        await self.eventually(lambda: all(host.follower.index for host in self.hosts))
        for host in self.hosts:
            host.task.start()
        await self.eventually(lambda: all(host.task.reader == "a" for host in self.hosts[1:]))

    async def exchange_hellos(self) -> None:
        while True:
            for host in self.hosts:
                host.hear(*(name for name in NAMES if name != host.name))
            await asyncio.sleep(HELLO_PERIOD_MS / 1000.0)

    async def test_only_the_reader_calls_the_store(self) -> None:
        """Pattern: each change of the store wakes each host that watches it. Guards against calls
        to the store that grow with the number of hosts."""
        await asyncio.sleep(2 * WATCH_S)
        before = [host.source.calls for host in self.hosts]
        for number in range(20):
            self.store.put(make_server(f"n{number}", service=APP))
            await asyncio.sleep(WATCH_S / 2)
        after = [host.source.calls for host in self.hosts]
        self.assertGreater(after[0], before[0])
        self.assertEqual(after[1:], before[1:])
        await self.eventually(lambda: all(len(host.servers) == 21 for host in self.hosts))

    async def test_each_change_reaches_all_hosts(self) -> None:
        self.store.put(make_server("s1", service=APP, state=ServerState.DRAINING))
        self.store.publish(5)
        await self.eventually(
            lambda: all(
                host.state_of("s1") is ServerState.DRAINING and host.follower.version == 5
                for host in self.hosts
            )
        )
        self.store.remove("s1")
        await self.eventually(lambda: all(host.state_of("s1") is None for host in self.hosts))

    async def test_hosts_read_themselves_while_their_reader_is_lost(self) -> None:
        """Guards against a change that hosts learn late or never because their reader was killed,
        paused or partitioned: it takes effect within 2 s."""
        for name in NAMES[1:]:
            self.network.cut(HostId("a"), HostId(name))
        self.store.put(make_server("s1", service=APP, state=ServerState.DRAINING))
        await self.eventually(
            lambda: all(host.state_of("s1") is ServerState.DRAINING for host in self.hosts[1:]),
            timeout_s=2.0,
        )

    async def test_a_reader_that_is_behind_is_not_believed(self) -> None:
        """Guards against a reader that was paused and then reverts what its neighbours have read
        from the store meanwhile."""
        await self.hosts[0].task.close()
        follower = self.hosts[0].follower
        follower.suspend(follower.era, follower.revision, follower._clock.now_ms())
        await asyncio.sleep(2 * WATCH_S)
        behind = self.hosts[1]
        behind.follower.revision = StoreRevision(self.store.revision + 5)
        self.store.revision += 5
        self.store.put(make_server("s1", service=APP, state=ServerState.DRAINING))
        await self.eventually(lambda: behind.state_of("s1") is ServerState.DRAINING)
        await asyncio.sleep(domain_reader.ANSWER_AFTER_MS / 1000.0)
        self.assertIs(behind.state_of("s1"), ServerState.DRAINING)

    async def test_a_list_is_as_old_as_that_of_the_reader(self) -> None:
        """Guards against a host that takes the list of a reader for current although the reader has
        had no answer from the store for a while."""
        await self.eventually(lambda: all(host.task.reader == "a" for host in self.hosts[1:]))
        self.hosts[0].source.answers.clear()
        silent_s = 2.0 * domain_reader.ANSWER_AFTER_MS / 1000.0
        await asyncio.sleep(silent_s)
        for host in self.hosts[1:]:
            self.assertEqual(host.task.reader, "a")
            self.assertGreaterEqual(host.follower.age_ms(), 1000.0 * (silent_s - WATCH_S))

    async def test_a_configuration_is_confirmed_as_far_as_by_the_reader(self) -> None:
        """Guards against a neighbour that takes what its reader knows for newer than it is, and
        against one that refuses keys although its reader is in contact with the store."""
        reader = self.hosts[0]
        self.store.publish(3)
        await self.eventually(lambda: all(host.follower.version == 3 for host in self.hosts))
        await asyncio.sleep(2.5 * domain_reader.ANSWER_AFTER_MS / 1000.0)
        reader.source.answers.clear()
        await asyncio.sleep(2.5 * domain_reader.ANSWER_AFTER_MS / 1000.0)
        confirmed_ms = reader.follower.confirmation.confirmed_ms(ConfigVersion(3))
        for host in self.hosts[1:]:
            self.assertEqual(host.task.reader, "a")
            own_ms = host.follower.confirmation.confirmed_ms(ConfigVersion(3))
            # A query takes some time to arrive, by which the evidence is dated earlier.
            self.assertLessEqual(own_ms, confirmed_ms)
            self.assertGreater(own_ms, confirmed_ms - domain_reader.ANSWER_SLACK_MS)

    async def test_a_table_of_an_earlier_build_is_not_accepted(self) -> None:
        """Guards against a host that takes a configuration for one without workspaces, because its
        reader does not decode them (KEY, REVOKED)."""
        follower = self.hosts[0].follower
        await self.hosts[0].task.close()
        follower.suspend(follower.era, follower.revision, follower._clock.now_ms())
        undecoded = make_table(make_route(), version=7, workspaces=None)
        self.assertTrue(follower.accept(undecoded))
        await self.eventually(lambda: all(host.task.reader is None for host in self.hosts[1:]))
        self.assertEqual({host.follower.version for host in self.hosts[1:]}, {1})
        self.store.publish(7)
        await self.eventually(lambda: all(host.follower.version == 7 for host in self.hosts))
        for host in self.hosts[1:]:
            assert host.follower.index is not None
            self.assertEqual(host.follower.index.table.workspaces, ())

    async def test_an_unreachable_store_makes_all_hosts_read_themselves(self) -> None:
        """Guards against hosts that rely on a reader whose own access to the store is cut."""
        await self.hosts[0].task.close()
        self.hosts[0].follower.reachable = False
        follower = self.hosts[0].follower
        follower.suspend(follower.era, follower.revision, follower._clock.now_ms())
        await self.eventually(lambda: all(host.task.reader != "a" for host in self.hosts[1:]))

    async def test_an_unexpected_error_makes_a_host_read_itself(self) -> None:
        """Guards against a host that never reads the store again."""
        host = self.hosts[1]
        with mock.patch.object(host.servers, "replace_all", side_effect=RuntimeError("bug")):
            self.store.put(make_server("s2", service=APP))
            await self.eventually(lambda: host.task.reader is None)
        self.store.put(make_server("s3", service=APP))
        await self.eventually(lambda: host.state_of("s3") is ServerState.READY)
