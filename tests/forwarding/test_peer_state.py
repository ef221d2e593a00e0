"""Tests that a host without access to the store gets the published state from a peer."""

from __future__ import annotations

import asyncio
import math
import random
import unittest

import msgspec

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.clock import ManualClock
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.fleet_messages import FLEET_MESSAGES
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import ServerState, Workspace
from medlarvale.forwarding.peer_state import QUERY_PERIOD_MS, PeerStateTask
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_versions import records_without_peers
from medlarvale.ids import ConfigVersion, HostId, ServerId
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from tests.forwarding.fakes import APP, HERE, make_route, make_server, make_table
from tests.forwarding.test_fleet import identity, receive_hellos
from tests.forwarding.test_follower import ScriptedSource


class Host:
    """The components of one host that handle published state."""

    def __init__(self, name: str, network: MemoryNetwork, clock: ManualClock) -> None:
        self.servers = ServerTable(HERE, random.Random(1))
        self.follower = StateFollower(ScriptedSource(), self.servers, clock, lambda: None)
        self.view = FleetView(identity(name), f"{name}:1", [])
        transport = MemoryTransport(identity(name), network)
        records = records_without_peers(clock)
        self.task = PeerStateTask(self.view, transport, self.follower, self.servers, records, clock)
        self.task.start()


class PeerStateTestCase(unittest.IsolatedAsyncioTestCase):
    """A host that the store refuses, and one that reads it and knows more."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        network = MemoryNetwork(MessageCodec(FLEET_MESSAGES))
        self.network = network
        self.refused, self.reader = Host("a", network, self.clock), Host("b", network, self.clock)
        for host in (self.refused, self.reader):
            host.follower.accept(make_table(make_route(), version=1))
            host.servers.upsert(make_server("s1", service=APP))
        self.reader.follower.accept(make_table(make_route(), version=2))
        self.reader.servers.upsert(make_server("s1", service=APP, state=ServerState.DRAINING))
        self.reader.servers.upsert(make_server("s2", service=APP))

    async def wait(self) -> None:
        receive_hellos(self.refused.view, self.clock.now_ms(), "b")
        self.clock.advance_ms(QUERY_PERIOD_MS)
        for _ in range(20):
            await asyncio.sleep(0)

    def version(self) -> int:
        index = self.refused.follower.index
        assert index is not None
        return index.table.version


class PeerStateTest(PeerStateTestCase):
    async def test_state_is_read_from_a_peer_that_reaches_the_store(self) -> None:
        """Guards against new work at a server that drains while the store refuses this host."""
        table = [
            ("store answers", True, True, 1, ServerState.READY),
            ("store refuses this host", False, True, 2, ServerState.DRAINING),
            ("store refuses both", False, False, 1, ServerState.READY),
        ]
        for name, reachable, peer_reachable, version, state in table:
            with self.subTest(name):
                self.setUp()
                self.refused.follower.reachable = reachable
                self.reader.follower.reachable = peer_reachable
                await self.wait()
                self.assertEqual(self.version(), version)
                load = self.refused.servers.get(ServerId("s1"))
                assert load is not None
                self.assertIs(load.server.state, state)

    async def test_odd_servers_of_a_peer_name_no_server(self) -> None:
        """Guards against requests that fail because a peer of an earlier build lists a server that
        nothing can be sent to."""
        self.refused.follower.reachable = False
        odd = ["10.0.0.9", "10.0.0.9:0", "10.0.0.9:70000", "10.0.0.9:80/x", "10.0.0.9\0:80", ""]
        for number, address in enumerate(odd):
            entry = msgspec.structs.replace(
                make_server(f"odd{number}", service=APP), address=address
            )
            self.reader.servers.upsert(entry)
        named = msgspec.structs.replace(make_server("s3", service=APP), server=ServerId("s\r\n3"))
        self.reader.servers.upsert(named)
        await self.wait()
        listed = sorted(server.server for server in self.refused.servers.all_servers())
        self.assertEqual(listed, ["s1", "s2"])

    async def test_a_peer_behind_a_partition_changes_nothing(self) -> None:
        self.refused.follower.reachable = False
        self.network.cut(HostId("a"), HostId("b"))
        await self.wait()
        self.assertEqual(self.version(), 1)


class ConfirmationTest(PeerStateTestCase):
    def setUp(self) -> None:
        super().setUp()
        for host in (self.refused, self.reader):
            host.follower.confirmation = ConfigConfirmation(5_000.0)
            host.follower.reachable = host is self.reader

    def confirm_reader(self, at_ms: float) -> None:
        index = self.reader.follower.index
        assert index is not None
        self.reader.follower.confirmation.note_published(index.table, index.table)
        self.reader.follower.confirmation.note_answer(at_ms, index.table.version)

    async def test_a_peer_confirms_the_configuration_as_far_as_it_is_confirmed(self) -> None:
        """Guards against requests that are refused although a peer reads the store, and against a
        peer whose knowledge is dated too late (REVOKED)."""
        table: list[tuple[str, float | None, bool, tuple[Workspace, ...] | None, int, float]] = [
            ("confirmed", -1_000.0, True, (), 3, -1_000.0),
            ("confirmed, but without the store by now", -1_000.0, False, (), 3, -1_000.0),
            ("not confirmed", None, True, (), 3, -math.inf),
            ("of an earlier build", -1_000.0, True, None, 1, -math.inf),
        ]
        for name, at_ms, reachable, workspaces, version, expected in table:
            with self.subTest(name):
                self.setUp()
                self.reader.follower.accept(
                    make_table(make_route(), version=3, workspaces=workspaces)
                )
                self.reader.follower.reachable = reachable
                if at_ms is not None:
                    self.confirm_reader(at_ms)
                await self.wait()
                self.assertEqual(self.version(), version)
                confirmation = self.refused.follower.confirmation
                self.assertEqual(confirmation.confirmed_ms(ConfigVersion(version)), expected)

    async def test_peers_are_asked_in_turns(self) -> None:
        """Guards against a host whose only source of evidence is a peer that is gone."""
        task = self.refused.task
        hosts = [HostId(name) for name in "bcdef"]
        asked = [task._next_peers(hosts) for _ in range(3)]
        self.assertEqual(asked, [["b", "c"], ["d", "e"], ["f", "b"]])
        self.assertEqual((task._next_peers(hosts[:1]), task._next_peers([])), (["b"], []))
