"""Guards against decisions of the view that the task does not execute."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Mapping

from medlarvale.clock import ManualClock
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
)
from medlarvale.membership.errors import HostListError
from medlarvale.membership.messages import (
    EntryHost,
    Heartbeat,
    HostList,
    HostListRequest,
    HostState,
)
from medlarvale.membership.servers import ServerDirectory
from medlarvale.membership.source import MemoryHostListSource
from medlarvale.membership.task import MembershipTask
from medlarvale.membership.view import MembershipView, PeerState
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from tests.membership.test_servers import SERVER, server

NAMES = [HostId(name) for name in "abc"]


def host_list(version: int) -> HostList:
    hosts = [EntryHost(name, f"tcp://{name}", FailureDomain("d")) for name in NAMES]
    return HostList(ListVersion(version), hosts, [server()])


class FailingSource:
    async def read(self) -> HostList:
        raise HostListError("the platform is down")


class AddressRegistry:
    def __init__(self) -> None:
        self.addresses: dict[HostId, str] = {}

    def set_peers(self, addresses: Mapping[HostId, str]) -> None:
        self.addresses = dict(addresses)


class MembershipTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(MessageCodec([Heartbeat, HostList, HostListRequest]))
        self.tasks: dict[HostId, MembershipTask] = {}
        self.sources = {name: MemoryHostListSource(host_list(1)) for name in NAMES}
        for name in NAMES:
            self.start(name, 1)

    def start(self, name: HostId, incarnation: int) -> None:
        identity = HostIdentity(name, Incarnation(incarnation))
        directory = ServerDirectory(self.clock)
        task = MembershipTask(
            MembershipView(identity),
            directory,
            MemoryTransport(identity, self.network),
            AddressRegistry(),
            self.sources[name],
            self.clock,
            lambda: ConfigVersion(7),
        )
        task.set_leaving_servers_source(directory.self_reported_leaving)
        task.view.state = HostState.LIVE
        self.tasks[name] = task
        self.addAsyncCleanup(task.close)
        task.start()

    async def run_for(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 50):
            self.clock.advance_ms(50)
            for _ in range(20):
                await asyncio.sleep(0)

    async def test_heartbeats_lists_and_leaving_servers_reach_all_hosts(self) -> None:
        heard: list[Heartbeat] = []
        self.tasks[NAMES[0]].on_heartbeat(lambda sender, beat: heard.append(beat))
        self.tasks[NAMES[2]].set_config_reach_source(lambda: False)
        await self.run_for(1_000)
        for task in self.tasks.values():
            self.assertEqual(task.live_hosts(), NAMES)
        self.assertEqual({beat.config_version for beat in heard}, {7})
        self.assertEqual({beat.reaches_config for beat in heard}, {True, False})
        self.sources[NAMES[1]].host_list = host_list(5)
        self.tasks[NAMES[1]].directory.mark_leaving(SERVER, True)
        for name in (NAMES[0], NAMES[2]):
            self.sources[name].read = FailingSource().read  # type: ignore[method-assign]
        self.tasks[NAMES[1]]._learn_list(host_list(5))
        await self.run_for(1_000)
        for task in self.tasks.values():
            self.assertEqual(task.view.list_version, 5)
            self.assertFalse(task.directory.accepts_work(SERVER))

    async def test_partitioned_host_is_suspect_and_restarted_host_is_recognized(self) -> None:
        await self.run_for(500)
        first, last = self.tasks[NAMES[0]], NAMES[2]
        self.network.cut(NAMES[0], last)
        await self.run_for(2_000)
        self.assertEqual(first.view.peer_state(last, self.clock.now_ms()), PeerState.SUSPECT)
        self.network.heal()
        await self.tasks[last].close()
        self.start(last, 2)
        await self.run_for(500)
        identities = first.view.answering_identities(self.clock.now_ms())
        self.assertIn(HostIdentity(last, Incarnation(2)), identities)
        self.assertNotIn(HostIdentity(last, Incarnation(1)), identities)

    async def test_peers_are_notified_of_leaving_at_once(self) -> None:
        await self.run_for(500)
        self.tasks[NAMES[1]].set_state(HostState.LEAVING)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertNotIn(NAMES[1], self.tasks[NAMES[0]].live_hosts())
