"""Tests of the published state during outages, after lost history and with stale reads."""

from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.clock import SystemClock
from medlarvale.forwarding.errors import HistoryGoneError, PublishedStateError
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import PublishedState, RouteTable, StateChanges, StoreRevision
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, make_route, make_server, make_table


class ScriptedSource:
    """Returns scripted results in order and blocks after the last."""

    def __init__(self, *results: PublishedState | StateChanges | Exception) -> None:
        self.results = list(results)
        self.calls: list[object] = []
        self.done = asyncio.Event()

    async def _next(self):  # type: ignore[no-untyped-def]
        if not self.results:
            self.done.set()
            await asyncio.Event().wait()
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def read(self) -> PublishedState:
        self.calls.append("read")
        return await self._next()

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        self.calls.append(after)
        return await self._next()


class HistorySource:
    """A source whose last change has a revision, and that has dropped the changes up to a floor."""

    def __init__(self, revision: int, floor: int) -> None:
        self.revision, self.floor = revision, floor
        self.calls = 0

    async def read(self) -> PublishedState:
        return PublishedState(None, (), StoreRevision(self.revision))

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        self.calls += 1
        if after < self.floor:
            raise HistoryGoneError("dropped")
        items = tuple(ServerId(str(number)) for number in range(after + 1, self.revision + 1))
        return StateChanges(items, StoreRevision(self.revision))


def published(version: int, *servers: str, revision: int = 10) -> PublishedState:
    entries = tuple(make_server(name, service=APP) for name in servers)
    return PublishedState(
        make_table(make_route(), version=version), entries, StoreRevision(revision)
    )


def changes(revision: int, *items: object) -> StateChanges:
    return StateChanges(tuple(items), StoreRevision(revision))  # type: ignore[arg-type]


class StateFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *results: PublishedState | StateChanges | Exception) -> None:
        self.servers = ServerTable(HERE, random.Random(1))
        self.ready = 0
        self.source = ScriptedSource(*results)
        self.follower = StateFollower(self.source, self.servers, SystemClock(), self.note_ready)
        self.follower.start()
        await asyncio.wait_for(self.source.done.wait(), 5.0)
        await self.follower.close()

    def note_ready(self) -> None:
        self.ready += 1

    def version(self) -> int:
        assert self.follower.index is not None
        return self.follower.index.table.version

    def listed(self) -> list[str]:
        return sorted(server.server for server in self.servers.all_servers())

    async def test_watch_continues_from_the_last_revision(self) -> None:
        await self.follow(
            published(1, "s1", revision=10),
            changes(12, make_server("s2", service=APP)),
            changes(15, ServerId("s1"), make_table(make_route(), version=4)),
        )
        self.assertEqual(self.source.calls, ["read", 10, 12, 15])
        self.assertEqual((self.listed(), self.version(), self.ready), (["s2"], 4, 1))

    async def test_outages_and_lost_history_lead_to_a_new_read(self) -> None:
        """Guards against changes that are missed during an outage of the store, and against servers
        that are removed because their entries expired meanwhile."""
        for error in (HistoryGoneError("410"), PublishedStateError("503")):
            with self.subTest(error.message):
                await self.follow(published(1, "s1", "s2"), error, published(2, "s2", revision=90))
                self.assertEqual(self.source.calls, ["read", 10, "read", 90])
                self.assertEqual(self.listed(), ["s1", "s2"], "kept until its grace period is over")
                self.assertEqual(self.version(), 2)
                self.assertTrue(self.follower.reachable)

    async def test_an_unexpected_error_does_not_end_the_task(self) -> None:
        """Guards against a host that keeps an old configuration until it is restarted."""
        await self.follow(published(1, "s1"), RuntimeError("bug"), published(2, "s1", revision=90))
        self.assertEqual(self.version(), 2)

    async def test_a_host_started_during_an_outage_follows_afterwards(self) -> None:
        """Guards against a host that never gets a configuration if its first reads fail."""
        await self.follow(PublishedStateError("down"), PublishedStateError("down"), published(3))
        self.assertEqual((self.version(), self.ready), (3, 1))


class VersionTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=20))
    def test_the_configuration_is_never_reverted(self, versions: list[int]) -> None:
        """Guards against a stale read that reverts an accepted configuration."""
        follower = StateFollower(
            ScriptedSource(), ServerTable(HERE, random.Random(1)), SystemClock(), lambda: None
        )
        newest = 0
        for version in versions:
            follower.accept(make_table(make_route(), version=version))
            newest = max(newest, version)
            index = follower.index
            assert index is not None and isinstance(index.table, RouteTable)
            self.assertEqual(index.table.version, newest)


class RecentHistoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_changes_that_are_left_are_read(self) -> None:
        """Guards against servers that have left and are not read, and against many calls."""
        table = [(0, 0), (1, 0), (1, 1), (24, 0), (24, 11), (24, 24), (5_000, 4_321), (5_000, 0)]
        for revision, floor in table:
            with self.subTest(revision=revision, floor=floor):
                source = HistorySource(revision, floor)
                servers = ServerTable(HERE, random.Random(1))
                follower = StateFollower(source, servers, SystemClock(), lambda: None)
                history = await follower.recent_history()
                self.assertEqual(history.floor, floor)
                self.assertEqual(len(history.changes.items), revision - floor)
                self.assertLessEqual(source.calls, 2 * revision.bit_length())
